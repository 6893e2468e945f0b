"""Cores of one pool in one thread and in virtual time, to count what they cost."""

import time
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from typing import Any

from knapweedbridge_core import Bridge, Complete, events
from knapweedbridge_core.actions import (
    Dispatch,
    OrderEndpoint,
    RequestReport,
    SendPeer,
    StoreRead,
    StoreWrite,
)
from knapweedbridge_core.codec import encode, tag_of
from knapweedbridge_core.configuration import Configuration, build
from knapweedbridge_core.names import AdapterVersion

TICK_S = 0.5


def make_configuration(adapters: int, endpoints: int, generation: int = 1) -> Any:
    """Build a configuration of so many adapters and engines."""
    sections: dict[str, dict[str, str]] = {"team optics": {}}
    for place in range(adapters):
        adapter = {"team": "optics", "base_model": f"base-{place % 7}"}
        sections[f"adapter refill-{place}"] = adapter
        sections[f"version refill-{place}@1"] = {}
    for place in range(endpoints):
        sections[f"endpoint draft-{place}"] = {
            "address": f"127.0.0.1:{10000 + place}",
            "data_centre": "dc1",
            "base_model": f"base-{place % 7}",
            "slots": "64",
        }
    return build(generation, sections)[0]


@dataclass
class Costs:
    """What one core, on average, sent and used."""

    handled: Counter = field(default_factory=Counter)
    spent_s: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    sent: Counter = field(default_factory=Counter)
    sent_bytes: Counter = field(default_factory=Counter)
    store: Counter = field(default_factory=Counter)


class Pool:
    """Cores wired to each other; the platform and the engines answer at once.

    Parameters
    ----------
    daemons : int
        Cores of the pool, all of one data centre.
    configuration : Configuration
        In force from the start.
    """

    def __init__(self, daemons: int, configuration: Configuration) -> None:
        self.now_s = 1000.0
        self.costs = Costs()
        names = [f"host-{place}" for place in range(daemons)]
        self.cores = {name: Bridge(name, "dc1") for name in names}
        self._configuration = configuration
        self._queue: deque[tuple[str, Any]] = deque()
        self._values: dict[str, tuple[bytes, int]] = {}
        self._revision = 0
        self._listed = tuple(
            events.ListedHost(name, "daemon", "dc1", "127.0.0.1:1", False)
            for name in names
        )
        self.list_hosts()
        for name in names:
            for other in names:
                if other != name:
                    self.tell(name, events.PeerConnected(other))
            self.tell(name, events.ConfigurationRead(configuration))

    def list_hosts(self) -> None:
        """Let every core read the platform's list."""
        for name in self.cores:
            self.tell(name, events.HostsListed(self._listed))

    def tell(self, host: str, event: Any) -> None:
        """Give a core an event, and carry out all that follows."""
        self._queue.append((host, event))
        while self._queue:
            self._handle(*self._queue.popleft())

    def _handle(self, host: str, event: Any) -> None:
        kind = type(event).__name__
        if isinstance(event, events.PeerMessage):
            kind = tag_of(event.message)
        started_s = time.perf_counter()
        actions = self.cores[host].handle(event, self.now_s)
        self.costs.spent_s[kind] += time.perf_counter() - started_s
        self.costs.handled[kind] += 1
        for action in actions:
            self._carry_out(host, action)

    def _carry_out(self, host: str, action: Any) -> None:
        if isinstance(action, SendPeer):
            kind = tag_of(action.message)
            self.costs.sent[kind] += 1
            self.costs.sent_bytes[kind] += len(encode(action.message))
            heard = events.PeerMessage(host, action.message)
            self._queue.append((action.host, heard))
        elif isinstance(action, StoreRead):
            self.costs.store["read"] += 1
            found = {
                key: self._values[key] for key in action.keys if key in self._values
            }
            replied = events.StoreResponse(action.token, True, True, found)
            self._queue.append((host, replied))
        elif isinstance(action, StoreWrite):
            self.costs.store["write"] += 1
            self._queue.append((host, self._write(action)))
        elif isinstance(action, RequestReport):
            reported = events.EndpointReported(action.endpoint, (), {}, self.now_s)
            self._queue.append((host, reported))
        elif isinstance(action, OrderEndpoint):
            ended = events.OrderEnded(action.endpoint, action.kind, action.model, True)
            self._queue.append((host, ended))
        elif isinstance(action, Dispatch):
            ended = events.AttemptEnded(
                action.request_id, action.attempt_id, Complete(1)
            )
            self._queue.append((host, ended))

    def _write(self, action: StoreWrite) -> events.StoreResponse:
        held = {key: self._values.get(key, (b"", 0))[1] for key in action.compares}
        applied = held == action.compares
        if applied:
            self._revision += 1
            for key, value in action.puts.items():
                self._values[key] = (value, self._revision)
        return events.StoreResponse(action.token, True, applied, {})

    def run(self, seconds: float) -> None:
        """Let time go on for all cores."""
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            self.now_s += TICK_S
            for name in self.cores:
                self.tell(name, events.Tick())

    def ask(self, host: str, number: int, model: AdapterVersion) -> None:
        """Let a caller send a request to a core."""
        request = events.Request(
            request_id=f"r{number}",
            caller="counter",
            team="optics",
            model=model,
            service="",
            priority="normal",
            non_idempotent=False,
            idempotency_key="",
            deadline_s=self.now_s + 60,
            fingerprint="f",
        )
        self.tell(host, events.RequestArrived(request))
