import random
from functools import cache

from behave import given, then, when

from knapweedbridge_core.serving import (
    EndpointRecord,
    Fleet,
    LearnedRates,
    LeastCostPlacement,
    LoadTimes,
    PromptTurn,
    WindowPacing,
)
from knapweedbridge_core.serving.load_times import TRIAL_PAUSE_S
from knapweedbridge_core.serving.prompt_pacing import HOLD_AFTER_PAUSE_S, LOOK_S
from knapweedbridge_standins.serving_load import SITES, play

NOW_S = 100.0
PLAYED_S = 8.0


@cache
def schools(load, paced):
    return [
        play(SITES["schools"], LeastCostPlacement(), load, PLAYED_S, seed, paced)
        for seed in (1, 2)
    ]


@when("schools' engines are simulated at {load:g} times their usual load")
def play_schools(context, load):
    context.paced, context.unpaced = schools(load, True), schools(load, False)


@then("at least {share:g} of their callers are answered in time")
def share_in_time(context, share):
    shares = [each.in_time_share for each in context.paced]
    assert sum(shares) / len(shares) >= share, shares


@then("at most {part:g} as many streams pause too long as where prompts are not paced")
def fewer_pause(context, part):
    paced = sum(each.paused for each in context.paced)
    unpaced = sum(each.paused for each in context.unpaced)
    assert paced <= part * unpaced, (paced, unpaced)


@when("a small pool is simulated at {load:g} times its usual load, paced and not")
def play_small(context, load):
    context.shares = [
        play(SITES["okavango"], LeastCostPlacement(), load, PLAYED_S, 1, paced)
        for paced in (True, False)
    ]


@then("at most {less:g} fewer of its callers are answered in time where it is paced")
def hardly_fewer(context, less):
    paced, unpaced = (each.in_time_share for each in context.shares)
    assert paced >= unpaced - less, (paced, unpaced)


@given(
    "engines that read 1000 tokens in {s:g} s, whose streams accept pauses of {gap:g} s"
)
def engines_that_read(context, s, gap):
    context.pacer = WindowPacing(gap, s / 1000)
    context.now_s = NOW_S


def send(context, tokens, parts=3):
    for _ in range(parts):
        context.pacer.sent(tokens // parts, context.now_s)


def paused(context, pause_s):
    send(context, 9000)
    context.now_s += pause_s
    context.pacer.record_pause(pause_s, context.now_s)
    context.now_s += 2.0


@when("{tokens:d} tokens were sent")
def tokens_sent(context, tokens):
    send(context, tokens)


@when("streams paused {pause:g} s and {tokens:d} were sent")
def paused_and_sent(context, pause, tokens):
    paused(context, pause)
    send(context, tokens)


@when("streams paused {pause:g} s while nothing was sent, then {tokens:d} were")
def paused_alone(context, pause, tokens):
    context.pacer.record_pause(pause, context.now_s)
    send(context, tokens)


@when("one prompt of {tokens:d} paused streams {pause:g} s")
def one_prompt(context, tokens, pause):
    send(context, tokens, parts=1)
    context.pacer.record_pause(pause, context.now_s + pause)


@when("streams paused {pause:g} s and nothing was sent")
def paused_only(context, pause):
    paused(context, pause)


@when("streams paused {pause:g} s and {tokens:d} a window go on")
def windows_go_on(context, pause, tokens):
    paused(context, pause)
    context.others = tokens


def waits_s(context, tokens):
    """Return how long a prompt waits for its turn, behind other prompts if any."""
    pacer, others = context.pacer, getattr(context, "others", 0)
    began_s = now_s = context.now_s
    if others:
        pacer.sent(others, now_s)
    pacer.ask(PromptTurn("h", 1, tokens, 1, now_s))
    while not pacer.due(now_s):
        next_s = pacer.next_s(now_s)
        assert next_s > now_s, (next_s, now_s)
        now_s = next_s
        if others:
            pacer.sent(others, now_s)
    return now_s - began_s


@then("a prompt of {tokens:d} tokens goes at once")
def goes_at_once(context, tokens):
    assert waits_s(context, tokens) == 0


@then("a prompt of {tokens:d} tokens goes within {longest:g} s")
def goes_within(context, tokens, longest):
    waited_s = waits_s(context, tokens)
    assert 0 < waited_s <= longest + 0.002, waited_s


@when(
    "streams paused {a:g} s, and later pauses of {b:g} s follow "
    "while the budget is used up"
)
def short_pauses(context, a, b):
    paused(context, a)
    context.first = context.pacer.budget_tokens
    context.seen = []
    for _ in range(int((HOLD_AFTER_PAUSE_S + 6) / LOOK_S)):
        send(context, int(context.pacer.budget_tokens))
        context.pacer.due(context.now_s)
        context.now_s += LOOK_S
        context.pacer.record_pause(b, context.now_s)
        context.seen.append((context.now_s, context.pacer.budget_tokens))


@then("the budget is the same for 20 s, and larger after that")
def steady_then_more(context):
    early = [
        tokens for at_s, tokens in context.seen if at_s < NOW_S + HOLD_AFTER_PAUSE_S
    ]
    assert set(early) == {context.first}, early
    assert context.seen[-1][1] > 1.5 * context.first, context.seen[-1]


@when("{count:d} prompts are sent without a turn, one each {s:g} s")
def sent_without_turns(context, count, s):
    for number in range(count):
        context.pacer.sent(500, NOW_S + number * s)


@then("only those of the last second are kept")
def only_last_second(context):
    kept = len(context.pacer._sent)
    assert kept <= 101, kept


@when("streams of another engine paused too long")
def another_engine(context):
    context.pacer.adopt_scales([0.0, 1.0])


@then("its budget applies here, until pauses here show another one")
def adopted(context):
    reading = 0.8 * context.pacer.gap_s / context.pacer.token_s
    assert context.pacer.budget_tokens == reading, context.pacer.budget_tokens
    assert context.pacer.measured_scale == 0
    paused(context, 0.3)
    assert context.pacer.measured_scale == 1.0
    context.pacer.adopt_scales([3.0])
    assert context.pacer.budget_tokens == reading, context.pacer.budget_tokens


def endpoint(fleet, name, slots=64):
    record = EndpointRecord(name, "llm", "127.0.0.1:1", "d1", slots, False, ("m",))
    found = fleet.listed(record, NOW_S)
    found.owner, found.places_free, found.heard_s = "d", 5, NOW_S
    return found


@given("engines whose first events take {base:g} s, and {token:g} ms a token")
def engines_whose(context, base, token):
    context.base_s, context.token_s = base, token / 1000
    context.rates, context.fleet = LearnedRates(), Fleet()
    context.engine = endpoint(context.fleet, "e1")
    context.luck = random.Random(7)


def takes_s(context, tokens, unread):
    return context.base_s + context.token_s * (tokens + 0.5 * unread)


def see(context, engine, now_s, times=1.0, late_s=0.0):
    tokens, unread = context.luck.randrange(100, 4000), context.luck.randrange(3000)
    took_s = times * takes_s(context, tokens, unread) + late_s
    context.rates.record_first_event(engine, tokens, unread, took_s, now_s)


@when("{calls:d} calls were seen, one in ten of them {stray}")
def calls_seen(context, calls, stray):
    for number in range(calls):
        late_s = 2.0 if number % 10 == 5 and "late" in stray else 0.0
        see(context, context.engine, NOW_S + number / 10, late_s=late_s)
    context.now_s = NOW_S + calls / 10 + 20


@then("first events are forecast within {error:g} s")
def forecast_within(context, error):
    for tokens, unread in ((100, 0), (1500, 0), (1500, 2000), (4000, 500)):
        context.engine.others_unread_tokens = unread
        found_s = context.rates.first_event_s(context.engine, tokens, context.now_s)
        real_s = takes_s(context, tokens, unread)
        if not unread or context.token_s < 1e-4:
            assert abs(found_s - real_s) <= error + 3e-5 * unread, (found_s, real_s)


@when("one of them turns {times:g} times as slow")
def turns_slow(context, times):
    other = endpoint(context.fleet, "e2")
    for number in range(40):
        see(context, other, NOW_S + number / 10)
    context.other, context.now_s = other, NOW_S + 4
    for number in range(6):
        see(context, context.engine, context.now_s + number / 10, times)


def ratio(context, at_s):
    slow_s = context.rates.first_event_s(context.engine, 600, at_s)
    return slow_s / context.rates.first_event_s(context.other, 600, at_s)


@then("after 6 calls it is forecast at least twice as slow as the others")
def distinguished(context):
    assert ratio(context, context.now_s + 0.6) >= 2, ratio(context, context.now_s + 0.6)


@then("{later:d} s later it is forecast like the others")
def like_others(context, later):
    found = ratio(context, context.now_s + later)
    assert found < 1.15, found


@given("a weight store that serves {at_once:d} loads at full speed")
def weight_store(context, at_once):
    context.times = LoadTimes()


@when("{n:d} loads at once are ordered again and again, and calls run on them in time")
def loads_ordered(context, n):
    for _ in range(5):
        plan = context.times.plan(n, 6, NOW_S)
        if plan.at_once:
            context.times.record_trial_success(plan.at_once)


@then("{n:d} loads at once are forecast to take {s:g} s")
def loads_forecast(context, n, s):
    assert abs(context.times.load_s(n, 6) - s) < 1e-9, context.times.load_s(n, 6)


@then("where it serves {at_once:d}, calls that come too soon end the trial for 3 s")
def trial_ends(context, at_once):
    times = LoadTimes()
    assert times.plan(14, 6, NOW_S).at_once > at_once
    times.record_trial_failure(NOW_S)
    assert times.plan(14, 6, NOW_S + TRIAL_PAUSE_S - 0.1).at_once == 0
    assert times.load_s(14, 6) == 0.25 * 14 / at_once
