"""Adapter slots of one owned endpoint and the grants that pin them."""

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.times import CLOCK_MARGIN_S, ORDER_TRANSIT_S

REMOVAL_MEMORY_S = 60.0
"""How long a removal is remembered, so that an older report does not undo it."""


class SlotState(Enum):
    """State of an adapter slot.

    In the unknown states a load or an eviction was ordered whose effect is unknown.
    """

    LOADING = "loading"
    LOADED = "loaded"
    EVICTING = "evicting"
    UNKNOWN_LOAD = "unknown load"
    UNKNOWN_EVICTION = "unknown eviction"


UNKNOWN_STATES = frozenset({SlotState.UNKNOWN_LOAD, SlotState.UNKNOWN_EVICTION})


@dataclass(slots=True, frozen=True)
class Grant:
    """Holder of a grant and the time at which it was recorded."""

    holder: str
    granted_s: float


@dataclass(slots=True, frozen=True)
class HeldGrant:
    """One grant, as it is transferred to a new owner."""

    model: AdapterVersion
    attempt_id: str
    holder: str


@dataclass(slots=True)
class Slot:
    """One adapter slot.

    Parameters
    ----------
    since_s : float
        Time at which its state was last known.
    orphaned_until_s : float
        Time until which an unreachable holder may have started a request; only a
        report taken later frees the slot. ``-inf`` if there is no such holder.
    """

    state: SlotState
    since_s: float = -inf
    orphaned_until_s: float = -inf
    grants: dict[str, Grant] = field(default_factory=dict)


class Ledger:
    """Tracks slots and grants, so that an adapter in use is never evicted.

    Parameters
    ----------
    slots : int
        Number of adapter slots of the endpoint.
    suspect_until_s : float
        Time until which a holder unknown to this owner may start requests; slots
        first seen in a report are orphaned until then.
    """

    def __init__(self, slots: int, suspect_until_s: float = -inf) -> None:
        self._slot_count = slots
        self._suspect_until_s = suspect_until_s
        self._slots: dict[AdapterVersion, Slot] = {}
        self._removed_s: dict[AdapterVersion, float] = {}

    @property
    def loaded(self) -> list[AdapterVersion]:
        """Adapter versions for which grants may be given."""
        return [
            model
            for model, slot in self._slots.items()
            if slot.state is SlotState.LOADED
        ]

    @property
    def running(self) -> int:
        """Number of outstanding grants."""
        return sum(len(slot.grants) for slot in self._slots.values())

    @property
    def is_quiet(self) -> bool:
        """Whether all slots are loaded and none is orphaned."""
        return all(
            slot.state is SlotState.LOADED and slot.orphaned_until_s == -inf
            for slot in self._slots.values()
        )

    @property
    def required_report_s(self) -> float:
        """Time after which a report resolves all orphaned and unknown slots."""
        required_s = -inf
        for slot in self._slots.values():
            if slot.orphaned_until_s > -inf:
                required_s = max(required_s, slot.orphaned_until_s)
            if slot.state in UNKNOWN_STATES:
                required_s = max(required_s, slot.since_s + ORDER_TRANSIT_S)
        return required_s

    def apply_report(
        self,
        loaded: tuple[AdapterVersion, ...],
        running: dict[AdapterVersion, int],
        taken_s: float,
        now_s: float,
    ) -> None:
        """Update the slots from a report of the endpoint.

        Parameters
        ----------
        loaded : tuple of AdapterVersion
            Adapter versions that the slots hold.
        running : dict of AdapterVersion to int
            Number of running requests of each adapter version.
        taken_s : float
            Time at which the report was requested; later changes are not in it.
        now_s : float
            The daemon's clock, in seconds.
        """
        for model in loaded:
            if model not in self._slots and self._removed_s.get(model, -inf) < taken_s:
                slot = Slot(SlotState.LOADED, taken_s, self._suspect_until_s)
                self._slots[model] = slot
        for model, slot in list(self._slots.items()):
            if slot.since_s <= taken_s:
                self._resolve(model, slot, model in loaded, taken_s, now_s)
        for model, slot in self._slots.items():
            idle = running.get(model, 0) == 0
            if idle and taken_s > slot.orphaned_until_s:
                slot.orphaned_until_s = -inf
        self._removed_s = {
            model: at_s
            for model, at_s in self._removed_s.items()
            if now_s - at_s < REMOVAL_MEMORY_S
        }

    def _resolve(
        self,
        model: AdapterVersion,
        slot: Slot,
        present: bool,
        taken_s: float,
        now_s: float,
    ) -> None:
        transit_over = taken_s >= slot.since_s + ORDER_TRANSIT_S
        if slot.state is SlotState.LOADED and not present:
            self._remove(model, now_s)
        elif slot.state is SlotState.UNKNOWN_LOAD and present:
            self._slots[model] = Slot(SlotState.LOADED, now_s)
        elif slot.state is SlotState.UNKNOWN_EVICTION and not present:
            self._remove(model, now_s)
        elif slot.state in UNKNOWN_STATES and transit_over and present:
            slot.state, slot.since_s = SlotState.LOADED, now_s
        elif slot.state in UNKNOWN_STATES and transit_over:
            self._remove(model, now_s)

    def _remove(self, model: AdapterVersion, now_s: float) -> None:
        self._slots.pop(model, None)
        self._removed_s[model] = now_s

    def grant(
        self, model: AdapterVersion, attempt_id: str, holder: str, now_s: float = 0.0
    ) -> bool:
        """Pin a slot for an attempt; return False if the adapter is not loaded."""
        slot = self._slots.get(model)
        if slot is None or slot.state is not SlotState.LOADED:
            return False
        slot.grants[attempt_id] = Grant(holder, now_s)
        return True

    def held(
        self, model: AdapterVersion, attempt_id: str, holder: str, now_s: float
    ) -> None:
        """Record a grant that an earlier owner gave or may have given."""
        slot = self._slots.setdefault(
            model, Slot(SlotState.LOADED, -inf, self._suspect_until_s)
        )
        slot.grants[attempt_id] = Grant(holder, now_s)

    def release(self, model: AdapterVersion, attempt_id: str) -> None:
        """Remove a grant, if it exists."""
        slot = self._slots.get(model)
        if slot is not None:
            slot.grants.pop(attempt_id, None)

    def keep_only(self, holder: str, attempts: set[str], asked_s: float) -> None:
        """Remove a holder's grants older than ``asked_s`` that it no longer holds."""
        for slot in self._slots.values():
            for attempt_id, grant in list(slot.grants.items()):
                old = grant.holder == holder and grant.granted_s < asked_s
                if old and attempt_id not in attempts:
                    del slot.grants[attempt_id]

    def holders(self, granted_before_s: float) -> set[str]:
        """Return the holders of grants given before a time."""
        return {
            grant.holder
            for slot in self._slots.values()
            for grant in slot.grants.values()
            if grant.granted_s < granted_before_s
        }

    def orphan(self, holder: str, now_s: float) -> None:
        """Remove a dead holder's grants and mark their slots as orphaned."""
        for slot in self._slots.values():
            kept = {
                attempt_id: grant
                for attempt_id, grant in slot.grants.items()
                if grant.holder != holder
            }
            if len(kept) < len(slot.grants):
                slot.orphaned_until_s = max(
                    slot.orphaned_until_s, now_s + CLOCK_MARGIN_S
                )
            slot.grants = kept

    def grants(self) -> list[HeldGrant]:
        """Return all grants."""
        return [
            HeldGrant(model, attempt_id, grant.holder)
            for model, slot in self._slots.items()
            for attempt_id, grant in slot.grants.items()
        ]

    def restore_loaded(self, loaded: list[AdapterVersion], now_s: float) -> None:
        """Restore the loaded slots that an earlier owner transferred."""
        for model in loaded:
            self._slots[model] = Slot(SlotState.LOADED, now_s)

    def resize(self, slots: int) -> None:
        """Set the number of slots from a new configuration."""
        self._slot_count = slots

    def has_free_slot(self) -> bool:
        """Return whether a load needs no eviction."""
        return len(self._slots) < self._slot_count

    def may_evict(self, model: AdapterVersion) -> bool:
        """Return whether the adapter is loaded and nothing pins its slot."""
        slot = self._slots.get(model)
        if slot is None or slot.state is not SlotState.LOADED:
            return False
        return not slot.grants and slot.orphaned_until_s == -inf

    def begin_eviction(self, model: AdapterVersion) -> None:
        """Stop giving grants on a slot that is about to be evicted."""
        self._slots[model].state = SlotState.EVICTING

    def end_eviction(
        self, model: AdapterVersion, evicted: bool, now_s: float = 0.0
    ) -> None:
        """Free the slot, or make it available again if the eviction failed."""
        if evicted:
            self._remove(model, now_s)
        elif model in self._slots:
            slot = self._slots[model]
            slot.state, slot.since_s = SlotState.LOADED, now_s

    def begin_load(self, model: AdapterVersion) -> bool:
        """Reserve a free slot; return False if none is free or the adapter has one."""
        if model in self._slots or not self.has_free_slot():
            return False
        self._slots[model] = Slot(SlotState.LOADING)
        return True

    def end_load(self, model: AdapterVersion, loaded: bool, now_s: float = 0.0) -> None:
        """Make the slot available, or free it if the load failed."""
        if loaded:
            self._slots[model] = Slot(SlotState.LOADED, now_s)
        else:
            self._remove(model, now_s)

    def mark_unknown(self, model: AdapterVersion, kind: str, now_s: float) -> None:
        """Record that the effect of an order is unknown until a later report."""
        slot = self._slots.get(model)
        if slot is not None:
            is_load = kind == "load"
            slot.state = (
                SlotState.UNKNOWN_LOAD if is_load else SlotState.UNKNOWN_EVICTION
            )
            slot.since_s = now_s
