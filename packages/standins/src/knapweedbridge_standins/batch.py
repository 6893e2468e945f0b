"""Continuous batch of a stand-in engine, and the streams it fills."""

import bisect
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio


@dataclass(slots=True)
class Sequence:
    """One attempt on the engine.

    Parameters
    ----------
    attempt_id : str
        Name by which it is cancelled and resumed, or empty.
    priority : int
        Lower goes first.
    tokens : list of str
        The whole answer.
    prefill_steps : int
        Steps before the first token.
    produced : int
        Tokens made so far.
    readers : int
        Connections that read it now.
    """

    attempt_id: str
    request_id: str
    model: str
    prompt: str
    priority: int
    order: int
    tokens: list[str]
    chat: bool
    prefill_steps: int = 0
    produced: int = 0
    readers: int = 0
    broken: bool = False
    left_s: float = 0.0
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.broken or self.produced == len(self.tokens)

    @property
    def rank(self) -> tuple[int, int]:
        """Order in which sequences get a place in the batch."""
        return (self.priority, self.order)

    def wake(self) -> None:
        """Let the readers go on."""
        self.changed.set()
        self.changed = anyio.Event()

    async def read(self, offset: int) -> AsyncIterator[str]:
        """Yield tokens from an offset; it ends early if the sequence broke."""
        while True:
            while offset < self.produced:
                yield self.tokens[offset]
                offset += 1
            if self.ended:
                return
            await self.changed.wait()


class Batch:
    """The sequences of an engine; the first of them share each step.

    Parameters
    ----------
    size : int
        Sequences that share a step.
    keep_s : float
        How long a sequence without a reader runs on and may be resumed.
    """

    def __init__(self, size: int, keep_s: float) -> None:
        self._size = size
        self._keep_s = keep_s
        self._waiting: list[Sequence] = []
        self._kept: dict[str, Sequence] = {}
        self._order = 0
        self.steps = 0
        self.filled = 0

    @property
    def running(self) -> list[Sequence]:
        """Return all sequences that have not ended."""
        return list(self._waiting)

    def next_order(self) -> int:
        """Number an arrival."""
        self._order += 1
        return self._order

    def add(self, sequence: Sequence) -> None:
        """Take a sequence in."""
        bisect.insort(self._waiting, sequence, key=lambda held: held.rank)
        if sequence.attempt_id:
            self._kept[sequence.attempt_id] = sequence

    def find(self, attempt_id: str) -> Sequence | None:
        """Return a sequence that runs or is still kept."""
        return self._kept.get(attempt_id)

    def end(self, sequence: Sequence) -> None:
        """Break a sequence off; one that ended stays as it is."""
        if sequence in self._waiting:
            sequence.broken = True
            self._waiting.remove(sequence)
            sequence.wake()

    def left(self, sequence: Sequence, now_s: float) -> None:
        """Note that a reader went away."""
        sequence.readers -= 1
        sequence.left_s = now_s
        if not sequence.attempt_id:
            self.end(sequence)

    def step(self, now_s: float) -> None:
        """Give each sequence of the batch its next token."""
        batch = self._waiting[: self._size]
        self.steps += 1
        self.filled += len(batch)
        for sequence in batch:
            if sequence.prefill_steps > 0:
                sequence.prefill_steps -= 1
                continue
            sequence.produced += 1
            if sequence.ended:
                self._waiting.remove(sequence)
            sequence.wake()
        self._forget(now_s)

    def _forget(self, now_s: float) -> None:
        for attempt_id, sequence in list(self._kept.items()):
            unread = sequence.readers == 0
            if unread and now_s - sequence.left_s > self._keep_s:
                self.end(sequence)
                del self._kept[attempt_id]
