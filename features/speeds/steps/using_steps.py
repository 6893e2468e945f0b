from behave import given, then, when

from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.serving import (
    EndpointRecord,
    EndpointStart,
    Fleet,
    LearnedRates,
    LeastCostPlacement,
    ModelRef,
    PlacementRequest,
)
from knapweedbridge_core.serving.messages import EngineDelta, EngineSnapshot
from knapweedbridge_daemon.serving.settings import read_serving_settings

NOW_S = 100.0
SETTINGS = """
[host]
name = h1
data_centre = d1
[listen]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
peers = 127.0.0.1:3
metrics = 127.0.0.1:4
[serving]
dialect = x
[store]
address = 127.0.0.1:5
"""


def publish(context, speeds, enabled=True):
    context.fleet = Fleet()
    context.fleet.speeds.enabled = enabled
    context.engines = []
    for number, _ in enumerate(speeds):
        record = EndpointRecord(
            f"e{number}", "llm", "127.0.0.1:1", "d1", 12, False, ("m",), started_ms=1
        )
        context.engines.append(context.fleet.listed(record, NOW_S))
    for order in (1, 2):
        # The second round recomputes the median from the speeds of the first.
        for engine, speed in zip(context.engines, speeds, strict=True):
            told = EngineSnapshot(
                engine.name, 1, order, [], 3, 0, 8, 0, ["m"], started_ms=1, speed=speed
            )
            context.fleet.apply_snapshot(told, NOW_S + order)
    context.now_s = NOW_S + 2
    context.last = context.engines[-1].name


@when('owners publish the speeds "{published}"')
def owners_publish(context, published):
    publish(context, [float(each) for each in published.split()])


@when('speeds are not learned, and owners publish the speeds "{published}"')
def not_learned(context, published):
    publish(context, [float(each) for each in published.split()], enabled=False)


@then("the last of these engines has the speed {speed:g}")
def has_speed(context, speed):
    found = context.fleet.endpoints[context.last].speed
    assert abs(found - speed) < 1e-9, found


@then("a relay forwards {speed:g}")
def relayed(context, speed):
    endpoint = context.fleet.endpoints[context.last]
    assert context.fleet.build_snapshot(endpoint, context.now_s).speed == speed


@when("the engine starts again")
def starts_again(context):
    assert context.fleet.restarted(EndpointStart(context.last, 2), context.now_s)


@when("its owner sends no update for {s:g} s")
def owner_silent(context, s):
    engines = context.fleet.reachable("llm", context.now_s + s)
    context.fleet.estimate_load(engines, 9, False, context.now_s + s)


@when("its owner publishes it as unknown")
def published_unknown(context):
    changed = EngineDelta(context.last, 1, 3, [], [], 0, 0, 8, 0, ["m"], 1)
    assert context.fleet.apply_update(changed, context.now_s)


@when('settings hold "{text}" for learn_speeds')
def settings_hold(context, text):
    hold(context, f"[engines]\nlearn_speeds = {text}\n")


@when('settings hold "" for learn_speeds')
def settings_hold_none(context):
    hold(context, "")


def hold(context, text):
    try:
        context.settings = read_serving_settings("x.ini", SETTINGS + text)
    except CheckError as error:
        context.settings = None
        assert "learn_speeds" in str(error), error


@then("they are read as {value}")
def read_as(context, value):
    assert context.settings.get("engines", "learn_speeds") == value


@then("they are refused")
def refused(context):
    assert context.settings is None


@then(
    "a first event, a wait for a slot and the reading of a token "
    "take {times:g} times as long there"
)
def times_as_long(context, times):
    rates = LearnedRates()
    usual, slow = context.engines[0], context.engines[-1]
    for measure in (
        lambda each: rates.first_event_s(each, 1000, context.now_s),
        rates.slot_wait_s,
        rates.engine_token_s,
    ):
        for each in (usual, slow):
            each.others_calls = 20 if measure == rates.slot_wait_s else 0
        assert abs(measure(slow) / measure(usual) - times) < 1e-9, measure


@when("{calls:d} calls there take {times:g} times as long as forecast")
def calls_take(context, calls, times):
    context.rates = LearnedRates()
    context.before_s = context.rates.first_event_s(context.engines[0], 1000, NOW_S)
    for number in range(calls):
        tokens = 500 + 37 * number % 1500
        took_s = times * context.rates.first_event_s(context.engines[0], tokens, NOW_S)
        context.rates.record_first_event(
            context.engines[-1], tokens, 0, took_s, NOW_S + number
        )


@then("the first forecast of another engine differs by at most {percent:d}%")
def differs(context, percent):
    found_s = context.rates.first_event_s(context.engines[0], 1000, NOW_S)
    assert abs(found_s / context.before_s - 1) <= percent / 100, found_s


@given("engines of speeds 1.0, 1.0 and {speeds} that run 3 calls each")
def engines_of(context, speeds):
    publish(context, [1.0, 1.0, *(float(each) for each in speeds.split())])
    context.rates = LearnedRates()
    context.rates.set_accepted_gaps({"llm": 0.3})
    for number in range(40):
        engine = context.engines[0]
        context.rates.record_first_event(engine, 1460, 0, 0.12, NOW_S + number)
        context.rates.record_gap(engine, 0.05)
    for each in context.engines:
        each.slowness, each.owner = 1.0, "h1"


@when("a prompt of {tokens:d} tokens comes, and the usual engines are {others}")
def prompt_comes(context, tokens, others):
    if others == "far too full":
        for each in context.engines[:2]:
            each.others_calls = 24
    if others == "about to read 4000 tokens":
        for each in context.engines[:2]:
            each.others_unread_tokens = 4000
    ask = PlacementRequest(ModelRef("m"), None, "d1", frozenset(), tokens, 2.0)
    placement = LeastCostPlacement(context.rates)
    context.choice = placement.choose(ask, context.engines, context.now_s)


@then("it goes to the one of speed {speed:g}")
def goes_to(context, speed):
    assert context.choice.endpoint.speed == speed, context.choice.endpoint.speed
