"""The history of one whole run."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from knapweedbridge_standins.runs.records import (
    Fault,
    Record,
    RequestEnded,
    RunSeen,
    read_record,
)

T = TypeVar("T", bound=Record)


@dataclass
class History:
    """All records of a run, in any order."""

    records: list[Record] = field(default_factory=list)

    def of(self, kind: type[T]) -> list[T]:
        """Return the records of a class."""
        return [record for record in self.records if isinstance(record, kind)]

    def requests_by_nonce(self) -> dict[str, list[RequestEnded]]:
        """Group requests by the piece of work they ask for."""
        grouped: dict[str, list[RequestEnded]] = defaultdict(list)
        for request in self.of(RequestEnded):
            grouped[request.nonce].append(request)
        return grouped

    def runs_by_nonce(self) -> dict[str, list[RunSeen]]:
        """Group runs by the first word of their prompt, which is the nonce."""
        grouped: dict[str, list[RunSeen]] = defaultdict(list)
        for run in self.of(RunSeen):
            grouped[run.prompt.split(" ", 1)[0]].append(run)
        return grouped

    def faults(
        self, names: Iterable[str], began_s: float, ended_s: float, target: str = ""
    ) -> list[Fault]:
        """Return the faults of these names that overlap a span of time."""
        wanted = set(names)
        return [
            fault
            for fault in self.of(Fault)
            if fault.name in wanted
            and fault.began_s <= ended_s
            and fault.ended_s >= began_s
            and target in ("", fault.target)
        ]


def read_history(paths: Iterable[Path]) -> History:
    """Read the files of JSON lines that a run and its stand-ins wrote.

    A line that a killed process left half written is passed over.
    """
    history = History()
    for path in paths:
        for line in path.read_text().splitlines():
            try:
                record = read_record(line)
            except ValueError:
                continue
            if record is not None:
                history.records.append(record)
    return history
