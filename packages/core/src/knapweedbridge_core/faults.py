"""Faults found in INI text, each with its location."""

import re
from configparser import ConfigParser, DuplicateOptionError, DuplicateSectionError
from configparser import Error as IniError
from contextlib import suppress
from dataclasses import dataclass

_HEADER = re.compile(r"\[(.+)\]")
_OPTION = re.compile(r"([^\s#;=:\[][^=:]*?)\s*[=:]")

# A header has at least one character, so no file can name this section. This makes
# [DEFAULT] an ordinary section instead of one whose keys apply to all sections.
_NO_DEFAULT_SECTION = ""


@dataclass(slots=True, frozen=True)
class Fault:
    """A validation error with its location and what is allowed there."""

    file: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        location = self.file
        if self.section:
            location += f": [{self.section}]"
        if self.key:
            location += f" {self.key}"
        return f"{location}: {self.message}"


def read_ini(file: str, text: str) -> tuple[ConfigParser, list[Fault]]:
    """Parse an INI text; syntax errors are returned, never raised."""
    faults: list[Fault] = []
    parser = _make_parser(strict=True)
    try:
        parser.read_string(text, source=file)
        return parser, faults
    except (DuplicateOptionError, DuplicateSectionError) as error:
        key = getattr(error, "option", "")
        message = f"stands twice in this {'section' if key else 'file'}"
        first = Fault(file, error.section, key, message)
        faults += _find_duplicates(file, text) or [first]
    except IniError as error:
        faults.append(Fault(file, "", "", " ".join(str(error).split())))
    # Parse what can be parsed, so that its faults are reported at the same time.
    parser = _make_parser(strict=False)
    with suppress(IniError):
        parser.read_string(text, source=file)
    return parser, faults


def _make_parser(strict: bool) -> ConfigParser:
    return ConfigParser(
        interpolation=None, strict=strict, default_section=_NO_DEFAULT_SECTION
    )


def _find_duplicates(file: str, text: str) -> list[Fault]:
    # The parser stops at the first duplicate and would hide the others.
    faults: list[Fault] = []
    seen: set[tuple[str, str]] = set()
    section = ""
    for line in text.splitlines():
        header, option = _HEADER.match(line), _OPTION.match(line)
        if header is not None:
            section, key, where = header[1], "", "file"
        elif option is not None:
            key, where = option[1].lower(), "section"
        else:
            continue
        if (section, key) in seen:
            faults.append(Fault(file, section, key, f"stands twice in this {where}"))
        seen.add((section, key))
    return faults
