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
PEER_S = 0.001
STORE_S = 0.004
WORK_S = 1.0
TICK_S = 0.25
MEET_S = 3.0
NOTICE_S = 6.0
LATE_S = 2.5


class Deployment:
    """Three cores, a key-value store and a plain service, in virtual time."""

    def __init__(self):
        self.now_s = 100.0
        self.queue = []
        self.order = count()
        self.values = {}
        self.revision = 0
        self.store = "up"
        self.writes_s = []
        self.runs = Counter()
        self.told = {}
        self.keys = {}
        self.cores = {name: Bridge(name, "dc1") for name in HOSTS}
        listed = tuple(
            events.ListedHost(name, "daemon", "dc1", "127.0.0.1:9", False)
            for name in HOSTS
        )
        for name in HOSTS:
            self.tell(name, events.ConfigurationRead(build(1, SECTIONS)[0]))
            self.tell(name, events.HostsListed(listed))
            for peer in HOSTS:
                if peer != name:
                    self.tell(name, events.PeerConnected(peer))
            self.tick(name)
        self.run_until(self.now_s + MEET_S)

    def after(self, delay_s, work):
        heapq.heappush(self.queue, (self.now_s + delay_s, next(self.order), work))

    def run_until(self, until_s):
        while self.queue and self.queue[0][0] <= until_s:
            self.now_s, _, work = heapq.heappop(self.queue)
            work()
        self.now_s = until_s

    def tick(self, host):
        if host in self.cores:
            self.tell(host, events.Tick())
            self.after(TICK_S, lambda: self.tick(host))

    def tell(self, host, event):
        if host in self.cores:
            for action in self.cores[host].handle(event, self.now_s):
                self.act(host, action)

    def tell_later(self, delay_s, host, event):
        self.after(delay_s, lambda: self.tell(host, event))

    def act(self, host, action):
        if isinstance(action, SendPeer):
            heard = events.PeerMessage(host, action.message)
            self.tell_later(PEER_S, action.host, heard)
        elif isinstance(action, ClaimTimer):
            self.tell_later(action.delay_s, host, events.ClaimsDue())
        elif isinstance(action, StoreRead | StoreWrite | ClaimWrite):
            self.call_store(host, action)
        elif isinstance(action, Dispatch):
            self.after(PEER_S, lambda: self.serve(host, action))
        elif isinstance(action, Finish):
            assert action.request_id not in self.told, "told twice"
            self.told[action.request_id] = action.outcome

    def call_store(self, host, action):
        """Answer a call as the store's present fault has it."""
        if isinstance(action, ClaimWrite):
            self.writes_s.append(self.now_s)
        delay_s = 0.8 if self.store == "slow" else STORE_S
        token, values, applied = action.token, {}, True
        known = self.store in ("up", "slow")
        if isinstance(action, StoreRead):
            known = self.store != "down"
            values = {
                key: self.values[key] for key in action.keys if key in self.values
            }
        elif self.store == "writing late":
            self.after(LATE_S, lambda: self.apply(action))
        elif self.store != "down":
            applied = self.apply(action)
        replied = events.StoreResponse(token, known, known and applied, values)
        self.tell_later(delay_s, host, replied)

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
        """Run a call to its end, whether or not its daemon lives to hear of it."""
        request_id = action.request_id
        self.runs[request_id] += 1
        answer = Recorded(200, "text/plain", b"receipt")
        ended = events.AttemptEnded(request_id, action.attempt_id, Complete(1, answer))
        self.tell_later(WORK_S, host, ended)

    def kill(self, host):
        del self.cores[host]
        for peer in list(self.cores):
            self.tell(peer, events.PeerDisconnected(host))

    def ask(self, request_id, host, key="k", body="b", **fields):
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
        self.tell(host, events.RequestArrived(request))

    def runs_of(self, key):
        return sum(
            runs
            for request_id, runs in self.runs.items()
            if self.keys[request_id] == key
        )


def word_of(outcome):
    if outcome is None:
        return "nothing"
    if isinstance(outcome, Recorded | Complete):
        return "the recorded answer" if isinstance(outcome, Recorded) else "the answer"
    return str(outcome.reason)


@given('three daemons and a store that is "{state}"')
def three_daemons(context, state):
    context.world = Deployment()
    context.world.store = state


@when("a receipt is asked for through host-0")
def first(context):
    context.world.ask("first", "host-0")


@when('its caller repeats it through "{host}" {when}')
def repeat(context, host, when):
    world = context.world
    context.at_once = when == "at the same time"
    wait_s = {"at the same time": 0.0, "while it runs": 0.7, "after the answer": 6.0}
    body = "b"
    if when in wait_s:
        world.run_until(world.now_s + wait_s[when])
    elif when == "after host-0 died before it dispatched":
        # The claim stands, and its answer is still on the way to host-0.
        world.run_until(world.now_s + STORE_S + PEER_S / 2)
        world.kill("host-0")
        assert not world.runs and world.values
        world.run_until(world.now_s + NOTICE_S)
    elif when == "after host-0 died after it dispatched":
        world.run_until(world.now_s + 0.5)
        world.kill("host-0")
        world.run_until(world.now_s + NOTICE_S)
    elif when == "with another body after the answer":
        body = "c"
        world.run_until(world.now_s + 6)
    elif when == "after the store came back":
        world.run_until(world.now_s + 6)
        world.store = "up"
        world.run_until(world.now_s + 3)
    world.ask("repeat", host, body=body)
    world.run_until(world.now_s + 20)


@then('the first is told "{first}" and the repeat "{again}", and it ran {runs:d} times')
def both_told(context, first, again, runs):
    world = context.world
    found = [word_of(world.told.get(name)) for name in ("first", "repeat")]
    if first != again and context.at_once:
        # Either may be the first to reach the store.
        found.sort(key=[first, again].index)
    assert found == [first, again], found
    assert world.runs_of("k") == runs, world.runs


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


def play(steps):
    world = Deployment()
    for place, (wait_s, what, host, key) in enumerate(steps):
        world.run_until(world.now_s + wait_s)
        if what == "ask" and host in world.cores:
            world.ask(f"r{place}", host, key)
        elif what == "kill" and len(world.cores) > 1 and host in world.cores:
            world.kill(host)
        elif what == "ask and die" and len(world.cores) > 1 and host in world.cores:
            world.ask(f"r{place}", host, key)
            world.run_until(world.now_s + wait_s / 2)
            world.kill(host)
        elif what not in ("ask", "kill", "ask and die"):
            world.store = STATES.get(what, what)
    world.run_until(world.now_s + 5)
    world.store = "up"
    world.run_until(world.now_s + 12)
    return world


@when("{count:d} histories of repeats, kills and faults of the store are played")
def histories(context, count):
    context.asked = Counter()

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @fuzzed(STEPS)
    def check(steps):
        world = play(steps)
        for key in ("k", "l"):
            assert world.runs_of(key) <= 1, (key, world.runs)
        for request_id, outcome in world.told.items():
            context.asked[word_of(outcome)] += 1
            if isinstance(outcome, NotRun):
                assert not world.runs[request_id], request_id
            if isinstance(outcome, Complete):
                assert world.runs[request_id] == 1

    check()


@then("no key ran twice, and nothing told to be not run had run")
def histories_checked(context):
    # The histories reach the cases they are meant for.
    for reason in (Reason.STORE_DOWN, Reason.REPEATED, Reason.FIRST_UNKNOWN):
        assert context.asked[str(reason)], context.asked
    assert context.asked["the answer"] and context.asked["the recorded answer"]


@given(
    "{count:d} receipts a second arrive at each of three daemons for {span:d} seconds"
)
def receipts(context, count, span):
    world = context.world = Deployment()
    context.asked, began_s = 0, world.now_s
    for place in range(count * span):
        for host in HOSTS:
            world.run_until(began_s + place / count)
            world.ask(f"{host}-{place}", host, f"{host}-{place}")
            context.asked += 1
    world.run_until(world.now_s + 10)


@then("all ran, by at most {rate:g} writes a second")
def write_rate(context, rate):
    world = context.world
    assert all(isinstance(told, Complete) for told in world.told.values())
    assert len(world.told) == context.asked
    writes_s = world.writes_s
    written = (len(writes_s) - 1) / (writes_s[-1] - writes_s[0])
    assert written <= rate, written
