"""Many daemon cores with their streams and the service's root, in virtual time.

Only what membership and the configuration need: no engines and no requests.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Any

from knapweedbridge_core import Bridge, events
from knapweedbridge_core.actions import Record, SendPeer
from knapweedbridge_core.codec import encode, tag_of
from knapweedbridge_core.parts import Changes, Parts, Root, Sections

TICK_S = 0.5
LOOK_S = 0.25
WATCH_S = 0.02
REFUSED_S = 0.005
DATA_CENTRES = 3
DELAY_S = (0.0005, 0.002)


@dataclass(slots=True)
class Traffic:
    """What one daemon sent."""

    sent_bytes: int = 0
    messages: int = 0
    kinds: Counter = field(default_factory=Counter)
    peers: set[str] = field(default_factory=set)


@dataclass(slots=True)
class PoolNode:
    """One daemon."""

    bridge: Bridge
    clock_offset_s: float
    alive: bool = True
    refuses: bool = True
    paused: bool = False
    backlog: list[Any] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    traffic: Traffic = field(default_factory=Traffic)
    taken_s: dict[int, float] = field(default_factory=dict)

    def recorded(self, kind: str) -> list[Record]:
        """Return the events of one kind on the time line."""
        return [record for record in self.records if record.kind == kind]


@dataclass(slots=True)
class PoolService:
    """The root and the parts as the service holds them."""

    root: Root = field(default_factory=Root)
    parts: Parts = field(default_factory=Parts)
    down: bool = False
    root_reads: int = 0
    part_reads: int = 0


class Pool:
    """A pool under way; one thread, virtual time.

    Parameters
    ----------
    daemons : int
        How many there are.
    seed : int
        The same seed gives the same history.
    """

    def __init__(self, daemons: int, seed: int = 1) -> None:
        self.now_s = 0.0
        self.service = PoolService()
        self.nodes: dict[str, PoolNode] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.cut_from_service: set[str] = set()
        self._rng = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._incarnations = count(1)
        self._arrival_s: dict[tuple[str, str], float] = {}
        self._names = [f"host-{place}" for place in range(daemons)]
        for name in self._names:
            self.start(name)

    # -- time ---------------------------------------------------------------

    def after(self, delay_s: float, work: Callable[[], None]) -> None:
        """Do something after a delay."""
        entry = (self.now_s + delay_s, next(self._sequence), work)
        heapq.heappush(self._queue, entry)

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        until_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, work = heapq.heappop(self._queue)
            work()
        self.now_s = until_s

    def run_until(self, reached: Callable[[], bool], limit_s: float) -> float | None:
        """Let time pass until something holds; return how long it took."""
        since_s = self.now_s
        while self.now_s - since_s < limit_s:
            if reached():
                return self.now_s - since_s
            self.run(0.05)
        return None

    # -- daemons ------------------------------------------------------------

    def start(self, host: str) -> None:
        """Start a daemon, or start it anew."""
        place = int(host.rpartition("-")[2])
        data_centre = f"dc{place % DATA_CENTRES}"
        bridge = Bridge(host, data_centre, next(self._incarnations))
        node = PoolNode(bridge, self._rng.uniform(0, 1000))
        self.nodes[host] = node
        self._handle(host, node, events.HostsListed(self.listed()))
        self.after(self._rng.uniform(0, TICK_S), lambda: self._tick(host, node))
        self.after(self._rng.uniform(0, LOOK_S), lambda: self._look(host, node))

    def kill(self, host: str, refuses: bool = True) -> None:
        """End a daemon; its host refuses new streams, or is gone altogether."""
        self.nodes[host].alive = False
        self.nodes[host].refuses = refuses
        if refuses:
            for other, node in self.nodes.items():
                if host in node.traffic.peers:
                    self._unlink(other, host)

    def pause(self, host: str, pause_s: float) -> None:
        """Stop a daemon's processor; what arrives waits until it wakes."""
        node = self.nodes[host]
        node.paused = True
        self.after(pause_s, lambda: self._wake(host, node))

    def _wake(self, host: str, node: PoolNode) -> None:
        node.paused = False
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            self._handle(host, node, event)

    def cut(self, sender: str, receiver: str) -> None:
        """Let nothing pass from one daemon to another."""
        self.cuts.add((sender, receiver))

    def partition(self, side: set[str]) -> None:
        """Cut some daemons from all others."""
        for other in set(self.nodes) - side:
            for host in side:
                self.cuts |= {(host, other), (other, host)}

    def heal(self) -> None:
        """Mend all cuts."""
        self.cuts.clear()
        self.cut_from_service.clear()

    def live(self) -> list[str]:
        """Name the daemons that run."""
        return [name for name, node in self.nodes.items() if node.alive]

    def listed(self) -> tuple[events.ListedHost, ...]:
        """Return the platform's list."""
        return tuple(
            events.ListedHost(
                name,
                "daemon",
                f"dc{int(name.rpartition('-')[2]) % DATA_CENTRES}",
                "127.0.0.1:2",
                False,
            )
            for name in self._names
        )

    def agree(self, dead: set[str] | None = None) -> bool:
        """Tell whether every daemon that runs sees just these as dead."""
        living = set(self._names) - (dead or set())
        return all(
            {peer.name for peer in self.nodes[host].bridge.members.peers()}
            == living - {host}
            for host in self.live()
        )

    def reset_traffic(self) -> None:
        """Count what is sent from now on."""
        for node in self.nodes.values():
            node.traffic = Traffic(peers=node.traffic.peers)

    def _tick(self, host: str, node: PoolNode) -> None:
        if node.alive:
            if not node.paused:
                self._handle(host, node, events.Tick())
            self.after(TICK_S, lambda: self._tick(host, node))

    def _take(self, host: str, node: PoolNode, event: Any) -> None:
        if not node.alive or self.nodes[host] is not node:
            return
        if node.paused:
            node.backlog.append(event)
        else:
            self._handle(host, node, event)

    def _handle(self, host: str, node: PoolNode, event: Any) -> None:
        for action in node.bridge.handle(event, node.clock_offset_s + self.now_s):
            if isinstance(action, SendPeer):
                self._send(host, node, action)
            elif isinstance(action, Record):
                node.records.append(action)
        node.taken_s.setdefault(node.bridge.configuration.generation, self.now_s)

    # -- network ------------------------------------------------------------

    def _send(self, host: str, node: PoolNode, action: SendPeer) -> None:
        size = len(encode(action.message))
        node.traffic.sent_bytes += size
        node.traffic.messages += 1
        node.traffic.kinds[tag_of(action.message)] += size
        node.traffic.peers.add(action.host)
        pair = (host, action.host)
        if pair in self.cuts:
            return
        receiver = self.nodes.get(action.host)
        if receiver is None or not receiver.alive:
            if receiver is None or receiver.refuses:
                self._unlink(host, action.host)
            return
        delay_s = self._rng.uniform(*DELAY_S)
        arrival_s = max(self.now_s + delay_s, self._arrival_s.get(pair, 0.0))
        self._arrival_s[pair] = arrival_s
        heard = events.PeerMessage(host, action.message)
        self.after(
            arrival_s - self.now_s, lambda: self._take(action.host, receiver, heard)
        )

    def _unlink(self, host: str, peer: str) -> None:
        node = self.nodes[host]
        node.traffic.peers.discard(peer)
        unlinked = events.PeerDisconnected(peer)
        self.after(REFUSED_S, lambda: self._take(host, node, unlinked))

    # -- service ------------------------------------------------------------

    def apply(self, sections: Sections) -> int:
        """Write a whole configuration as the next generation."""
        return self._write(Parts.of(sections))

    def apply_changes(self, changes: Changes) -> int:
        """Write a change of some sections as the next generation."""
        return self._write(self.service.parts.changed(changes))

    def _write(self, parts: Parts) -> int:
        highest = max(
            node.bridge.distribution.highest_known
            for node in self.nodes.values()
            if node.alive
        )
        generation = max(highest, self.service.root.generation) + 1
        token = f"token-{self._rng.getrandbits(64):016x}"
        self.restore(Root(generation, token, parts.digests), parts)
        return generation

    def restore(self, root: Root, parts: Parts) -> None:
        """Let the service hold these contents, older ones too."""
        self.service.root = root
        self.service.parts = parts
        for host, node in self.nodes.items():
            if node.alive and node.bridge.distribution.should_watch():
                self.after(WATCH_S, partial(self._read, host, node))

    def in_force(self, generation: int) -> bool:
        """Tell whether every daemon that runs holds this generation."""
        return all(
            self.nodes[host].bridge.configuration.generation == generation
            for host in self.live()
        )

    def _look(self, host: str, node: PoolNode) -> None:
        if not node.alive or self.nodes[host] is not node:
            return
        distribution = node.bridge.distribution
        watches = distribution.should_watch() and not distribution.service_seen
        if not node.paused and (watches or distribution.should_read()):
            self._read(host, node)
        self.after(LOOK_S, lambda: self._look(host, node))

    def _read(self, host: str, node: PoolNode) -> None:
        self.service.root_reads += 1
        if self.service.down or host in self.cut_from_service:
            return
        root, parts = self.service.root, self.service.parts
        self._take(host, node, events.RootRead(root))
        held = node.bridge.configuration
        if root.generation > held.generation:
            pairs = zip(root.digests, held.parts.digests, strict=True)
            self.service.part_reads += sum(new != old for new, old in pairs)
            self._take(host, node, events.PartsRead(root, parts))
