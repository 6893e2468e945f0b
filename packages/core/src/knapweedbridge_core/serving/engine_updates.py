"""Updates on an engine's adapters and load for daemons: changes or snapshots."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from knapweedbridge_core.serving.endpoint_records import EndpointStart
from knapweedbridge_core.serving.engine_controller import EngineController
from knapweedbridge_core.serving.messages import EngineDelta, EngineSnapshot
from knapweedbridge_core.serving.model_ref import ModelRef

LOAD_UPDATE_INTERVAL_S = 0.02
"""Pause between updates if only the calls changed: they balance load among engines, and
a prompt takes about 50 ms."""

RELAY_UPDATE_INTERVAL_S = 0.3
"""Pause between updates in a large pool, where they go to the relays of each data
centre and through them to all daemons. Each daemon sends a small part of the calls;
one that waits for an adapter is notified at once that it is being loaded."""

IDLE_UPDATE_INTERVAL_S = 1.0
"""Pause after which relays get an update even if nothing changed: an engine without an
update for `endpoint.UPDATE_MAX_AGE_S` counts as having no owner that publishes."""

SNAPSHOT_INTERVAL_S = 3.0
"""Pause between snapshots for all: from them a new owner learns which adapters are in
use."""


@dataclass(slots=True, frozen=True)
class AddressedUpdate:
    """An update and the daemon that gets it."""

    daemon: str
    message: EngineSnapshot | EngineDelta


class EngineUpdates:
    """Builds an owner's updates on its engine, and tracks who got which.

    Parameters
    ----------
    start : EndpointStart
        The engine.
    number : int
        The owner's fencing number.
    controller : EngineController
        State of the engine.
    """

    def __init__(
        self, start: EndpointStart, number: int, controller: EngineController
    ) -> None:
        self._endpoint = start.endpoint
        self._started_ms = start.started_ms
        self._number = number
        self._controller = controller
        self._order = 0
        self._sent_s = float("-inf")
        self._adapters_changed = True
        self._calls_changed = False
        self._snapshot_s = float("-inf")
        self._need_snapshot: set[str] = set()
        self._subscribers: set[str] = set()
        self._relays: set[str] = set()
        self._published: dict[ModelRef, tuple[int, float]] = {}
        self._waiting: dict[ModelRef, set[str]] = {}

    def add_waiter(self, daemon: str, model: ModelRef) -> None:
        """Record that a daemon waits for an adapter."""
        self._waiting.setdefault(model, set()).add(daemon)

    def record_load_ordered(self, model: ModelRef) -> None:
        """Record that an adapter is being loaded; its waiters get a snapshot next."""
        self._need_snapshot |= self._waiting.pop(model, set())

    def request_snapshot(self, daemon: str) -> None:
        """Record that a daemon missed an update."""
        self._need_snapshot.add(daemon)

    def mark_adapters_changed(self) -> None:
        """Record that the held adapters differ from the last update."""
        self._adapters_changed = True

    def mark_calls_changed(self) -> None:
        """Record that the running calls differ from the last update."""
        self._calls_changed = True

    @property
    def has_changes(self) -> bool:
        """Whether an update is due at the end of the pause."""
        return self._adapters_changed or self._calls_changed

    def due_s(self, small: bool) -> float:
        """Return when the next update to a small or a large pool may be sent."""
        return self._sent_s + self._interval_s(small)

    def _interval_s(self, small: bool) -> float:
        if not small:
            return RELAY_UPDATE_INTERVAL_S
        return 0.0 if self._adapters_changed else LOAD_UPDATE_INTERVAL_S

    def tell(
        self, subscribers: Iterable[str], small: bool, now_s: float
    ) -> list[AddressedUpdate]:
        """Return the updates that are due.

        Parameters
        ----------
        subscribers : iterable of str
            Recipients of every change: all daemons of a small pool, or the relays
            of a large one.
        small : bool
            Whether the pool is small.
        """
        self._relays = set() if small else set(subscribers)
        since_s = now_s - self._sent_s
        changes_due = self.has_changes and since_s >= self._interval_s(small)
        heartbeat_due = not small and since_s >= IDLE_UPDATE_INTERVAL_S
        if changes_due or heartbeat_due:
            return self._take_changes(set(subscribers), now_s)
        return self.take_requested(now_s)

    def _take_changes(
        self, subscribers: set[str], now_s: float
    ) -> list[AddressedUpdate]:
        self._order += 1
        self._sent_s = now_s
        self._adapters_changed = self._calls_changed = False
        # Daemons that still wait for an adapter request it again.
        self._waiting = {
            model: daemons
            for model, daemons in self._waiting.items()
            if not self._relays or model in self._controller.wanted
        }
        new = (subscribers - self._subscribers) | self._need_snapshot
        if now_s - self._snapshot_s >= SNAPSHOT_INTERVAL_S:
            self._snapshot_s = now_s
            new |= subscribers
        updates: list[AddressedUpdate] = []
        if subscribers - new:
            updates = self._addressed(subscribers - new, self._changes(now_s))
        self._published = self._rows()
        updates += self._snapshots(new, now_s)
        self._subscribers = subscribers
        self._need_snapshot.clear()
        return updates

    def take_requested(self, now_s: float) -> list[AddressedUpdate]:
        """Return the snapshots for daemons that missed an update."""
        updates = self._snapshots(self._need_snapshot, now_s)
        self._need_snapshot.clear()
        return updates

    def _snapshots(self, daemons: set[str], now_s: float) -> list[AddressedUpdate]:
        return self._addressed(daemons, self._snapshot(now_s)) if daemons else []

    def _addressed(
        self, daemons: set[str], message: EngineSnapshot | EngineDelta
    ) -> list[AddressedUpdate]:
        """Address a message to each daemon, with the load of all others.

        The calls by daemon would make up most of an update's bytes, so only sums are
        sent.
        """
        load = self._controller.load_by_daemon()
        calls = sum(each for each, _ in load.values())
        tokens = sum(each for _, each in load.values())
        of_all = replace(
            message, others_calls=calls, others_unread_tokens=tokens, of_all=True
        )
        updates = []
        for daemon in daemons:
            if daemon in self._relays:
                updates.append(AddressedUpdate(daemon, of_all))
                continue
            own_calls, own_tokens = load.get(daemon, (0, 0))
            update = replace(
                message,
                others_calls=calls - own_calls,
                others_unread_tokens=tokens - own_tokens,
            )
            updates.append(AddressedUpdate(daemon, update))
        return updates

    def _rows(self) -> dict[ModelRef, tuple[int, float]]:
        return {
            model: (place.version, place.ready_s)
            for model, place in self._controller.places.items()
            if not place.leaving
        }

    def _snapshot(self, now_s: float) -> EngineSnapshot:
        controller = self._controller
        held = [
            [
                model.base,
                model.adapter,
                version,
                ready_s - now_s,
                controller.users(model),
                now_s - controller.places[model].used_s,
            ]
            for model, (version, ready_s) in self._rows().items()
        ]
        return EngineSnapshot(
            self._endpoint,
            self._number,
            self._order,
            held,
            0,
            0,
            controller.places_free(now_s),
            controller.wants,
            sorted(controller.bases),
            controller.times.cold_s,
            self._started_ms,
            self._controller.long_prompts.per_s(now_s),
            self._controller.long_prompts.pace_tokens,
            self._controller.long_prompts.pace_scale,
            controller.times.at_once,
            speed=controller.speed.speed,
        )

    def _changes(self, now_s: float) -> EngineDelta:
        rows = self._rows()
        return EngineDelta(
            self._endpoint,
            self._number,
            self._order,
            [
                [model.base, model.adapter, version, ready_s - now_s]
                for model, (version, ready_s) in rows.items()
                if self._published.get(model) != (version, ready_s)
            ],
            [
                [model.base, model.adapter]
                for model in self._published
                if model not in rows
            ],
            0,
            0,
            self._controller.places_free(now_s),
            self._controller.wants,
            sorted(self._controller.bases),
            self._started_ms,
            self._controller.long_prompts.per_s(now_s),
            self._controller.long_prompts.pace_tokens,
            self._controller.long_prompts.pace_scale,
            speed=self._controller.speed.speed,
        )
