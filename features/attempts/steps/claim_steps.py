import heapq
from collections import Counter
from itertools import count

from behave import given, then, when
from hypothesis import given as fuzzed
from hypothesis import settings
from hypothesis import strategies as st

from knapweedbridge_core import Bridge, events
from knapweedbridge_core.actions import (
    ClaimTimer,
    ClaimWrite,
    Dispatch,
    Finish,
    SendPeer,
    StoreRead,
    StoreWrite,
)
from knapweedbridge_core.configuration import build
from knapweedbridge_core.outcomes import Complete, NotRun, Reason, Recorded

HOSTS = ("host-0", "host-1", "host-2")
SECTIONS = {
    "team berths": {},
    "service receipts": {"team": "berths", "path": "/receipts"},
    "endpoint billing-0": {
        "address": "127.0.0.1:1",
        "kind": "service",
        "data_centre": "dc1",
        "service": "receipts",
    },
}
PEER_LATENCY_S = 0.001
STORE_LATENCY_S = 0.004
SERVICE_TIME_S = 1.0
TICK_S = 0.25
STARTUP_S = 3.0
FAILURE_DETECTION_S = 6.0
LATE_WRITE_S = 2.5


class Deployment:
    """Three cores, a key-value store and a plain service, on a virtual clock."""

    def __init__(self):
        self.now_s = 100.0
        self.queue = []
        self.order = count()
        self.values = {}
        self.revision = 0
        self.store = "up"
        self.writes_s = []
        self.runs = Counter()
        self.outcomes = {}
        self.keys = {}
        self.cores = {name: Bridge(name, "dc1") for name in HOSTS}
        listed = tuple(
            events.ListedHost(name, "daemon", "dc1", "127.0.0.1:9", False)
            for name in HOSTS
        )
        for name in HOSTS:
            self.handle(name, events.ConfigurationRead(build(1, SECTIONS)[0]))
            self.handle(name, events.HostsListed(listed))
            for peer in HOSTS:
                if peer != name:
                    self.handle(name, events.PeerConnected(peer))
            self.tick(name)
        self.run_until(self.now_s + STARTUP_S)

    def after(self, delay_s, work):
        heapq.heappush(self.queue, (self.now_s + delay_s, next(self.order), work))

    def run_until(self, until_s):
        while self.queue and self.queue[0][0] <= until_s:
            self.now_s, _, work = heapq.heappop(self.queue)
            work()
        self.now_s = until_s

    def tick(self, host):
        if host in self.cores:
            self.handle(host, events.Tick())
            self.after(TICK_S, lambda: self.tick(host))

    def handle(self, host, event):
        if host in self.cores:
            for action in self.cores[host].handle(event, self.now_s):
                self.act(host, action)

    def handle_later(self, delay_s, host, event):
        self.after(delay_s, lambda: self.handle(host, event))

    def act(self, host, action):
        if isinstance(action, SendPeer):
            received = events.PeerMessage(host, action.message)
            self.handle_later(PEER_LATENCY_S, action.host, received)
        elif isinstance(action, ClaimTimer):
            self.handle_later(action.delay_s, host, events.ClaimsDue())
        elif isinstance(action, StoreRead | StoreWrite | ClaimWrite):
            self.call_store(host, action)
        elif isinstance(action, Dispatch):
            self.after(PEER_LATENCY_S, lambda: self.serve(host, action))
        elif isinstance(action, Finish):
            assert action.request_id not in self.outcomes, "two outcomes"
            self.outcomes[action.request_id] = action.outcome

    def call_store(self, host, action):
        """Respond to a call according to the current fault of the store."""
        if isinstance(action, ClaimWrite):
            self.writes_s.append(self.now_s)
        delay_s = 0.8 if self.store == "slow" else STORE_LATENCY_S
        token, values, applied = action.token, {}, True
        known = self.store in ("up", "slow")
        if isinstance(action, StoreRead):
            known = self.store != "down"
            values = {
                key: self.values[key] for key in action.keys if key in self.values
            }
        elif self.store == "writing late":
            self.after(LATE_WRITE_S, lambda: self.apply(action))
        elif self.store != "down":
            applied = self.apply(action)
        response = events.StoreResponse(token, known, known and applied, values)
        self.handle_later(delay_s, host, response)

    def apply(self, action):
        held = all(
            self.values.get(key, (b"", 0))[1] == revision
            for key, revision in action.compares.items()
        )
        if held:
            self.revision += 1
            for key, value in action.puts.items():
                self.values[key] = (value, self.revision)
        return held

    def serve(self, host, action):
        """Run a request to its end, whether or not its daemon is still alive."""
        request_id = action.request_id
        self.runs[request_id] += 1
        answer = Recorded(200, "text/plain", b"receipt")
        ended = events.AttemptEnded(request_id, action.attempt_id, Complete(1, answer))
        self.handle_later(SERVICE_TIME_S, host, ended)

    def kill(self, host):
        del self.cores[host]
        for peer in list(self.cores):
            self.handle(peer, events.PeerDisconnected(host))

    def send_request(self, request_id, host, key="k", body="b", **fields):
        self.keys[request_id] = key
        request = events.Request(
            request_id=request_id,
            caller="cashier",
            team="berths",
            model=None,
            service="receipts",
            priority="normal",
            non_idempotent=True,
            idempotency_key=key,
            deadline_s=self.now_s + 30,
            fingerprint=body,
            **fields,
        )
        self.handle(host, events.RequestArrived(request))

    def runs_of(self, key):
        return sum(
            runs
            for request_id, runs in self.runs.items()
            if self.keys[request_id] == key
        )


def describe(outcome):
    if outcome is None:
        return "nothing"
    if isinstance(outcome, Recorded | Complete):
        return "the recorded answer" if isinstance(outcome, Recorded) else "the answer"
    return str(outcome.reason)


@given('three daemons and a store that is "{state}"')
def three_daemons(context, state):
    context.deployment = Deployment()
    context.deployment.store = state


@when("a request for a receipt is sent through host-0")
def first(context):
    context.deployment.send_request("first", "host-0")


@when('its caller repeats it through "{host}" {when}')
def repeat(context, host, when):
    deployment = context.deployment
    context.at_once = when == "at the same time"
    wait_s = {"at the same time": 0.0, "while it runs": 0.7, "after the answer": 6.0}
    body = "b"
    if when in wait_s:
        deployment.run_until(deployment.now_s + wait_s[when])
    elif when == "after host-0 died before it dispatched":
        # The claim is stored, and the response to host-0 is still on its way.
        deployment.run_until(deployment.now_s + STORE_LATENCY_S + PEER_LATENCY_S / 2)
        deployment.kill("host-0")
        assert not deployment.runs and deployment.values
        deployment.run_until(deployment.now_s + FAILURE_DETECTION_S)
    elif when == "after host-0 died after it dispatched":
        deployment.run_until(deployment.now_s + 0.5)
        deployment.kill("host-0")
        deployment.run_until(deployment.now_s + FAILURE_DETECTION_S)
    elif when == "with another body after the answer":
        body = "c"
        deployment.run_until(deployment.now_s + 6)
    elif when == "after the store came back":
        deployment.run_until(deployment.now_s + 6)
        deployment.store = "up"
        deployment.run_until(deployment.now_s + 3)
    deployment.send_request("repeat", host, body=body)
    deployment.run_until(deployment.now_s + 20)


@then('the first gets "{first}" and the repeat "{again}", and it ran {runs:d} times')
def both_outcomes(context, first, again, runs):
    deployment = context.deployment
    found = [describe(deployment.outcomes.get(name)) for name in ("first", "repeat")]
    if first != again and context.at_once:
        # Either request may reach the store first.
        found.sort(key=[first, again].index)
    assert found == [first, again], found
    assert deployment.runs_of("k") == runs, deployment.runs


STEPS = st.lists(
    st.tuples(
        st.floats(0, 1.5),
        st.sampled_from(
            [
                *["ask"] * 4,
                "ask and die",
                "kill",
                "up",
                "down",
                "slow",
                "losing",
                "late",
            ]
        ),
        st.sampled_from(HOSTS),
        st.sampled_from(["k", "l"]),
    ),
    max_size=20,
)
STATES = {"losing": "losing replies", "late": "writing late"}


def run_history(steps):
    deployment = Deployment()
    for place, (wait_s, what, host, key) in enumerate(steps):
        deployment.run_until(deployment.now_s + wait_s)
        if what == "ask" and host in deployment.cores:
            deployment.send_request(f"r{place}", host, key)
        elif what == "kill" and len(deployment.cores) > 1 and host in deployment.cores:
            deployment.kill(host)
        elif (
            what == "ask and die"
            and len(deployment.cores) > 1
            and host in deployment.cores
        ):
            deployment.send_request(f"r{place}", host, key)
            deployment.run_until(deployment.now_s + wait_s / 2)
            deployment.kill(host)
        elif what not in ("ask", "kill", "ask and die"):
            deployment.store = STATES.get(what, what)
    deployment.run_until(deployment.now_s + 5)
    deployment.store = "up"
    deployment.run_until(deployment.now_s + 12)
    return deployment


@when("{count:d} histories of repeats, kills and faults of the store are run")
def histories(context, count):
    context.outcome_counts = Counter()

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @fuzzed(STEPS)
    def check(steps):
        deployment = run_history(steps)
        for key in ("k", "l"):
            assert deployment.runs_of(key) <= 1, (key, deployment.runs)
        for request_id, outcome in deployment.outcomes.items():
            context.outcome_counts[describe(outcome)] += 1
            if isinstance(outcome, NotRun):
                assert not deployment.runs[request_id], request_id
            if isinstance(outcome, Complete):
                assert deployment.runs[request_id] == 1

    check()


@then("no key ran twice, and nothing reported as not run had run")
def histories_checked(context):
    # The histories must cover these outcomes, or the checks above are vacuous.
    for reason in (Reason.STORE_DOWN, Reason.REPEATED, Reason.FIRST_UNKNOWN):
        assert context.outcome_counts[str(reason)], context.outcome_counts
    assert (
        context.outcome_counts["the answer"]
        and context.outcome_counts["the recorded answer"]
    )


@given(
    "{count:d} receipts a second arrive at each of three daemons for {span:d} seconds"
)
def receipts(context, count, span):
    deployment = context.deployment = Deployment()
    context.asked, began_s = 0, deployment.now_s
    for place in range(count * span):
        for host in HOSTS:
            deployment.run_until(began_s + place / count)
            deployment.send_request(f"{host}-{place}", host, f"{host}-{place}")
            context.asked += 1
    deployment.run_until(deployment.now_s + 10)


@then("all ran, by at most {rate:g} writes a second")
def write_rate(context, rate):
    deployment = context.deployment
    assert all(
        isinstance(outcome, Complete) for outcome in deployment.outcomes.values()
    )
    assert len(deployment.outcomes) == context.asked
    writes_s = deployment.writes_s
    written = (len(writes_s) - 1) / (writes_s[-1] - writes_s[0])
    assert written <= rate, written
