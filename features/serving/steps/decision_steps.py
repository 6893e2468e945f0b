import math

from behave import given, then, when
from decision_values import NOW_S, adapter, make_route, record

from knapweedbridge_core.serving import (
    AttemptEnd,
    CallProgress,
    CrashLedger,
    EndpointStart,
    Fleet,
    LeastCostPlacement,
    LoadOn,
    NamedVersions,
    NoEngine,
    OrderAnswer,
    PlacementRequest,
    SendTo,
    ServableVersions,
    TooLate,
    WaitFor,
    fingerprint,
    loss_id,
    may_retry,
    parse_model,
)
from knapweedbridge_core.serving.endpoint import HeldAdapter
from knapweedbridge_core.serving.load_times import LoadTimes
from knapweedbridge_core.serving.messages import EngineSnapshot
from knapweedbridge_standins.serving_histories import HISTORIES

BOUND_S = 5.0


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


@given("{names} are in another data centre")
def are_far(context, names):
    for name in names.split(", "):
        engine(context, name).record = record(name, data_centre="d2")


@given('{names} hold "m/x" at version 1 with a call each')
def hold_version(context, names):
    for name in names.split(", "):
        hold(context, name, "m/x")


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
        engine(context, "a").record_result(True, NOW_S)


@given('b gets "m/x" in {seconds:g} s')
def b_gets(context, seconds):
    hold(context, "b", "m/x", ready_s=NOW_S + seconds)


@given('c held "m/x" lately')
def c_held(context):
    engine(context, "c").recent.add(parse_model("m/x"))


@given('c held "m/x" lately and its owner is silent')
def c_silent(context):
    c_held(context)
    engine(context, "c").record_owner_request(NOW_S - 1)


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
    keeper.request_adapter(adapter("a1"), 0, NOW_S)
    keeper.answered(keeper.next_order(NOW_S), OrderAnswer.STARTED, NOW_S)
    for waited_ms in range(250, int(s * 1000)):
        keeper.missed(adapter("a1"), NOW_S + waited_ms / 1000)


@then("the next load is taken to last {least:g} to {most:g} s")
def next_load(context, least, most):
    keeper, then_s = context.keeper, NOW_S + 1
    keeper.request_adapter(adapter("a2"), 0, then_s)
    keeper.answered(keeper.next_order(then_s), OrderAnswer.STARTED, then_s)
    took_s = keeper.places[adapter("a2")].ready_s - then_s
    assert least <= took_s <= most, took_s


@given('an engine whose owner told {ago:g} s ago that it holds "m/told"')
def owner_told(context, ago):
    context.fleet = Fleet()
    context.fleet.listed(record("e"), NOW_S - ago)
    held = [["m", "told", 1, 0.0, 0, 0.0]]
    told = EngineSnapshot("e", 7, 1, held, 0, 0, 3, 0, ["m"])
    assert context.fleet.apply_snapshot(told, NOW_S - ago)


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


def place(context, model, versions=None, max_wait_s=math.inf):
    ask = PlacementRequest(parse_model(model), versions, "d1", max_wait_s=max_wait_s)
    engines_now = context.fleet.reachable("llm", NOW_S)
    context.choice = LeastCostPlacement().choose(ask, engines_now, NOW_S)
    return context.choice


@when('a call for "{model}" is placed')
def placed(context, model):
    place(context, model)


@when('a call for "{model}" with {patience:g} s of patience is placed')
def placed_patiently(context, model, patience):
    place(context, model, max_wait_s=patience)


@when('a call for "m/x" is placed, of which {namings}')
def placed_at_version(context, namings):
    place_named(context, namings, math.inf)


@when('a call for "m/x" with {patience:g} s of patience is placed, of which {namings}')
def placed_patiently_at_version(context, patience, namings):
    place_named(context, namings, patience)


def place_named(context, namings, max_wait_s):
    named = NamedVersions()
    for naming in namings.split(" and "):
        version, ago_s = naming.replace(" was named", "").removesuffix(" s ago").split()
        named.take(int(version), NOW_S - float(ago_s))
    place(context, "m/x", ServableVersions(named, NOW_S, BOUND_S), max_wait_s)


@then("it is sent to version 1, and the newest is loaded on another engine")
def loaded_meanwhile(context):
    choice = context.choice
    assert isinstance(choice, SendTo) and choice.version == 1, choice
    assert choice.copy_to not in (None, choice.endpoint), choice


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


@then('{count:d} random histories of "{mechanism}" break nothing')
def histories_hold(context, count, mechanism):
    play = HISTORIES[mechanism]
    broken = [(seed, what) for seed in range(count) for what in play(seed)]
    assert not broken, broken[:5]


@when("a {kind} call with {most:d} attempts and {runs:d} runs ends as {end}")
def call_ends(context, kind, most, runs, end):
    progress = CallProgress({f"e{run}" for run in range(runs)}, sends=1)
    ended = AttemptEnd(end.replace(" ", "_"))
    context.again = may_retry(make_route(kind, most), progress, ended)


@then("it may be sent again: {again}")
def may_again(context, again):
    assert context.again == (again == "yes")


def mark_of(
    account="", sender="10.0.0.1", host="shop", method="GET", target="/look/1", body=""
):
    """Return the mark of a call."""
    return fingerprint(
        account, sender, host, method.encode(), target.encode(), body.encode()
    )


@when("a call comes again with another {part}: {value}")
def comes_again_with(context, part, value):
    context.is_same = mark_of() == mark_of(**{part: value})


@then("it is taken for the same call: {same}")
def taken_for_same(context, same):
    assert context.is_same == (same == "yes")


@when("a call of {size:d} bytes was lost with {losses:d} endpoints, {how}")
def lost_with(context, size, losses, how):
    ledger = context.ledger = CrashLedger()
    context.mark = mark_of(body="x" * size)
    at_s = NOW_S - 70 if "ago" in how else NOW_S - 1
    proof_s = 5.0 if "5 s later" in how else 7.0 if "7 s later" in how else 0.5
    for number in range(losses):
        lost_s = at_s + 2 * number
        start = EndpointStart(
            *("e", 1 + number) if "starts" in how else (f"e{number}", 0)
        )
        if number and "answered" in how:
            ledger.answered(context.mark)
        if "told" in how:
            ledger.told(context.mark, loss_id(start), lost_s)
        elif "before" in how:
            ledger.lost(start, lost_s)
            ledger.ended(context.mark, start, lost_s + 0.5)
        else:
            ledger.ended(context.mark, start, lost_s)
            if "lived" not in how:
                ledger.lost(start, lost_s + proof_s)


@when("a request by the addresses {story} is lost with an endpoint each")
def lost_by_addresses(context, story):
    context.ledger = CrashLedger()
    last = "a"
    for number, word in enumerate(story.split(", ")):
        if word.endswith("answered"):
            sender = "z" if "z" in word else last
            context.ledger.answered(mark_of(sender=sender))
            continue
        last, _, beside = word.partition(" beside ")
        at = number - 1 if beside else number
        context.ledger.told(mark_of(sender=last), f"e{at} 0", NOW_S + 2 * number)


@then("it is refused by address a: {by_a}, and by address z: {by_z}")
def refused_by(context, by_a, by_z):
    found = {
        sender: context.ledger.refused_for_s(mark_of(sender=sender), NOW_S + 9) > 0
        for sender in "az"
    }
    assert found == {"a": by_a == "yes", "z": by_z == "yes"}, found


@when("a call is lost with two endpoints, and with one more each time that it may run")
def lost_again(context):
    context.ledger, context.mark = CrashLedger(), mark_of()
    context.lost_s = []
    for now_s in range(86_400):
        if not context.ledger.refused_for_s(context.mark, now_s):
            start = EndpointStart(f"e{len(context.lost_s)}", 0)
            context.ledger.ended(context.mark, start, now_s)
            context.ledger.lost(start, now_s)
            context.lost_s.append(now_s)


@then(
    "{after:d} s after the second loss {lost:d} endpoints are lost, and it is refused"
)
def lost_by_then(context, after, lost):
    second_s = context.lost_s[1]
    found = [at_s for at_s in context.lost_s if at_s <= second_s + after]
    assert len(found) == lost, context.lost_s


@then("it is refused: {refused}, and another call: no")
def is_refused(context, refused):
    found = context.ledger.refused_for_s(context.mark, NOW_S + 2)
    assert (found > 0) == (refused == "yes"), found
    other = mark_of(body="y" * 100)
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
    ask = PlacementRequest(parse_model("m"), None, "d1", prompt_tokens=tokens)
    engines = context.fleet.of_service("llm", NOW_S)
    return LeastCostPlacement().choose(ask, engines, NOW_S)


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
