"""Faults found in INI text, each with its place."""

from configparser import ConfigParser, DuplicateOptionError, DuplicateSectionError
from configparser import Error as IniError
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault in one place, with what is allowed there."""

    file: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        place = self.file
        if self.section:
            place += f": [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return f"{place}: {self.message}"


def read_ini(file: str, text: str) -> tuple[ConfigParser, list[Fault]]:
    """Parse one INI text; a syntax fault is reported, never raised."""
    parser = ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, source=file)
    except DuplicateOptionError as error:
        return parser, [
            Fault(file, error.section, error.option, "stands twice in this section")
        ]
    except DuplicateSectionError as error:
        return parser, [Fault(file, error.section, "", "stands twice in this file")]
    except IniError as error:
        return parser, [Fault(file, "", "", " ".join(str(error).split()))]
    return parser, []
