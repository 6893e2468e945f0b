import bisect
import itertools
import random

from behave import given, then, when

from knapweedbridge_core.configuration import build
from knapweedbridge_core.consolidation import FullEngine, HeldAdapter, find_move
from knapweedbridge_core.copies import BeforeSaturation
from knapweedbridge_core.forecast import ChangeAware
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.placement import Holder, make_placement
from knapweedbridge_core.slots import SlotOption, make_slot_choice

ADAPTERS = 200
PER_S = 5.0


class Stream:
    """A seeded stream of requests of a Zipf popularity into a forecast."""

    def __init__(self, seed):
        self.forecast = ChangeAware()
        self.now_s = 0.0
        self._rng = random.Random(seed)
        weights = (1 / (rank + 1) for rank in range(ADAPTERS))
        self._sums = list(itertools.accumulate(weights))

    def run(self, kind, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += self._rng.expovariate(PER_S)
            rank = bisect.bisect(self._sums, self._rng.random() * self._sums[-1])
            self.forecast.used(AdapterVersion(f"{kind}{rank}", "1"), 1, self.now_s)

    def rate(self, name):
        return self.forecast.rate_per_s(AdapterVersion(name, "1"), self.now_s)


@given('a forecast after {seconds:d} seconds of requests for "{kind}"')
def forecast(context, seconds, kind):
    context.stream = Stream(1)
    context.stream.run(kind, seconds)


@given("a forecast after {seconds:d} seconds of a steady popularity with seed {seed:d}")
def steady(context, seconds, seed):
    context.stream = Stream(seed)
    context.stream.run("old", seconds)


@when('"{kind}" takes all requests for {seconds:d} seconds')
def shift(context, kind, seconds):
    context.stream.run(kind, seconds)


@when('adapter "{name}" is used {times:d} times in {seconds:d} seconds beside them')
def wakes(context, name, times, seconds):
    for _ in range(times):
        context.stream.run("old", seconds / times)
        model = AdapterVersion(name, "1")
        context.stream.forecast.used(model, 1, context.stream.now_s)


@then('"new" adapters are expected before "old" ones')
def expected(context):
    stream = context.stream
    first = stream.forecast.expected(stream.now_s, 8)
    assert all(model.adapter.startswith("new") for model in first), first


@then("all counts started again {times:d} time")
@then("all counts started again {times:d} times")
def changes(context, times):
    assert context.stream.forecast.changes == times, context.stream.forecast.changes


@then('"{name}" is expected before the least of "old"')
def woken(context, name):
    stream = context.stream
    assert stream.rate(name) > stream.rate("old20"), stream.rate(name)


@given('batches filled to "{fills}" one after another')
def fills(context, fills):
    model = AdapterVersion("a", "1")
    copies = BeforeSaturation()
    context.needed = []
    held = 1
    for fill in fills.split():
        copies.record_fills(model, [float(fill)] * held)
        held = copies.needed(model)
        context.needed.append(held)


@then('copies needed are "{copies}"')
def needed(context, copies):
    assert context.needed == [int(n) for n in copies.split()], context.needed


@given('holders that run "{running}" of 16')
def holders(context, running):
    context.holders = [Holder(f"e{n}", int(n), 16) for n in running.split()]


@when("the setting weighs {weigh:g}")
def weighs(context, weigh):
    context.weigh = weigh


@then("the holder that runs {chosen:d} serves")
def serves(context, chosen):
    assert make_placement(context.weigh).choose(context.holders).running == chosen


@given('slots worth "{worths}" on engines that run "{running}"')
def slots(context, worths, running):
    context.options = [
        SlotOption(f"e{ran}", AdapterVersion("v", "1"), float(worth), int(ran), 16)
        for worth, ran in zip(worths.split(), running.split(), strict=True)
    ]


@then("the load goes to the engine that runs {chosen:d}")
def slot_chosen(context, chosen):
    choice = make_slot_choice(context.weigh)
    got = choice.choose(AdapterVersion("a", "1"), context.options)
    assert got.running == chosen, got


@given('the section placement with "{key} = {text}"')
def section(context, key, text):
    context.built, context.faults = build(1, {"placement": {key: text}})


@then('it is read as "{read}"')
def read_as(context, read):
    if context.faults:
        assert [str(fault).lstrip(": ") for fault in context.faults] == [read]
    else:
        assert str(context.built.placement.weigh) == read


@when("a new forecast learns its summary")
def learns(context):
    old = context.stream.forecast
    now_s = context.stream.now_s
    context.learnt = ChangeAware()
    context.learnt.learn(old.summary(now_s, 256), old.age_s(now_s), 5.0)


@then("both expect the same {most:d} first")
def same_first(context, most):
    old = context.stream.forecast.expected(context.stream.now_s, most)
    assert set(context.learnt.expected(5.0, most)) == set(old)


def held(name, rate, worth, copies=1):
    return HeldAdapter(AdapterVersion(name, "1"), rate, worth, copies, False)


@given(
    'an engine "{name}" of rate {rate:g} that runs {running:d} of 16'
    " and holds a victim worth {worth:g}"
)
def full_engine(context, name, rate, running, worth):
    adapters = [held("warm", rate, rate), held("victim", worth, worth)]
    context.engines = [FullEngine(name, running, 16, adapters)]


@given(
    'an engine "{name}" that holds a hot adapter of rate {rate:g} in {copies:d} copies'
)
def colder_engine(context, name, rate, copies):
    context.engines.append(FullEngine(name, 1, 16, [held("hot", rate, rate, copies)]))


@then('the move is "{move}"')
def the_move(context, move):
    found = find_move(context.engines, 0.01)
    told = f"{found.model.adapter} to {found.endpoint}" if found else "none"
    assert told == move, told
