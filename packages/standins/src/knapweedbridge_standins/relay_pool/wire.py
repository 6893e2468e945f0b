"""Links between daemons, which may hold messages back, lose them, or be cut."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

Take = Callable[[str, Any], Awaitable[None]]

HOP_S = 0.001
"""Time of a message on a link that holds nothing back."""


class PeerWire:
    """Carries messages between daemons, in order for each pair.

    Attributes
    ----------
    held_s : dict of str to float
        By sender, how long its messages wait before its link.
    cut : set of str
        Daemons that neither send nor hear.
    lost : set of pairs
        Sender and hearer between which messages are lost.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self._tasks = tasks
        self._arrives_s: dict[tuple[str, str], float] = {}
        self._takes: dict[str, Take] = {}
        self.held_s: dict[str, float] = {}
        self.cut: set[str] = set()
        self.lost: set[tuple[str, str]] = set()

    def hear(self, hearer: str, take: Take) -> None:
        """Have a daemon take what is sent to it, with the sender's name."""
        self._takes[hearer] = take

    def send(self, sender: str, hearer: str, message: Any) -> None:
        """Send a message; it is lost where one of the two is cut off."""
        is_cut = self.cut & {sender, hearer} or (sender, hearer) in self.lost
        if hearer not in self._takes or is_cut:
            return
        path = sender, hearer
        arrives_s = anyio.current_time() + HOP_S + self.held_s.get(sender, 0.0)
        arrives_s = max(arrives_s, self._arrives_s.get(path, 0.0) + 1e-6)
        self._arrives_s[path] = arrives_s
        self._tasks.start_soon(self._carry, sender, hearer, message, arrives_s)

    async def _carry(
        self, sender: str, hearer: str, message: Any, arrives_s: float
    ) -> None:
        await anyio.sleep(arrives_s - anyio.current_time())
        if hearer not in self.cut:
            await self._takes[hearer](sender, message)


class WirePeers:
    """What a daemon sends its messages by."""

    def __init__(self, wire: PeerWire, daemon: str) -> None:
        self._wire = wire
        self._daemon = daemon

    def send(self, daemon: str, message: Any) -> None:
        """Send a message to a daemon."""
        self._wire.send(self._daemon, daemon, message)
