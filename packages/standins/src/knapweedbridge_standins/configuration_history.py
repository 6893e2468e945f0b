"""Histories of the configuration against a simple oracle, by hypothesis.

Daemon cores, the code that reads and writes the service, and a service in memory
that goes down, loses and delays writes, and comes back with older contents.
"""

from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from knapweedbridge_core import Bridge, events
from knapweedbridge_core.actions import Record, SendPeer
from knapweedbridge_core.configuration import build_parts
from knapweedbridge_core.messages import PartResponse
from knapweedbridge_core.parts import Parts, Root, Sections, pack_part
from knapweedbridge_daemon.configurations import (
    ROOT_KEY,
    Accepted,
    Conflict,
    StoredRoot,
    decode_root,
    read_parts,
    read_root,
    write_parts,
)
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_standins.memory_store import MemoryStore, Snapshot, WriteFault

HOSTS = ("host-0", "host-1", "host-2")
TICK_S = 0.5
CATCH_UP_TICKS = 60
MESSAGES_AT_ONCE = 2000
DAMAGED = pack_part({"team other": {}})

hosts = st.sampled_from(HOSTS)


def run_at_once(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never waits, as over a store in memory."""
    try:
        coroutine.send(None)
    except StopIteration as ended:
        return ended.value
    raise RuntimeError("it waited")


def make_sections(mark: int) -> Sections:
    """Make a small configuration that differs by its mark."""
    sections: Sections = {"team optics": {}}
    for place in range(4):
        model = f"model-{mark % 4}" if place == mark // 4 else "model"
        sections[f"adapter a{place}"] = {"team": "optics", "base_model": model}
        sections[f"version a{place}@1"] = {}
    if mark % 3 == 0:
        sections["adapter extra"] = {"team": "optics", "base_model": "model"}
    return sections


class ConfigurationHistory(RuleBasedStateMachine):
    """Three daemons, one service, operators, and the faults between them."""

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore()
        self.accepted: dict[tuple[int, str], tuple[str, ...]] = {}
        self.numbers: dict[int, str] = {}
        self.slow: set[str] = set()
        self.parts_to_damage = 0
        self.held_back: list[tuple[str, SendPeer]] = []
        self.sections = {Parts.of(make_sections(n)).digests: n for n in range(16)}
        self.now_s = 0.0
        self.writes = 0
        self.cuts: set[frozenset[str]] = set()
        self.snapshots: list[Snapshot] = []
        self.roots: dict[str, StoredRoot] = {}
        self.highest = dict.fromkeys(HOSTS, 0)
        self.bridges: dict[str, Bridge] = {}
        self.queue: list[tuple[str, SendPeer]] = []
        for host in HOSTS:
            self._start(host)
        self._tick_all()

    # -- daemons ------------------------------------------------------------

    def _start(self, host: str) -> None:
        self.writes += 1
        self.bridges[host] = Bridge(host, "dc1", self.writes)
        self.highest[host] = 0
        self.roots.pop(host, None)
        listed = tuple(
            events.ListedHost(name, "daemon", "dc1", "127.0.0.1:1", False)
            for name in HOSTS
        )
        self._tell(host, events.HostsListed(listed))

    def _tell(self, host: str, event: Any) -> None:
        for action in self.bridges[host].handle(event, self.now_s):
            if isinstance(action, SendPeer):
                self.queue.append((host, action))
            elif isinstance(action, Record) and action.kind == "configuration.in_force":
                generation = action.fields["generation"]
                assert generation > self.highest[host], "a lower generation"
                self.highest[host] = generation

    def _deliver(self) -> None:
        for _ in range(MESSAGES_AT_ONCE):
            if not self.queue:
                return
            sender, action = self.queue.pop(0)
            if action.host in self.slow:
                self.held_back.append((sender, action))
            elif frozenset((sender, action.host)) not in self.cuts:
                message = self._damaged(action.message)
                self._tell(action.host, events.PeerMessage(sender, message))
        raise AssertionError("the messages never end")

    def _damaged(self, message: Any) -> Any:
        if not self.parts_to_damage or not isinstance(message, PartResponse):
            return message
        self.parts_to_damage -= 1
        return replace(message, content=DAMAGED)

    def _tick_all(self) -> None:
        self.now_s += TICK_S
        for host in HOSTS:
            self._tell(host, events.Tick())
        self._deliver()

    # -- the service --------------------------------------------------------

    def _note_root(self) -> None:
        value = self.store.values.get(ROOT_KEY)
        if value is not None:
            root = decode_root(value[0])
            self.accepted[root.generation, root.token] = root.digests
            first = self.numbers.setdefault(root.generation, root.token)
            assert first == root.token, "a number accepted twice"

    def _take_root(self, host: str, stored: StoredRoot) -> None:
        self._tell(host, events.RootRead(stored.root))
        held = self.bridges[host].configuration
        if stored.generation > held.generation:
            parts = run_at_once(read_parts(self.store, stored.root, held.parts))
            self._tell(host, events.PartsRead(stored.root, parts))

    def _read(self, host: str) -> None:
        try:
            self._take_root(host, run_at_once(read_root(self.store)))
        except StoreError:
            return
        finally:
            self._note_root()

    # -- what may happen ----------------------------------------------------

    @rule(host=hosts, mark=st.integers(0, 15), back=st.sampled_from((0, 0, 0, 1)))
    def apply(self, host: str, mark: int, back: int) -> None:
        """An operator applies through a daemon, maybe based on an old look."""
        if not self.bridges[host].members.is_stale:
            based_on = self.bridges[host].distribution.highest_known - back
            self._apply(host, mark, max(0, based_on))

    @rule(host=hosts, reader=hosts, mark=st.integers(0, 15))
    def apply_and_read(self, host: str, reader: str, mark: int) -> None:
        """An operator applies, and a daemon reads it at once."""
        self.apply(host, mark, 0)
        self.read(reader)

    def _apply(self, host: str, mark: int, based_on: int) -> None:
        self.writes += 1
        token = f"write-{self.writes}"
        reached = [host]
        if host not in self.slow:
            reached += [n for n in HOSTS if frozenset((host, n)) not in self.cuts]
        held = max(self.bridges[n].configuration.generation for n in reached)
        known = self.bridges[host].distribution.highest_known
        parts = Parts.of(make_sections(mark))
        writing = write_parts(self.store, based_on, parts, token, known)
        try:
            ended = run_at_once(writing)
        except StoreError:
            return
        finally:
            self._note_root()
        self.snapshots.append(self.store.snapshot())
        tokens = {name for _, name in self.accepted}
        if isinstance(ended, Accepted):
            digests = self.accepted[ended.generation, token]
            assert self.sections[digests] == mark, "other contents were accepted"
            assert ended.generation > held, "a number that a daemon holds already"
        elif isinstance(ended, Conflict):
            assert token not in tokens, "told of a conflict, and yet accepted"

    @rule(fault=st.sampled_from(list(WriteFault)), times=st.integers(1, 5))
    def next_writes(self, fault: WriteFault, times: int) -> None:
        """The next writes are lost, late or not answered."""
        self.store.next_writes = [fault] * times

    @rule(first=hosts, second=hosts, marks=st.tuples(*[st.integers(0, 15)] * 2))
    def race(self, first: str, second: str, marks: tuple[int, int]) -> None:
        """Two operators apply on the same base; one comes in between."""
        if any(self.bridges[host].members.is_stale for host in (first, second)):
            return
        based_on = self.bridges[first].configuration.generation
        self.store.before_write = lambda: self._apply(second, marks[1], based_on)
        self._apply(first, marks[0], based_on)
        self.store.before_write = None

    @rule(down=st.sampled_from((True, False, False)))
    def outage(self, down: bool) -> None:
        """The service goes down, or comes back."""
        self.store.down = down

    @rule(place=st.integers(0, 9))
    def restore(self, place: int) -> None:
        """The service comes back with the contents of a copy."""
        if self.snapshots:
            self.store.down = False
            self.store.restore(self.snapshots[place % len(self.snapshots)])
            self.numbers.clear()
            self._note_root()

    @rule(host=hosts)
    def read(self, host: str) -> None:
        """A daemon reads the service."""
        self._read(host)
        self._deliver()

    @rule(host=hosts)
    def begin_slow_read(self, host: str) -> None:
        """A daemon reads the root, and is slow to read the parts."""
        try:
            self.roots[host] = run_at_once(read_root(self.store))
        except StoreError:
            return

    @rule(host=hosts)
    def end_slow_read(self, host: str) -> None:
        """It reads the parts of the root that it read before."""
        stored = self.roots.pop(host, None)
        if stored is None:
            return
        held = self.bridges[host].configuration.parts
        try:
            parts = run_at_once(read_parts(self.store, stored.root, held))
        except StoreError:
            return
        self._tell(host, events.PartsRead(stored.root, parts))
        self._deliver()

    @rule(host=hosts)
    def delay(self, host: str) -> None:
        """Messages to a daemon are under way for long."""
        self.slow.add(host)

    @rule()
    def arrive(self) -> None:
        """They arrive, after others that were sent later."""
        self.slow.clear()
        self.queue += self.held_back
        self.held_back = []
        self._deliver()

    @rule(parts=st.integers(1, 3))
    def damage(self, parts: int) -> None:
        """The next parts that a peer sends hold other contents."""
        self.parts_to_damage = parts

    @rule(pair=st.sets(hosts, min_size=2, max_size=2))
    def cut(self, pair: set[str]) -> None:
        """Two daemons lose each other."""
        self.cuts.add(frozenset(pair))

    @rule()
    def heal(self) -> None:
        """All find each other again."""
        self.cuts.clear()

    @rule(ticks=st.integers(1, 8))
    def time_passes(self, ticks: int) -> None:
        """Heartbeats go round."""
        for _ in range(ticks):
            self._tick_all()

    @rule(host=hosts)
    def replace(self, host: str) -> None:
        """A host is replaced by an empty one."""
        self._start(host)
        self._deliver()

    # -- what must hold -----------------------------------------------------

    @invariant()
    def contents_were_accepted(self) -> None:
        """Each daemon holds just what was accepted under its generation."""
        for bridge in self.bridges.values():
            held = bridge.configuration
            if held.generation == 0:
                continue
            digests = self.accepted.get((held.generation, held.token))
            assert digests == held.parts.digests, "contents not accepted"
            sections = make_sections(self.sections[digests])
            assert held.sections == sections, "mixed contents"
            anew, _ = build_parts(held.generation, held.token, held.parts)
            assert held == anew, "look-ups are not those of the contents"

    def teardown(self) -> None:
        """Once all faults are gone, all daemons hold the highest."""
        self.cuts.clear()
        self.arrive()
        self.store.down = False
        self.store.next_writes = []
        self.parts_to_damage = 0
        for _ in range(CATCH_UP_TICKS):
            self._tick_all()
        for host in HOSTS:
            self._read(host)
        for _ in range(CATCH_UP_TICKS):
            self._tick_all()
        held = {bridge.configuration.generation for bridge in self.bridges.values()}
        root: Root = run_at_once(read_root(self.store)).root
        assert len(held) == 1, held
        assert held.pop() >= root.generation
        self.contents_were_accepted()
