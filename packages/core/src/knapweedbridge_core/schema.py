"""Typed keys of INI sections: allowed values, units and defaults."""

import re
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

from knapweedbridge_core.faults import Fault, read_ini
from knapweedbridge_core.names import is_name

MAX_PORT = 65535
_DIGEST = re.compile(r"[0-9a-f]{64}")


class ValueType(ABC):
    """The type of a key's value; `allowed` describes it in fault messages."""

    allowed: str

    @abstractmethod
    def read(self, text: str) -> Any:
        """Parse the text.

        Raises
        ------
        ValueError, KeyError
            If the text is not allowed.
        """


class Text(ValueType):
    """Any text."""

    allowed = "any text"

    def read(self, text: str) -> str:
        """Return the text itself."""
        return text


class Name(ValueType):
    """A name as accepted by `names.is_name`."""

    allowed = "a name of letters, digits, '.', '_' and '-'"

    def read(self, text: str) -> str:
        """Return the name."""
        if not is_name(text):
            raise ValueError(text)
        return text


class Names(ValueType):
    """A comma-separated list of names."""

    allowed = "names separated by commas"

    def read(self, text: str) -> tuple[str, ...]:
        """Return the names in the given order."""
        names = tuple(part.strip() for part in text.split(",") if part.strip())
        if not all(is_name(name) for name in names):
            raise ValueError(text)
        return names


class Methods(Names):
    """A comma-separated list of HTTP methods."""

    words = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
    allowed = "separated by commas, of " + ", ".join(words)

    def read(self, text: str) -> tuple[str, ...]:
        """Return the methods in the given order."""
        methods = super().read(text)
        if not set(methods) <= set(self.words):
            raise ValueError(text)
        return methods


class Flag(ValueType):
    """Yes or no."""

    allowed = "yes or no"

    def read(self, text: str) -> bool:
        """Return the flag."""
        values = {"yes": True, "no": False, "true": True, "false": False}
        return values[text.lower()]


class Number(ValueType):
    """A number between two bounds, both included."""

    def __init__(self, low: float, high: float, whole: bool = False) -> None:
        self.low = low
        self.high = high
        self.whole = whole
        self.allowed = f"a {'whole ' if whole else ''}number from {low:g} to {high:g}"

    def read(self, text: str) -> float | int:
        """Return the number."""
        value = int(text) if self.whole else float(text)
        if not self.low <= value <= self.high:
            raise ValueError(text)
        return value


class RepeatedNumber(Number):
    """A number that may stand several times, as a template may repeat it.

    An empty text is read as 0.
    """

    def __init__(self, low: float, high: float, whole: bool = False) -> None:
        super().__init__(low, high, whole)
        self.allowed += ", or the same one several times"

    def read(self, text: str) -> float | int:
        """Return the number."""
        numbers = set(text.split()) or {"0"}
        if len(numbers) > 1:
            raise ValueError(text)
        return super().read(numbers.pop())


class Choice(ValueType):
    """One of a few words."""

    def __init__(self, *words: str) -> None:
        self.words = words
        self.allowed = "one of " + ", ".join(words)

    def read(self, text: str) -> str:
        """Return the word."""
        if text not in self.words:
            raise ValueError(text)
        return text


class Address(ValueType):
    """A numeric IP address and a port; IPv6 addresses are in brackets."""

    allowed = "an address of the form IP:port, the IP as a number"

    def read(self, text: str) -> str:
        """Return the address."""
        host, _, port = text.rpartition(":")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        elif ":" in host:
            raise ValueError(text)
        ip_address(host)
        if not port.isdecimal() or int(port) > MAX_PORT:
            raise ValueError(text)
        return text


class Url(ValueType):
    """An HTTP URL whose host is a numeric IP address."""

    allowed = "a URL of the form http://IP:port or https://IP:port, IP as a number"

    def read(self, text: str) -> str:
        """Return the URL."""
        parts = urlsplit(text)
        if parts.scheme not in ("http", "https") or parts.port == 0:
            raise ValueError(text)
        ip_address(parts.hostname or "")
        return text


class Digest(ValueType):
    """A SHA-256 digest in lower-case hexadecimal, as `hashlib` returns it."""

    allowed = "64 digits of lower-case hexadecimal, the SHA-256 of the key"

    def read(self, text: str) -> str:
        """Return the digest."""
        if _DIGEST.fullmatch(text) is None:
            raise ValueError(text)
        return text


class FilePath(ValueType):
    """A file that must be readable when the daemon starts."""

    allowed = "the path of a readable file"

    def read(self, text: str) -> str:
        """Return the path; the daemon checks that it can be read."""
        return text


@dataclass(slots=True, frozen=True)
class Key:
    """One key of a section.

    Parameters
    ----------
    kind : Kind
        Type of the value.
    default : str or None
        Text used if the key is absent; None makes the key required.
    help : str
        Description with the unit, for the documentation of settings.
    """

    kind: ValueType
    default: str | None
    help: str


@dataclass(slots=True)
class Section:
    """The keys that one kind of section may hold."""

    help: str
    keys: dict[str, Key] = field(default_factory=dict)

    def read(
        self, file: str, title: str, items: Mapping[str, str]
    ) -> tuple[dict[str, Any], list[Fault]]:
        """Parse all keys of a section and return the values with all faults found."""
        faults = [
            Fault(file, title, key, f"unknown key; allowed: {', '.join(self.keys)}")
            for key in items
            if key not in self.keys
        ]
        values: dict[str, Any] = {}
        for name, key in self.keys.items():
            text = items.get(name, key.default)
            if text is None:
                faults.append(
                    Fault(file, title, name, f"missing; allowed: {key.kind.allowed}")
                )
                continue
            if text == "" and key.default == "":
                values[name] = Names().read("") if isinstance(key.kind, Names) else ""
                continue
            try:
                values[name] = key.kind.read(text)
            except (ValueError, KeyError):
                faults.append(
                    Fault(file, title, name, f"{text!r}: allowed: {key.kind.allowed}")
                )
        return values, faults


def read_sections(
    file: str, text: str, sections: Mapping[str, Section]
) -> tuple[dict[str, dict[str, Any]], list[Fault]]:
    """Parse INI text of known sections and return values and faults found."""
    parser, faults = read_ini(file, text)
    for title in parser.sections():
        if title not in sections:
            allowed = ", ".join(sections)
            faults.append(Fault(file, title, "", f"unknown; allowed: {allowed}"))
    values: dict[str, dict[str, Any]] = {}
    for title, section in sections.items():
        items = dict(parser[title]) if parser.has_section(title) else {}
        values[title], found = section.read(file, title, items)
        faults += found
    return values, faults
