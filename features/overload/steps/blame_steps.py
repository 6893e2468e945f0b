from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as drawn
from hypothesis import strategies as st
from overload_scenarios import (
    BLAMES,
    Askers,
    make_pool,
    request_of,
    run_crashing,
)

from knapweedbridge_core import events
from knapweedbridge_core.suspects import SuspectTable, Verdict


@when('a request that crashes engines runs beside {count:d} others with "{suspects}"')
def crashing(context, count, suspects):
    context.found = run_crashing(BLAMES[suspects], innocents=count)


@then("{lost} endpoints were lost")
def lost(context, lost):
    if lost.startswith("more than "):
        assert context.found.endpoints_lost > int(lost[10:]), context.found
    else:
        assert context.found.endpoints_lost == int(lost), context.found


@then("{refused} innocent requests were refused")
def refused(context, refused):
    found = context.found
    if refused == "some":
        assert found.innocents_refused > 0, found
    else:
        assert found.innocents_refused == int(refused), found


@when("an engine with {count:d} innocent requests restarts {times:d} times")
def restarts(context, count, times):
    context.found = run_crashing(
        SuspectTable, innocents=count, crashing=False, restarts=times
    )


@then("all innocent requests got their answer")
def all_answered(context):
    found = context.found
    assert found.innocents_complete == found.innocents, found


@given("a pool of {daemons:d} daemons and {engines:d} engines")
def pool(context, daemons, engines):
    context.pool = make_pool(daemons, engines, crashing=frozenset({"crash"}))


@when("a request is sent")
def send(context):
    context.pool.ask("host-0", request_of(context.pool, "r1", fingerprint="f"))
    context.pool.clock.run(0.1)


@when("its stream breaks {times:d} times while the engine keeps running")
def break_streams(context, times):
    for _ in range(times):
        for engine in context.pool.engines.values():
            for attempt_id in list(engine.running):
                engine.break_stream(attempt_id)
        context.pool.clock.run(0.4)


@then("nothing is suspected")
def nothing_suspected(context):
    for bridge in context.pool.bridges.values():
        assert len(bridge.suspects) == 0, list(bridge.suspects.entries())


@given('"{fingerprint}" lost two endpoints')
def lost_two(context, fingerprint):
    askers = Askers(context.pool)
    askers.ask(fingerprint, 0)
    context.pool.clock.run(10.0)
    lost = sum(engine.losses for engine in context.pool.engines.values())
    assert lost == 2, lost


@when("a daemon loses its table, and its peers connect to it again")
def lose_table(context):
    bridge = context.pool.bridges["host-2"]
    bridge.suspects.clear("crash")
    for peer in ("host-0", "host-1"):
        context.pool.tell(peer, events.PeerConnected("host-2"))
    context.pool.clock.run(0.1)


def _outcome(pool, name, fingerprint):
    pool.on_finish = lambda name, outcome: None
    pool.ask("host-2", request_of(pool, name, fingerprint=fingerprint))
    pool.clock.run(0.5)
    return pool.finished.get(name)


@then('that daemon refuses "{fingerprint}" as "{reason}"')
def refuses(context, fingerprint, reason):
    outcome, _ = _outcome(context.pool, "again", fingerprint)
    assert type(outcome).__name__ == "NotRun", outcome
    assert outcome.reason == reason, outcome


@then("after {seconds:d} seconds it runs again")
def runs_again(context, seconds):
    before = context.pool.dispatches
    context.pool.clock.run(seconds)
    _outcome(context.pool, "later", "crash")
    assert context.pool.dispatches > before


@given("an empty table of suspects")
def table(context):
    context.suspects = SuspectTable()


@when(
    'losses of "{first}" and "{second}" are suspected for "{fingerprint}" '
    "and never proved"
)
def suspect_losses(context, first, second, fingerprint):
    context.suspects.suspect(fingerprint, "a.1", first, 100.0)
    context.suspects.suspect(fingerprint, "b.1", second, 100.0)


@then('the verdict on "{fingerprint}" is "{verdict}" at first')
def verdict_first(context, fingerprint, verdict):
    assert context.suspects.judge(fingerprint, 100.0) is Verdict(verdict)


@then('the verdict on "{fingerprint}" is "{verdict}" after {seconds:d} seconds')
def verdict_after(context, fingerprint, verdict, seconds):
    assert context.suspects.judge(fingerprint, 100.0 + seconds) is Verdict(verdict)


@when('{count:d} fingerprints are suspected after "{fingerprint}" lost two endpoints')
def many(context, count, fingerprint):
    suspect_losses(context, "e0", "e1", fingerprint)
    for loss_id in ("a.1", "b.1"):
        context.suspects.confirm(fingerprint, loss_id)
    for number in range(count):
        context.suspects.suspect(f"f{number}", f"a.{number}", "e0", 101.0)


@then("the table holds {count:d} entries")
def holds(context, count):
    assert len(context.suspects) == count


@then('the verdict on "{fingerprint}" is "{verdict}" at once')
def verdict_now(context, fingerprint, verdict):
    verdict_first(context, fingerprint, verdict)


@when("{runs:d} runs with a crashing request and seeded restarts are fuzzed")
def fuzz(context, runs):
    context.runs = []

    @settings(
        max_examples=runs,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate],
    )
    @drawn(st.integers(0, 10**6), st.integers(0, 30), st.integers(2, 6))
    def run(seed, innocents, engines):
        context.runs.append(
            run_crashing(SuspectTable, innocents=innocents, engines=engines, seed=seed)
        )

    run()


@then("no run lost more than {count:d} endpoints to it")
def no_run_lost(context, count):
    for found in context.runs:
        assert found.endpoints_lost <= count, found
        assert found.innocents_refused == 0, found
