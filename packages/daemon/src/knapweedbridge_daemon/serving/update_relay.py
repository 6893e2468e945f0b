"""Hands on what a relay hears of the store and of the engines.

The load that this answers: in a pool of 195 daemons each heard some eight owners,
three times a second each, and every entry of the store's list, 52 a second. It knew
nothing of the other engines, and took them to run what it ran itself times the daemons:
with five calls of its own sixteen each, so callers were refused by engines that idled.

A relay joins what comes within `RELAY_INTERVAL_S` into one message a hearer. Its hearers are the
daemons of its data centre for which hashing chooses it, and for some seconds those that
asked it, or marked at it, because theirs is silent or proves nothing.
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
"""Pause between messages to hearers. What they say steers which owner is asked before a
call is sent, and where adapters are held or coming."""

STILL_S = 0.39
"""Pause after which hearers are told even if nothing came: silence shows a relay that
is gone."""

STORE_AGE_S = 1.5
"""Age of the store's last answer past which a relay says nothing of the store: a watch
waits 0.4 s, and pauses for 0.6 s. Its hearers then count it as silent."""

ADOPTED_S = 5.0
"""How long a relay tells a daemon that asked it or marked at it; one whose own relay is
still silent, or proves nothing, does so again."""


class UpdateRelay:
    """The task of a relay, which idles in a daemon that is none.

    Parameters
    ----------
    hub : Hub
        Beliefs.
    send : callable
        Sends a message to a daemon.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._was_relay = False
        self._since: int | None = None
        self._revision = 0
        self._heard_s = float("-inf")
        self._items: list[StoreItem] = []
        self._rows: list[EngineSnapshot | EngineDelta] = []
        self._told_s = float("-inf")
        self._told: set[str] = set()
        self._adopted_s: dict[str, float] = {}
        self._marks = SubscriberMarks()
        self._log = RelayLog()
        self._missed_after: dict[str, int] = {}
        self._own_hearers: list[str] = []
        self._hearers_of: dict[str, list[str]] | None = None

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is a relay of its data centre."""
        identity, cluster = self._hub.identity, self._hub.cluster
        return identity.name in cluster.relays.get(identity.data_centre, ())

    def record_engine_update(self, message: EngineSnapshot | EngineDelta) -> None:
        """Take what an owner told this daemon itself, once it is believed here."""
        if message.of_all and self.is_relay:
            self._rows.append(message)

    def record_store_changes(
        self, since: int, revision: int, items: list[StoreItem], began_s: float
    ) -> None:
        """Take what the store told after a revision, up to another.

        Parameters
        ----------
        began_s : float
            Moment of the hub's steady clock that this covers: when the call to the
            store began, or the mark that another relay gave back.
        """
        if since != self._revision:
            # It was no relay for a moment, and passed over what came then. Told on
            # from there, hearers would never know that something is missing.
            self._forget()
        if not self.is_relay:
            return
        self._heard_s = anyio.current_time()
        self._marks.answered(began_s)
        if self._since is None:
            self._since = since
        self._revision = revision
        self._items += items
        self._log.add(since, items)

    def record_mark(self, daemon: str, mark_s: float) -> None:
        """Take a hearer's mark, to be given back once the store's answers cover it.

        It is told from then on, whichever relay is its own: its own proves nothing.
        """
        if self.is_relay:
            self._marks.record_mark(daemon, mark_s, self._hub.steady_s())
            self._adopted_s[daemon] = anyio.current_time()

    async def record_relay_request(self, daemon: str, message: RelayRequest) -> None:
        """Tell a daemon what it has missed, and go on telling it for some seconds."""
        if not self.is_relay:
            return
        self._adopted_s[daemon] = anyio.current_time()
        if message.engines:
            self._told.discard(daemon)
        if message.revision:
            self._missed_after[daemon] = message.revision
        self._hub.log.info("relay.asked", daemon=daemon, revision=message.revision)

    async def run(self) -> None:
        """Tell the hearers until cancelled."""
        while True:
            await anyio.sleep(RELAY_INTERVAL_S)
            self._note_role(self.is_relay)
            if self._was_relay:
                await self.send_updates(anyio.current_time())
            else:
                self._forget()

    def _note_role(self, is_relay: bool) -> None:
        if is_relay != self._was_relay:
            self._was_relay = is_relay
            kind = "relay.begun" if is_relay else "relay.ended"
            self._hub.log.info(kind, daemons=self._hub.daemons)

    def _forget(self) -> None:
        self._since = None
        self._revision = 0
        self._items, self._rows = [], []
        self._told = set()
        self._log.clear()
        self._missed_after.clear()

    async def send_updates(self, now_s: float) -> None:
        """Tell the hearers what came since they were told last."""
        news = self._items or self._rows
        wanted = self._subscribers(now_s)
        new = [name for name in wanted if name not in self._told]
        record_relay_request = new or self._missed_after
        if not news and not record_relay_request and now_s - self._told_s < STILL_S:
            return
        told = self._message(self._rows, now_s)
        full = self._message(self._all_rows(now_s), now_s) if new else None
        self._told_s, self._told = now_s, set(wanted)
        self._rows = []
        if told.revision:
            self._since, self._items = None, []
        self._marks.retain(self._told)
        missed_after, self._missed_after = self._missed_after, {}
        all_relays = set(chain(*self._hub.cluster.relays.values()))
        for name in wanted:
            message = full if full and name in new else told
            if name in all_relays:
                # One that the store turns away; it hears the engines' owners itself.
                message = replace(message, engines=b"")
            if message.revision:
                message = replace(message, mark_s=self._marks.covered_s(name))
            if missed_after.get(name, message.since) < message.since:
                message = self._catch_up(message, missed_after[name])
            await self._send(name, message)

    def _catch_up(self, message: StoreUpdate, missed_after: int) -> StoreUpdate:
        """Add the changes after a revision, where all of them are kept."""
        missed = self._log.after(missed_after)
        if missed is None:
            return message
        return replace(message, since=missed_after, items=pack_items(missed))

    def _message(
        self, rows: Iterable[EngineSnapshot | EngineDelta], now_s: float
    ) -> StoreUpdate:
        if now_s - self._heard_s > STORE_AGE_S:
            return StoreUpdate(0, 0, pack_items([]), pack_engines(rows))
        since = self._revision if self._since is None else self._since
        return StoreUpdate(
            since, self._revision, pack_items(self._items), pack_engines(rows)
        )

    def list_subscribers(self) -> list[str]:
        """Name those that this daemon hands news on to; none where it is no relay.

        Other relays that hear it for a while are left out: they hand news on as well,
        and it would go round between them.
        """
        if not self.is_relay:
            return []
        relays = set(chain(*self._hub.cluster.relays.values()))
        found = self._subscribers(anyio.current_time())
        return [name for name in found if name not in relays]

    def _subscribers(self, now_s: float) -> list[str]:
        found = self._find_own_hearers()
        for name, asked_s in list(self._adopted_s.items()):
            if now_s - asked_s > ADOPTED_S:
                del self._adopted_s[name]
            elif name not in found:
                found.append(name)
        return found

    def _find_own_hearers(self) -> list[str]:
        """Return those for which hashing chooses this relay; anew where daemons change.

        Two hashes a daemon of the data centre were made for each telling.
        """
        identity, cluster = self._hub.identity, self._hub.cluster
        if self._hearers_of is not cluster.ranks:
            self._hearers_of = cluster.ranks
            all_relays = cluster.relays.get(identity.data_centre, [])
            self._own_hearers = subscribers(
                *(cluster.daemons.values(), identity.data_centre, identity.name),
                all_relays,
            )
        return list(self._own_hearers)

    def _all_rows(self, now_s: float) -> list[EngineSnapshot | EngineDelta]:
        fleet = self._hub.cluster.fleet
        heard: list[Endpoint] = [
            e for e in fleet.engines() if e.has_recent_update(now_s)
        ]
        return [fleet.build_snapshot(each, now_s) for each in heard]
