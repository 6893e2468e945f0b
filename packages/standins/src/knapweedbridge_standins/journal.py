"""What a stand-in did, one JSON line each, kept over its own end."""

import json
import time
from pathlib import Path
from typing import Any


class Journal:
    """Appends lines to a file, each written before the deed has an effect.

    Parameters
    ----------
    name : str
        The stand-in's name.
    path : str
        File to append to; empty: nothing is written.
    """

    def __init__(self, name: str = "", path: str = "") -> None:
        self._name = name
        self._path = Path(path) if path else None

    def write(self, kind: str, **fields: Any) -> None:
        """Append one line."""
        if self._path is None:
            return
        line = {"kind": kind, "by": self._name, "at_s": time.time(), **fields}
        with self._path.open("a") as file:
            file.write(json.dumps(line) + "\n")
