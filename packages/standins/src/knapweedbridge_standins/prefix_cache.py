"""Prefix cache of a stand-in engine, with late and gappy cache events."""

import hashlib
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field

BLOCK_CHARS = 16
EVENTS_KEPT = 4096


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A block was stored or removed.

    Parameters
    ----------
    sequence : int
        Rises by one an event; a missing number is a gap.
    at_s : float
        When it happened, on the engine's clock.
    """

    sequence: int
    kind: str
    model: str
    block: str
    at_s: float


@dataclass(slots=True)
class PrefixCache:
    """Blocks of prompts, the least recently used forgotten first.

    Parameters
    ----------
    blocks : int
        Blocks that fit in memory.
    lag_s : float
        Age at which an event is shown.
    lost_share : float
        Share of events that are never shown.
    seed : int
        Chooses the events that are lost.
    """

    blocks: int = 512
    lag_s: float = 0.0
    lost_share: float = 0.0
    seed: int = 0
    _held: OrderedDict[tuple[str, str], None] = field(default_factory=OrderedDict)
    _events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=EVENTS_KEPT)
    )
    _sequence: int = 0
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def missing(self, model: str, prompt: str) -> int:
        """Return how many blocks of a prompt must be computed."""
        keys = block_names(prompt)
        for place, block in enumerate(keys):
            if (model, block) not in self._held:
                return len(keys) - place
        return 0

    def store(self, model: str, prompt: str, now_s: float) -> None:
        """Keep the blocks of a prompt, forgetting others when memory is full."""
        for block in block_names(prompt):
            if (model, block) not in self._held:
                self._note("stored", model, block, now_s)
            self._held[model, block] = None
            self._held.move_to_end((model, block))
        while len(self._held) > self.blocks:
            (model, block), _ = self._held.popitem(last=False)
            self._note("removed", model, block, now_s)

    def forget(self, model: str, now_s: float) -> None:
        """Drop the blocks of an adapter that was evicted."""
        for key in [key for key in self._held if key[0] == model]:
            del self._held[key]
            self._note("removed", *key, now_s)

    def events(self, after: int, now_s: float) -> list[CacheEvent]:
        """Return the events old enough to be shown after a sequence number."""
        return [
            event
            for event in self._events
            if event.sequence > after and event.at_s <= now_s - self.lag_s
        ]

    def _note(self, kind: str, model: str, block: str, now_s: float) -> None:
        self._sequence += 1
        if self._random.random() >= self.lost_share:
            event = CacheEvent(self._sequence, kind, model, block, now_s)
            self._events.append(event)


def block_names(prompt: str) -> list[str]:
    """Name the blocks of a prompt; a name stands for all text up to its end."""
    names = []
    for end in range(BLOCK_CHARS, len(prompt) + BLOCK_CHARS, BLOCK_CHARS):
        names.append(hashlib.sha256(prompt[:end].encode()).hexdigest()[:16])
    return names
