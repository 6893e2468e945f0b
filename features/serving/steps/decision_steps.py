import math

from behave import given, then, when

from knapweedbridge_core.serving import (
    AttemptEnd,
    BaseModel,
    Beliefs,
    CallKind,
    CallProgress,
    CrashLedger,
    DaemonRecord,
    Deployment,
    EndpointRecord,
    EngineKeeper,
    EngineLimits,
    EngineReport,
    Fleet,
    LeaseClock,
    LoadOn,
    ModelRef,
    NoEngine,
    OrderAnswer,
    OrderKind,
    OwnerRecord,
    PlacementAsk,
    PricedPlacement,
    RetryBudget,
    Route,
    SendTo,
    StoreOutage,
    TooLate,
    WaitFor,
    WeightedService,
    claim_due_s,
    claimants,
    fingerprint,
    hearers,
    is_small,
    may_claim,
    may_send_again,
    parse_model,
    ranked,
    relays,
)
from knapweedbridge_core.serving.beliefs import (
    DaemonNamed,
    DeploymentNamed,
    EndpointNamed,
    OwnerGone,
    OwnerNamed,
    VersionNamed,
)
from knapweedbridge_core.serving.endpoint import HeldAdapter
from knapweedbridge_core.serving.load_times import LoadTimes
from knapweedbridge_core.serving.messages import EngineTold
from knapweedbridge_standins.serving_histories import HISTORIES

NOW_S = 100.0


def record(name, **fields):
    values = {
        "service": "llm",
        "address": "127.0.0.1:1",
        "data_centre": "d1",
        "slots": 64,
        "leaving": False,
        "bases": ("m",),
    }
    return EndpointRecord(endpoint=name, **{**values, **fields})


@given('engines a, b and c that hold base "{base}"')
def engines(context, base):
    context.fleet = Fleet()
    for name in "abc":
        endpoint = context.fleet.listed(record(name, bases=(base,)), NOW_S)
        endpoint.owner, endpoint.places_free = "d", 5


def engine(context, name):
    return context.fleet.endpoints[name]


def hold(context, name, model, version=1, ready_s=NOW_S, users=1):
    held = HeldAdapter(version, ready_s, users)
    engine(context, name).held[parse_model(model)] = held


@given('b holds "m/x"')
def b_holds(context):
    hold(context, "b", "m/x")


@given('b holds "m/x" at version 1')
def b_holds_version(context):
    hold(context, "b", "m/x")


@given('a and b hold "m/x" and a has {tokens:d} unread')
def a_and_b_hold(context, tokens):
    hold(context, "a", "m/x")
    hold(context, "b", "m/x")
    engine(context, "a").own_unread_tokens = tokens


@given('a and b hold "m/x" and a fails all calls')
def a_fails(context):
    hold(context, "a", "m/x")
    hold(context, "b", "m/x")
    for _ in range(20):
        engine(context, "a").note_result(True, NOW_S)


@given('b gets "m/x" in {seconds:g} s')
def b_gets(context, seconds):
    hold(context, "b", "m/x", ready_s=NOW_S + seconds)


@given('c held "m/x" lately')
def c_held(context):
    engine(context, "c").recent.add(parse_model("m/x"))


@given('c held "m/x" lately and its owner is silent')
def c_silent(context):
    c_held(context)
    engine(context, "c").note_asked(NOW_S - 1)


@given('b holds "m/x" and b has {tokens:d} unread')
def b_busy(context, tokens):
    b_holds(context)
    engine(context, "b").others_unread_tokens = tokens


@given('b holds "m/x" and runs {calls:d} calls in {slots:d} slots')
def b_runs(context, calls, slots):
    b_holds(context)
    b = engine(context, "b")
    b.record = record("b", slots=slots)
    b.others_calls = calls


@then("with {engines:d} engines and {coming:d} loads on their way one takes {s:g} s")
def load_takes(context, engines, coming, s):
    found = LoadTimes().load_s(coming, engines)
    assert found == s, found


@when("a load is taken to be done and calls are refused until {s:g} s after its order")
def load_learnt(context, s):
    keeper = context.keeper
    keeper.want(adapter("a1"), 0, NOW_S)
    keeper.answered(keeper.next_order(NOW_S), OrderAnswer.STARTED, NOW_S)
    for waited_ms in range(250, int(s * 1000)):
        keeper.missed(adapter("a1"), NOW_S + waited_ms / 1000)


@then("the next load is taken to last {least:g} to {most:g} s")
def next_load(context, least, most):
    keeper, then_s = context.keeper, NOW_S + 1
    keeper.want(adapter("a2"), 0, then_s)
    keeper.answered(keeper.next_order(then_s), OrderAnswer.STARTED, then_s)
    took_s = keeper.places[adapter("a2")].ready_s - then_s
    assert least <= took_s <= most, took_s


@given('an engine whose owner told {ago:g} s ago that it holds "m/told"')
def owner_told(context, ago):
    context.fleet = Fleet()
    context.fleet.listed(record("e"), NOW_S - ago)
    held = [["m", "told", 1, 0.0, 0, 0.0]]
    told = EngineTold("e", 7, 1, held, 0, 0, 3, 0, ["m"])
    assert context.fleet.take_told(told, NOW_S - ago)


@when('the platform lists it with "m/listed"')
def listed_with(context):
    adapters = {parse_model("m/listed"): 1}
    context.fleet.listed(record("e", adapters=adapters), NOW_S)


@then('it is believed to hold "{model}"')
def believed_to_hold(context, model):
    held = context.fleet.endpoints["e"].held
    assert [str(each) for each in held] == [model], held


@given("no engine has an owner")
def no_owner(context):
    for name in "abc":
        engine(context, name).owner = ""


@given("all have {tokens:d} unread")
def all_unread(context, tokens):
    for name in "abc":
        engine(context, name).others_unread_tokens = tokens


def place(context, model, version=None, older=True, patience_s=math.inf):
    ask = PlacementAsk(parse_model(model), version, older, "d1", patience_s=patience_s)
    engines_now = context.fleet.reachable("llm", NOW_S)
    context.choice = PricedPlacement().choose(ask, engines_now, NOW_S)
    return context.choice


@when('a call for "{model}" is placed')
def placed(context, model):
    place(context, model)


@when('a call for "{model}" with {patience:g} s of patience is placed')
def placed_patiently(context, model, patience):
    place(context, model, patience_s=patience)


@when('a call for "m/x" at version 2 is placed, {older} older one may serve')
def placed_at_version(context, older):
    place(context, "m/x", 2, older == "an")


@then("it is sent to {name}")
def sent_to(context, name):
    name, _, version = name.partition(", version ")
    assert isinstance(context.choice, SendTo), context.choice
    assert context.choice.endpoint.name == name, context.choice
    if version:
        assert context.choice.version == int(version), context.choice


@then("it is awaited on {name}")
def awaited(context, name):
    assert isinstance(context.choice, WaitFor), context.choice
    assert context.choice.endpoint.name == name


@then("it is loaded on {names}")
def loaded_on(context, names):
    assert isinstance(context.choice, LoadOn), context.choice
    assert context.choice.endpoint.name in names.split(" or "), context.choice


@then("it is loaded elsewhere")
def loaded_elsewhere(context):
    loaded_on(context, "a or c")


@then("it is not placed")
def not_placed(context):
    assert isinstance(context.choice, NoEngine), context.choice


@then("it is refused as {seconds:g} s or more too late")
def too_late(context, seconds):
    assert isinstance(context.choice, TooLate), context.choice
    assert context.choice.over_s >= seconds, context.choice


@given('b holds "m/hot" with 6 users and "m/cold" with 1 user and has {n:d} unread')
def hot_and_cold(context, n):
    hold(context, "b", "m/hot", users=6)
    hold(context, "b", "m/cold", users=1)
    engine(context, "b").others_unread_tokens = n


@then('a call for "{model}" asks for {wanted} copy')
def asks_copy(context, model, wanted):
    choice = place(context, model)
    assert isinstance(choice, SendTo), choice
    assert (choice.copy_to is not None) == (wanted == "a"), choice


def limits(places):
    models = {"m": BaseModel("m", 100.0, 2.9)}
    return EngineLimits(64, 100_000, places, 120.0, 3.0, models)


def adapter(name):
    return ModelRef("m", name)


@then('{count:d} random histories of "{mechanism}" break nothing')
def histories_hold(context, count, mechanism):
    play = HISTORIES[mechanism]
    broken = [(seed, what) for seed in range(count) for what in play(seed)]
    assert not broken, broken[:5]


def keeper_with(places, held, now_s=NOW_S, used_s=None):
    keeper = EngineKeeper(limits(places), used_s)
    adapters = {adapter(name): 0 for name in held}
    keeper.reported(EngineReport(0, ("m",), adapters, {}), now_s)
    return keeper


@given("an owned engine with {places:d} places")
def owned(context, places):
    context.keeper = keeper_with(places, [])


@given("an owned engine with 2 places, both in use")
def both_in_use(context):
    context.keeper = keeper_with(2, ["a1", "a2"])
    calls = {adapter("a1"): 1, adapter("a2"): 1}
    context.keeper.calls_running("d", calls, 0, NOW_S)


@when("a third adapter is wanted")
def third_wanted(context):
    context.keeper.want(adapter("a3"), 0, NOW_S + 0.1)


@then("nothing is ordered")
def nothing_ordered(context):
    assert context.keeper.next_order(NOW_S + 0.2) is None


@then("when the calls of one end, that one is unloaded and the third loaded")
def unloaded_then_loaded(context):
    keeper = context.keeper
    keeper.calls_running("d", {adapter("a2"): 1}, 0, NOW_S + 0.2)
    order = keeper.next_order(NOW_S + 0.3)
    assert (order.kind, order.model) == (OrderKind.UNLOAD, adapter("a1")), order
    keeper.answered(order, OrderAnswer.DONE, NOW_S + 0.3)
    order = keeper.next_order(NOW_S + 0.3)
    assert (order.kind, order.model) == (OrderKind.LOAD, adapter("a3")), order


@given("an owned engine with 3 places, both of two in use and one leaving")
def one_leaving(context):
    keeper = keeper_with(3, ["a1", "a2", "a3"])
    keeper.calls_running("d", {adapter("a1"): 1, adapter("a2"): 1}, 0, NOW_S)
    keeper.want(adapter("a4"), 0, NOW_S + 0.1)
    order = keeper.next_order(NOW_S + 0.1)
    keeper.answered(order, OrderAnswer.STARTED, NOW_S + 0.1)
    assert keeper.needs_report
    context.keeper = keeper


@when("a free place comes by a report")
def place_by_report(context):
    adapters = {adapter(name): 0 for name in ("a1", "a2")}
    context.keeper.reported(EngineReport(1, ("m",), adapters, {}), NOW_S + 0.5)


@then("the wanted adapter is loaded")
def wanted_loaded(context):
    order = context.keeper.next_order(NOW_S + 0.5)
    assert (order.kind, order.model) == (OrderKind.LOAD, adapter("a4")), order


@when('an order for "m/a1" gets no answer')
def order_unanswered(context):
    context.keeper.want(adapter("a1"), 0, NOW_S)
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
    keeper.want(adapter("a1"), 0, NOW_S)
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
    context.keeper.want(adapter("a4"), 0, NOW_S)
    context.order = context.keeper.next_order(NOW_S)


@then('another than "m/hot" is unloaded')
def another_unloaded(context):
    assert context.order.kind is OrderKind.UNLOAD
    assert context.order.model == adapter("a1"), context.order


@given("an owned engine with 1 place, in use by a daemon that falls silent")
def silent_daemon(context):
    context.keeper = keeper_with(1, ["a1"])
    context.keeper.calls_running("d", {adapter("a1"): 2}, 0, NOW_S)


@when("another adapter is wanted 3 s later")
def wanted_later(context):
    context.keeper.want(adapter("a2"), 0, NOW_S + 3)
    context.keeper.forget_silent(NOW_S + 3)


@then("the place is given away")
def given_away(context):
    order = context.keeper.next_order(NOW_S + 3)
    assert (order.kind, order.model) == (OrderKind.UNLOAD, adapter("a1")), order


@given("an owned engine that started empty")
def started_empty(context):
    context.keeper = EngineKeeper(limits(2))
    context.keeper.reported(EngineReport(0, (), {}, {}), NOW_S)


@then("its base is ordered once, and reports are asked for until it is there")
def base_ordered_once(context):
    keeper = context.keeper
    order = keeper.next_order(NOW_S)
    assert order.model == ModelRef("m"), order
    keeper.answered(order, OrderAnswer.STARTED, NOW_S)
    for second in (1, 2, 3):
        assert keeper.needs_report
        keeper.reported(EngineReport(1, (), {}, {}, busy=True), NOW_S + second)
        assert keeper.next_order(NOW_S + second) is None
    keeper.reported(EngineReport(1, ("m",), {}, {}), NOW_S + 4)
    assert not keeper.needs_report


@then("then adapters are loaded")
def then_adapters(context):
    context.keeper.want(adapter("a1"), 0, NOW_S + 4)
    order = context.keeper.next_order(NOW_S + 4)
    assert order.model == adapter("a1"), order


@when("{daemons:d} daemons with {requests:d} requests each repeat all they may")
def repeat_all(context, daemons, requests):
    context.repeats = 0
    for _ in range(daemons):
        budget = RetryBudget(0.2, 54, 10)
        for _ in range(requests):
            budget.note_request("s", NOW_S)
        while budget.spend("s", daemons, NOW_S):
            context.repeats += 1


@then("at most {most:d} repeats are sent in all")
def at_most_repeats(context, most):
    assert most / 2 < context.repeats <= most, context.repeats


KINDS = {
    "idempotent": (CallKind.IDEMPOTENT, False),
    "non-idempotent": (CallKind.NON_IDEMPOTENT, False),
    "resumable": (CallKind.STREAM, True),
    "unresumable": (CallKind.STREAM, False),
}


def make_route(kind="idempotent", most=2, **fields):
    call_kind, resumable = KINDS[kind]
    values = {
        "name": "r",
        "host": "h",
        "path_prefix": "/",
        "services": (WeightedService("s", 1),),
        "timeout_s": 5.0,
        "objective_s": 0.5,
    }
    return Route(
        kind=call_kind,
        resumable=resumable,
        max_attempts=most,
        **{**values, **fields},
    )


@when("a {kind} call with {most:d} attempts and {runs:d} runs ends as {end}")
def call_ends(context, kind, most, runs, end):
    progress = CallProgress({f"e{run}" for run in range(runs)}, sends=1)
    ended = AttemptEnd(end.replace(" ", "_"))
    context.again = may_send_again(make_route(kind, most), progress, ended)


@then("it may be sent again: {again}")
def may_again(context, again):
    assert context.again == (again == "yes")


@given("daemons near1 and near2 in the engine's data centre, and far1 elsewhere")
def three_daemons(context):
    context.daemons = [
        DaemonRecord("far1", 1, "a", "d2"),
        DaemonRecord("near1", 1, "a", "d1"),
        DaemonRecord("near2", 1, "a", "d1"),
        DaemonRecord("near3", 1, "a", "d1", draining=True),
    ]


@when("{passed:g} s have passed since its record lapsed")
def have_passed(context, passed):
    context.order = claimants("e1", "d1", context.daemons)
    dues = {
        daemon.name: claim_due_s(daemon.name, context.order, NOW_S)
        for daemon in context.daemons
    }
    context.able = [
        name for name, due in dues.items() if due is not None and due <= NOW_S + passed
    ]
    claiming = [
        daemon.name
        for daemon in context.daemons
        if may_claim(daemon, "e1", "d1", context.daemons, passed)
    ]
    assert sorted(claiming) == sorted(context.able), claiming


@then("{count:d} daemons may claim it, the nearest first")
def claim_in_order(context, count):
    assert sorted(context.able) == sorted(context.order[:count]), context.able
    assert context.order[-1] == "far1", context.order


@given("host h1 at start 5 owned engine e1")
def owned_before(context):
    beliefs = context.beliefs = Beliefs()
    beliefs.take(DaemonNamed(DaemonRecord("h1", 5, "a", "d1")), NOW_S)
    beliefs.take(OwnerNamed("e1", OwnerRecord("h1", 5, 40)), NOW_S)


CHANGES = {
    "nothing changes": [],
    "the record goes": [OwnerGone("e1")],
    "the record is handed over": [OwnerNamed("e1", OwnerRecord("", 5, 50))],
    "h1 is listed at start 6": [DaemonNamed(DaemonRecord("h1", 6, "a", "d1"))],
}


@when("of the owner, {changes}")
def beliefs_change(context, changes):
    for change in changes.split(" and "):
        for belief in CHANGES[change]:
            context.beliefs.take(belief, NOW_S)


@then("e1 is ownerless: {free}, and may still be ordered by h1: {may}")
def is_ownerless(context, free, may):
    assert context.beliefs.is_ownerless("e1") == (free == "yes")
    assert bool(context.beliefs.silent_predecessor("e1")) == (may == "yes")


@when("a lease of {ttl:g} s was renewed {ago:g} s ago")
def renewed(context, ttl, ago):
    clock = LeaseClock()
    clock.renewed(NOW_S - ago, ttl)
    context.may = clock.may_order(NOW_S)


@then("the owner may order: {may}")
def owner_may(context, may):
    assert context.may == (may == "yes")


BELIEFS = {
    "a configuration": lambda n: DeploymentNamed(Deployment(n, (), {})),
    "an adapter's version": lambda n: VersionNamed(ModelRef("m", "x"), n),
    "an owner's record": lambda n: OwnerNamed("e", OwnerRecord(f"d{n}", 1, n)),
}


@when("{what} at 5 is followed by 4")
def followed(context, what):
    beliefs = context.beliefs = Beliefs()
    for number in (5, 4):
        beliefs.take(BELIEFS[what](number), NOW_S)


@then("5 is believed")
def five_believed(context):
    beliefs = context.beliefs
    found = [
        beliefs.deployment and beliefs.deployment.version,
        beliefs.wanted_version(ModelRef("m", "x")),
        "e" in beliefs.owners and beliefs.owners["e"].number,
    ]
    assert [value for value in found if value] == [5], found


@given("a listed endpoint")
def listed(context):
    context.beliefs = Beliefs()
    context.beliefs.take(EndpointNamed(record("e1")), NOW_S)


@when("its entry goes {when}")
def entry_goes(context, when):
    outage = StoreOutage(3.0)
    if when != "while the store is well":
        outage.failed(NOW_S - float(when.split()[0]))
    context.beliefs.fleet.unlisted("e1", NOW_S, outage.lapsed_until_s)


@then("it is used for {seconds:g} s")
def used_for(context, seconds):
    fleet = context.beliefs.fleet
    last_s = NOW_S + seconds
    assert bool(fleet.of_service("llm", last_s - 0.01)) == (seconds > 0)
    assert not fleet.of_service("llm", last_s)
    assert fleet.forget_unlisted(last_s) == (["e1"] if seconds else [])


@given('routes "one.example" "/a/" and "/a/b/", and "two.example" "/"')
def three_routes(context):
    routes = (
        make_route(name="a", host="one.example", path_prefix="/a/"),
        make_route(name="ab", host="one.example", path_prefix="/a/b/"),
        make_route(name="all", host="two.example", path_prefix="/"),
    )
    context.deployment = Deployment(1, routes, {})


@then('"{host}" "{path}" takes route "{name}"')
def takes_route(context, host, path, name):
    route = context.deployment.match(host, path)
    assert (route.name if route else "none") == name, route


@given("{count:d} daemons in 3 data centres")
def many_daemons(context, count):
    context.daemons = [DaemonRecord(f"h{n}", 1, "a", f"d{n % 3}") for n in range(count)]


@then("{count:d} of a data centre's watch the store")
def watching(context, count):
    own = [each.name for each in context.daemons if each.data_centre == "d1"]
    names = own if is_small(context.daemons) else relays(ranked(context.daemons))["d1"]
    assert len([name for name in names if name in own]) == count, names


@then("{count:d} are handed what those hear, each by one of them")
def hearing(context, count):
    names = [] if is_small(context.daemons) else relays(ranked(context.daemons))["d1"]
    told = [
        daemon
        for relay in names
        for daemon in hearers(context.daemons, "d1", relay, names)
    ]
    assert len(told) == len(set(told)) == count, told
    assert not set(told) & set(names), told


@when("a call of {size:d} bytes was lost with {losses:d} endpoints, {how}")
def lost_with(context, size, losses, how):
    ledger = context.ledger = CrashLedger()
    context.mark = fingerprint(b"/draft/1", b"x" * size)
    at_s = NOW_S - 70 if "ago" in how else NOW_S - 1
    for number in range(losses):
        name = f"e{number}"
        if "told" in how:
            ledger.told(context.mark, name, at_s + 2 * number)
            continue
        ledger.broke(context.mark, name, at_s + 2 * number)
        if "lived" not in how:
            ledger.lost(name, at_s + 2 * number + 0.5)


@then("it is refused: {refused}, and another call: no")
def is_refused(context, refused):
    found = context.ledger.refused_for_s(context.mark, NOW_S + 2)
    assert (found > 0) == (refused == "yes"), found
    other = fingerprint(b"/draft/1", b"y" * 100)
    assert context.ledger.refused_for_s(other, NOW_S + 2) == 0


@given(
    "a runs 40 calls, b runs 5 and c runs 30, and prompts of 6000 tokens pause streams"
)
def calls_run(context):
    for name, calls in (("a", 40), ("b", 5), ("c", 30)):
        engine = context.fleet.endpoints[name]
        engine.others_calls, engine.heard_s = calls, NOW_S
        engine.pace_tokens = 6000
    context.fleet.endpoints["b"].long_prompts_per_s = 0.5


def placed(context, tokens):
    ask = PlacementAsk(parse_model("m"), None, True, "d1", prompt_tokens=tokens)
    engines = context.fleet.of_service("llm", NOW_S)
    return PricedPlacement().choose(ask, engines, NOW_S)


@when('a call for "m" with {tokens:d} tokens is placed')
def place_tokens(context, tokens):
    context.choice = placed(context, tokens)


@then(
    "a call with {tokens:d} tokens goes to c, where no long "
    "prompts go, rather than to b"
)
def short_to_c(context, tokens):
    choice = placed(context, tokens)
    assert isinstance(choice, SendTo) and choice.endpoint.name == "c", choice
