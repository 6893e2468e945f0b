"""Writes docs/settings.md from the schema that checks settings and folders."""

from pathlib import Path

from knapweedbridge_core.configuration import SECTION_KINDS
from knapweedbridge_core.schema import Key, Section
from knapweedbridge_core.settings import SECTIONS
from knapweedbridge_daemon.serving.settings import SECTIONS as SERVING_SECTIONS

PAGE = Path(__file__).parent / "settings.md"

HEAD = """\
# Settings and folder: every key

This page is made by `make docs` from the schema that checks the files; a test
fails where the two differ. A key's unit is the end of its name (`_s`: seconds,
`_bytes`: bytes) and stands in its description. Every fault of a file is named at
once, with file, section, key and what is allowed.

## The daemon's settings

One INI file, read at the start by `knapweedbridged --settings FILE`;
`--check` only checks it, and the files that it names. Exit code 2: faults.
"""

SERVING = """
## The settings of a daemon that serves on a platform

A settings file with a section `[serving]`: see
[serving on the users' platform](design/platform.md).
"""

FOLDER = """
## The operators' folder

INI files (`*.ini`), merged in the order of their names: a later file refines an
earlier one key by key. A section is titled by its kind and its name, such as
`[adapter refill]` or `[version refill@3]`. A section that is in no file is
removed. `[DEFAULT]` is no special section.
"""

ROW = "| `{name}` | {help} | {allowed} | {default} |"


def _default(key: Key) -> str:
    if key.default is None:
        return "required"
    return f"`{key.default}`" if key.default else "empty"


def _section(title: str, section: Section) -> list[str]:
    lines = ["", f"### `[{title}]`", "", section.help, ""]
    lines += ["| key | what it is | allowed | default |", "| --- | --- | --- | --- |"]
    lines += [
        ROW.format(
            name=name,
            help=key.help.replace("|", "\\|"),
            allowed=key.kind.allowed.replace("|", "\\|"),
            default=_default(key),
        )
        for name, key in section.keys.items()
    ]
    return lines


def _title(kind: str) -> str:
    unnamed = ("weight_store", "placement")
    return kind if kind in unnamed else f"{kind} NAME"


def make_page() -> str:
    """Return the text of the page."""
    lines = [HEAD.rstrip()]
    for title, section in SECTIONS.items():
        lines += _section(title, section)
    lines += ["", SERVING.strip()]
    for title, section in SERVING_SECTIONS.items():
        lines += _section(title, section)
    lines += ["", FOLDER.strip()]
    for kind, section in SECTION_KINDS.items():
        lines += _section(_title(kind), section)
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(make_page(), encoding="utf-8")
