"""Keeps the active configuration up to date and propagates it through the pool.

A few daemons of each data centre watch the key-value service. A daemon that
activates a new generation announces its number in its next heartbeats. A neighbour
that is behind requests the changes, or the parts that differ if the deltas kept do
not reach back far enough. The active generation never decreases.
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

WATCHERS_PER_DATA_CENTRE = 2
FETCH_TIMEOUT_S = 1.0
BEHIND_READ_INTERVAL_S = 3.0
SAFETY_READ_INTERVAL_S = 60.0


@dataclass(slots=True)
class _Fetch:
    """A configuration that is being fetched from a peer."""

    peer: str
    requested_s: float
    root: Root = field(default_factory=Root)
    contents: dict[int, bytes] = field(default_factory=dict)
    missing: list[int] = field(default_factory=list)
    in_flight: set[int] = field(default_factory=set)


class ConfigurationSide(Side):
    """Updates the active configuration in the shared context."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._responder = ConfigurationResponder(context)
        self._fetch: _Fetch | None = None
        self._behind_since_s: float | None = None
        self._read_s: float | None = None
        self.source = ""
        self._highest_advertised = 0
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
            events.RootRead: self._root_read,
            messages.Heartbeat: self._heartbeat,
            messages.ConfigurationRequest: self._responder.send_changes,
            messages.ConfigurationDelta: self._apply_delta,
            messages.ConfigurationRoot: self._root_received,
            messages.PartsRequest: self._responder.send_parts,
            messages.PartResponse: self._part_received,
        }

    @property
    def held(self) -> Root:
        """Root of the active configuration."""
        return root_of(self._context.configuration)

    @property
    def highest_known(self) -> int:
        """Highest generation held by this daemon or reported by a known member."""
        members = self._context.members.known()
        return max([self.held.generation, *(member.generation for member in members)])

    def status(self) -> dict[str, str | int | bool]:
        """Return the propagation status of the configuration, as operators see it."""
        return {
            "token": self.held.token,
            "source": self.source,
            "watches": self.should_watch(),
            "service_reached": self.service_seen,
            "service_generation": self.service_root.generation,
            "highest_known": self.highest_known,
        }

    def should_watch(self) -> bool:
        """Return whether this daemon is a watcher of the key-value service."""
        if self._may_wait_for_peers():
            return False
        members = self._context.members
        key = (members.version, members.is_stale, members.draining)
        if key != self._watch_key:
            self._watch_key = key
            names = members.available(self._context.data_centre)
            ordered = sorted(names, key=lambda name: rendezvous.score("watch", name))
            self._is_watcher = (
                not names or self._context.host in ordered[:WATCHERS_PER_DATA_CENTRE]
            )
        return self._is_watcher

    def should_read(self) -> bool:
        """Return whether to read the key-value service although others watch it.

        This is so at the start, while a newer generation is known that no peer has
        sent, and at a long interval in case members disagree about who watches.
        """
        now_s = self._context.now_s
        if self._read_s is None:
            return not self._may_wait_for_peers()
        behind_s = 0.0 if self._behind_since_s is None else now_s - self._behind_since_s
        pause_s = (
            BEHIND_READ_INTERVAL_S
            if behind_s > BEHIND_READ_INTERVAL_S
            else SAFETY_READ_INTERVAL_S
        )
        return now_s - self._read_s >= pause_s

    def _may_wait_for_peers(self) -> bool:
        """Return whether peers may still send the first configuration.

        If every starting daemon read all parts from the key-value service, a rolling
        restart of the fleet would take a third of the reads that the service allows.
        """
        fetches = self._fetch is not None and not self._is_overdue(self._fetch)
        return self.held.generation == 0 and (self._context.members.is_stale or fetches)

    def _tick(self, event: events.Tick) -> None:
        held = self.held.generation
        if self._highest_advertised <= held:
            self._behind_since_s = None
            return
        ahead = [p for p in self._context.members.peers() if p.generation > held]
        if not ahead:
            self._highest_advertised = held
            return
        if self._behind_since_s is None:
            self._behind_since_s = self._context.now_s
        if self._fetch is None or self._is_overdue(self._fetch):
            key = f"{self._context.host} {self._context.now_s}"
            peer = rendezvous.choose(key, [member.name for member in ahead])
            assert peer is not None
            self._start_fetch(peer)

    def _is_overdue(self, fetch: _Fetch) -> bool:
        return self._context.now_s - fetch.requested_s > FETCH_TIMEOUT_S

    def _start_fetch(self, peer: str) -> None:
        self._fetch = _Fetch(peer, self._context.now_s)
        held = self._context.configuration
        request = messages.ConfigurationRequest(held.generation, held.token)
        self._context.send(peer, request)

    def _heartbeat(self, message: messages.Heartbeat) -> None:
        if message.generation <= self.held.generation:
            return
        self._highest_advertised = max(self._highest_advertised, message.generation)
        if self._fetch is None or self._is_overdue(self._fetch):
            self._start_fetch(message.host)

    def _configuration_read(self, event: events.ConfigurationRead) -> None:
        read = event.configuration
        if read.generation > self.held.generation:
            self._activate(read, "service")

    def _parts_read(self, event: events.PartsRead) -> None:
        self._apply_parts(event.root, event.parts, "service")

    def _root_read(self, event: events.RootRead) -> None:
        self._read_s = self._context.now_s
        root, before = event.root, self.service_root
        self.service_seen = True
        self.service_root = root
        if (root.generation, root.token) == (before.generation, before.token):
            return
        held = self.held
        fields = {"held": held.generation, "service": root.generation}
        if root.generation < held.generation:
            # The key-value service was restored from an older backup. The
            # configuration that is active here stays active.
            self._context.record("configuration.service_is_older", **fields)
        elif root.generation == held.generation and root.token != held.token:
            self._context.record("configuration.service_differs", **fields)

    def _apply_delta(self, message: messages.ConfigurationDelta) -> None:
        held = self._context.configuration
        newer = message.generation > held.generation
        if not newer or message.base_token != held.token:
            return
        parts = held.parts.changed(message.sections)
        if any(parts.digests[i] != digest for i, digest in message.digests.items()):
            # Applying the changes does not give the sender's configuration, so one
            # of the two is damaged: fetch whole parts, whose digests are verified.
            self._context.record("configuration.changes_differ")
            self._context.send(
                self._context.sender, messages.ConfigurationRequest(held.generation, "")
            )
            return
        configuration = change(
            held, message.generation, message.token, parts, message.sections
        )
        self._responder.record_delta(held.token, message.sections)
        self._activate(configuration, self._context.sender)

    def _root_received(self, message: messages.ConfigurationRoot) -> None:
        fetch = self._fetch
        if fetch is None or message.generation <= self.held.generation:
            return
        if len(message.digests) != PARTS:
            return
        held = self.held.digests
        fetch.peer = self._context.sender
        fetch.requested_s = self._context.now_s
        fetch.root = Root(message.generation, message.token, tuple(message.digests))
        known = {
            index: content
            for index, content in fetch.contents.items()
            if _has_digest(message.digests[index], content)
        }
        fetch.contents = known
        fetch.missing = [
            index
            for index in range(PARTS)
            if message.digests[index] != held[index] and index not in known
        ]
        self._request_parts(fetch)

    def _request_parts(self, fetch: _Fetch) -> None:
        if fetch.missing:
            indices = fetch.missing[:MAX_PARTS_PER_REQUEST]
            fetch.in_flight = set(indices)
            self._context.send(
                fetch.peer, messages.PartsRequest(fetch.root.token, indices)
            )
            return
        parts = self._context.configuration.parts.replaced(fetch.contents)
        self._apply_parts(fetch.root, parts, fetch.peer)

    def _part_received(self, message: messages.PartResponse) -> None:
        fetch = self._fetch
        if fetch is None or message.token != fetch.root.token:
            return
        if message.index not in fetch.missing:
            return
        try:
            content = verify(fetch.root.digests[message.index], message.content)
        except ContentError:
            self._context.record("configuration.part_damaged", peer=fetch.peer)
            return
        fetch.contents[message.index] = content
        fetch.requested_s = self._context.now_s
        fetch.missing.remove(message.index)
        fetch.in_flight.discard(message.index)
        if not fetch.in_flight:
            self._request_parts(fetch)

    def _apply_parts(self, root: Root, parts: Parts, source: str) -> None:
        held = self._context.configuration
        if root.generation <= held.generation or parts.digests != root.digests:
            return
        changes = self._find_delta(held, parts)
        if changes is None:
            configuration, _ = build_parts(root.generation, root.token, parts)
            self._responder.clear_deltas()
        else:
            configuration = change(held, root.generation, root.token, parts, changes)
            self._responder.record_delta(held.token, changes)
        self._activate(configuration, source)

    @staticmethod
    def _find_delta(held: Configuration, parts: Parts) -> Changes | None:
        if not held.token:
            return None
        changes = parts.changes_from(held.parts)
        return changes if len(changes) <= MAX_DELTA_SECTIONS else None

    def _activate(self, configuration: Configuration, source: str) -> None:
        generation = configuration.generation
        self._context.configuration = configuration
        self._fetch = None
        self.source = source
        fields = {"generation": generation, "source": source}
        self._context.record("configuration.in_force", **fields)
        if source != "service" and not self.service_seen:
            self._context.record("configuration.service_not_reached", **fields)
        self._context.dispatch(events.GenerationApplied(generation))


def _has_digest(digest: str, content: bytes) -> bool:
    try:
        verify(digest, content)
    except ContentError:
        return False
    return True
