"""The promises that the soak checks, and what it has seen of them."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

import anyio
from standins import Endpoint, Engine, header

DRAIN_S = 5.5
"""Longest time from an endpoint's word that it leaves to its last new request: 2 s,
and 3.5 s for a daemon that is paused or hears nothing of the store for so long."""

VERSION_S = 5.0
"""Longest time, without trouble, from a version's naming to the last begin on an older
one."""

CONTACT_S = 3.0
"""Time after which disturbance of a host or of the store is over for its callers."""

DEADLY = "deadly"
"""What the ids of requests begin with that end the endpoints which run them."""

DIES_AFTER_S = 0.02
LOST_FREE = 3
MOST_LATE = 3
"""Endpoints that a deadly request may end, and how many more by hosts without trouble
later than `CONTACT_S` after that."""

PART = "part"
PARTS_LOST_FREE = 5
LEAST_SOUND = 20
"""Endpoints that requests with one part of their prompts may end, and how many sound
requests beside them must have been made so that their share is judged."""

ORDER = "ORDER"
EVENTS = 10
LEAST_TAKEN_UP = 12
LEAST_PART = 0.5
"""Part of the share of new streams that begin which is the least share of taken-up
streams that go on."""


class Watched:
    """What endpoints see, checked against the promises."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.runs: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.fences: dict[str, tuple[int, str]] = {}
        self.left_s: dict[str, float] = {}
        self.named_s: dict[str, dict[int, float]] = defaultdict(dict)
        self.calm_since_s: dict[str, float] = {}
        self.troubles: Counter[str] = Counter()
        self.taken_by: dict[str, str] = {}
        self.begun: Counter[str] = Counter()

    def broken(self, what: str) -> None:
        """Note a broken promise."""
        self.violations.append(what)

    def ran(self, endpoint: Endpoint, request) -> None:
        """Check one request that an endpoint runs."""
        call = header(request, "Request-Id") or ""
        self.runs[call] += 1
        if call.startswith("order") and self.runs[call] > 1:
            self.broken(f"{call} ran {self.runs[call]} times")
        if call in self.refused:
            self.broken(f"{call} ran after it was said not to have run")
        left_s = self.left_s.get(endpoint.name)
        if left_s is not None and anyio.current_time() - left_s > DRAIN_S:
            self.broken(f"{call} came to {endpoint.name} long after it left")

    @contextmanager
    def troubled(self, name: str) -> Iterator[None]:
        """Count a daemon, an endpoint or the store as in trouble for a while."""
        self.troubles[name] += 1
        self.calm_since_s[name] = inf
        try:
            yield
        finally:
            self.troubles[name] -= 1
            if not self.troubles[name]:
                self.calm_since_s[name] = anyio.current_time()

    def shook(self, name: str) -> None:
        """Count something as in trouble at this moment."""
        with self.troubled(name):
            pass

    def are_calm(self, *names: str) -> bool:
        """Return whether none of these has had trouble lately."""
        since_s = max(self.calm_since_s.get(name, -inf) for name in names)
        return anyio.current_time() - since_s >= CONTACT_S

    def began(self, engine: Engine, request, adapter: str, version: int) -> None:
        """Check under which version of its adapter a run begins.

        The time counts in which the store, the daemon that took the call and the engine
        had no trouble.
        """
        call = header(request, "Request-Id") or ""
        parties = "store", engine.name, self.taken_by.get(call, "")
        calm_s = max(self.calm_since_s.get(name, 0.0) for name in parties)
        newer = [s for v, s in self.named_s[adapter].items() if v > version]
        self.begun["older" if newer else "newest"] += 1
        if newer and anyio.current_time() - max(min(newer), calm_s) > VERSION_S:
            late_s = anyio.current_time() - min(newer)
            self.broken(f"{call} began on {adapter}@{version} {late_s:.2f} s too old")

    def ordered(self, engine: Engine, order: dict) -> None:
        """Check one order to an engine."""
        number, holder = order["fencing_token"], order["holder"]
        last = self.fences.get(engine.name, (0, ""))
        if number < last[0] or (number == last[0] and holder != last[1]):
            self.broken(f"{engine.name}: {holder} {number} after {last}")
        self.fences[engine.name] = max(last, (number, holder))
        if engine.crashed:
            self.broken(f"{engine.name} was ordered beyond its places")


class CutHosts:
    """First tries at hosts that are cut off from all endpoints, and at the others.

    They count from 3 s after the cut, at hosts without other trouble, while the store
    has none. Callers come back elsewhere, so each call is a first try.
    """

    def __init__(self, watched: Watched) -> None:
        self.since_s: dict[str, float] = {}
        self._watched = watched
        self._served: Counter[str] = Counter()
        self._failed: Counter[str] = Counter()

    def side_of(self, name: str) -> str:
        """Return with which hosts a call at a host counts; empty: with none."""
        now_s, calm_s = anyio.current_time(), self._watched.calm_since_s
        if not self.since_s or now_s - min(self.since_s.values()) < CONTACT_S:
            return ""
        if any(now_s - calm_s.get(each, 0.0) < CONTACT_S for each in (name, "store")):
            return ""
        if name not in self.since_s:
            return "linked"
        return "cut" if now_s - self.since_s[name] >= CONTACT_S else ""

    def count(self, side: str, outcome: str) -> None:
        """Count what became of a call."""
        counted = self._served if outcome == "200" else self._failed
        counted[side] += 1

    @property
    def tries(self) -> dict[str, int]:
        """First tries at cut and at linked hosts."""
        return {
            side: self._served[side] + self._failed[side] for side in ("cut", "linked")
        }

    def check(self) -> None:
        """Check that callers of cut hosts were served about as often as the others."""
        tries = self.tries
        if not all(tries.values()):
            return
        share = {side: self._served[side] / tries[side] for side in tries}
        most_failed = 10 + tries["cut"] / 50
        if share["cut"] < 2 / 3 * share["linked"] and self._failed["cut"] > most_failed:
            self._watched.broken(f"served at cut and linked hosts: {share} of {tries}")


class DeadlyRequests:
    """Requests that end endpoints: a few of these, and then hardly any more."""

    def __init__(self, watched: Watched) -> None:
        self._watched = watched
        self._ended_s: dict[str, list[float]] = defaultdict(list)
        self._late: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.sound: Counter[str] = Counter()

    def ended(self, call: str) -> None:
        """Check that an endpoint may still be ended by a call's request."""
        request = call.rpartition("-")[0]
        ended_s, now_s = self._ended_s[request], anyio.current_time()
        free = PARTS_LOST_FREE if f"-{PART}-" in request else LOST_FREE
        is_late = len(ended_s) >= free and now_s - ended_s[free - 1] > CONTACT_S
        ended_s.append(now_s)
        host = self._watched.taken_by.get(call, "")
        if is_late and self._watched.are_calm(host, "store"):
            self._late[request] += 1
        if self._late[request] > MOST_LATE:
            self._watched.broken(f"{request} ended {len(ended_s)} endpoints")

    def __str__(self) -> str:
        """Return how many endpoints each request has ended, for people."""
        ended = sorted(map(len, self._ended_s.values()))
        late = sum(self._late.values())
        return (
            f"{ended}, late {late}, like them {dict(self.served)},"
            f" sound beside deadly parts {dict(self.sound)}"
        )

    def count_sound(self, host: str, answer: str) -> None:
        """Count a sound request that shares all but one part with deadly ones.

        Those count that come to a host without trouble, while the store has none.
        """
        if self._watched.are_calm(host, "store"):
            self.sound[answer] += 1

    def check_sound(self) -> None:
        """Check that at least half of the sound requests were served."""
        total = self.sound.total()
        if total >= LEAST_SOUND and self.sound["200"] < total / 2:
            self._watched.broken(f"LOST: beside deadly parts {dict(self.sound)}")


class StreamEvents:
    """The events of one stream, over one answer and all tries."""

    def __init__(self, watched: Watched, stream: str) -> None:
        self.count = 0
        self.software = ""
        self._watched = watched
        self._stream = stream
        self._broken: set[str] = set()

    @property
    def are_all(self) -> bool:
        """Whether the last event is there."""
        return self.count >= EVENTS

    def take(self, call: str, number: str, data: str) -> None:
        """Check the next event, ``data`` of which names the software that wrote it."""
        text, _, software = data.partition(" of ")
        if number != str(self.count + 1) or text != f"t{number}":
            self._note("order", f"{call}: event {number} {text} after {self.count}")
        if self.software and software != self.software:
            self._note("software", f"{call}: {software} after {self.software}")
        self.count += 1
        self.software = self.software or software

    def _note(self, kind: str, what: str) -> None:
        if kind not in self._broken:
            self._broken.add(kind)
            self._watched.broken(f"{ORDER} {self._stream}: {what}")


class StreamShares:
    """Streams that callers take up, and new ones, at hosts and engines without trouble.

    What is counted: tries that bring an event, and all others.
    """

    def __init__(self) -> None:
        self.taken_up: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self._come: Counter[str] = Counter()
        self._tries: Counter[str] = Counter()

    def count(self, kind: str, has_come: bool) -> None:
        """Count a try of a ``new`` or ``taken up`` stream."""
        self._tries[kind] += 1
        self._come[kind] += has_come

    def add(self, other: "StreamShares") -> None:
        """Add another run's counts."""
        self.taken_up += other.taken_up
        self.outcomes += other.outcomes
        self._come += other._come
        self._tries += other._tries

    def __str__(self) -> str:
        """Return the counts, for people."""
        compared = {
            kind: f"{self._come[kind]} of {self._tries[kind]}"
            for kind in ("new", "taken up")
        }
        return f"{dict(self.taken_up)}, without trouble {compared}"

    def violation(self) -> str:
        """Return what is wrong with the shares; empty: nothing."""
        if self._tries["taken up"] < LEAST_TAKEN_UP or not self._tries["new"]:
            return ""
        share = {kind: self._come[kind] / tries for kind, tries in self._tries.items()}
        if share["taken up"] >= LEAST_PART * share["new"]:
            return ""
        return f"LOST: go on and begin: {self}"


class SigningResponder:
    """Writes into each event which software made it."""

    def __init__(self, responder, software: str) -> None:
        self._responder = responder
        self._mark = f" of {software}\n\n".encode()

    def __getattr__(self, name: str):
        return getattr(self._responder, name)

    async def send(self, data: bytes) -> None:
        """Send a whole event, or the begin of one."""
        if data.endswith(b"\n\n") and b" of " not in data:
            data = data[:-2] + self._mark
        await self._responder.send(data)


def watched_by(kind, watched: Watched, software: str):
    """Return a kind of stand-in whose requests and orders are checked."""

    class Seen(kind):
        def __init__(self, name, service):
            super().__init__(name, service)
            self.software = software
            self.listed_s = inf

        def entry(self, **fields):
            return super().entry(**{"version": self.software, **fields})

        async def answer(self, request, responder, behaviour):
            count = len(self.requests)
            held = not isinstance(self, Engine) or self._holds(request)
            if held and behaviour != "shed" and count:
                watched.ran(self, request)
                call = header(request, "Request-Id") or ""
                if call.startswith(DEADLY):
                    await anyio.sleep(DIES_AFTER_S)
                    self.on_deadly(self, call)
                    await anyio.sleep_forever()
            await super().answer(request, responder, behaviour)

        async def _stream(self, request, responder, behaviour):
            signing = SigningResponder(responder, self.software)
            await super()._stream(request, signing, behaviour)

        def note_begun(self, request, adapter, version):
            watched.began(self, request, adapter, version)

        async def _order(self, request, responder):
            await super()._order(request, responder)
            watched.ordered(self, json.loads(request.body))

    return Seen
