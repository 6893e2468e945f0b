"""Typed keys of INI sections: what each may hold, its unit and its default."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from knapweedbridge_core.faults import Fault
from knapweedbridge_core.names import is_name


class Kind(ABC):
    """What a key may hold."""

    allowed: str

    @abstractmethod
    def read(self, text: str) -> Any:
        """Turn the text into a value, or raise ValueError."""


class Text(Kind):
    """Any text."""

    allowed = "any text"

    def read(self, text: str) -> str:
        """Return the text itself."""
        return text


class Name(Kind):
    """A name as in `names.is_name`."""

    allowed = "a name of letters, digits, '.', '_' and '-'"

    def read(self, text: str) -> str:
        """Return the name."""
        if not is_name(text):
            raise ValueError(text)
        return text


class Names(Kind):
    """A comma-separated list of names."""

    allowed = "names separated by commas"

    def read(self, text: str) -> tuple[str, ...]:
        """Return the names in their order."""
        names = tuple(part.strip() for part in text.split(",") if part.strip())
        if not all(is_name(name) for name in names):
            raise ValueError(text)
        return names


class Flag(Kind):
    """Yes or no."""

    allowed = "yes or no"

    def read(self, text: str) -> bool:
        """Return the flag."""
        values = {"yes": True, "no": False, "true": True, "false": False}
        return values[text.lower()]


class Number(Kind):
    """A number within bounds."""

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


class Choice(Kind):
    """One of a few words."""

    def __init__(self, *words: str) -> None:
        self.words = words
        self.allowed = "one of " + ", ".join(words)

    def read(self, text: str) -> str:
        """Return the word."""
        if text not in self.words:
            raise ValueError(text)
        return text


class Address(Kind):
    """An IP number and a port."""

    allowed = "an address of the form IP:port"

    def read(self, text: str) -> str:
        """Return the address."""
        host, colon, port = text.rpartition(":")
        if not colon or not host or not 0 <= int(port) <= 65535:
            raise ValueError(text)
        return text


@dataclass(slots=True, frozen=True)
class Key:
    """One key of a section.

    Parameters
    ----------
    kind : Kind
        What the key may hold.
    default : str or None
        The text used when the key is absent; None makes it required.
    help : str
        What the key is for, with its unit.
    """

    kind: Kind
    default: str | None
    help: str


@dataclass(slots=True)
class Section:
    """The keys of one kind of section."""

    help: str
    keys: dict[str, Key] = field(default_factory=dict)

    def read(
        self, file: str, title: str, items: Mapping[str, str]
    ) -> tuple[dict[str, Any], list[Fault]]:
        """Read all keys of one section, and find every fault in it."""
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
