from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_daemon.serving.callers_app import CallersApp
from knapweedbridge_daemon.serving.host import ServingHost
from knapweedbridge_standins.virtual_loop import run_virtually

CALL_S = 6.0


@given("a daemon with a grace period of {grace:g} s whose hand-over takes {took:g} s")
def stopping_daemon(context, grace, took):
    context.grace_s, context.took_s = grace, took


@when("it is stopped, and {count:d} calls run for {runs:g} s")
def is_stopped(context, count, runs):
    log = SimpleNamespace(
        info=lambda kind, **fields: None, error=lambda kind, **fields: None
    )
    hub = SimpleNamespace(draining=False, ends_s=None, log=log)
    server = SimpleNamespace(closing=False, open_connections=0, close_idle=lambda: None)
    app = SimpleNamespace(running=count, end_calls=lambda: None)
    forwarding = SimpleNamespace(tunnels=0)
    daemon = ServingHost.__new__(ServingHost)
    daemon._settings = SimpleNamespace(get=lambda section, name: context.grace_s)
    context.rejected = {}

    async def hand_over():
        await anyio.sleep(context.took_s)

    async def end_calls():
        await anyio.sleep(runs)
        app.running = 0

    async def arrive(seconds):
        await anyio.sleep(seconds + 0.01)
        route = SimpleNamespace(timeout_s=CALL_S)
        asked = SimpleNamespace(_hub=hub)
        context.rejected[seconds] = CallersApp._ends_before(asked, route)

    async def story():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(end_calls)
            for seconds in (1, 3, 5):
                tasks.start_soon(arrive, seconds)
            lease = SimpleNamespace(hand_over=hand_over)
            began_s = anyio.current_time()
            await daemon._drain(hub, lease, server, app, forwarding)
            context.ended_s = anyio.current_time() - began_s
            await anyio.sleep(6)
            tasks.cancel_scope.cancel()

    run_virtually(story())


@then("a call of 6 s that arrives {seconds:d} s after the signal is {outcome}")
def call_is(context, seconds, outcome):
    assert context.rejected[seconds] == (outcome == "rejected"), context.rejected


@then("the daemon ends after {least:g} to {most:g} s")
def ends_after(context, least, most):
    assert least <= context.ended_s <= most, context.ended_s
