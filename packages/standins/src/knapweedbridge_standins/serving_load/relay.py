"""The relay of a modelled large pool: hands owners' tellings on to all daemons."""

from functools import partial
from typing import TYPE_CHECKING

from knapweedbridge_core.serving.messages import EngineDelta, EngineSnapshot
from knapweedbridge_daemon.serving.update_relay import RELAY_INTERVAL_S
from knapweedbridge_standins.serving_load.call import WAY_S

if TYPE_CHECKING:
    from knapweedbridge_standins.serving_load.pool import ModelledPool

RELAY = "relay"
"""Name by which owners know it; one stands for those of all data centres."""


class ModelledRelay:
    """Joins what comes within a pause, as the daemons' own relays do."""

    def __init__(self, pool: "ModelledPool") -> None:
        self._pool = pool
        self._rows: list[EngineSnapshot | EngineDelta] = []
        self._woken = False

    def told(self, owner: str, message: EngineSnapshot | EngineDelta) -> None:
        """Take an owner's telling."""
        self._rows.append(message)
        if not self._woken:
            self._woken = True
            self._pool.clock.after(RELAY_INTERVAL_S, self._hand_on)

    def _hand_on(self) -> None:
        self._woken = False
        rows, self._rows = self._rows, []
        for daemon in self._pool.daemons.values():
            self._pool.clock.after(WAY_S, partial(daemon.relayed, rows))
