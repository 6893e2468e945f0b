import contextlib
import io
import json
import os
import tempfile
import time
from pathlib import Path

import anyio
from behave import given, then, when

from knapweedbridge_cli.loss_dips import EndedCall, find_dips
from knapweedbridge_cli.main import run
from knapweedbridge_daemon.serving.decision_log import DecisionLog
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry


@given("a log whose output {fault}")
def faulty_output(context, fault):
    reading, writing = os.pipe()
    context.descriptors = [writing]
    if fault == "was closed":
        os.close(reading)
    else:
        context.descriptors.append(reading)
    context.log = DecisionLog("h1", "info", 1e9, writing)


@given("a log of {lines:d} lines a second of a kind")
def thinned(context, lines):
    context.file = tempfile.TemporaryFile()  # noqa: SIM115
    context.descriptors = []
    context.log = DecisionLog("h1", "info", lines, context.file.fileno())


def log_in_loop(context, work):
    async def story():
        context.log.open()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.log.run)
            await work()
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()
        context.log.close()

    anyio.run(story)
    for descriptor in context.descriptors:
        os.close(descriptor)


@when("{count:d} lines are logged")
def log_lines(context, count):
    async def work():
        longest_s = 0.0
        for number in range(count):
            began_s = time.monotonic()
            context.log.info("attempt.ended", request=f"r{number}", text="x" * 50)
            longest_s = max(longest_s, time.monotonic() - began_s)
            if number % 500 == 0:
                await anyio.sleep(0)
        context.longest_s = longest_s

    log_in_loop(context, work)


@then("no write waited, and lost lines were counted")
def nothing_waited(context):
    assert context.longest_s < 0.5, context.longest_s
    assert sum(context.log.dropped.values()) > 1000, context.log.dropped


@when("{many:d} lines of one kind and {few:d} of another are logged")
def log_two_kinds(context, many, few):
    async def work():
        for _ in range(many):
            context.log.info("request.ended", request="r")
        for _ in range(few):
            context.log.error("store.lost", error="e")

    log_in_loop(context, work)


@then("{written:d} lines are written, and {lost:d} counted as lost")
def lines_written(context, written, lost):
    context.file.seek(0)
    lines = [json.loads(line) for line in context.file.read().splitlines()]
    assert len(lines) == written, lines
    assert context.log.dropped == {"request.ended": lost}, context.log.dropped
    assert {line["host"] for line in lines} == {"h1"}


@when("calls, attempts and durations were measured")
def measured(context):
    metrics = MetricsRegistry()
    for kind in ("answered", "answered", "overloaded"):
        metrics.count("requests", kind)
    metrics.count("attempts", "broken")
    metrics.time("request_seconds", 0.03)
    metrics.time("request_seconds", 99.0)
    metrics.gauges["daemons"] = 3
    context.page = metrics.render().decode()


@then("the page holds each counter and histogram once")
def page_holds(context):
    wanted = [
        'knapweedbridge_requests_total{kind="answered"} 2.0',
        'knapweedbridge_requests_total{kind="overloaded"} 1.0',
        'knapweedbridge_attempts_total{kind="broken"} 1.0',
        'knapweedbridge_request_seconds_bucket{le="0.05"} 1.0',
        'knapweedbridge_request_seconds_bucket{le="+Inf"} 2.0',
        "knapweedbridge_daemons 3.0",
    ]
    lines = context.page.splitlines()
    assert all(lines.count(line) == 1 for line in wanted), context.page


LINES = {
    "h1": [
        ("adapter.wanted", 10.0, {"request": "c1", "engine": "e1"}),
        ("request.ended", 11.0, {"request": "c1", "outcome": "no_place"}),
        ("request.ended", 11.0, {"request": "c2", "outcome": "answered"}),
    ],
    "h2": [
        ("engine.stuck", 10.5, {"engine": "e1", "wants": 9}),
        ("engine.stuck", 10.5, {"engine": "other-engine", "wants": 1}),
    ],
}


@given("logs of two hosts with a call that waited for an engine")
def two_logs(context):
    context.folder = Path(tempfile.mkdtemp())
    for host, lines in LINES.items():
        rows = ["no line of ours"]
        rows += [
            json.dumps({"message_type": kind, "host": host, "time_s": at_s, **fields})
            for kind, at_s, fields in lines
        ]
        (context.folder / f"{host}.log").write_text("\n".join(rows))


@when('the command explains "{call}"')
def explain(context, call):
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        context.code = run(["explain", call, "--logs", str(context.folder)])
    context.output = output.getvalue()


@then('it ends with {code:d} and shows "{shown}"')
def shows(context, code, shown):
    assert context.code == code, context.output
    if shown.startswith("not "):
        assert shown[4:] not in context.output, context.output
    else:
        assert shown in context.output, context.output


@given("logs of calls in time, late by a first event, by a pause, and refused")
def loss_logs(context):
    context.folder = Path(tempfile.mkdtemp())
    ends = [
        ("answered", 0.1, 0.0),
        ("answered", 0.9, 0.0),
        ("answered", 0.1, 0.4),
        ("overloaded", None, 0.0),
    ]
    lines = [
        {
            "message_type": "request.ended",
            "time_s": 100.0 + number,
            "route": "draft",
            "outcome": outcome,
            "first_s": first_s,
            "pause_s": pause_s,
        }
        for number, (outcome, first_s, pause_s) in enumerate(ends)
    ]
    text = "".join("host-1 " + json.dumps(line) + "\n" for line in lines)
    (context.folder / "host-1.log").write_text(text)


@when('the command counts the losses with "{options}"')
def count_losses_with(context, options):
    logs = context.folder / options if options == "elsewhere" else context.folder
    logs.mkdir(exist_ok=True)
    more = [] if options == "elsewhere" else options.split()
    shown = io.StringIO()
    with contextlib.redirect_stdout(shown), contextlib.redirect_stderr(shown):
        context.code = run(["losses", "--logs", str(logs), *more])
    context.output = shown.getvalue()


@when('the command counts the losses with ""')
def count_losses(context):
    count_losses_with(context, "")


CUT = {
    "all are cut": lambda n: True,
    "every second is cut": lambda n: n % 2 == 0,
    "none is cut": lambda n: False,
    "the first is cut": lambda n: n == 200,
}


@given("calls of 20 s, 20 a second, of which {what} from second 10 to {until:d}")
def calls_with_dip(context, what, until):
    context.calls = [
        EndedCall(
            n / 20, "cut" if 200 <= n < 20 * until and CUT[what](n) else "in time"
        )
        for n in range(400)
    ]


@when("dips are looked for")
def look_for_dips(context):
    context.dips = find_dips(context.calls, "in time")


@then("one lasts {seconds:g} s, with {calls:d} cut")
def one_dip(context, seconds, calls):
    (dip,) = context.dips
    assert (dip.from_s, dip.until_s) == (10.0, 10.0 + seconds), dip
    assert dip.reasons["cut"] == calls, dip
    assert dip.share_before == 1.0, dip


@then("there is none")
def no_dip(context):
    assert not context.dips, context.dips
