import json
import tempfile
from pathlib import Path

from behave import then, when
from eliot import add_destinations, log_message, remove_destination

from knapweedbridge_core.timeline import EventFilter, Timeline
from knapweedbridge_daemon.errors import LocalFileError
from knapweedbridge_daemon.logs import Log, logging_to, request_of, task_id
from knapweedbridge_daemon.metrics import Metrics
from knapweedbridge_daemon.observer import Observer, Timers


@then("the log holds lines of")
def log_holds(context):
    kinds = {line["message_type"] for line in context.log_lines}
    wanted = {row["kind"] for row in context.table}
    assert wanted <= kinds, wanted - kinds


@then("no log line is of a request")
def no_request(context):
    found = [line for line in context.log_lines if request_of(line)]
    assert not found, found[:3]


@when('the events "{first}", "{second}" and "{third}" are taken at level "{level}"')
def taken_at_level(context, first, second, third, level):
    context.lines = []
    write = context.lines.append
    add_destinations(write)
    observer = Observer(Timeline("host-0", 10), Metrics(""), level)
    for kind in (first, second, third):
        observer.take(kind, {"attempt": "r.1"} if kind.startswith("grant") else {})
    remove_destination(write)


@then('the written lines are "{lines}"')
def written_lines(context, lines):
    assert ", ".join(line["message_type"] for line in context.lines) == lines


@when('two hosts log events of attempt "{attempt}" at level "{level}"')
def two_hosts_log(context, attempt, level):
    context.lines = []
    write = context.lines.append
    add_destinations(write)
    for host in ("host-0", "host-1"):
        Log(host, level).write("grant.given", {"attempt": attempt})
    remove_destination(write)
    context.attempt = attempt


@then('both lines carry the task "{task}"')
def carry_task(context, task):
    assert [line["task_uuid"] for line in context.lines] == [task, task]
    assert {line["host"] for line in context.lines} == {"host-0", "host-1"}


@then('an endpoint can continue the attempt as eliot task "{task}"')
def continue_task(context, task):
    assert task_id(context.attempt) == task


@when("the key-value service fails {fails:d} times and answers {answers:d} times")
def service_fails(context, fails, answers):
    context.observer = Observer(Timeline("host-0", 10), Metrics(""), "error")
    for answered in [False] * fails + [True] * answers:
        context.observer.note_platform("key_value", answered)


@then('the time line holds "{kinds}"')
def timeline_holds(context, kinds):
    found = context.observer.timeline.select(EventFilter())
    assert ", ".join(event.kind for event in found) == kinds


class Sent(Metrics):
    """Keeps what would be sent."""

    def __init__(self):
        super().__init__("")
        self.timers = []

    def time(self, name, seconds):
        self.timers.append(f"{name} {round(seconds * 1000)}")


@when('the events "{events}" pass, 10 ms apart')
def events_pass(context, events):
    context.sent = Sent()
    context.timers = Timers(context.sent)
    for place, kind in enumerate(events.split(", ")):
        fields = {"request": "r"}
        if kind.startswith("load."):
            fields = {"endpoint": "draft-0", "model": "refill@1"}
        context.timers.take(kind, fields, place * 0.01)


@then('the timers sent are "{timers}"')
def timers_sent(context, timers):
    assert ", ".join(context.sent.timers) == timers, context.sent.timers


@then('the timers sent are ""')
def no_timers_sent(context):
    assert context.sent.timers == []


@then("no request is kept by the timers")
def none_kept(context):
    assert not context.timers._requests and not context.timers._orders


@when("lines are sent to a file")
def lines_to_file(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_file = Path(folder.name) / "daemon.log"
    with logging_to(str(context.log_file)):
        log_message("peer.linked", peer="host-1")
    log_message("peer.linked", peer="host-2")


@then("the file holds them as JSON")
def file_holds(context):
    lines = [json.loads(line) for line in context.log_file.read_text().splitlines()]
    assert [line["peer"] for line in lines] == ["host-1"], lines


@then("a file that cannot be opened is a clear error")
def cannot_open(context):
    path = str(context.log_file / "below-a-file")
    try:
        with logging_to(path):
            raise AssertionError("it was opened")
    except LocalFileError as error:
        assert "Not a directory" in str(error), error
