"""Writes the list of notes in docs/design/README.md."""

from pathlib import Path

FOLDER = Path(__file__).parent / "design"
PAGE = FOLDER / "README.md"


def make_index() -> str:
    """Return the text of the page: its first part, then a line a note."""
    head = PAGE.read_text(encoding="utf-8").partition("\n- [")[0]
    lines = [head.rstrip(), ""]
    for note in sorted(FOLDER.glob("*.md")):
        if note != PAGE:
            title = note.read_text(encoding="utf-8").splitlines()[0].lstrip("# ")
            lines.append(f"- [{title}]({note.name})")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(make_index(), encoding="utf-8")
