"""The last generations of the configuration, as operators see them.

The record of a generation names the parts that it replaced. An earlier
generation is found by undoing the records from the newest root backwards.
"""

import time
from dataclasses import dataclass

from knapweedbridge_core.parts import Parts, Root, Sections
from knapweedbridge_daemon.configurations import (
    KEPT_GENERATIONS,
    GenerationRecord,
    read_parts,
    read_records,
    read_root,
)
from knapweedbridge_daemon.errors import (
    GenerationGoneError,
    MissingPartError,
    StoreError,
)
from knapweedbridge_daemon.store import KeyValueStore

READ_TRIES = 5


@dataclass(slots=True, frozen=True)
class Generation:
    """One accepted generation.

    Parameters
    ----------
    number : int
        The generation.
    key, team : str
        Name of the key that applied it, and the key's team.
    accepted_us : int
        Wall clock of the daemon that wrote it, in microseconds.
    """

    number: int
    key: str
    team: str
    accepted_us: int


def make_note(key: str, team: str) -> dict[str, str]:
    """Make what the record of a new generation keeps of its author."""
    accepted_us = time.time_ns() // 1000
    return {"key": key, "team": team, "accepted_us": str(accepted_us)}


def _read_note(record: GenerationRecord) -> Generation:
    note = record.note
    accepted_us = int(note.get("accepted_us", 0))
    key, team = note.get("key", ""), note.get("team", "")
    return Generation(record.generation, key, team, accepted_us)


async def list_generations(store: KeyValueStore) -> list[Generation]:
    """Return the kept generations, the newest first; may raise StoreError."""
    records = await read_records(store)
    return [_read_note(record) for record in reversed(records)]


async def read_sections(store: KeyValueStore, number: int) -> Sections:
    """Return the sections of an accepted generation.

    Raises
    ------
    GenerationGoneError
        If it never was, or is older than those kept.
    StoreError
        If the service does not answer.
    """
    records, newest = await _read_consistent(store)
    if number not in (record.generation for record in records):
        message = f"generation {number} is not kept; only the last {KEPT_GENERATIONS}"
        raise GenerationGoneError(message)
    later = [record for record in records if record.generation > number]
    root = Root(number, "", undo(newest, later))
    try:
        parts = await read_parts(store, root, Parts())
    except MissingPartError as error:
        raise GenerationGoneError(f"generation {number} just went: {error}") from error
    return parts.sections()


async def _read_consistent(
    store: KeyValueStore,
) -> tuple[list[GenerationRecord], Root]:
    """Read the records and the root they lead to.

    Another generation accepted between the two reads would not be undone: its
    changes would stand in the earlier contents. The token of the last record
    shows it.
    """
    for _ in range(READ_TRIES):
        records = await read_records(store)
        newest = (await read_root(store)).root
        if not records or records[-1].token == newest.token:
            return records, newest
    raise StoreError("generations follow too fast; try again")


def undo(newest: Root, later: list[GenerationRecord]) -> tuple[str, ...]:
    """Return the names of the parts before the later records were written."""
    digests = list(newest.digests)
    for record in reversed(later):
        for place, digest in record.replaced.items():
            digests[place] = digest
    return tuple(digests)
