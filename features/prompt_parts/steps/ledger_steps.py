from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import (
    CrashLedger,
    EndpointStart,
    LossEvidence,
    LostCall,
    PartLedger,
    fingerprint,
    refusal_key,
    refusal_publishers,
)
from knapweedbridge_core.serving.part_ledger import MAX_CALLS_PER_LOSS, MAX_SUSPECTS
from knapweedbridge_daemon.serving.blame_notifier import BlameNotifier

NOW_S = 1000.0
LATER_S = 2.0
MARK = fingerprint("", "a", "h", b"GET", b"/", b"")


def parts_in(text):
    return tuple(text.split("."))


@when(
    "a request fails at {own:d} of {every:d} endpoints that crash within {within:g} s"
)
def fails_at_some(context, own, every, within):
    ledger = context.ledger = CrashLedger()
    context.until_s = NOW_S + within
    for number in range(every):
        start = EndpointStart(f"e{number}", 0)
        at_s = NOW_S + within * number / every
        if number >= every - own:
            ledger.ended(MARK, start, at_s, sent_s=at_s - 0.5)
        ledger.lost(start, at_s)


@when("a request fails at two endpoints, at the second one after others failed there")
def fails_too_late(context):
    ledger = context.ledger = CrashLedger()
    context.until_s = NOW_S
    first, second = EndpointStart("e1", 0), EndpointStart("e2", 0)
    other = fingerprint("", "b", "h", b"GET", b"/b", b"")
    ledger.ended(MARK, first, NOW_S - 5, sent_s=NOW_S - 6)
    ledger.lost(first, NOW_S - 5)
    ledger.ended(other, second, NOW_S, sent_s=NOW_S - 1)
    ledger.ended(MARK, second, NOW_S + 0.02, sent_s=NOW_S + 0.01)
    ledger.lost(second, NOW_S + 0.03)


@when("a request fails at two endpoints, at each of which {before}")
def ended_before(context, before):
    ledger = context.ledger = CrashLedger()
    context.until_s = NOW_S + 8
    other = fingerprint("", "b", "h", b"GET", b"/b", b"")
    for number, at_s in enumerate((NOW_S, NOW_S + 8)):
        start = EndpointStart(f"e{number}", 0)
        ago_s = 0.2 if "alive" in before else 3.0
        is_closed = "reset" in before
        ledger.ended(other, start, at_s - ago_s, (), at_s - 4, is_closed)
        if "alive" in before:
            ledger.record_alive(start, at_s - ago_s / 2)
        ledger.ended(MARK, start, at_s, sent_s=at_s - 0.1)
        ledger.lost(start, at_s + 0.01)


@then("2 s later it is refused: {refused}")
def request_refused(context, refused):
    found = context.ledger.refused_for_s(MARK, context.until_s + LATER_S)
    assert (found > 0) == (refused == "yes"), found


@given("part f is safe")
def first_is_safe(context):
    context.parts = PartLedger()
    context.parts.begun(["f"], NOW_S - 5)


@when("endpoints are lost with prompts of the parts")
def lost_with(context):
    number = 0
    losses = context.table[0]["losses"].split(" / ")
    for place, prompts in enumerate(losses):
        calls = []
        for prompt in prompts.split():
            number += 1
            calls.append(LostCall(f"r{number}", parts_in(prompt)))
        context.parts.blamed(f"e{place} 0", calls, NOW_S + place)
    context.at_s = NOW_S + len(losses) + LATER_S


@then("of the prompts {asked} these are refused: {refused}")
def prompts_refused(context, asked, refused):
    found = [
        prompt
        for prompt in asked.split()
        if context.parts.refused_for_s(parts_in(prompt), context.at_s)
    ]
    assert found == (refused.split() if refused != "none" else []), found


@when("one request of the parts p is lost with {count:d} endpoints")
def one_request(context, count):
    context.parts = PartLedger()
    for number in range(count):
        context.parts.blamed(f"e{number} 0", [LostCall("r", ("p",))], NOW_S + number)
    context.at_s = NOW_S + count + LATER_S


def lose(ledger, number, at_s, part="p"):
    """Record that an endpoint was lost with a unique prompt."""
    ledger.blamed(f"e{number} 0", [LostCall(f"r{number}", (part,))], at_s)


@when("a part is refused, and a response to it started {when_begun}")
def response_started(context, when_begun):
    ledger = context.parts = PartLedger()
    if "before" in when_begun:
        ledger.begun(["p"], NOW_S - (121 if "121" in when_begun else 1))
    if "the store says" in when_begun:
        ledger.record_published(refusal_key(["p"]), 60.0, NOW_S + 2)
    else:
        lose(ledger, 0, NOW_S)
        lose(ledger, 1, NOW_S + 2)
    if when_begun == "here after":
        ledger.begun(["p"], NOW_S + 3)
        assert ledger.to_clear == {"p"}
    if when_begun == "at another host after":
        ledger.record_safe(["p"], NOW_S + 3)


@then("it is refused after that: {refused}")
def part_refused(context, refused):
    found = context.parts.refused_for_s(("f", "p"), NOW_S + 5)
    assert (found > 0) == (refused == "yes"), found


@when(
    "a part is refused at the host of rank {turn:d}, and prompts with it are still sent"
)
def still_sent(context, turn):
    ledger = context.parts = PartLedger()
    ledger.turn_of = lambda mark: turn
    context.lost_s = []
    for now_s in range(10_000):
        if not ledger.refused_for_s(("p",), now_s) and not ledger.verdict_due_s(
            ("p",), now_s
        ):
            lose(ledger, len(context.lost_s), now_s)
            context.lost_s.append(now_s)


@then(
    "it is refused for {first:d} s at first, and {lost:d} endpoints are lost within "
    "{within:d} s"
)
def lost_within(context, first, lost, within):
    second_s, third_s = context.lost_s[1:3]
    assert third_s - second_s == first, context.lost_s
    found = [at_s for at_s in context.lost_s if at_s <= second_s + within]
    assert len(found) == lost, context.lost_s


@when("{many:d} safe parts were seen")
def many_safe(context, many):
    ledger = context.parts = PartLedger()
    for number in range(many):
        ledger.begun([f"p{number}"], NOW_S)
    context.newest = f"p{many - 1}"
    every = [f"p{number}" for number in range(many)]
    context.kept = many - len(ledger.unproven(every, NOW_S))
    assert not ledger.unproven([context.newest], NOW_S)


@when("{many:d} suspect parts were seen")
def many_suspects(context, many):
    ledger = context.parts = PartLedger()
    lose(ledger, 0, NOW_S, "often")
    lose(ledger, 1, NOW_S + 0.5, "often")
    for number in range(many):
        lose(ledger, 2 + number, NOW_S + 1 + number / many, f"p{number}")
    context.kept = len(ledger)
    assert ledger.suspected([f"p{many - 1}", "often"], NOW_S) == [
        f"p{many - 1}",
        "often",
    ]


@then(
    "at most {kept:d} of them are kept, and the newest and those with most losses are"
)
def kept_at_most(context, kept):
    assert context.kept <= kept, context.kept


@when("an endpoint is lost with {count:d} calls of parts of their own")
def lost_with_many(context, count):
    ledger, start = CrashLedger(), EndpointStart("e", 0)
    for number in range(count):
        mark = fingerprint("", "a", "h", b"GET", b"/%d" % number, b"")
        ledger.ended(mark, start, NOW_S, (f"p{number}",), NOW_S - 1)
    (context.found,) = ledger.lost(start, NOW_S).values()
    assert len(ledger.parts) <= MAX_SUSPECTS


@then("at most {most:d} calls are reported")
def reported_at_most(context, most):
    assert most == MAX_CALLS_PER_LOSS
    assert len(context.found.calls) <= most, len(context.found.calls)


class Discard:
    """A log and metrics that discard everything."""

    def info(self, *line, **fields):
        pass

    def count(self, *what, **value):
        pass


class Pool:
    """The state of a pool, and the messages of its first host."""

    def __init__(self, hosts, is_small):
        names = [f"host-{number}" for number in range(hosts)]
        self.is_small_pool = is_small
        self.daemons = dict.fromkeys(names)
        self.coordinators = {f"hall-{n}": names[n::3] for n in range(3)}
        self.sent = []

    async def send(self, daemon, message):
        self.sent.append((daemon, message))


@when(
    "a host of a {pool} pool of {hosts:d} hosts reports a loss with 2 calls of 3 parts "
    "each"
)
def reports_loss(context, pool, hosts):
    cluster = context.pool = Pool(hosts, pool == "small")
    hub = SimpleNamespace(
        cluster=cluster,
        identity=SimpleNamespace(name="host-0"),
        log=Discard(),
        metrics=Discard(),
    )
    calls = [
        LostCall("r1", ("a1", "a2", "a3")),
        LostCall("r2", ("b1", "b2", "b3")),
    ]

    async def report():
        found = LossEvidence(anyio.current_time(), [], calls)
        await BlameNotifier(hub, cluster.send).notify_losses(
            {"e1 0": found}, "unlisted"
        )

    anyio.run(report)


@then(
    "{told:d} hosts receive it at most, and each only the calls that it coordinates "
    "parts of"
)
def told_hosts(context, told):
    pool = context.pool
    assert 0 < len(pool.sent) <= told, len(pool.sent)
    assert len({daemon for daemon, _ in pool.sent}) == len(pool.sent)
    for daemon, message in pool.sent:
        for _, *parts in message.calls:
            marks = [refusal_key((part,)) for part in parts]
            kept = any(
                daemon in refusal_publishers(m, pool.coordinators) for m in marks
            )
            assert pool.is_small_pool or kept, (daemon, message)
