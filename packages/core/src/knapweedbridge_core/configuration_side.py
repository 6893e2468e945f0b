"""The configuration in force: never a lower one, and how it crosses the pool.

A few daemons of a data centre watch the service. Whoever takes a new generation
shows its number in heartbeats at once; a neighbour that is behind asks for the
changes, or for the parts where the changes kept do not reach back far enough.
"""

from dataclasses import dataclass, field

from knapweedbridge_core import events, messages, rendezvous
from knapweedbridge_core.changes import change
from knapweedbridge_core.configuration import Configuration, build_parts
from knapweedbridge_core.configuration_responder import (
    MAX_DELTA_SECTIONS,
    MAX_PARTS_PER_REQUEST,
    ConfigurationResponder,
    root_of,
)
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.errors import ContentError
from knapweedbridge_core.parts import PARTS, Changes, Parts, Root, verify

WATCHERS = 2
FETCH_TIMEOUT_S = 1.0
SERVICE_AFTER_S = 3.0
SAFETY_READ_S = 60.0


@dataclass(slots=True)
class _Fetch:
    peer: str
    asked_s: float
    root: Root = field(default_factory=Root)
    contents: dict[int, bytes] = field(default_factory=dict)
    missing: list[int] = field(default_factory=list)
    in_flight: set[int] = field(default_factory=set)


class ConfigurationSide(Side):
    """Keeps the configuration of the shared context."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._giver = ConfigurationResponder(context)
        self._fetch: _Fetch | None = None
        self._behind_since_s: float | None = None
        self._read_s: float | None = None
        self.source = ""
        self._highest_heard = 0
        self._watch_key: tuple[int, bool, bool] | None = None
        self._is_watcher = False
        self.service_root = Root()
        self.service_seen = False

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.ConfigurationRead: self._configuration_read,
            events.PartsRead: self._parts_read,
            events.RootRead: self._root_seen,
            messages.Heartbeat: self._heartbeat,
            messages.ConfigurationRequest: self._giver.send_changes,
            messages.ConfigurationDelta: self._apply_delta,
            messages.ConfigurationRoot: self._root,
            messages.PartsRequest: self._giver.send_parts,
            messages.PartResponse: self._part_told,
        }

    @property
    def held(self) -> Root:
        """Root of the configuration in force."""
        return root_of(self._context.configuration)

    @property
    def highest_known(self) -> int:
        """Highest generation that this daemon or a member it heard holds."""
        members = self._context.members.known()
        return max([self.held.generation, *(member.generation for member in members)])

    def status(self) -> dict[str, str | int | bool]:
        """Return what operators see of the configuration's way here."""
        return {
            "token": self.held.token,
            "source": self.source,
            "watches": self.should_watch(),
            "service_reached": self.service_seen,
            "service_generation": self.service_root.generation,
            "highest_known": self.highest_known,
        }

    def should_watch(self) -> bool:
        """Tell whether this daemon is one of those that watch the service."""
        if self._waits_for_peers():
            return False
        members = self._context.members
        key = (members.version, members.is_stale, members.draining)
        if key != self._watch_key:
            self._watch_key = key
            names = members.available(self._context.data_centre)
            ordered = sorted(names, key=lambda name: rendezvous.score("watch", name))
            self._is_watcher = not names or self._context.host in ordered[:WATCHERS]
        return self._is_watcher

    def should_read(self) -> bool:
        """Tell whether to read the service although others watch it.

        At the start, where a gap lasts that no peer fills, and once a long
        while, should the members disagree about who watches.
        """
        now_s = self._context.now_s
        if self._read_s is None:
            return not self._waits_for_peers()
        behind_s = 0.0 if self._behind_since_s is None else now_s - self._behind_since_s
        pause_s = SERVICE_AFTER_S if behind_s > SERVICE_AFTER_S else SAFETY_READ_S
        return now_s - self._read_s >= pause_s

    def _waits_for_peers(self) -> bool:
        """Tell whether peers may still give what else the service has to.

        Were each starting daemon to read all parts there, a rolling restart of
        the fleet would take a third of the reads that the service allows.
        """
        fetches = self._fetch is not None and not self._is_overdue(self._fetch)
        return self.held.generation == 0 and (self._context.members.is_stale or fetches)

    def _tick(self, event: events.Tick) -> None:
        held = self.held.generation
        if self._highest_heard <= held:
            self._behind_since_s = None
            return
        ahead = [p for p in self._context.members.peers() if p.generation > held]
        if not ahead:
            self._highest_heard = held
            return
        if self._behind_since_s is None:
            self._behind_since_s = self._context.now_s
        if self._fetch is None or self._is_overdue(self._fetch):
            key = f"{self._context.host} {self._context.now_s}"
            peer = rendezvous.choose(key, [member.name for member in ahead])
            assert peer is not None
            self._begin(peer)

    def _is_overdue(self, fetch: _Fetch) -> bool:
        return self._context.now_s - fetch.asked_s > FETCH_TIMEOUT_S

    def _begin(self, peer: str) -> None:
        self._fetch = _Fetch(peer, self._context.now_s)
        held = self._context.configuration
        ask = messages.ConfigurationRequest(held.generation, held.token)
        self._context.send(peer, ask)

    def _heartbeat(self, message: messages.Heartbeat) -> None:
        if message.generation <= self.held.generation:
            return
        self._highest_heard = max(self._highest_heard, message.generation)
        if self._fetch is None or self._is_overdue(self._fetch):
            self._begin(message.host)

    def _configuration_read(self, event: events.ConfigurationRead) -> None:
        read = event.configuration
        if read.generation > self.held.generation:
            self._put_in_force(read, "service")

    def _parts_read(self, event: events.PartsRead) -> None:
        self._apply_parts(event.root, event.parts, "service")

    def _root_seen(self, event: events.RootRead) -> None:
        self._read_s = self._context.now_s
        root, before = event.root, self.service_root
        self.service_seen = True
        self.service_root = root
        if (root.generation, root.token) == (before.generation, before.token):
            return
        held = self.held
        fields = {"held": held.generation, "service": root.generation}
        if root.generation < held.generation:
            # A restore brought the service back with older contents. It shows
            # as a lower number; what is in force here stays in force.
            self._context.record("configuration.service_is_older", **fields)
        elif root.generation == held.generation and root.token != held.token:
            self._context.record("configuration.service_differs", **fields)

    def _apply_delta(self, message: messages.ConfigurationDelta) -> None:
        held = self._context.configuration
        newer = message.generation > held.generation
        if not newer or message.base_token != held.token:
            return
        parts = held.parts.changed(message.sections)
        if any(parts.digests[at] != name for at, name in message.digests.items()):
            # What follows from the changes is not what the sender holds, so one
            # of the two is damaged: take whole parts, whose names are verified.
            self._context.record("configuration.changes_differ")
            self._context.send(
                self._context.sender, messages.ConfigurationRequest(held.generation, "")
            )
            return
        configuration = change(
            held, message.generation, message.token, parts, message.sections
        )
        self._giver.record_delta(held.token, message.sections)
        self._put_in_force(configuration, self._context.sender)

    def _root(self, message: messages.ConfigurationRoot) -> None:
        fetch = self._fetch
        if fetch is None or message.generation <= self.held.generation:
            return
        if len(message.digests) != PARTS:
            return
        held = self.held.digests
        fetch.peer = self._context.sender
        fetch.asked_s = self._context.now_s
        fetch.root = Root(message.generation, message.token, tuple(message.digests))
        known = {
            place: content
            for place, content in fetch.contents.items()
            if _is_named(message.digests[place], content)
        }
        fetch.contents = known
        fetch.missing = [
            place
            for place in range(PARTS)
            if message.digests[place] != held[place] and place not in known
        ]
        self._ask_parts(fetch)

    def _ask_parts(self, fetch: _Fetch) -> None:
        if fetch.missing:
            places = fetch.missing[:MAX_PARTS_PER_REQUEST]
            fetch.in_flight = set(places)
            self._context.send(
                fetch.peer, messages.PartsRequest(fetch.root.token, places)
            )
            return
        parts = self._context.configuration.parts.replaced(fetch.contents)
        self._apply_parts(fetch.root, parts, fetch.peer)

    def _part_told(self, message: messages.PartResponse) -> None:
        fetch = self._fetch
        if fetch is None or message.token != fetch.root.token:
            return
        if message.place not in fetch.missing:
            return
        try:
            content = verify(fetch.root.digests[message.place], message.content)
        except ContentError:
            self._context.record("configuration.part_damaged", peer=fetch.peer)
            return
        fetch.contents[message.place] = content
        fetch.asked_s = self._context.now_s
        fetch.missing.remove(message.place)
        fetch.in_flight.discard(message.place)
        if not fetch.in_flight:
            self._ask_parts(fetch)

    def _apply_parts(self, root: Root, parts: Parts, source: str) -> None:
        held = self._context.configuration
        if root.generation <= held.generation or parts.digests != root.digests:
            return
        changes = self._small_changes(held, parts)
        if changes is None:
            configuration, _ = build_parts(root.generation, root.token, parts)
            self._giver.clear_deltas()
        else:
            configuration = change(held, root.generation, root.token, parts, changes)
            self._giver.record_delta(held.token, changes)
        self._put_in_force(configuration, source)

    @staticmethod
    def _small_changes(held: Configuration, parts: Parts) -> Changes | None:
        if not held.token:
            return None
        changes = parts.changes_from(held.parts)
        return changes if len(changes) <= MAX_DELTA_SECTIONS else None

    def _put_in_force(self, configuration: Configuration, source: str) -> None:
        generation = configuration.generation
        self._context.configuration = configuration
        self._fetch = None
        self.source = source
        fields = {"generation": generation, "source": source}
        self._context.record("configuration.in_force", **fields)
        if source != "service" and not self.service_seen:
            self._context.record("configuration.service_not_reached", **fields)
        self._context.dispatch(events.GenerationApplied(generation))


def _is_named(digest: str, content: bytes) -> bool:
    try:
        verify(digest, content)
    except ContentError:
        return False
    return True
