"""Software versions of the endpoints of each service."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from knapweedbridge_core.serving.store_eras import era_of

STREAM_LIFE_S = 60.0
"""Longest time for which a caller may resume a stream: deadlines are some tens of
seconds."""


@dataclass(slots=True, frozen=True)
class VersionRecord:
    """The store's record of the versions on which streams of a service may begin.

    Parameters
    ----------
    versions : frozenset of str
        The versions; empty: there is no record.
    complete_era : int or None
        Era of the store in which the record contains all versions on which streams that
        are not over may have begun; None: it may lack some.
    revision : int
        Stamp of the record's revision, or 0.
    """

    versions: frozenset[str] = frozenset()
    complete_era: int | None = None
    revision: int = field(default=0, compare=False)


NO_RECORD = VersionRecord()


class SoftwareVersions:
    """The software versions of each service on which streams may have begun.

    Hosts begin streams only on versions that the platform's store has recorded. So a
    host that knows the record, however late it was started, knows all versions on which
    streams may have begun. A version counts while an endpoint that runs it is listed,
    and for `STREAM_LIFE_S` afterwards. Times are in seconds of one steady clock.
    """

    __slots__ = ("_complete", "_gone_s", "_listed", "_records")

    def __init__(self) -> None:
        self._listed: dict[str, Counter[str]] = defaultdict(Counter)
        self._gone_s: dict[str, dict[str, float]] = {}
        self._records: dict[str, VersionRecord] = {}
        self._complete: set[str] = set()

    def listed(self, service: str, software: str) -> None:
        """Record that one more endpoint of a service runs a version."""
        self._listed[service][software] += 1

    def dropped(self, service: str, software: str, now_s: float) -> None:
        """Record that an endpoint that ran a version is gone."""
        counts = self._listed[service]
        counts[software] -= 1
        if not counts[software]:
            del counts[software]
            self._gone_s.setdefault(service, {})[software] = now_s

    def served(self, service: str, versions: tuple[str, ...], now_s: float) -> None:
        """Record versions that have served before this host was started."""
        gone_s = self._gone_s.setdefault(service, {})
        for software in versions:
            gone_s.setdefault(software, now_s)

    def recorded(self, service: str, record: VersionRecord, now_s: float) -> None:
        """Record what the store holds for a service."""
        self._records[service] = record
        if record.complete_era == era_of(record.revision):
            self._complete.add(service)
        self.served(service, tuple(record.versions), now_s)

    def restart_expiry(self, now_s: float) -> None:
        """Record that versions may have come and gone unseen until now."""
        for gone_s in self._gone_s.values():
            gone_s.update(dict.fromkeys(gone_s, now_s))

    def record_of(self, service: str) -> VersionRecord:
        """Return what the store holds for a service."""
        return self._records.get(service, NO_RECORD)

    def was_complete(self, service: str) -> bool:
        """Return whether this host has known a complete record, in any era."""
        return service in self._complete

    def of(self, service: str, now_s: float) -> set[str]:
        """Return the versions of a service that have served, as this host knows."""
        return self._seen(service, now_s) | self.record_of(service).versions

    def _seen(self, service: str, now_s: float) -> set[str]:
        found = set(self._listed.get(service, ()))
        gone_s = self._gone_s.get(service)
        if gone_s is None:
            return found
        for software, at_s in list(gone_s.items()):
            if now_s - at_s > STREAM_LIFE_S:
                del gone_s[software]
        if not gone_s:
            del self._gone_s[service]
        return found | gone_s.keys()

    def may_begin(self, service: str, software: str) -> bool:
        """Return whether streams of a service may begin on a version."""
        return software in self.record_of(service).versions

    def begun_on(self, service: str, era: int) -> frozenset[str]:
        """Return the versions on which streams may have begun; empty: not known.

        Parameters
        ----------
        era : int
            The store's present era.
        """
        record = self.record_of(service)
        return record.versions if record.complete_era == era else frozenset()

    def has_several(self, service: str, now_s: float) -> bool:
        """Return whether several versions of a service have served."""
        if service not in self._gone_s and service not in self._records:
            return len(self._listed.get(service, ())) > 1
        return len(self.of(service, now_s)) > 1

    def to_record(
        self, service: str, now_s: float, era: int, is_complete: bool
    ) -> VersionRecord | None:
        """Return what the store should hold for a service; None: what it holds.

        Parameters
        ----------
        is_complete : bool
            Whether this host knows all versions on which streams may have begun.
        """
        seen, known = self._seen(service, now_s), self.record_of(service)
        if not seen:
            return None
        complete_era = era if is_complete else known.complete_era
        wanted = VersionRecord(frozenset(seen), complete_era, known.revision)
        return None if wanted == known else wanted

    def max_listed(self) -> int:
        """Return the maximum over services of the versions that are listed at once."""
        return max(map(len, self._listed.values()), default=0)
