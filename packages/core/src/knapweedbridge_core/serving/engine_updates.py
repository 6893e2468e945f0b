"""Tells daemons what an engine holds and runs, as changes where that will do."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from knapweedbridge_core.serving.endpoint_records import EndpointStart
from knapweedbridge_core.serving.engine_controller import EngineController
from knapweedbridge_core.serving.messages import EngineChanged, EngineTold
from knapweedbridge_core.serving.model_ref import ModelRef

LOAD_UPDATE_INTERVAL_S = 0.02
"""Pause between tellings where only the calls changed: they steer the balance among
engines, and a prompt takes some 50 ms."""

TELL_FAR_S = 0.3
"""Pause between tellings in a large pool, where they go to the relays of each data
centre, and by them to all daemons. Each of those sends a small part of the calls; one
that waits for an adapter is told at once that it is on its way."""

IDLE_UPDATE_INTERVAL_S = 1.0
"""Pause after which relays are told even if nothing changed: an engine that is not
heard of for `endpoint.UPDATE_MAX_AGE_S` is taken to have no owner that tells."""

TELL_ALL_S = 3.0
"""Pause between tellings of all: a successor learns from them what is in use."""


@dataclass(slots=True, frozen=True)
class AddressedUpdate:
    """What one daemon is told."""

    daemon: str
    message: EngineTold | EngineChanged


class EngineUpdates:
    """What one owner has told of its engine, and to whom.

    Parameters
    ----------
    start : EndpointStart
        The engine.
    number : int
        The owner's fencing number.
    keeper : EngineController
        What the engine holds.
    """

    def __init__(
        self, start: EndpointStart, number: int, keeper: EngineController
    ) -> None:
        self._endpoint = start.endpoint
        self._started_ms = start.started_ms
        self._number = number
        self._keeper = keeper
        self._told = 0
        self._told_s = float("-inf")
        self._held_changed = True
        self._calls_changed = False
        self._told_all_s = float("-inf")
        self._lost: set[str] = set()
        self._hearers: set[str] = set()
        self._relays: set[str] = set()
        self._shown: dict[ModelRef, tuple[int, float]] = {}
        self._wanted_by: dict[ModelRef, set[str]] = {}

    def add_waiter(self, daemon: str, model: ModelRef) -> None:
        """Note that a daemon waits for an adapter."""
        self._wanted_by.setdefault(model, set()).add(daemon)

    def record_load_ordered(self, model: ModelRef) -> None:
        """Take that an adapter is on its way; who waits for it is told at once."""
        self._lost |= self._wanted_by.pop(model, set())

    def request_snapshot(self, daemon: str) -> None:
        """Take that a daemon missed a telling."""
        self._lost.add(daemon)

    def mark_adapters_changed(self) -> None:
        """Take that the engine holds something else than was told."""
        self._held_changed = True

    def mark_calls_changed(self) -> None:
        """Take that other calls run on the engine than was told."""
        self._calls_changed = True

    @property
    def has_changes(self) -> bool:
        """Whether something is to be told when its pause is over."""
        return self._held_changed or self._calls_changed

    def due_s(self, small: bool) -> float:
        """Return from when on news may be told to a small pool, or to a large one."""
        return self._told_s + self._pause_s(small)

    def _pause_s(self, small: bool) -> float:
        if not small:
            return TELL_FAR_S
        return 0.0 if self._held_changed else LOAD_UPDATE_INTERVAL_S

    def tell(
        self, subscribers: Iterable[str], small: bool, now_s: float
    ) -> list[AddressedUpdate]:
        """Return what is to be told now.

        Parameters
        ----------
        subscribers : iterable of str
            Those that hear of every change: all daemons of a small pool, the relays of
            a large one.
        small : bool
            Which of the two they are.
        """
        self._relays = set() if small else set(subscribers)
        since_s = now_s - self._told_s
        news_due = self.has_changes and since_s >= self._pause_s(small)
        still_due = not small and since_s >= IDLE_UPDATE_INTERVAL_S
        if news_due or still_due:
            return self._tell_changes(set(subscribers), now_s)
        return self.take_requested(now_s)

    def _tell_changes(
        self, subscribers: set[str], now_s: float
    ) -> list[AddressedUpdate]:
        self._told += 1
        self._told_s = now_s
        self._held_changed = self._calls_changed = False
        # What was wanted and never loaded is asked for again by those who still wait.
        self._wanted_by = {
            model: daemons
            for model, daemons in self._wanted_by.items()
            if not self._relays or model in self._keeper.wanted
        }
        new = (subscribers - self._hearers) | self._lost
        if now_s - self._told_all_s >= TELL_ALL_S:
            self._told_all_s = now_s
            new |= subscribers
        tellings: list[AddressedUpdate] = []
        if subscribers - new:
            tellings = self._each(subscribers - new, self._changes(now_s))
        self._shown = self._rows()
        tellings += self._tell_all(new, now_s)
        self._hearers = subscribers
        self._lost.clear()
        return tellings

    def take_requested(self, now_s: float) -> list[AddressedUpdate]:
        """Tell all to those that missed a telling or are new, and nothing to others."""
        tellings = self._tell_all(self._lost, now_s)
        self._lost.clear()
        return tellings

    def _tell_all(self, daemons: set[str], now_s: float) -> list[AddressedUpdate]:
        return self._each(daemons, self._all(now_s)) if daemons else []

    def _each(
        self, daemons: set[str], message: EngineTold | EngineChanged
    ) -> list[AddressedUpdate]:
        """Tell each daemon the calls of the others.

        To send all of them the calls by daemon made most of a telling's bytes.
        """
        load = self._keeper.load_by_daemon()
        calls = sum(each for each, _ in load.values())
        tokens = sum(each for _, each in load.values())
        of_all = replace(
            message, others_calls=calls, others_unread_tokens=tokens, of_all=True
        )
        tellings = []
        for daemon in daemons:
            if daemon in self._relays:
                tellings.append(AddressedUpdate(daemon, of_all))
                continue
            own_calls, own_tokens = load.get(daemon, (0, 0))
            told = replace(
                message,
                others_calls=calls - own_calls,
                others_unread_tokens=tokens - own_tokens,
            )
            tellings.append(AddressedUpdate(daemon, told))
        return tellings

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
            self._endpoint,
            self._number,
            self._told,
            held,
            0,
            0,
            keeper.places_free(now_s),
            keeper.wants,
            sorted(keeper.bases),
            keeper.times.cold_s,
            self._started_ms,
            self._keeper.long_prompts.per_s(now_s),
            self._keeper.long_prompts.pace_tokens,
            self._keeper.long_prompts.pace_scale,
            keeper.times.at_once,
            speed=keeper.speed.speed,
        )

    def _changes(self, now_s: float) -> EngineChanged:
        rows = self._rows()
        return EngineChanged(
            self._endpoint,
            self._number,
            self._told,
            [
                [model.base, model.adapter, version, ready_s - now_s]
                for model, (version, ready_s) in rows.items()
                if self._shown.get(model) != (version, ready_s)
            ],
            [[model.base, model.adapter] for model in self._shown if model not in rows],
            0,
            0,
            self._keeper.places_free(now_s),
            self._keeper.wants,
            sorted(self._keeper.bases),
            self._started_ms,
            self._keeper.long_prompts.per_s(now_s),
            self._keeper.long_prompts.pace_tokens,
            self._keeper.long_prompts.pace_scale,
            speed=self._keeper.speed.speed,
        )
