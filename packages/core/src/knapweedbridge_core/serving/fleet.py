"""A daemon's view of all endpoints: which exist, and which may take new work."""

from collections.abc import Iterator
from dataclasses import replace

from knapweedbridge_core.serving.endpoint import Endpoint, HeldAdapter
from knapweedbridge_core.serving.endpoint_records import EndpointRecord, EndpointStart
from knapweedbridge_core.serving.messages import EngineDelta, EngineSnapshot
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.paced_engines import PacedEngines
from knapweedbridge_core.serving.service_speeds import ServiceSpeeds
from knapweedbridge_core.serving.software_versions import SoftwareVersions


class Fleet:
    """All endpoints that this daemon knows.

    Attributes
    ----------
    changes : int
        Increases whenever an `Endpoint` is added to `endpoints`, replaced or removed.
    speeds : ServiceSpeeds
        Speeds of engines as published by their owners.
    paced : PacedEngines
        Engines whose streams have shown a pause.
    software : SoftwareVersions
        Software versions of the endpoints of each service.
    """

    def __init__(self) -> None:
        self.changes = 0
        self.speeds = ServiceSpeeds()
        self.endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self._restarted: list[Endpoint] = []
        self._by_address: dict[str, str] = {}
        self._replaced: list[str] = []
        self._lapsed: dict[str, Endpoint] = {}
        self.paced = PacedEngines()
        self.software = SoftwareVersions()

    def listed(self, record: EndpointRecord, now_s: float) -> Endpoint:
        """Apply an endpoint's entry in the platform's list.

        An entry of an earlier start than the known one is outdated and changes nothing.
        One of a later start, another service or another software version creates a new
        `Endpoint`.
        """
        endpoint = self.endpoints.get(record.endpoint)
        if endpoint is not None and record.start.is_before(endpoint.start):
            return endpoint
        if endpoint is None or _is_another(endpoint.record, record):
            endpoint = self._begin(endpoint, record, now_s)
        started_ms = record.started_ms or endpoint.record.started_ms
        endpoint.record = replace(record, started_ms=started_ms)
        self._record_address(record)
        endpoint.usable = True
        endpoint.record_listed()
        self._lapsed.pop(endpoint.name, None)
        if not endpoint.has_recent_update(now_s):
            # An owner's messages are more recent: the list is up to 2 s old, and does
            # not say when a load finishes. Without an owner only the list is known.
            endpoint.bases = set(record.bases)
            endpoint.replace_adapters(
                {
                    model: HeldAdapter(version, now_s)
                    for model, version in record.adapters.items()
                }
            )
        return endpoint

    def _record_address(self, record: EndpointRecord) -> None:
        before = self._by_address.get(record.address, record.endpoint)
        if before != record.endpoint and before in self.endpoints:
            self._replaced.append(before)
        self._by_address[record.address] = record.endpoint

    @property
    def has_losses(self) -> bool:
        """Whether endpoints were replaced or restarted that have not been popped."""
        return bool(self._replaced or self._restarted)

    def pop_replaced(self) -> list[str]:
        """Return and clear the endpoints whose addresses other endpoints now have."""
        found, self._replaced = self._replaced, []
        return found

    def keep_leaving(self, record: EndpointRecord) -> EndpointRecord:
        """Return a record from an older copy of the list, still draining if it was.

        Such a copy contains an earlier state of the endpoint. If that replaced the
        draining one, the endpoint would get calls that it is about to cut off.
        """
        known = self.endpoints.get(record.endpoint)
        if known is None or not known.record.leaving:
            return record
        return replace(record, leaving=record.start.may_be(known.start))

    def _begin(
        self, before: Endpoint | None, record: EndpointRecord, now_s: float
    ) -> Endpoint:
        """Create the `Endpoint` of a new start; discard the state of the previous one.

        Calls on the previous start end at its own `Endpoint`. Their failures and counts
        do not affect the new one, which holds and runs nothing yet.
        """
        endpoint = Endpoint(record, first_listed_s=now_s)
        self.software.listed(record.service, record.software)
        if before is not None:
            self._drop(before, now_s)
            self._restarted.append(before)
            endpoint.owner = before.owner
        self.endpoints[record.endpoint] = endpoint
        self.changes += 1
        self._by_service.setdefault(record.service, {})[record.endpoint] = endpoint
        return endpoint

    def restarted(self, start: EndpointStart, now_s: float) -> bool:
        """Record that an endpoint reports a new start; return whether it was unknown.

        Its entry in the list follows about a second later. Without this, orders and
        adapters of the previous start would be attributed to it until then.
        """
        known = self.endpoints.get(start.endpoint)
        if known is None or not known.start.is_before(start):
            return False
        record = replace(
            known.record, started_ms=start.started_ms, bases=(), adapters={}
        )
        self._begin(known, record, now_s)
        return True

    def pop_restarted(self) -> list[Endpoint]:
        """Return and clear the endpoints of previous starts."""
        found, self._restarted = self._restarted, []
        return found

    def mark_unreadable(self, name: str) -> bool:
        """Record that an endpoint's entry cannot be parsed; return whether this is new.

        Another writer may have overwritten the entry. The endpoint gets no new work
        until it writes its entry again; its running calls continue.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None or not endpoint.usable:
            return False
        endpoint.usable = False
        return True

    def _of_start(
        self, message: EngineSnapshot | EngineDelta, now_s: float
    ) -> Endpoint | None:
        """Return the endpoint that a message describes; None for an earlier start."""
        known = self.endpoints.get(message.endpoint)
        if known is not None and known.record.started_ms == message.started_ms:
            return known
        start = EndpointStart(message.endpoint, message.started_ms)
        self.restarted(start, now_s)
        endpoint = self.endpoints.get(message.endpoint)
        return endpoint if endpoint and endpoint.start.may_be(start) else None

    def apply_snapshot(self, message: EngineSnapshot, now_s: float) -> Endpoint | None:
        """Apply an owner's snapshot of its engine.

        Returns
        -------
        Endpoint or None
            The engine; None if the snapshot is outdated.
        """
        endpoint = self._of_start(message, now_s)
        if endpoint is None or not endpoint.is_new(message):
            return None
        endpoint.replace_adapters(
            {
                ModelRef(base, adapter): HeldAdapter(
                    version, now_s + ready_in_s, users, now_s - idle_s
                )
                for base, adapter, version, ready_in_s, users, idle_s in message.held
            }
        )
        endpoint.update_load(message, now_s)
        self._record_speed(endpoint, message, now_s)
        return endpoint

    def _record_speed(
        self, endpoint: Endpoint, message: EngineSnapshot | EngineDelta, now_s: float
    ) -> None:
        self.paced.note(endpoint)
        engines = self._by_service[endpoint.record.service].values()
        self.speeds.take(endpoint, message.speed, engines, now_s)

    def build_snapshot(self, endpoint: Endpoint, now_s: float) -> EngineSnapshot:
        """Return an owner's state of an engine, for daemons that have missed it."""
        held = [
            [
                model.base,
                model.adapter,
                each.version,
                each.ready_s - now_s,
                each.users,
                now_s - each.used_s,
            ]
            for model, each in endpoint.held.items()
        ]
        return EngineSnapshot(
            endpoint.name,
            endpoint.update_number,
            endpoint.update_order,
            held,
            endpoint.calls,
            endpoint.unread_tokens,
            endpoint.places_free,
            endpoint.wants,
            sorted(endpoint.bases),
            started_ms=endpoint.record.started_ms,
            long_prompts_per_s=endpoint.long_prompts_per_s,
            pace_tokens=endpoint.pace_tokens,
            pace_scale=endpoint.pace_scale,
            of_all=True,
            speed=endpoint.published_speed,
        )

    def has_gap_before(self, message: EngineDelta) -> bool:
        """Return whether a message before an update was missed."""
        endpoint = self.endpoints.get(message.endpoint)
        if endpoint is None:
            return False
        following = endpoint.update_number, endpoint.update_order + 1
        return (message.number, message.order) > following

    def apply_update(self, message: EngineDelta, now_s: float) -> bool:
        """Apply an owner's update; return False if it is not the next one."""
        endpoint = self._of_start(message, now_s)
        if endpoint is None or not endpoint.is_next(message):
            return False
        for base, adapter in message.removed:
            endpoint.remove_adapter(ModelRef(base, adapter))
        for base, adapter, version, ready_in_s in message.added:
            endpoint.add_adapter(ModelRef(base, adapter), version, now_s, ready_in_s)
        endpoint.update_load(message, now_s)
        self._record_speed(endpoint, message, now_s)
        return True

    def unlisted(self, name: str, now_s: float, lapsed_until_s: float) -> None:
        """Record that an endpoint's entry is gone from the list.

        Parameters
        ----------
        lapsed_until_s : float
            Time until which the entry may have expired in an outage of the store while
            the endpoint is alive; in the past if the entry was certainly removed.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return
        if now_s < lapsed_until_s and not endpoint.leaves:
            endpoint.record_unlisted(now_s, lapsed_until_s)
            self._lapsed[name] = endpoint
            return
        self._drop(endpoint, now_s)

    def lapse_ends_s(self, now_s: float) -> float | None:
        """Return when the next endpoint with an expired entry goes out of use."""
        ends = (each.lapsed_until_s for each in self._lapsed.values())
        return min((end_s for end_s in ends if end_s > now_s), default=None)

    def extend_lapses(self, until_s: float, now_s: float) -> None:
        """Keep endpoints whose entries may have expired in use until a moment."""
        for each in self._lapsed.values():
            if each.lapsed_until_s > now_s:
                each.lapsed_until_s = max(each.lapsed_until_s, until_s)

    def end_lapses(self, at_s: float) -> None:
        """Keep no endpoint with an expired entry in use beyond a moment."""
        for each in self._lapsed.values():
            each.lapsed_until_s = min(each.lapsed_until_s, at_s)

    def unlisted_count(self) -> int:
        """Return the number of endpoints in use that are not listed."""
        return len(self._lapsed)

    def limited_count(self) -> int:
        """Return the number of endpoints that name a limit of calls per second."""
        return sum(each.pressure.is_limited for each in self.endpoints.values())

    def brittle_count(self) -> int:
        """Return the number of endpoints that report that they are brittle."""
        return sum(each.pressure.is_brittle for each in self.endpoints.values())

    def leaving_count(self) -> int:
        """Return how many listed endpoints have responded that they are draining."""
        return sum(each.pressure.leaves for each in self.endpoints.values())

    def resting_count(self, now_s: float) -> int:
        """Return the number of endpoints that want no calls of this daemon now."""
        endings = (each.pressure.paused_until_s for each in self.endpoints.values())
        return sum(until_s > now_s for until_s in endings)

    def unreachable_count(self, now_s: float) -> int:
        """Return the number of endpoints that this daemon backs off from now."""
        return sum(each.suspect_until_s > now_s for each in self.endpoints.values())

    def forget_unlisted(self, now_s: float) -> list[str]:
        """Drop endpoints that were not listed again in time, and return their names."""
        gone = [
            endpoint
            for endpoint in self._lapsed.values()
            if endpoint.lapsed_until_s <= now_s
        ]
        for endpoint in gone:
            self._drop(endpoint, now_s)
        return [endpoint.name for endpoint in gone]

    def _drop(self, endpoint: Endpoint, now_s: float) -> None:
        record = endpoint.record
        self.software.dropped(record.service, record.software, now_s)
        del self.endpoints[endpoint.name]
        if self._by_address.get(record.address) == endpoint.name:
            del self._by_address[record.address]
        self.changes += 1
        self._lapsed.pop(endpoint.name, None)
        self.paced.forget(endpoint)
        del self._by_service[endpoint.record.service][endpoint.name]

    def of_service(self, service: str, now_s: float) -> list[Endpoint]:
        """Return the endpoints of a service that may take new work."""
        return [
            endpoint
            for endpoint in self._by_service.get(service, {}).values()
            if endpoint.accepts_work(now_s)
        ]

    def open_endpoints(self, service: str, now_s: float) -> list[Endpoint]:
        """Return the endpoints of a service that accept a call now.

        These may take new work and have not asked for a pause that still lasts.
        """
        return [
            endpoint
            for endpoint in self.of_service(service, now_s)
            if endpoint.pressure.closed_until_s <= now_s
        ]

    def reachable(self, service: str, now_s: float) -> list[Endpoint]:
        """Return the open endpoints of a service that are not backed off from."""
        return [
            endpoint
            for endpoint in self._by_service.get(service, {}).values()
            if endpoint.suspect_until_s <= now_s
            and endpoint.pressure.closed_until_s <= now_s
            and endpoint.accepts_work(now_s)
        ]

    def reopens_at_s(self, service: str, now_s: float) -> float | None:
        """Return when the first endpoint of a service accepts a call again.

        Returns
        -------
        float or None
            None unless all endpoints of the service ask for a pause now.
        """
        endpoints = self.of_service(service, now_s)
        first_s = min(
            (each.pressure.closed_until_s for each in endpoints), default=None
        )
        return first_s if first_s is not None and first_s > now_s else None

    def estimate_load(
        self, engines: list[Endpoint], daemons: int, small: bool, now_s: float
    ) -> None:
        """Set an estimated load on the engines whose owners send no updates.

        Parameters
        ----------
        small : bool
            Whether this daemon receives the messages of all owners.
        """
        for each in engines:
            each.expire_speed(now_s)
        if small:
            for each in engines:
                each.estimate_others(daemons, now_s)
        else:
            self._assume_mean_load(engines, daemons, now_s)

    def _assume_mean_load(
        self, engines: list[Endpoint], daemons: int, now_s: float
    ) -> None:
        """Assume that engines without updates run the mean load of the pool.

        If they counted as idle, each would get the next call of every daemon at once.
        The load of the engines in use is no measure, as a daemon uses the busy ones
        most: with it, a third of the callers were rejected beside idle engines. So the
        pool's calls are estimated as this daemon's own times the number of daemons,
        spread evenly over all engines.
        """
        unheard = [each for each in engines if not each.has_recent_update(now_s)]
        if not unheard:
            return
        share = daemons / len(engines)
        calls = round(share * sum(each.own_calls for each in engines))
        tokens = round(share * sum(each.own_unread_tokens for each in engines))
        for each in unheard:
            each.others_calls, each.others_unread_tokens = calls, tokens

    def engines(self) -> Iterator[Endpoint]:
        """Iterate over all endpoints, including those that are draining."""
        return iter(self.endpoints.values())


def _is_another(known: EndpointRecord, record: EndpointRecord) -> bool:
    """Return whether a record has another start, service or software version."""
    before = known.service, known.software
    after = record.service, record.software
    return known.start.is_before(record.start) or before != after
