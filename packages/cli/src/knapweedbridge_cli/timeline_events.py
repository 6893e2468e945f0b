"""Events of several hosts, merged in the order of cause and effect."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class Event:
    """One event of one host.

    Parameters
    ----------
    wall_us, count : int
        Stamp of the hybrid logical clock: an event that another caused, on
        whatever host, has the higher one.
    host, kind : str
        Where and what.
    fields : dict
        What the event tells.
    """

    wall_us: int
    count: int
    host: str
    kind: str
    fields: dict[str, Any]

    @property
    def key(self) -> tuple[int, int, str]:
        """Place in the merged order."""
        return self.wall_us, self.count, self.host

    @property
    def request(self) -> str:
        """Request that the event is of, or an empty text."""
        attempt = str(self.fields.get("attempt", ""))
        return str(self.fields.get("request", "")) or attempt.rpartition(".")[0]

    @property
    def failed(self) -> bool:
        """Whether the event tells of a failure."""
        outcome = self.fields.get("outcome", "Complete")
        refused = self.kind.endswith((".refused", ".lost", ".dead"))
        return (
            refused or outcome != "Complete" or not self.fields.get("succeeded", True)
        )

    def text(self, hidden: frozenset[str] = frozenset()) -> str:
        """Return what the event tells, without the hidden fields.

        Where the request is hidden, an attempt is told by its number alone.
        """
        attempt = str(self.fields.get("attempt", ""))
        shown = []
        if attempt and "request" in hidden and "attempt" not in hidden:
            shown.append("#" + attempt.rpartition(".")[2])
            hidden = hidden | {"attempt"}
        elif attempt:
            hidden = hidden | {"request"}
        shown += [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in hidden and value not in ("", None)
        ]
        return " ".join(shown)

    def to_json(self) -> dict[str, Any]:
        """Return it for ``--json``."""
        return {
            "wall_us": self.wall_us,
            "count": self.count,
            "host": self.host,
            "kind": self.kind,
            "fields": self.fields,
        }


def merge(found: Iterable[Event]) -> list[Event]:
    """Return events in their order, each once."""
    distinct = {(event.key, event.kind): event for event in found}
    return sorted(distinct.values(), key=lambda event: event.key)


def since_first_ms(events: list[Event]) -> list[float]:
    """Return the milliseconds from the first event to each."""
    first_us = events[0].wall_us if events else 0
    return [(event.wall_us - first_us) / 1000 for event in events]
