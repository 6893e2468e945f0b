"""Which bodies may be received while the memory for them is limited."""

from collections.abc import Callable
from dataclasses import dataclass

from knapweedbridge_core.serving.memory_budget import HeldKind, MemoryBudget

UNFINISHED_SHARE = 0.5
"""Share of the budget for bodies that are not complete. The rest remains for requests
that were passed on, and for responses."""

SMALL_BODY_BYTES = 64 << 10
"""Size of a body up to which the whole budget is available to it. Small requests are
served while large ones are refused."""

LARGE_BODIES_SHARE = 0.8
"""Share of the budget that larger bodies may fill."""

STALLED_S = 2.0
"""How long a body may make no progress while memory is scarce."""

COPIES = 2
"""Copies of a body in memory: as received, and as sent to an endpoint."""


@dataclass(slots=True, eq=False)
class IncompleteBody:
    """A body that is being received.

    Parameters
    ----------
    sender : str
        Network address of its sender.
    evict : callable
        Called when the body must give way to others; it is then refused.
    progress_s : float
        When bytes of it were last received.
    held_bytes : int
        Memory that it takes.
    is_response : bool
        Whether an endpoint sends it in response to a request. One that is nearly
        complete is kept, as its request has run.
    is_evicted : bool
        Whether it had to give way.
    """

    sender: str
    evict: Callable[[], None]
    progress_s: float
    is_response: bool = False
    held_bytes: int = 0
    is_evicted: bool = False


class BodyIntake:
    """Counts bodies as they are received, and decides which are refused.

    What is received counts before it is kept. If the budget is exhausted, bodies that
    make no progress give way first, then those of the sender that holds most.

    Parameters
    ----------
    budget : MemoryBudget
        Memory for callers.
    """

    __slots__ = ("_bodies", "_budget", "_by_sender")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._bodies: dict[IncompleteBody, None] = {}
        self._by_sender: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._bodies)

    def must_refuse(self, body_bytes: int) -> bool:
        """Return whether a body of this size cannot be served now.

        Bodies that may give way to it are no reason to refuse it.
        """
        unfinished = self._budget.held(HeldKind.INCOMPLETE)
        kept_bytes = self._budget.held_bytes - unfinished
        return self._exceeds(kept_bytes, COPIES * body_bytes)

    def _exceeds(self, others_bytes: int, body_bytes: int) -> bool:
        """Return whether a body exceeds what others leave; one alone may take all."""
        is_small = body_bytes <= COPIES * SMALL_BODY_BYTES
        share = 1.0 if is_small or not others_bytes else LARGE_BODIES_SHARE
        return 0 < share * self._budget.limit_bytes < others_bytes + body_bytes

    def begin(
        self,
        sender: str,
        evict: Callable[[], None],
        now_s: float,
        is_response: bool = False,
    ) -> IncompleteBody:
        """Record that a body is being received; `end` must follow."""
        body = IncompleteBody(sender, evict, now_s, is_response)
        self._bodies[body] = None
        return body

    def grow(self, body: IncompleteBody, size_bytes: int, now_s: float) -> bool:
        """Count received bytes of a body; return False if it is refused for them.

        Other bodies may have to give way. A body that gave way itself may still receive
        bytes, until its reader ends.
        """
        if body.is_evicted:
            return False
        body.progress_s = now_s
        self._count(body, COPIES * size_bytes)
        while self._is_exhausted(body):
            victim = self._choose(now_s)
            victim.is_evicted = True
            self._release(victim)
            if victim is body:
                return False
            victim.evict()
        return True

    def end(self, body: IncompleteBody) -> None:
        """Record that a body is complete, refused or abandoned."""
        self._release(body)

    def _count(self, body: IncompleteBody, size_bytes: int) -> None:
        body.held_bytes += size_bytes
        sent_bytes = self._by_sender.get(body.sender, 0)
        self._by_sender[body.sender] = sent_bytes + size_bytes
        self._budget.hold(HeldKind.INCOMPLETE, size_bytes)

    def _release(self, body: IncompleteBody) -> None:
        if body not in self._bodies:
            return
        del self._bodies[body]
        self._budget.hold(HeldKind.INCOMPLETE, -body.held_bytes)
        left_bytes = self._by_sender.get(body.sender, 0) - body.held_bytes
        if left_bytes > 0:
            self._by_sender[body.sender] = left_bytes
        else:
            self._by_sender.pop(body.sender, None)
        body.held_bytes = 0

    def _is_exhausted(self, body: IncompleteBody) -> bool:
        budget = self._budget
        others_bytes = budget.held_bytes - body.held_bytes
        unfinished_bytes = budget.held(HeldKind.INCOMPLETE)
        limit_bytes = UNFINISHED_SHARE * budget.limit_bytes
        if others_bytes and 0 < limit_bytes < unfinished_bytes:
            return True
        return self._exceeds(others_bytes, body.held_bytes)

    def _choose(self, now_s: float) -> IncompleteBody:
        """Return the body that gives way."""
        return max(
            self._bodies,
            key=lambda each: (
                now_s - each.progress_s >= STALLED_S and each.held_bytes > 0,
                self._by_sender.get(each.sender, 0),
                -each.held_bytes if each.is_response else each.held_bytes,
            ),
        )
