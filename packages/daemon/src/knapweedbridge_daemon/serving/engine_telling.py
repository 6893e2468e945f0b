"""Tells daemons what an engine holds and runs, as changes where that will do."""

from knapweedbridge_core.serving import Endpoint, EngineKeeper, ModelRef, near
from knapweedbridge_core.serving.messages import EngineChanged, EngineTold
from knapweedbridge_daemon.serving.hub import Hub, Send

HEARER_LIFE_S = 5.0
"""How long a daemon of another data centre hears of an engine after its last use."""

TELL_ALL_S = 3.0
"""Pause between tellings of all: a successor learns from them what is in use."""


class EngineTeller:
    """What one owner has told of its engine, and to whom.

    Parameters
    ----------
    hub : Hub
        Beliefs.
    endpoint : Endpoint
        The engine.
    number : int
        The owner's fencing number.
    keeper : EngineKeeper
        What the engine holds.
    send : callable
        Sends a message to a daemon.
    """

    def __init__(
        self,
        hub: Hub,
        endpoint: Endpoint,
        number: int,
        keeper: EngineKeeper,
        send: Send,
    ) -> None:
        self._hub = hub
        self._endpoint = endpoint
        self._number = number
        self._keeper = keeper
        self._send = send
        self._told = 0
        self._told_all_s = float("-inf")
        self._lost: set[str] = set()
        self._hearers: set[str] = set()
        self._used_s: dict[str, float] = {}
        self._shown: dict[ModelRef, tuple[int, float]] = {}

    @property
    def is_asked(self) -> bool:
        """Whether a daemon that missed a telling waits for all."""
        return bool(self._lost)

    def used_by(self, daemon: str, now_s: float) -> None:
        """Note that a daemon uses the engine."""
        self._used_s[daemon] = now_s

    def asked_for_all(self, daemon: str) -> None:
        """Take that a daemon missed a telling."""
        self._lost.add(daemon)

    async def tell(self, now_s: float) -> None:
        """Tell all hearers what is new to them."""
        self._told += 1
        told, changed = self._all(now_s), self._changes(now_s)
        self._shown = dict(self._rows())
        all_due = now_s - self._told_all_s >= TELL_ALL_S
        if all_due:
            self._told_all_s = now_s
        hearers = self._wanted_hearers(now_s)
        for daemon in hearers:
            new = daemon in self._lost or daemon not in self._hearers
            await self._send(daemon, told if all_due or new else changed)
        self._hearers = hearers
        self._lost.clear()

    def _wanted_hearers(self, now_s: float) -> set[str]:
        daemons = self._hub.beliefs.daemons
        hearers = set(near(daemons.values(), self._endpoint.record.data_centre))
        # Those farther off hear of the engine for as long as they use it.
        for daemon, used_s in list(self._used_s.items()):
            if now_s - used_s > HEARER_LIFE_S:
                del self._used_s[daemon]
            elif daemon in daemons:
                hearers.add(daemon)
        return hearers

    def _rows(self) -> dict[ModelRef, tuple[int, float]]:
        return {
            model: (place.version, place.ready_s)
            for model, place in self._keeper.places.items()
            if not place.leaving
        }

    def _all(self, now_s: float) -> EngineTold:
        keeper = self._keeper
        held = [
            [
                model.base,
                model.adapter,
                version,
                ready_s - now_s,
                keeper.users(model),
                now_s - keeper.places[model].used_s,
            ]
            for model, (version, ready_s) in self._rows().items()
        ]
        return EngineTold(
            self._endpoint.name,
            self._number,
            self._told,
            held,
            keeper.load_by_daemon(),
            keeper.places_free(now_s),
            keeper.wants,
            sorted(keeper.bases),
        )

    def _changes(self, now_s: float) -> EngineChanged:
        rows = self._rows()
        return EngineChanged(
            self._endpoint.name,
            self._number,
            self._told,
            [
                [model.base, model.adapter, version, ready_s - now_s]
                for model, (version, ready_s) in rows.items()
                if self._shown.get(model) != (version, ready_s)
            ],
            [[model.base, model.adapter] for model in self._shown if model not in rows],
            self._keeper.load_by_daemon(),
            self._keeper.places_free(now_s),
            self._keeper.wants,
            sorted(self._keeper.bases),
        )
