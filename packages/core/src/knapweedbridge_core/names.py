"""Names of adapters, adapter versions and sections."""

import re
from dataclasses import dataclass

from knapweedbridge_core.errors import NameFormatError

_PART = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


@dataclass(slots=True, frozen=True, order=True)
class AdapterVersion:
    """One version of an adapter, called ``adapter@version`` by engines."""

    adapter: str
    version: str

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"


def is_name(text: str) -> bool:
    """Return whether ``text`` can name an adapter, team, route or endpoint."""
    return _PART.fullmatch(text) is not None


def parse_adapter_version(text: str) -> AdapterVersion:
    """Parse ``adapter@version``.

    Raises
    ------
    NameFormatError
        If ``text`` is not of this form.
    """
    adapter, at, version = text.partition("@")
    if not at or not is_name(adapter) or not is_name(version):
        raise NameFormatError(f"{text!r} is not of the form adapter@version")
    return AdapterVersion(adapter, version)
