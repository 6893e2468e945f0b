"""A folder of configuration files: INI files merged in the order of their names."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from knapweedbridge_core.configuration import Sections, build
from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.faults import Fault, read_ini

IN_FORCE = "(in force)"
"""Reported as the file of a section that is in no file, such as another team's."""

Origin = dict[tuple[str, str], str]


@dataclass(slots=True)
class Folder:
    """The merged files of a folder.

    Parameters
    ----------
    sections : dict of str to dict of str to str
        The merged sections.
    origin : dict of (section, key) to str
        File that defines each section (key ``""``), and the last file to set each key.
    faults : list of Fault
        Syntax errors.
    """

    sections: Sections = field(default_factory=dict)
    origin: Origin = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)

    def locate(self, fault: Fault) -> Fault:
        """Return the fault with the file that its section or key came from."""
        file = self.origin.get((fault.section, fault.key))
        file = file or self.origin.get((fault.section, "")) or fault.file or IN_FORCE
        return Fault(file, fault.section, fault.key, fault.message)

    def check(self, others: Mapping[str, dict[str, str]] | None = None) -> None:
        """Check the sections together with `others`, which are in no file.

        Raises
        ------
        CheckError
            With every fault of every file.
        """
        whole = {**(others or {}), **self.sections}
        found = [self.locate(fault) for fault in build(0, whole)[1]]
        if self.faults or found:
            raise CheckError(self.faults + found)


def read_folder(files: Iterable[tuple[str, str]]) -> Folder:
    """Merge the files of a folder by name, without checking the sections.

    Parameters
    ----------
    files : iterable of (name, text)
        In any order. They are merged in the order of their names; a key of a
        later file replaces that of an earlier one.
    """
    folder = Folder()
    for file, text in sorted(files):
        parser, found = read_ini(file, text)
        folder.faults += found
        for title in parser.sections():
            section = folder.sections.setdefault(title, {})
            folder.origin.setdefault((title, ""), file)
            for key, value in parser[title].items():
                section[key] = value
                folder.origin[title, key] = file
    return folder


def merge_folder(files: Iterable[tuple[str, str]]) -> Sections:
    """Merge and check the files of a folder.

    Parameters
    ----------
    files : iterable of (name, text)
        As for `read_folder`.

    Returns
    -------
    sections : dict of str to dict of str to str
        The merged sections.

    Raises
    ------
    CheckError
        With every fault of every file.
    """
    folder = read_folder(files)
    folder.check()
    return folder.sections
