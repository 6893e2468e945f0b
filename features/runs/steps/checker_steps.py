import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from knapweedbridge_standins import runs
from knapweedbridge_standins.runs import Answer, History, Outcome

MODEL = "refill@2"


def request(nonce, **changes):
    ended = runs.RequestEnded(
        nonce=nonce,
        caller="counter",
        host="host-0",
        model=MODEL,
        streamed=True,
        non_idempotent=False,
        began_s=100.0,
        ended_s=102.0,
        outcome=Outcome.COMPLETE,
        answer=Answer.RIGHT,
    )
    return replace(ended, **changes)


def run(nonce, by="draft-0", at_s=100.5, model=MODEL):
    return runs.RunSeen(by, at_s, f"{nonce} hello", model=model)


def order(nonce, **changes):
    return request(nonce, model="", non_idempotent=True, **changes)


def whole():
    return [
        request("n1"),
        run("n1"),
        order("n2"),
        run("n2", "counter-0", model=""),
        request("n3", outcome=Outcome.NOT_RUN, answer=Answer.NONE),
        request("n4", outcome=Outcome.UNKNOWN, answer=Answer.PART),
        run("n4"),
        runs.OrderSeen("draft-0", 99.0, "load", MODEL, 4, False, True),
        runs.OrderSeen("draft-0", 99.5, "evict", "old@1", 3, True, False),
        runs.Accepted("operator-0", 90.0, 1),
        runs.Accepted("operator-1", 95.0, 2),
        runs.GenerationSeen("host-0", 1, 80.0, 91.0, 1),
        runs.GenerationSeen("host-0", 1, 80.0, 100.0, 2),
        runs.Leaving("draft-1", 100.0, 120.0),
        run("n5", "draft-1", 103.0),
        request("n5"),
        runs.Stopped("host-2", 101.0, 104.0, 0),
        request("poison-1", outcome=Outcome.UNKNOWN, answer=Answer.NONE),
        run("poison-1"),
        run("poison-1", "draft-2", 104.0),
        request("n6", host="host-2"),
        run("n6"),
    ]


PLANTED = {
    "an answer of another adapter": [
        request("p", answer=Answer.WRONG, outcome=Outcome.UNKNOWN)
    ],
    "a run on an older version": [request("p"), run("p", model="refill@1")],
    "an eviction under a stream": [
        runs.EvictedWhileRunning("draft-0", 101.0, MODEL, ["r.1"])
    ],
    "a clean end after half the answer": [request("p", answer=Answer.PART), run("p")],
    "an answer that no endpoint ran": [request("p")],
    "a run of what was told as not run": [
        request("p", outcome=Outcome.NOT_RUN, answer=Answer.NONE),
        run("p"),
    ],
    "a run after a refused connection": [
        request("p", outcome=Outcome.REFUSED, answer=Answer.NONE),
        run("p"),
    ],
    "an order that ran twice": [
        order("p"),
        run("p", "counter-0", model=""),
        run("p", "counter-0", 101.0, model=""),
    ],
    "an order that ran on two services by a repeat": [
        order("p", outcome=Outcome.UNKNOWN, answer=Answer.NONE, key="k"),
        order("p", key="k", host="host-1"),
        run("p", "counter-0", model=""),
        run("p", "counter-1", 101.0, model=""),
    ],
    "work on an endpoint 6 s after it was leaving": [
        request("p"),
        run("p", "draft-1", 106.0),
    ],
    "an error in a graceful stop": [
        request("p", host="host-2", outcome=Outcome.UNKNOWN, answer=Answer.PART),
        run("p"),
    ],
    "a stop that ends in a failure": [runs.Stopped("host-1", 100.0, 101.0, -9)],
    "a connection cut by a live host": [
        request("p", outcome=Outcome.BROKEN, answer=Answer.PART),
        run("p"),
    ],
    "a request never answered": [
        request("p", outcome=Outcome.UNANSWERED, answer=Answer.NONE)
    ],
    "a generation that falls": [
        runs.Accepted("operator-0", 101.0, 3),
        runs.GenerationSeen("host-0", 1, 80.0, 102.0, 3),
        runs.GenerationSeen("host-0", 1, 80.0, 102.5, 2),
    ],
    "a host behind for 7 s": [
        runs.Accepted("operator-0", 101.0, 3),
        runs.GenerationSeen("host-0", 1, 80.0, 108.0, 2),
    ],
    "a generation told to two operators": [runs.Accepted("operator-0", 95.1, 2)],
    "a crashing request on a third engine": [
        request("poison-2", outcome=Outcome.UNKNOWN, answer=Answer.NONE),
        run("poison-2"),
        run("poison-2", "draft-3", 103.5),
        run("poison-2", "draft-2", 104.0),
    ],
    "an old order carried out": [
        runs.OrderSeen("draft-0", 99.7, "evict", MODEL, 3, True, True)
    ],
}


@given("a history that keeps all promises")
def history(context):
    context.history = History(whole())


@when("there is planted: {planted}")
def plant(context, planted):
    context.history.records += PLANTED[planted]


@when('the fault "{name}" of "{target}" lay over it')
def fault(context, name, target):
    context.history.records.append(runs.Fault(name, target, 99.0, 108.0))


@then("the checker finds nothing")
def finds_nothing(context):
    assert runs.check(context.history) == []


@then('the checker finds only "{promise}"')
def finds(context, promise):
    found = {violation.promise for violation in runs.check(context.history)}
    assert found == {promise}, found


@when("it is written and read, with a last line half written")
def write_and_read(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "history.jsonl"
        lines = [record.line() for record in context.history.records]
        path.write_text("\n".join([*lines, lines[0][:40]]))
        context.read = runs.read_history([path])


@then("the same records stand")
def same(context):
    assert context.read.records == context.history.records
