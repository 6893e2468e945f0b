"""The settings file and the files it names, read at the daemon's start."""

from collections.abc import Iterator
from pathlib import Path

from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.faults import Fault
from knapweedbridge_core.schema import FilePath
from knapweedbridge_core.settings import SECTIONS, Settings, inspect_settings
from knapweedbridge_daemon.errors import CertificateError, LocalFileError
from knapweedbridge_daemon.tls import open_certificates


def load_settings(path: Path) -> Settings:
    """Read and check a settings file and the files that it names.

    Raises
    ------
    LocalFileError
        If the settings file cannot be read.
    CheckError
        With every fault, each naming file, section and key.
    """
    settings, faults = inspect_settings(str(path), read_text(path))
    faults += _unreadable(str(path), settings)
    if not faults:
        faults += _unusable(str(path), settings)
    if faults:
        raise CheckError(faults)
    return settings


def read_text(path: Path) -> str:
    """Read a UTF-8 file; may raise LocalFileError."""
    try:
        return path.read_text(encoding="utf-8-sig")
    except UnicodeDecodeError as error:
        message = f"{path}: not UTF-8 at byte {error.start}"
        raise LocalFileError(message) from error
    except OSError as error:
        raise LocalFileError(f"{path}: {error.strerror}") from error


def _unusable(file: str, settings: Settings) -> Iterator[Fault]:
    try:
        open_certificates(settings.values["listen"])
    except CertificateError as error:
        message = f"{error}: allowed: a PEM certificate and its PEM key, unencrypted"
        yield Fault(file, "listen", "certificate_file", message)


def _unreadable(file: str, settings: Settings) -> Iterator[Fault]:
    for title, section in SECTIONS.items():
        for name, key in section.keys.items():
            named = settings.values[title].get(name)
            if not isinstance(key.kind, FilePath) or not named:
                continue
            try:
                Path(named).read_bytes()
            except OSError as error:
                message = f"{named}: {error.strerror}: allowed: {key.kind.allowed}"
                yield Fault(file, title, name, message)
