"""Which versions of their software the endpoints of each service run."""

from collections import Counter, defaultdict

STREAM_LIFE_S = 60.0
"""Longest time over which the caller of one stream may take it up again: deadlines are
some tens of seconds."""


class SoftwareVersions:
    """The software versions of each service that streams may have begun on.

    A version counts while an endpoint of it is listed, and for `STREAM_LIFE_S` after.
    Times are of one steady clock, in seconds.
    """

    __slots__ = ("_gone_s", "_listed")

    def __init__(self) -> None:
        self._listed: dict[str, Counter[str]] = defaultdict(Counter)
        self._gone_s: dict[str, dict[str, float]] = {}

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

    def of(self, service: str, now_s: float) -> set[str]:
        """Return the versions of a service that streams may have begun on."""
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

    def has_several(self, service: str, now_s: float) -> bool:
        """Return whether streams of a service may have begun on several versions."""
        if service not in self._gone_s:
            return len(self._listed.get(service, ())) > 1
        return len(self.of(service, now_s)) > 1

    def most(self) -> int:
        """Return the most versions of one service that are listed side by side."""
        return max(map(len, self._listed.values()), default=0)
