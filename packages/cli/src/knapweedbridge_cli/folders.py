"""Reads the operators' folder from disk."""

from pathlib import Path

from knapweedbridge_cli.errors import CommandError, ExitCode

PATTERN = "*.ini"


def read_folder(folder: Path) -> dict[str, str]:
    """Read the INI files of a folder by name.

    Raises
    ------
    CommandError
        Naming every file that cannot be read.
    """
    if not folder.is_dir():
        what = "not a folder" if folder.exists() else "no such folder"
        raise CommandError(f"{folder}: {what}", ExitCode.FAULTS)
    files: dict[str, str] = {}
    faults: list[str] = []
    for path in _list(folder):
        try:
            files[path.name] = path.read_text(encoding="utf-8-sig")
        except UnicodeDecodeError as error:
            faults.append(f"{path.name}: not UTF-8 at byte {error.start}")
        except OSError as error:
            faults.append(f"{path.name}: {error.strerror}")
    if faults:
        raise CommandError("\n".join(faults), ExitCode.FAULTS)
    if not files:
        # An empty folder would take every section away.
        message = f"{folder}: holds no file named {PATTERN}"
        raise CommandError(message, ExitCode.FAULTS)
    return files


def _list(folder: Path) -> list[Path]:
    try:
        return sorted(folder.glob(PATTERN))
    except OSError as error:
        message = f"{folder}: {error.strerror}"
        raise CommandError(message, ExitCode.FAULTS) from None
