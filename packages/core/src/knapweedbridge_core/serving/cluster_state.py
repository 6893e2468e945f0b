"""A daemon's copy of what the platform's store says, which is never set back."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import chain

from knapweedbridge_core.rendezvous import choose
from knapweedbridge_core.serving.deployment import Deployment
from knapweedbridge_core.serving.endpoint_records import EndpointRecord
from knapweedbridge_core.serving.fleet import Fleet
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.named_versions import NamedVersions, ServableVersions
from knapweedbridge_core.serving.ownership import (
    DaemonRecord,
    LostOwner,
    OwnerRecord,
)
from knapweedbridge_core.serving.pool import (
    LARGE_LISTED_S,
    STARTING_S,
    is_small,
    quota_coordinators,
    ranked,
    relays,
)
from knapweedbridge_core.serving.protocols import FIRST_PROTOCOL
from knapweedbridge_core.serving.store_events import (
    CallAllowed,
    CallRefused,
    DaemonAnnounced,
    DaemonGone,
    DaemonNamed,
    DeploymentNamed,
    EndpointGone,
    EndpointNamed,
    EndpointUnreadable,
    LinksBack,
    LinksLost,
    OwnerGone,
    OwnerNamed,
    ProtocolNamed,
    SecretNamed,
    SoftwareRecorded,
    SoftwareServed,
    StoreEvent,
    VersionNamed,
)
from knapweedbridge_core.serving.succession import Succession

__all__ = [
    "CallAllowed",
    "CallRefused",
    "ClusterState",
    "DaemonAnnounced",
    "DaemonGone",
    "DaemonNamed",
    "DeploymentNamed",
    "EndpointGone",
    "EndpointNamed",
    "EndpointUnreadable",
    "LinksBack",
    "LinksLost",
    "OwnerGone",
    "OwnerNamed",
    "ProtocolNamed",
    "SecretNamed",
    "SoftwareRecorded",
    "SoftwareServed",
    "StoreEvent",
    "VersionNamed",
]


@dataclass(slots=True)
class ClusterState:
    """All that one daemon knows of the deployment.

    Parameters
    ----------
    fleet : Fleet
        The endpoints.
    deployment : Deployment or None
        Newest configuration seen; None before the first.
    lost_owners : dict of str to dict
        By engine and owner, the owners whose records disappeared without a release.
    owner_changes : int
        Increases with each change of the daemons or of the engines' owners.
    older_version_s : float
        Time after the acknowledgement of a version during which work may still begin on
        an older one.
    """

    fleet: Fleet = field(default_factory=Fleet)
    deployment: Deployment | None = None
    versions: dict[ModelRef, NamedVersions] = field(default_factory=dict)
    daemons: dict[str, DaemonRecord] = field(default_factory=dict)
    owners: dict[str, OwnerRecord] = field(default_factory=dict)
    free_since_s: dict[str, float] = field(default_factory=dict)
    lost_owners: dict[str, dict[str, LostOwner]] = field(default_factory=dict)
    secret: bytes = b""
    owner_changes: int = 0
    older_version_s: float = 5.0
    _ranks: dict[str, list[str]] | None = None
    _ranked_small: bool = True
    _large_until_s: float = -math.inf
    _first_s: float = math.inf
    _starting: bool = True
    _relays: dict[str, list[str]] = field(default_factory=dict)
    _links_lost: dict[str, int] = field(default_factory=dict)
    _protocols: dict[str, ProtocolNamed] = field(default_factory=dict)
    _started_s: dict[str, float] = field(default_factory=dict)
    _announced_until_s: dict[str, float] = field(default_factory=dict)

    @property
    def without_links(self) -> set[str]:
        """Daemons that have published since their start that they reach no endpoint."""
        return {
            name
            for name, incarnation in self._links_lost.items()
            if name in self.daemons and self.daemons[name].incarnation == incarnation
        }

    @property
    def relays(self) -> dict[str, list[str]]:
        """The relays of a large pool, by data centre; empty in a small one."""
        self._rank()
        return self._relays

    @property
    def quota_coordinators(self) -> dict[str, list[str]]:
        """The daemons that may keep parts of quotas, by data centre."""
        return quota_coordinators(self._rank())

    @property
    def coordinators(self) -> dict[str, list[str]]:
        """The daemons that may keep state of calls for others, by data centre."""
        return self.ranks if self.is_small_pool else self.quota_coordinators

    @property
    def ranks(self) -> dict[str, list[str]]:
        """The daemons to which duties are assigned; a new object after each change."""
        return self._rank()

    def _rank(self) -> dict[str, list[str]]:
        small = self.is_small_pool
        if self._ranks is None or small != self._ranked_small:
            self._ranks = ranked(self.daemons.values())
            self._relays = {} if small else relays(self._ranks)
            self._ranked_small = small
        return self._ranks

    @property
    def is_small_pool(self) -> bool:
        """Whether every daemon watches the store and receives all owners' messages.

        When all hosts of a large pool restart at once, few daemons are listed at first.
        If the pool then counted as small, each daemon would read the store itself and
        send its messages to all others.
        """
        was_large = self._large_until_s > -math.inf
        endpoints = self.fleet.endpoints if self._starting else ()
        return not was_large and is_small(self.daemons, endpoints)

    def update_clock(self, now_s: float) -> None:
        """Update the time; a pool that was large long ago counts as small again."""
        self._first_s = min(self._first_s, now_s)
        self._starting = now_s < self._first_s + STARTING_S
        if now_s >= self._large_until_s:
            self._large_until_s = -math.inf
        for name, until_s in list(self._announced_until_s.items()):
            if now_s >= until_s:
                # The announcement was late: the daemon has left the list since.
                self._take_daemon_listing(DaemonGone(name), now_s)

    def relays_for(self, name: str, data_centre: str) -> list[str]:
        """Return the relays that a daemon may subscribe to, its own first.

        Empty if the daemon follows the store itself: in a small pool, as a relay, and
        while it is not listed, as relays only send to listed daemons.
        """
        able = self.relays.get(data_centre, [])
        if name in able or name not in self.daemons:
            return []
        own = choose(name, able)
        return sorted(able, key=lambda relay: relay != own)

    def fallback_relays(self, name: str, data_centre: str) -> list[str]:
        """Return relays for a daemon that follows the store itself but gets no answer.

        These are the others of its data centre and one elsewhere: a store that rejects
        a third of the hosts rejects both relays of a data centre now and then.
        """
        able = self.relays.get(data_centre, [])
        elsewhere = [each for each in chain(*self.relays.values()) if each not in able]
        far = choose(name, elsewhere)
        return [each for each in able if each != name] + ([far] if far else [])

    def take(
        self,
        store_event: StoreEvent,
        now_s: float,
        lapsed_until_s: float = -math.inf,
        known_s: float = -math.inf,
    ) -> bool:
        """Apply an event of the store; return whether it changed anything.

        Parameters
        ----------
        lapsed_until_s : float
            Time until which a removed entry may be an expired one; see
            `Fleet.unlisted`.
        known_s : float
            Last earlier time at which all that the store had acknowledged was known, by
            a clock that keeps running while the host is suspended.
        """
        match store_event:
            case DeploymentNamed(deployment):
                return self._take_deployment(deployment)
            case VersionNamed(model, version):
                return self._take_version(model, version, known_s)
            case EndpointNamed() | EndpointUnreadable() | EndpointGone():
                return self._take_listing(store_event, now_s, lapsed_until_s)
            case DaemonNamed() | DaemonAnnounced() | DaemonGone():
                return self._take_daemon_listing(store_event, now_s)
            case SoftwareServed() | SoftwareRecorded():
                self._take_software(store_event, now_s)
            case LinksLost() | LinksBack() | ProtocolNamed():
                self._take_of_daemon(store_event)
            case OwnerNamed() | OwnerGone():
                self._take_ownership(store_event, now_s)
            case SecretNamed(secret):
                self.secret = secret
        return True

    def _take_daemon_listing(
        self, listing: DaemonNamed | DaemonAnnounced | DaemonGone, now_s: float
    ) -> bool:
        match listing:
            case DaemonNamed(record):
                self._announced_until_s.pop(record.name, None)
                self._take_daemon(record, now_s)
            case DaemonAnnounced():
                return self._take_announced(listing, now_s)
            case DaemonGone(name):
                self._announced_until_s.pop(name, None)
                self.daemons.pop(name, None)
                self._protocols.pop(name, None)
                self._started_s.pop(name, None)
                self._daemons_changed(now_s)
        return True

    def _take_daemon(self, record: DaemonRecord, now_s: float) -> None:
        known = self.daemons.get(record.name)
        self.daemons[record.name] = record
        if known is None or known.incarnation < record.incarnation:
            self._started_s[record.name] = now_s
            for endpoint, owner in self.owners.items():
                if owner.owner == record.name and self.is_dead(owner):
                    self.free_since_s.setdefault(endpoint, now_s)
        self._daemons_changed(now_s)

    def _take_announced(self, event: DaemonAnnounced, now_s: float) -> bool:
        """Take a daemon's own word that the store lists it, ahead of the store's."""
        record = event.record
        known = self.daemons.get(record.name)
        is_new = known is None or known.incarnation < record.incarnation
        if is_new:
            self._announced_until_s[record.name] = event.until_s
            self._take_daemon(record, now_s)
        if self.daemons[record.name].incarnation == record.incarnation:
            self._protocols[record.name] = ProtocolNamed(
                record.name, record.incarnation, event.protocol
            )
        return is_new

    def _daemons_changed(self, now_s: float) -> None:
        self._ranks = None
        self.owner_changes += 1
        if not is_small(self.daemons):
            self._large_until_s = math.inf
        elif self._large_until_s == math.inf:
            self._large_until_s = now_s + LARGE_LISTED_S

    def _take_of_daemon(
        self, store_event: LinksLost | LinksBack | ProtocolNamed
    ) -> None:
        if isinstance(store_event, ProtocolNamed):
            self._protocols[store_event.name] = store_event
            return
        self.owner_changes += 1
        if isinstance(store_event, LinksLost):
            self._links_lost[store_event.name] = store_event.incarnation
        else:
            self._links_lost.pop(store_event.name, None)

    def _take_software(
        self, store_event: SoftwareServed | SoftwareRecorded, now_s: float
    ) -> None:
        software = self.fleet.software
        if isinstance(store_event, SoftwareRecorded):
            software.recorded(store_event.service, store_event.record, now_s)
        else:
            software.served(store_event.service, store_event.versions, now_s)

    def protocol_of(self, name: str) -> int:
        """Return the protocol version that a daemon has published, or the first."""
        daemon, said = self.daemons.get(name), self._protocols.get(name)
        if daemon is None or said is None or said.incarnation != daemon.incarnation:
            return FIRST_PROTOCOL
        return said.protocol

    def all_speak(self, protocol: int, own: str) -> bool:
        """Return whether the daemons with duties speak a protocol version at least.

        Parameters
        ----------
        own : str
            Name of this daemon, which may not be listed yet.
        """
        return all(
            name == own or self.protocol_of(name) >= protocol
            for names in self.ranks.values()
            for name in names
        )

    def _take_deployment(self, deployment: Deployment) -> bool:
        # A stale read or an overtaken response must not restore an older configuration.
        if self.deployment and deployment.version <= self.deployment.version:
            return False
        self.deployment = deployment
        return True

    def _take_version(self, model: ModelRef, version: int, known_s: float) -> bool:
        named = self.versions.setdefault(model, NamedVersions())
        return named.take(version, known_s)

    def _take_listing(
        self,
        listing: EndpointNamed | EndpointUnreadable | EndpointGone,
        now_s: float,
        lapsed_until_s: float,
    ) -> bool:
        match listing:
            case EndpointNamed(record):
                return self._take_endpoint(record, now_s)
            case EndpointUnreadable(endpoint):
                return self.fleet.mark_unreadable(endpoint)
            case EndpointGone(endpoint):
                self.fleet.unlisted(endpoint, now_s, lapsed_until_s)
        return True

    def _take_endpoint(self, record: EndpointRecord, now_s: float) -> bool:
        known = self.fleet.endpoints.get(record.endpoint)
        before = known and known.listing
        endpoint = self.fleet.listed(record, now_s)
        limits = self.deployment and self.deployment.engine_limits(record.service)
        if limits:
            endpoint.recent.max_adapters = limits.recent_adapters
        if endpoint is known:
            return before != endpoint.listing
        # An engine that returns under its old id may already have an owner.
        owner = self.owners.get(record.endpoint)
        endpoint.owner = owner.owner if owner else ""
        return True

    def _take_ownership(
        self, store_event: OwnerNamed | OwnerGone, now_s: float
    ) -> None:
        if isinstance(store_event, OwnerNamed):
            self._take_owner(store_event.endpoint, store_event.record, now_s)
        else:
            self._owner_gone(store_event.endpoint, now_s)

    def _take_owner(self, endpoint: str, record: OwnerRecord, now_s: float) -> None:
        known = self.owners.get(endpoint)
        if known is not None and record.number < known.number:
            return
        if known is not None and known.owner and known.owner != record.owner:
            if record.owner:
                # A record that was claimed without a release: its owner was dead.
                self._record_lost(endpoint, known, now_s)
            else:
                self.lost_owners.get(endpoint, {}).pop(known.owner, None)
        self.owners[endpoint] = record
        self.owner_changes += 1
        if record.owner:
            self.free_since_s.pop(endpoint, None)
        else:
            self.free_since_s[endpoint] = now_s
        if endpoint in self.fleet.endpoints:
            self.fleet.endpoints[endpoint].owner = record.owner

    def _owner_gone(self, endpoint: str, now_s: float) -> None:
        lost = self.owners.pop(endpoint, None)
        self.owner_changes += 1
        if lost is not None:
            self.free_since_s[endpoint] = now_s
            if lost.owner:
                self._record_lost(endpoint, lost, now_s)
        if endpoint in self.fleet.endpoints:
            self.fleet.endpoints[endpoint].owner = ""

    def _record_lost(self, endpoint: str, record: OwnerRecord, now_s: float) -> None:
        lost = LostOwner(record, now_s)
        self.lost_owners.setdefault(endpoint, {})[record.owner] = lost

    def is_dead(self, record: OwnerRecord) -> bool:
        """Return whether an owner's process has ended, as its host started again."""
        daemon = self.daemons.get(record.owner)
        return daemon is not None and daemon.incarnation > record.incarnation

    def is_ownerless(self, endpoint: str) -> bool:
        """Return whether an engine may be claimed."""
        record = self.owners.get(endpoint)
        return record is None or not record.owner or self.is_dead(record)

    def possible_claimants(
        self, endpoint: str, now_s: float, succession: Succession
    ) -> Iterable[DaemonRecord]:
        """Return the daemons that may claim an engine without an owner now.

        A daemon that has released it does not reach it, and one that has just started
        leaves it to others for a turn, unless its host was the last owner. One that has
        started after a rollback of the store may not know the last owner.
        """
        last, without_links = self.owners.get(endpoint), self.without_links
        latest_start_s = succession.knows_holders_since_s(now_s)
        if last is None and not without_links and latest_start_s == math.inf:
            return self.daemons.values()
        turn_began_s = now_s - succession.turn_s
        return [
            each
            for each in self.daemons.values()
            if each.name not in without_links
            and self._started_s.get(each.name, -math.inf) <= latest_start_s
            and (last is None or self._may_succeed(each, last, turn_began_s))
        ]

    def announcement_recipients(self, own: str) -> list[str]:
        """Return the daemons that may hold duties of this one until they know of it.

        Parameters
        ----------
        own : str
            Name of this daemon.
        """
        others = [each for each in self.daemons.values() if each.name != own]
        without_own = chain(*ranked(others).values())
        return sorted({*without_own, *chain(*self.ranks.values())} - {own})

    def _may_succeed(
        self, daemon: DaemonRecord, last: OwnerRecord, started_before_s: float
    ) -> bool:
        if last.owner == daemon.name:
            return True
        started_s = self._started_s.get(daemon.name, -math.inf)
        return daemon.incarnation != last.incarnation and started_s <= started_before_s

    def silent_predecessors(
        self, endpoint: str, now_s: float, lease_s: float
    ) -> list[LostOwner]:
        """Return the previous owners of an engine that may still send orders.

        An owner whose record expired has stopped by its own clock. But if the store
        deletes keys at once, the owner is not notified while its lease still runs. Its
        successor may also be lost, or release the engine, before that lease has ended.

        Parameters
        ----------
        lease_s : float
            Time to live of a daemon's lease, in seconds.
        """
        lost = self.lost_owners.pop(endpoint, {})
        able = {
            owner: each
            for owner, each in lost.items()
            if now_s < each.lost_s + lease_s and not self.is_dead(each.record)
        }
        if able:
            self.lost_owners[endpoint] = able
        return list(able.values())

    def newest_version(self, model: ModelRef) -> int | None:
        """Return the newest version of a model, or None if none was named."""
        named = self.versions.get(model)
        return named.newest if named else None

    def servable_versions(
        self, model: ModelRef, now_s: float
    ) -> ServableVersions | None:
        """Return which versions may serve a call, or None if none was named.

        Parameters
        ----------
        now_s : float
            By the clock of ``known_s`` in `take`.
        """
        named = self.versions.get(model)
        return ServableVersions(named, now_s, self.older_version_s) if named else None

    def begins_until_s(self, model: ModelRef, version: int) -> float:
        """Return until when work may begin on a version; infinite for the newest."""
        named = self.versions.get(model)
        return (
            named.begins_until_s(version, self.older_version_s) if named else math.inf
        )

    def superseded_for_s(
        self, model: ModelRef, version: int, now_s: float
    ) -> float | None:
        """Return the longest time for which a newer version may have been named.

        Parameters
        ----------
        now_s : float
            By the clock of ``known_s`` in `take`.

        Returns
        -------
        float or None
            None if there is no newer version.
        """
        named = self.versions.get(model)
        since_s = named.superseded_s(version) if named else None
        return None if since_s is None else now_s - since_s
