"""Starts a daemon of the soak, whose links to endpoints a file can cut.

    python soak_start.py ROOT

``SOAK_LINKS`` names the file, ``SOAK_STORE`` the store. While the file holds
``hang``, ``reset`` or ``refuse``, new connections to endpoints hang or are refused;
open ones fall silent and are ended as the kernel does, are reset, or live on.
"""

import asyncio
import os
import runpy
import sys
from pathlib import Path

LOOK_S = 0.05
SILENT_S = 2.5
"""How long the kernel waits for bytes to be acknowledged."""

FILE = Path(os.environ["SOAK_LINKS"])
STORE = os.environ["SOAK_STORE"]


def cut() -> str:
    """Return how the links are cut; empty: they are there."""
    try:
        return FILE.read_text()
    except OSError:
        return ""


class Links:
    """The open connections to endpoints."""

    def __init__(self, connect) -> None:
        self._connect = connect
        self._open = set()
        self._task = None

    async def connect(self, ip: str, port: int):
        """Open a connection; to endpoints only while the links are there."""
        if f"{ip}:{port}" == STORE:
            return await self._connect(ip, port)
        if self._task is None:
            self._task = asyncio.create_task(self._watch())
        while cut() == "hang":
            await asyncio.sleep(LOOK_S)
        if cut():
            raise ConnectionRefusedError(f"{ip}:{port}")
        stream = await self._connect(ip, port)
        self._open.add(stream)
        return stream

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            self._open = {each for each in self._open if not each.has_ended}
            how = cut()
            if how == "hang":
                await self._silence()
            elif how == "reset":
                self._end(self._open)

    async def _silence(self) -> None:
        silent = set(self._open)
        for each in silent:
            if not each.has_ended:
                each._transport.pause_reading()
        ends_s = asyncio.get_running_loop().time() + SILENT_S
        while cut() == "hang" and asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(LOOK_S)
        if cut() == "hang":
            self._end(silent)
            return
        for each in silent:
            if not each.has_ended:
                each._transport.resume_reading()

    @staticmethod
    def _end(streams) -> None:
        for each in streams:
            if not each.has_ended:
                each.close()


def main() -> None:
    """Run the daemon with links that can be cut."""
    root = Path(sys.argv[1])
    for source in ("packages/core/src", "packages/daemon/src", "platform/src"):
        sys.path.insert(0, str(root / source))
    from knapweedbridge_daemon.serving import byte_stream

    links = Links(byte_stream.connect_stream)
    byte_stream.connect_stream = links.connect
    runpy.run_path(str(root / "platform/start.py"), run_name="__main__")


if __name__ == "__main__":
    main()
