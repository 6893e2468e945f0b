"""The operators' folder: INI files merged in the order of their names."""

from collections.abc import Iterable

from knapweedbridge_core.configuration import SECTION_KINDS, Sections, build
from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.faults import Fault, read_ini


def merge_folder(files: Iterable[tuple[str, str]]) -> Sections:
    """Merge and check the files of a folder.

    Parameters
    ----------
    files : iterable of (name, text)
        In any order; they are merged by name, a later one refining an
        earlier one key by key.

    Returns
    -------
    sections : dict of str to dict of str to str
        The merged sections.

    Raises
    ------
    CheckError
        With every fault of every file.
    """
    merged: Sections = {}
    origin: dict[tuple[str, str], str] = {}
    faults: list[Fault] = []
    for file, text in sorted(files):
        parser, found = read_ini(file, text)
        faults += found
        for title in parser.sections():
            section = merged.setdefault(title, {})
            origin.setdefault((title, ""), file)
            for key, value in parser[title].items():
                section[key] = value
                origin[title, key] = file
    faults += _check(merged, origin)
    if faults:
        raise CheckError(faults)
    return merged


def _check(merged: Sections, origin: dict[tuple[str, str], str]) -> list[Fault]:
    faults: list[Fault] = []
    for title, items in merged.items():
        kind = title.partition(" ")[0]
        file = origin[title, ""]
        if kind not in SECTION_KINDS:
            allowed = ", ".join(SECTION_KINDS)
            faults.append(Fault(file, title, "", f"unknown kind; allowed: {allowed}"))
            continue
        _, found = SECTION_KINDS[kind].read(file, title, items)
        faults += found
    if not faults:
        faults = build(0, merged)[1]
    return [_located(fault, origin) for fault in faults]


def _located(fault: Fault, origin: dict[tuple[str, str], str]) -> Fault:
    file = origin.get((fault.section, fault.key)) or origin.get((fault.section, ""))
    return Fault(file or fault.file, fault.section, fault.key, fault.message)
