"""What a daemon believes of all endpoints: who exists, and who may take new work."""

from collections.abc import Iterator
from dataclasses import replace

from knapweedbridge_core.serving.endpoint import Endpoint, HeldAdapter
from knapweedbridge_core.serving.endpoint_records import EndpointRecord, EndpointStart
from knapweedbridge_core.serving.messages import EngineChanged, EngineTold
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.paced_engines import PacedEngines
from knapweedbridge_core.serving.service_speeds import ServiceSpeeds
from knapweedbridge_core.serving.software_versions import SoftwareVersions


class Fleet:
    """All endpoints that this daemon knows of.

    Attributes
    ----------
    changes : int
        Rises whenever `endpoints` holds another `Endpoint`, or one less.
    speeds : ServiceSpeeds
        What owners publish of the speed of engines.
    paced : PacedEngines
        Those whose streams have shown a pause.
    software : SoftwareVersions
        Versions of their software that the endpoints of each service run.
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
        """Take what the platform says of an endpoint.

        A word of an earlier start than the known one changes nothing: such words come
        late. One of a later start, or of another service, makes a new `Endpoint`.
        """
        endpoint = self.endpoints.get(record.endpoint)
        if endpoint is not None and record.start.is_before(endpoint.start):
            return endpoint
        if endpoint is None or _is_another(endpoint.record, record):
            endpoint = self._begin(endpoint, record, now_s)
        started_ms = record.started_ms or endpoint.record.started_ms
        endpoint.record = replace(record, started_ms=started_ms)
        self._note_address(record)
        endpoint.usable = True
        endpoint.record_listed()
        self._lapsed.pop(endpoint.name, None)
        if not endpoint.has_recent_update(now_s):
            # An owner's word is newer: the list is up to 2 s old, and does not say
            # when a load is done. Without it the list is all there is.
            endpoint.bases = set(record.bases)
            endpoint.replace_adapters(
                {
                    model: HeldAdapter(version, now_s)
                    for model, version in record.adapters.items()
                }
            )
        return endpoint

    def _note_address(self, record: EndpointRecord) -> None:
        before = self._by_address.get(record.address, record.endpoint)
        if before != record.endpoint and before in self.endpoints:
            self._replaced.append(before)
        self._by_address[record.address] = record.endpoint

    @property
    def has_losses(self) -> bool:
        """Whether endpoints were replaced or started again that nobody has taken."""
        return bool(self._replaced or self._restarted)

    def pop_replaced(self) -> list[str]:
        """Return, once, the endpoints at whose addresses others were listed since."""
        found, self._replaced = self._replaced, []
        return found

    def keep_leaving(self, record: EndpointRecord) -> EndpointRecord:
        """Return a record of an older copy of the list, with a leaving that was heard.

        The copy tells what the endpoint said before. Taken for new, it got calls again
        that it was about to cut.
        """
        known = self.endpoints.get(record.endpoint)
        if known is None or not known.record.leaving:
            return record
        return replace(record, leaving=record.start.may_be(known.start))

    def _begin(
        self, before: Endpoint | None, record: EndpointRecord, now_s: float
    ) -> Endpoint:
        """Begin anew with an endpoint; what was believed of an earlier start is gone.

        The calls of before end at the `Endpoint` of before: their failures and their
        counts do not touch the new one, which holds and runs nothing yet.
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
        """Take that an endpoint tells of itself that it has started again.

        Its entry in the list follows about a second later; until then its orders and
        adapters would be believed to be those of the start before.
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
        """Return, once, the endpoints whose earlier start is over."""
        found, self._restarted = self._restarted, []
        return found

    def mark_unreadable(self, name: str) -> bool:
        """Take that an endpoint's entry cannot be read; tell whether that is new.

        Another writer may have overwritten it. It gets no new work until its own next
        word, and what it runs goes on.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None or not endpoint.usable:
            return False
        endpoint.usable = False
        return True

    def _of_start(
        self, message: EngineTold | EngineChanged, now_s: float
    ) -> Endpoint | None:
        """Return the endpoint that a telling is about; None for an earlier start."""
        known = self.endpoints.get(message.endpoint)
        if known is not None and known.record.started_ms == message.started_ms:
            return known
        start = EndpointStart(message.endpoint, message.started_ms)
        self.restarted(start, now_s)
        endpoint = self.endpoints.get(message.endpoint)
        return endpoint if endpoint and endpoint.start.may_be(start) else None

    def apply_snapshot(self, message: EngineTold, now_s: float) -> Endpoint | None:
        """Take all that an owner tells of its engine; None where that is outdated."""
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
        self._note_told(endpoint, message, now_s)
        return endpoint

    def _note_told(
        self, endpoint: Endpoint, message: EngineTold | EngineChanged, now_s: float
    ) -> None:
        self.paced.note(endpoint)
        engines = self._by_service[endpoint.record.service].values()
        self.speeds.take(endpoint, message.speed, engines, now_s)

    def build_snapshot(self, endpoint: Endpoint, now_s: float) -> EngineTold:
        """Return what an owner told of an engine, for those that have not heard it."""
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
        return EngineTold(
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

    def has_gap_before(self, message: EngineChanged) -> bool:
        """Tell whether something before a change was missed."""
        endpoint = self.endpoints.get(message.endpoint)
        if endpoint is None:
            return False
        told = endpoint.update_number, endpoint.update_order + 1
        return (message.number, message.order) > told

    def apply_update(self, message: EngineChanged, now_s: float) -> bool:
        """Take what changed; False where something before it was missed."""
        endpoint = self._of_start(message, now_s)
        if endpoint is None or not endpoint.is_next(message):
            return False
        for base, adapter in message.removed:
            endpoint.remove_adapter(ModelRef(base, adapter))
        for base, adapter, version, ready_in_s in message.added:
            endpoint.add_adapter(ModelRef(base, adapter), version, now_s, ready_in_s)
        endpoint.update_load(message, now_s)
        self._note_told(endpoint, message, now_s)
        return True

    def unlisted(self, name: str, now_s: float, lapsed_until_s: float) -> None:
        """Take that an endpoint is gone from the list.

        Parameters
        ----------
        lapsed_until_s : float
            Until when the entry may be one that lapsed in an outage of the store,
            while its endpoint lives; in the past where it was surely removed.
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
        """Return when the next lapsed endpoint goes out of use; None without any."""
        ends = (each.lapsed_until_s for each in self._lapsed.values())
        return min((end_s for end_s in ends if end_s > now_s), default=None)

    def extend_lapses(self, until_s: float, now_s: float) -> None:
        """Keep endpoints whose entries may have lapsed in use until a moment."""
        for each in self._lapsed.values():
            if each.lapsed_until_s > now_s:
                each.lapsed_until_s = max(each.lapsed_until_s, until_s)

    def end_lapses(self, at_s: float) -> None:
        """Let no lapse last beyond a moment."""
        for each in self._lapsed.values():
            each.lapsed_until_s = min(each.lapsed_until_s, at_s)

    def unlisted_count(self) -> int:
        """Return how many endpoints are in use that are not listed."""
        return len(self._lapsed)

    def limited_count(self) -> int:
        """Return how many endpoints name a limit of calls a second."""
        return sum(each.pressure.is_limited for each in self.endpoints.values())

    def brittle_count(self) -> int:
        """Return how many endpoints say that they are brittle."""
        return sum(each.pressure.is_brittle for each in self.endpoints.values())

    def leaving_count(self) -> int:
        """Return how many listed endpoints have said in an answer that they leave."""
        return sum(each.pressure.leaves for each in self.endpoints.values())

    def resting_count(self, now_s: float) -> int:
        """Return how many endpoints want nothing from this daemon now."""
        endings = (each.pressure.paused_until_s for each in self.endpoints.values())
        return sum(until_s > now_s for until_s in endings)

    def unreachable_count(self, now_s: float) -> int:
        """Return how many endpoints this daemon backs off from now."""
        return sum(each.suspect_until_s > now_s for each in self.endpoints.values())

    def forget_unlisted(self, now_s: float) -> list[str]:
        """Drop endpoints that did not come back to the list, and name them."""
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
        """Return those of them that may be sent a call now, by what they ask for."""
        return [
            endpoint
            for endpoint in self.of_service(service, now_s)
            if endpoint.pressure.closed_until_s <= now_s
        ]

    def reachable(self, service: str, now_s: float) -> list[Endpoint]:
        """Return those that may be sent a call and are not backed off from."""
        return [
            endpoint
            for endpoint in self._by_service.get(service, {}).values()
            if endpoint.suspect_until_s <= now_s
            and endpoint.pressure.closed_until_s <= now_s
            and endpoint.accepts_work(now_s)
        ]

    def reopens_at_s(self, service: str, now_s: float) -> float | None:
        """Return when one may be sent a call, where all ask for a pause; else None."""
        endpoints = self.of_service(service, now_s)
        first_s = min(
            (each.pressure.closed_until_s for each in endpoints), default=None
        )
        return first_s if first_s is not None and first_s > now_s else None

    def estimate_load(
        self, engines: list[Endpoint], daemons: int, small: bool, now_s: float
    ) -> None:
        """Take a load for the engines of which no owner tells.

        Parameters
        ----------
        small : bool
            Whether this daemon hears of every engine that has an owner.
        """
        for each in engines:
            each.expire_speed(now_s)
        if small:
            for each in engines:
                each.estimate_others(daemons, now_s)
        else:
            self._assume_typical(engines, daemons, now_s)

    def _assume_typical(
        self, engines: list[Endpoint], daemons: int, now_s: float
    ) -> None:
        """Take engines that this daemon hears nothing of to run as much as others.

        Taken for idle, each would get the next call of every daemon at once. What
        the engines in use run is no measure: a daemon uses the busy ones most. Taken
        for as busy as those, idle engines made a third of the callers be refused. So
        the pool's calls are this daemon's own times the daemons, on all engines alike.
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
        """Iterate over all endpoints, those that leave too."""
        return iter(self.endpoints.values())


def _is_another(known: EndpointRecord, record: EndpointRecord) -> bool:
    """Return whether a record is of another start, service or software version."""
    before = known.service, known.software
    after = record.service, record.software
    return known.start.is_before(record.start) or before != after
