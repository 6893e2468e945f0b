"""Relay changes of the store and updates of engines to subscribers.

Without relays, each of 195 daemons receives updates of some eight owners, three times a
second each, and every change of the store's list, 52 a second. It knows nothing of the
other engines, and estimates their load as its own times the number of daemons: callers
are then refused although engines are idle.

A relay batches what arrives within `RELAY_INTERVAL_S` into one message per subscriber.
Its subscribers are the daemons of its data centre that rendezvous hashing assigns to it
and, for some seconds, those that sent it a request or a mark because their own relay is
silent or proves nothing.
"""

from collections.abc import Iterable
from dataclasses import replace
from itertools import chain

import anyio

from knapweedbridge_core.serving import Endpoint, SubscriberMarks, subscribers
from knapweedbridge_core.serving.messages import (
    EngineDelta,
    EngineSnapshot,
    RelayRequest,
    StoreUpdate,
)
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.relay_log import RelayLog
from knapweedbridge_daemon.serving.store_update_codec import pack_engines, pack_items
from knapweedbridge_daemon.store import StoreItem

RELAY_INTERVAL_S = 0.2
"""Interval between messages to subscribers. They determine which owner is asked before
a call is sent, and show where adapters are loaded or loading."""

HEARTBEAT_S = 0.39
"""Heartbeat interval: subscribers get a message even if nothing has changed, as
silence shows that a relay is gone."""

MAX_STORE_AGE_S = 1.5
"""Age of the store's last response above which a relay sends nothing about the store: a
watch waits 0.4 s, and pauses for 0.6 s. Subscribers then treat the relay as silent."""

SUBSCRIPTION_S = 5.0
"""How long a daemon stays subscribed after a request or a mark. One whose own relay is
still silent, or proves nothing, sends another."""


class UpdateRelay:
    """Task that sends updates to subscribers; idle in a daemon that is no relay.

    Parameters
    ----------
    hub : Hub
        Shared state.
    send : callable
        Sends a message to a daemon.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._was_relay = False
        self._since: int | None = None
        self._revision = 0
        self._store_answered_s = float("-inf")
        self._items: list[StoreItem] = []
        self._engine_updates: list[EngineSnapshot | EngineDelta] = []
        self._sent_s = float("-inf")
        self._last_recipients: set[str] = set()
        self._subscribed_s: dict[str, float] = {}
        self._marks = SubscriberMarks()
        self._log = RelayLog()
        self._missed_after: dict[str, int] = {}
        self._own_subscribers: list[str] = []
        self._own_subscribers_of: dict[str, list[str]] | None = None

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is a relay of its data centre."""
        identity, cluster = self._hub.identity, self._hub.cluster
        return identity.name in cluster.relays.get(identity.data_centre, ())

    def record_engine_update(self, message: EngineSnapshot | EngineDelta) -> None:
        """Queue an update that an owner sent to this daemon, after applying it."""
        if message.of_all and self.is_relay:
            self._engine_updates.append(message)

    def record_store_changes(
        self, since: int, revision: int, items: list[StoreItem], began_s: float
    ) -> None:
        """Queue the store's changes after the revision `since`, up to `revision`.

        Parameters
        ----------
        began_s : float
            Time of the hub's steady clock up to which the changes are complete: when
            the call to the store began, or the mark that another relay returned.
        """
        if since != self._revision:
            # While this daemon was briefly no relay, changes went by. Updates that
            # continued from here would hide the gap from subscribers.
            self._reset()
        if not self.is_relay:
            return
        self._store_answered_s = anyio.current_time()
        self._marks.answered(began_s)
        if self._since is None:
            self._since = since
        self._revision = revision
        self._items += items
        self._log.add(since, items)

    def record_mark(self, daemon: str, mark_s: float) -> None:
        """Record a subscriber's mark, to be returned once the store's answers cover it.

        The sender is subscribed from then on, whichever relay is its own, as its own
        proves nothing.
        """
        if self.is_relay:
            self._marks.record_mark(daemon, mark_s, self._hub.steady_s())
            self._subscribed_s[daemon] = anyio.current_time()

    async def record_relay_request(self, daemon: str, message: RelayRequest) -> None:
        """Subscribe a daemon for some seconds, and send it what it has missed."""
        if not self.is_relay:
            return
        self._subscribed_s[daemon] = anyio.current_time()
        if message.engines:
            self._last_recipients.discard(daemon)
        if message.revision:
            self._missed_after[daemon] = message.revision
        self._hub.log.info("relay.asked", daemon=daemon, revision=message.revision)

    async def run(self) -> None:
        """Send updates until cancelled."""
        while True:
            await anyio.sleep(RELAY_INTERVAL_S)
            self._log_role_change(self.is_relay)
            if self._was_relay:
                await self.send_updates(anyio.current_time())
            else:
                self._reset()

    def _log_role_change(self, is_relay: bool) -> None:
        if is_relay != self._was_relay:
            self._was_relay = is_relay
            kind = "relay.begun" if is_relay else "relay.ended"
            self._hub.log.info(kind, daemons=self._hub.daemons)

    def _reset(self) -> None:
        self._since = None
        self._revision = 0
        self._items, self._engine_updates = [], []
        self._last_recipients = set()
        self._log.clear()
        self._missed_after.clear()

    async def send_updates(self, now_s: float) -> None:
        """Send subscribers what has changed since the last update."""
        pending = self._items or self._engine_updates
        recipients = self._subscribers(now_s)
        new = [name for name in recipients if name not in self._last_recipients]
        has_requests = new or self._missed_after
        if not pending and not has_requests and now_s - self._sent_s < HEARTBEAT_S:
            return
        update = self._build_message(self._engine_updates, now_s)
        full = self._build_message(self._build_snapshots(now_s), now_s) if new else None
        self._sent_s, self._last_recipients = now_s, set(recipients)
        self._engine_updates = []
        if update.revision:
            self._since, self._items = None, []
        self._marks.retain(self._last_recipients)
        missed_after, self._missed_after = self._missed_after, {}
        all_relays = set(chain(*self._hub.cluster.relays.values()))
        for name in recipients:
            message = full if full and name in new else update
            if name in all_relays:
                # A relay that the store rejects; engines' owners update it directly.
                message = replace(message, engines=b"")
            if message.revision:
                message = replace(message, mark_s=self._marks.covered_s(name))
            if missed_after.get(name, message.since) < message.since:
                message = self._catch_up(message, missed_after[name])
            await self._send(name, message)

    def _catch_up(self, message: StoreUpdate, missed_after: int) -> StoreUpdate:
        """Return the message with all changes after a revision, if the log has them."""
        missed = self._log.after(missed_after)
        if missed is None:
            return message
        return replace(message, since=missed_after, items=pack_items(missed))

    def _build_message(
        self, rows: Iterable[EngineSnapshot | EngineDelta], now_s: float
    ) -> StoreUpdate:
        if now_s - self._store_answered_s > MAX_STORE_AGE_S:
            return StoreUpdate(0, 0, pack_items([]), pack_engines(rows))
        since = self._revision if self._since is None else self._since
        return StoreUpdate(
            since, self._revision, pack_items(self._items), pack_engines(rows)
        )

    def list_subscribers(self) -> list[str]:
        """Return the names of this daemon's subscribers; none if it is no relay.

        Other relays that are subscribed for a while are left out: they pass updates on
        as well, which would travel in a circle.
        """
        if not self.is_relay:
            return []
        relays = set(chain(*self._hub.cluster.relays.values()))
        found = self._subscribers(anyio.current_time())
        return [name for name in found if name not in relays]

    def _subscribers(self, now_s: float) -> list[str]:
        found = self._find_own_subscribers()
        for name, subscribed_s in list(self._subscribed_s.items()):
            if now_s - subscribed_s > SUBSCRIPTION_S:
                del self._subscribed_s[name]
            elif name not in found:
                found.append(name)
        return found

    def _find_own_subscribers(self) -> list[str]:
        """Return the daemons that rendezvous hashing assigns to this relay.

        They are cached until the list of daemons changes, which saves two hashes per
        daemon of the data centre for each update.
        """
        identity, cluster = self._hub.identity, self._hub.cluster
        if self._own_subscribers_of is not cluster.ranks:
            self._own_subscribers_of = cluster.ranks
            all_relays = cluster.relays.get(identity.data_centre, [])
            self._own_subscribers = subscribers(
                *(cluster.daemons.values(), identity.data_centre, identity.name),
                all_relays,
            )
        return list(self._own_subscribers)

    def _build_snapshots(self, now_s: float) -> list[EngineSnapshot | EngineDelta]:
        fleet = self._hub.cluster.fleet
        updated: list[Endpoint] = [
            e for e in fleet.engines() if e.has_recent_update(now_s)
        ]
        return [fleet.build_snapshot(each, now_s) for each in updated]
