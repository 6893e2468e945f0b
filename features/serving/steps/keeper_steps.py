from behave import given, then, when
from decision_values import NOW_S, adapter

from knapweedbridge_core.serving import (
    BaseModel,
    EngineController,
    EngineLimits,
    EngineReport,
    ModelRef,
    OrderAnswer,
    OrderKind,
)


def limits(places):
    models = {"m": BaseModel("m", 100.0, 2.9)}
    return EngineLimits(64, 100_000, places, 120.0, 3.0, models)


def keeper_with(places, held, now_s=NOW_S, used_s=None):
    keeper = EngineController(limits(places), used_s)
    adapters = {adapter(name): 0 for name in held}
    keeper.apply_report(EngineReport(0, ("m",), adapters, {}), now_s)
    return keeper


@given("an owned engine with {places:d} places")
def owned(context, places):
    context.keeper = keeper_with(places, [])


@given("an owned engine with 2 places, both in use")
def both_in_use(context):
    context.keeper = keeper_with(2, ["a1", "a2"])
    calls = {adapter("a1"): 1, adapter("a2"): 1}
    context.keeper.record_calls("d", calls, 0, NOW_S)


@when("a third adapter is wanted")
def third_wanted(context):
    context.keeper.request_adapter(adapter("a3"), 0, NOW_S + 0.1)


@then("nothing is ordered")
def nothing_ordered(context):
    assert context.keeper.next_order(NOW_S + 0.2) is None


@then("when the calls of one end, that one is unloaded and the third loaded")
def unloaded_then_loaded(context):
    keeper = context.keeper
    keeper.record_calls("d", {adapter("a2"): 1}, 0, NOW_S + 0.2)
    order = keeper.next_order(NOW_S + 0.3)
    assert (order.kind, order.model) == (OrderKind.UNLOAD, adapter("a1")), order
    keeper.answered(order, OrderAnswer.DONE, NOW_S + 0.3)
    order = keeper.next_order(NOW_S + 0.3)
    assert (order.kind, order.model) == (OrderKind.LOAD, adapter("a3")), order


@given("an owned engine with 3 places, both of two in use and one leaving")
def one_leaving(context):
    keeper = keeper_with(3, ["a1", "a2", "a3"])
    keeper.record_calls("d", {adapter("a1"): 1, adapter("a2"): 1}, 0, NOW_S)
    keeper.request_adapter(adapter("a4"), 0, NOW_S + 0.1)
    order = keeper.next_order(NOW_S + 0.1)
    keeper.answered(order, OrderAnswer.STARTED, NOW_S + 0.1)
    assert keeper.needs_report
    context.keeper = keeper


@when("a free place comes by a report")
def place_by_report(context):
    adapters = {adapter(name): 0 for name in ("a1", "a2")}
    context.keeper.apply_report(EngineReport(1, ("m",), adapters, {}), NOW_S + 0.5)


@then("the wanted adapter is loaded")
def wanted_loaded(context):
    order = context.keeper.next_order(NOW_S + 0.5)
    assert (order.kind, order.model) == (OrderKind.LOAD, adapter("a4")), order


@when('an order for "m/a1" gets no answer')
def order_unanswered(context):
    context.keeper.request_adapter(adapter("a1"), 0, NOW_S)
    context.order = context.keeper.next_order(NOW_S)
    context.keeper.answered(context.order, OrderAnswer.UNKNOWN, NOW_S + 0.1)


@then("the next order follows with the same sequence")
def next_same_sequence(context):
    following = context.keeper.next_order(NOW_S + 0.1)
    assert following is not None
    assert following.sequence == context.order.sequence


@when('"m/a1" is loaded and a call is refused just after the expected end')
def refused_after_end(context):
    keeper = context.keeper
    keeper.request_adapter(adapter("a1"), 0, NOW_S)
    keeper.answered(keeper.next_order(NOW_S), OrderAnswer.STARTED, NOW_S)
    context.end_s = keeper.places[adapter("a1")].ready_s
    keeper.missed(adapter("a1"), context.end_s + 0.001)


@then("its expected end is put off")
def end_put_off(context):
    assert context.keeper.places[adapter("a1")].ready_s > context.end_s
    assert not context.keeper.needs_report


@given('a successor\'s engine with 3 places, "m/hot" used last')
def successor(context):
    used_s = {adapter("hot"): NOW_S - 0.2, adapter("a1"): 90.0, adapter("z"): 95.0}
    context.keeper = keeper_with(3, ["hot", "a1", "z"], NOW_S, used_s)


@when("a fourth adapter is wanted")
def fourth_wanted(context):
    context.keeper.request_adapter(adapter("a4"), 0, NOW_S)
    context.order = context.keeper.next_order(NOW_S)


@then('another than "m/hot" is unloaded')
def another_unloaded(context):
    assert context.order.kind is OrderKind.UNLOAD
    assert context.order.model == adapter("a1"), context.order


@given("an owned engine with 1 place, in use by a daemon that falls silent")
def silent_daemon(context):
    context.keeper = keeper_with(1, ["a1"])
    context.keeper.record_calls("d", {adapter("a1"): 2}, 0, NOW_S)


@when("another adapter is wanted 3 s later")
def wanted_later(context):
    context.keeper.request_adapter(adapter("a2"), 0, NOW_S + 3)
    context.keeper.forget_silent(NOW_S + 3)


@then("the place is given away")
def given_away(context):
    order = context.keeper.next_order(NOW_S + 3)
    assert (order.kind, order.model) == (OrderKind.UNLOAD, adapter("a1")), order


@given("an owned engine that started empty")
def started_empty(context):
    context.keeper = EngineController(limits(2))
    context.keeper.apply_report(EngineReport(0, (), {}, {}), NOW_S)


@then("its base is ordered once, and reports are asked for until it is there")
def base_ordered_once(context):
    keeper = context.keeper
    order = keeper.next_order(NOW_S)
    assert order.model == ModelRef("m"), order
    keeper.answered(order, OrderAnswer.STARTED, NOW_S)
    for second in (1, 2, 3):
        assert keeper.needs_report
        keeper.apply_report(EngineReport(1, (), {}, {}, busy=True), NOW_S + second)
        assert keeper.next_order(NOW_S + second) is None
    keeper.apply_report(EngineReport(1, ("m",), {}, {}), NOW_S + 4)
    assert not keeper.needs_report


@then("then adapters are loaded")
def then_adapters(context):
    context.keeper.request_adapter(adapter("a1"), 0, NOW_S + 4)
    order = context.keeper.next_order(NOW_S + 4)
    assert order.model == adapter("a1"), order


@when("an unload is answered as done, and the engine did not count it")
def uncounted_unload(context):
    keeper = context.keeper = keeper_with(1, ["a1"])
    keeper.request_adapter(adapter("a2"), 0, NOW_S + 0.1)
    order = keeper.next_order(NOW_S + 0.1)
    assert order.kind is OrderKind.UNLOAD, order
    keeper.answered(order, OrderAnswer.DONE, NOW_S + 0.1)
    order = keeper.next_order(NOW_S + 0.1)
    keeper.answered(order, OrderAnswer.CONFLICT, NOW_S + 0.1)


@then("a report {after_s:g} s later is {effect}")
def report_later(context, after_s, effect):
    now_s = NOW_S + 0.1 + after_s
    context.keeper.request_adapter(adapter("a2"), 0, now_s)
    context.keeper.apply_report(EngineReport(0, ("m",), {}, {}), now_s)
    order = context.keeper.next_order(now_s)
    if effect == "ignored":
        assert order is None, order
    else:
        assert (order.kind, order.sequence) == (OrderKind.LOAD, 0), order
