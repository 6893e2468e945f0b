"""From an operator's folder to an accepted generation.

An administrator's folder is the whole configuration. An operator's folder
stands in the place of the team's own sections, and all others stay as they are.
"""

from dataclasses import dataclass

from anyio import move_on_after, sleep

from knapweedbridge_core import Bridge
from knapweedbridge_core.configuration import Sections
from knapweedbridge_core.differences import Change, compare
from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.folder import Folder, read_folder
from knapweedbridge_core.members import Members
from knapweedbridge_core.teams import (
    find_ownership_faults,
    merge_team,
    sections_of,
    sections_visible_to,
)
from knapweedbridge_daemon.access import Caller
from knapweedbridge_daemon.configurations import (
    Accepted,
    read_parts,
    read_root,
    write_configuration,
)
from knapweedbridge_daemon.errors import GenerationGoneError, StoreError
from knapweedbridge_daemon.history import make_note, read_sections
from knapweedbridge_daemon.off_loop import run_off_loop
from knapweedbridge_daemon.store import KeyValueStore

REBASES = 3
CONTACT_S = 4.0
CONTACT_LOOK_S = 0.05


@dataclass(slots=True, frozen=True)
class Written:
    """A new generation was accepted."""

    generation: int
    changes: list[Change]


@dataclass(slots=True, frozen=True)
class Collision:
    """Another operator's generation came in between.

    Parameters
    ----------
    generation : int
        The generation in force.
    mine, theirs : list of Change
        What each changed against the common base.
    base_kept : bool
        False where the base is no longer kept: then `mine` is against the
        generation in force, and `theirs` is empty.
    """

    generation: int
    mine: list[Change]
    theirs: list[Change]
    base_kept: bool


@dataclass(slots=True, frozen=True)
class Checked:
    """A configuration that was found without fault.

    Parameters
    ----------
    generation : int
        Generation it is based on.
    base, wanted : dict
        The sections before and after.
    """

    generation: int
    base: Sections
    wanted: Sections

    def changes(self, seen_by: Caller | None = None) -> list[Change]:
        """Return what differs, of what a caller may see."""
        if seen_by is None:
            return compare(self.base, self.wanted)
        return compare(visible(seen_by, self.base), visible(seen_by, self.wanted))


def visible(caller: Caller, sections: Sections) -> Sections:
    """Return the sections that a caller may see."""
    if caller.administrator:
        return sections
    return sections_visible_to(caller.team, sections)


def propose(caller: Caller, base: Sections, files: dict[str, str]) -> Sections:
    """Return the whole configuration that a folder asks for.

    Raises
    ------
    CheckError
        With every fault, and every change that the caller may not make.
    """
    folder = read_folder(files.items())
    if caller.administrator:
        folder.check()
        return folder.sections
    wanted = merge_team(caller.team, base, folder.sections)
    others = {title: wanted[title] for title in wanted.keys() - folder.sections.keys()}
    folder.check(others)
    _check_team(caller, base, wanted, folder)
    return wanted


def _check_team(
    caller: Caller, base: Sections, wanted: Sections, folder: Folder
) -> None:
    found = find_ownership_faults(caller.team, base, wanted)
    if found:
        raise CheckError([folder.locate(fault) for fault in found])


class Proposals:
    """Compares and writes proposed configurations.

    Parameters
    ----------
    store : KeyValueStore
        Where generations are written.
    bridge : Bridge
        Knows what is in force.
    """

    def __init__(self, store: KeyValueStore, bridge: Bridge) -> None:
        self._store = store
        self._bridge = bridge

    async def sections_at(self, generation: int) -> Sections:
        """Return the sections of a generation.

        Raises
        ------
        GenerationGoneError
            If the generation is not kept.
        StoreError
            If the service does not answer.
        """
        in_force = self._bridge.configuration
        if generation == in_force.generation:
            return await run_off_loop(in_force.parts.sections)
        if generation == 0:
            return {}
        return await read_sections(self._store, generation)

    async def check(self, caller: Caller, files: dict[str, str]) -> Checked:
        """Return what a folder asks for; may raise CheckError."""
        generation = self._bridge.configuration.generation
        base = await self.sections_at(generation)
        # A folder of 28,000 adapters takes a second: off the loop that streams.
        wanted = await run_off_loop(propose, caller, base, files)
        return Checked(generation, base, wanted)

    async def apply(
        self, caller: Caller, based_on: int, files: dict[str, str]
    ) -> Written | Collision:
        """Write a folder as the next generation.

        Raises
        ------
        CheckError, StoreError
            See `propose` and `sections_at`.
        """
        try:
            base = await self.sections_at(based_on)
        except GenerationGoneError:
            return await self._collide_without_base(caller, files)
        wanted = await run_off_loop(propose, caller, base, files)
        return await self._write(caller, Checked(based_on, base, wanted))

    async def rollback(
        self, caller: Caller, based_on: int, generation: int
    ) -> Written | Collision:
        """Write the sections of an earlier generation as the next one.

        An operator's rollback brings back the team's own sections only.
        """
        base = await self.sections_at(based_on)
        earlier = await self.sections_at(generation)
        wanted = await run_off_loop(_roll_back, caller, base, earlier)
        return await self._write(caller, Checked(based_on, base, wanted))

    async def _write(self, caller: Caller, checked: Checked) -> Written | Collision:
        await await_contact(self._bridge.members)
        note = make_note(caller.name, caller.team)
        for _ in range(REBASES):
            highest = self._bridge.distribution.highest_known
            ended = await write_configuration(
                self._store, checked.generation, checked.wanted, highest, note
            )
            if isinstance(ended, Accepted):
                return Written(ended.generation, await run_off_loop(checked.changes))
            theirs = await self._newest(ended.generation)
            apart = _is_apart(caller.team, checked.base, theirs)
            if caller.administrator or not apart:
                break
            checked = await run_off_loop(
                _rebase, caller.team, checked, theirs, ended.generation
            )
        mine = await run_off_loop(checked.changes, caller)
        other = Checked(ended.generation, checked.base, theirs)
        others = await run_off_loop(other.changes, caller)
        return Collision(ended.generation, mine, others, base_kept=True)

    async def _newest(self, generation: int) -> Sections:
        stored = await read_root(self._store)
        in_force = self._bridge.configuration
        if max(in_force.generation, stored.generation) < generation:
            # After a restore of the service only peers hold the newest. A change
            # put on top of an older one under its number would undo it.
            raise StoreError(f"generation {generation} is on its way here; try again")
        if in_force.generation >= stored.generation:
            return await run_off_loop(in_force.parts.sections)
        parts = await read_parts(self._store, stored.root, in_force.parts)
        return await run_off_loop(parts.sections)

    async def _collide_without_base(
        self, caller: Caller, files: dict[str, str]
    ) -> Collision:
        checked = await self.check(caller, files)
        mine = await run_off_loop(checked.changes, caller)
        return Collision(checked.generation, mine, [], base_kept=False)


async def await_contact(members: Members) -> None:
    """Wait for the peers that a daemon asks at its start and after a pause.

    Cut off from them it cannot know which numbers are used, and a service that
    came back with older contents does not say.

    Raises
    ------
    StoreError
        If they do not answer.
    """
    with move_on_after(CONTACT_S):
        while members.is_stale:
            await sleep(CONTACT_LOOK_S)
    if members.is_stale:
        raise StoreError("no contact with the other daemons; try again")


def _is_apart(team: str, base: Sections, theirs: Sections) -> bool:
    return sections_of(team, base) == sections_of(team, theirs)


def _rebase(team: str, checked: Checked, theirs: Sections, generation: int) -> Checked:
    # Only other teams changed something: ours goes on top of theirs.
    own = sections_of(team, checked.wanted)
    wanted = merge_team(team, theirs, own)
    Folder(sections=wanted).check()
    return Checked(generation, theirs, wanted)


def _roll_back(caller: Caller, base: Sections, earlier: Sections) -> Sections:
    if caller.administrator:
        return earlier
    own = sections_of(caller.team, earlier)
    wanted = merge_team(caller.team, base, own)
    found = find_ownership_faults(caller.team, base, wanted)
    if found:
        raise CheckError(found)
    Folder(sections=wanted).check()
    return wanted
