"""The slots of one owned endpoint and the grants that pin them."""

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.times import CLOCK_MARGIN_S, ORDER_TRANSIT_S

FORGET_S = 60.0


class SlotState(Enum):
    """What a slot is doing."""

    LOADING = "loading"
    LOADED = "loaded"
    EVICTING = "evicting"
    UNKNOWN_LOAD = "unknown load"
    UNKNOWN_EVICTION = "unknown eviction"


UNKNOWN_STATES = frozenset({SlotState.UNKNOWN_LOAD, SlotState.UNKNOWN_EVICTION})


@dataclass(slots=True, frozen=True)
class Grant:
    """Who holds a grant, and since when."""

    holder: str
    given_s: float


@dataclass(slots=True, frozen=True)
class HeldGrant:
    """One grant, as it is handed over."""

    model: AdapterVersion
    attempt_id: str
    holder: str


@dataclass(slots=True)
class Slot:
    """One adapter slot.

    Parameters
    ----------
    since_s : float
        When its state was known last.
    orphaned_s : float
        Until when a holder that nobody can ask may have started a request; only a
        report taken later frees the slot. ``-inf``: no such holder.
    """

    state: SlotState
    since_s: float = -inf
    orphaned_s: float = -inf
    grants: dict[str, Grant] = field(default_factory=dict)


class Ledger:
    """Counts grants, so that an adapter that serves is never evicted.

    Parameters
    ----------
    slots : int
        Adapter slots of the endpoint.
    suspect_until_s : float
        Until when a holder unknown to this owner may start requests; slots found by
        a report are orphaned until then.
    """

    def __init__(self, slots: int, suspect_until_s: float = -inf) -> None:
        self._limit = slots
        self._suspect_until_s = suspect_until_s
        self._slots: dict[AdapterVersion, Slot] = {}
        self._gone_s: dict[AdapterVersion, float] = {}

    @property
    def loaded(self) -> list[AdapterVersion]:
        """Adapter versions that may be granted."""
        return [
            model
            for model, slot in self._slots.items()
            if slot.state is SlotState.LOADED
        ]

    @property
    def running(self) -> int:
        """Grants outstanding."""
        return sum(len(slot.grants) for slot in self._slots.values())

    @property
    def is_quiet(self) -> bool:
        """Tell whether no order is under way and no holder is in doubt."""
        return all(
            slot.state is SlotState.LOADED and slot.orphaned_s == -inf
            for slot in self._slots.values()
        )

    @property
    def required_report_s(self) -> float:
        """Time after which a report must be taken to settle what is in doubt."""
        wanted_s = -inf
        for slot in self._slots.values():
            if slot.orphaned_s > -inf:
                wanted_s = max(wanted_s, slot.orphaned_s)
            if slot.state in UNKNOWN_STATES:
                wanted_s = max(wanted_s, slot.since_s + ORDER_TRANSIT_S)
        return wanted_s

    def apply_report(
        self,
        loaded: tuple[AdapterVersion, ...],
        running: dict[AdapterVersion, int],
        taken_s: float,
        now_s: float,
    ) -> None:
        """Take a report.

        Parameters
        ----------
        loaded : tuple of AdapterVersion
            What the slots hold.
        running : dict of AdapterVersion to int
            Requests that run.
        taken_s : float
            When it was asked for; it says nothing of what happened later.
        now_s : float
            The daemon's clock.
        """
        for model in loaded:
            if model not in self._slots and self._gone_s.get(model, -inf) < taken_s:
                slot = Slot(SlotState.LOADED, taken_s, self._suspect_until_s)
                self._slots[model] = slot
        for model, slot in list(self._slots.items()):
            if slot.since_s <= taken_s:
                self._settle(model, slot, model in loaded, taken_s, now_s)
        for model, slot in self._slots.items():
            idle = running.get(model, 0) == 0
            if idle and taken_s > slot.orphaned_s:
                slot.orphaned_s = -inf
        self._gone_s = {
            model: at_s
            for model, at_s in self._gone_s.items()
            if now_s - at_s < FORGET_S
        }

    def _settle(
        self,
        model: AdapterVersion,
        slot: Slot,
        present: bool,
        taken_s: float,
        now_s: float,
    ) -> None:
        landed = taken_s >= slot.since_s + ORDER_TRANSIT_S
        if slot.state is SlotState.LOADED and not present:
            self._remove(model, now_s)
        elif slot.state is SlotState.UNKNOWN_LOAD and present:
            self._slots[model] = Slot(SlotState.LOADED, now_s)
        elif slot.state is SlotState.UNKNOWN_EVICTION and not present:
            self._remove(model, now_s)
        elif slot.state in UNKNOWN_STATES and landed and present:
            slot.state, slot.since_s = SlotState.LOADED, now_s
        elif slot.state in UNKNOWN_STATES and landed:
            self._remove(model, now_s)

    def _remove(self, model: AdapterVersion, now_s: float) -> None:
        self._slots.pop(model, None)
        self._gone_s[model] = now_s

    def grant(
        self, model: AdapterVersion, attempt_id: str, holder: str, now_s: float = 0.0
    ) -> bool:
        """Pin a slot for an attempt; False where the adapter is not loaded."""
        slot = self._slots.get(model)
        if slot is None or slot.state is not SlotState.LOADED:
            return False
        slot.grants[attempt_id] = Grant(holder, now_s)
        return True

    def held(
        self, model: AdapterVersion, attempt_id: str, holder: str, now_s: float
    ) -> None:
        """Take a grant that an earlier owner gave, or may have given."""
        slot = self._slots.setdefault(
            model, Slot(SlotState.LOADED, -inf, self._suspect_until_s)
        )
        slot.grants[attempt_id] = Grant(holder, now_s)

    def release(self, model: AdapterVersion, attempt_id: str) -> None:
        """Take back a grant."""
        slot = self._slots.get(model)
        if slot is not None:
            slot.grants.pop(attempt_id, None)

    def keep_only(self, holder: str, attempts: set[str], asked_s: float) -> None:
        """Drop a holder's grants, given before it was asked, that it does not keep."""
        for slot in self._slots.values():
            for attempt_id, grant in list(slot.grants.items()):
                old = grant.holder == holder and grant.given_s < asked_s
                if old and attempt_id not in attempts:
                    del slot.grants[attempt_id]

    def holders(self, given_before_s: float) -> set[str]:
        """Name the holders of grants given before a time."""
        return {
            grant.holder
            for slot in self._slots.values()
            for grant in slot.grants.values()
            if grant.given_s < given_before_s
        }

    def orphan(self, holder: str, now_s: float) -> None:
        """Turn a dead holder's grants into doubt that only a report settles."""
        for slot in self._slots.values():
            kept = {
                attempt_id: grant
                for attempt_id, grant in slot.grants.items()
                if grant.holder != holder
            }
            if len(kept) < len(slot.grants):
                slot.orphaned_s = max(slot.orphaned_s, now_s + CLOCK_MARGIN_S)
            slot.grants = kept

    def grants(self) -> list[HeldGrant]:
        """Return all grants."""
        return [
            HeldGrant(model, attempt_id, grant.holder)
            for model, slot in self._slots.items()
            for attempt_id, grant in slot.grants.items()
        ]

    def restore_loaded(self, loaded: list[AdapterVersion], now_s: float) -> None:
        """Take the content of the slots from an earlier owner."""
        for model in loaded:
            self._slots[model] = Slot(SlotState.LOADED, now_s)

    def resize(self, slots: int) -> None:
        """Take the number of slots of a new configuration."""
        self._limit = slots

    def has_free_slot(self) -> bool:
        """Tell whether a load needs no eviction."""
        return len(self._slots) < self._limit

    def may_evict(self, model: AdapterVersion) -> bool:
        """Tell whether nothing pins the adapter's slot."""
        slot = self._slots.get(model)
        if slot is None or slot.state is not SlotState.LOADED:
            return False
        return not slot.grants and slot.orphaned_s == -inf

    def begin_eviction(self, model: AdapterVersion) -> None:
        """Give no more grants on a slot about to be emptied."""
        self._slots[model].state = SlotState.EVICTING

    def end_eviction(
        self, model: AdapterVersion, evicted: bool, now_s: float = 0.0
    ) -> None:
        """Free the slot, or offer it again."""
        if evicted:
            self._remove(model, now_s)
        elif model in self._slots:
            slot = self._slots[model]
            slot.state, slot.since_s = SlotState.LOADED, now_s

    def begin_load(self, model: AdapterVersion) -> bool:
        """Take a free slot; False where there is none or it is held already."""
        if model in self._slots or not self.has_free_slot():
            return False
        self._slots[model] = Slot(SlotState.LOADING)
        return True

    def end_load(self, model: AdapterVersion, loaded: bool, now_s: float = 0.0) -> None:
        """Offer the slot, or free it."""
        if loaded:
            self._slots[model] = Slot(SlotState.LOADED, now_s)
        else:
            self._remove(model, now_s)

    def doubt(self, model: AdapterVersion, kind: str, now_s: float) -> None:
        """Note that an order's effect is unknown; a later report settles it."""
        slot = self._slots.get(model)
        if slot is not None:
            load = kind == "load"
            slot.state = SlotState.UNKNOWN_LOAD if load else SlotState.UNKNOWN_EVICTION
            slot.since_s = now_s
