"""The slots of one owned endpoint and the grants that pin them."""

from dataclasses import dataclass, field
from enum import Enum

from knapweedbridge_core.names import AdapterVersion


class SlotState(Enum):
    """What a slot is doing."""

    LOADING = "loading"
    LOADED = "loaded"
    EVICTING = "evicting"


@dataclass(slots=True)
class Slot:
    """One adapter slot."""

    state: SlotState
    grants: dict[str, str] = field(default_factory=dict)


class Ledger:
    """Counts grants, so that an adapter that serves is never evicted.

    Parameters
    ----------
    slots : int
        Adapter slots of the endpoint.
    """

    def __init__(self, slots: int) -> None:
        self._limit = slots
        self._slots: dict[AdapterVersion, Slot] = {}

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

    def reported(self, loaded: tuple[AdapterVersion, ...]) -> None:
        """Take the content of the slots from a fresh report."""
        for model in loaded:
            self._slots.setdefault(model, Slot(SlotState.LOADED))
        for model, slot in list(self._slots.items()):
            if slot.state is SlotState.LOADED and model not in loaded:
                del self._slots[model]

    def grant(self, model: AdapterVersion, attempt_id: str, holder: str) -> bool:
        """Pin a slot for an attempt; False where the adapter is not loaded."""
        slot = self._slots.get(model)
        if slot is None or slot.state is not SlotState.LOADED:
            return False
        slot.grants[attempt_id] = holder
        return True

    def release(self, model: AdapterVersion, attempt_id: str) -> None:
        """Take back a grant."""
        slot = self._slots.get(model)
        if slot is not None:
            slot.grants.pop(attempt_id, None)

    def has_free_slot(self) -> bool:
        """Tell whether a load needs no eviction."""
        return len(self._slots) < self._limit

    def may_evict(self, model: AdapterVersion) -> bool:
        """Tell whether nothing pins the adapter's slot."""
        slot = self._slots.get(model)
        return slot is not None and slot.state is SlotState.LOADED and not slot.grants

    def begin_eviction(self, model: AdapterVersion) -> None:
        """Give no more grants on a slot about to be emptied."""
        self._slots[model].state = SlotState.EVICTING

    def end_eviction(self, model: AdapterVersion, evicted: bool) -> None:
        """Free the slot, or offer it again."""
        if evicted:
            self._slots.pop(model, None)
        elif model in self._slots:
            self._slots[model].state = SlotState.LOADED

    def begin_load(self, model: AdapterVersion) -> bool:
        """Take a free slot; False where there is none or it is held already."""
        if model in self._slots or not self.has_free_slot():
            return False
        self._slots[model] = Slot(SlotState.LOADING)
        return True

    def end_load(self, model: AdapterVersion, loaded: bool) -> None:
        """Offer the slot, or free it."""
        if loaded:
            self._slots[model] = Slot(SlotState.LOADED)
        else:
            self._slots.pop(model, None)
