"""Who may decode a body that consists of tiny chunks, and who is refused."""

MOST_WAITING = 8
"""Bodies that take turns at once. Each further one is refused: their turns would take
longer than callers wait, and those that were begun would not end."""


class DecodeTurns:
    """Bodies that take more than one step to decode what was received of them."""

    __slots__ = ("_bodies",)

    def __init__(self) -> None:
        self._bodies: set[object] = set()

    def __len__(self) -> int:
        return len(self._bodies)

    def enter(self, body: object) -> bool:
        """Record that a body takes turns; return False if it is refused."""
        if body not in self._bodies and len(self._bodies) >= MOST_WAITING:
            return False
        self._bodies.add(body)
        return True

    def leave(self, body: object) -> None:
        """Record that a body is complete or abandoned."""
        self._bodies.discard(body)
