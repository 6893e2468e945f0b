"""What callers got."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Figures:
    """Counts and times of one run; times in seconds.

    Parameters
    ----------
    in_time, late, refused : dict of str to int
        Callers' requests by kind and by how they ended.
    first_s : list of float
        From a caller's first attempt to the first event.
    pauses_s : list of float
        Between events.
    not_run : int
        Sends that an engine refused.
    fetched : int
        Adapters that were fetched from the weight store.
    paused : int
        Requests that were late by a pause between two events alone.
    forecast_errors_s : list of float
        By how much first events came sooner or later than forecast.
    big_in_time, big : int
        Of the tenth of the requests with the longest prompts.
    """

    in_time: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    first_s: list[float] = field(default_factory=list)
    pauses_s: list[float] = field(default_factory=list)
    forecast_errors_s: list[float] = field(default_factory=list)
    paused: int = 0
    refusals: int = 0
    not_run: int = 0
    fetched: int = 0
    big_in_time: int = 0
    big: int = 0

    def count(self, ended: dict[str, int], kind: str) -> None:
        """Count one request under how it ended."""
        ended[kind] = ended.get(kind, 0) + 1

    @property
    def asked(self) -> int:
        """Requests in all."""
        kinds = (self.in_time, self.late, self.refused)
        return sum(sum(each.values()) for each in kinds)

    @property
    def in_time_share(self) -> float:
        """Share of requests that were answered within their objective."""
        return sum(self.in_time.values()) / max(1, self.asked)

    def share_of(self, kind: str) -> float:
        """Share in time of one kind."""
        got = self.in_time.get(kind, 0)
        ended = got + self.late.get(kind, 0) + self.refused.get(kind, 0)
        return got / max(1, ended)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile, 0 without values."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]
