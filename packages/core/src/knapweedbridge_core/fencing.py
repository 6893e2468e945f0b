"""The highest fencing number that a daemon knows of each endpoint."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class FencingNumbers:
    """Detect messages of superseded owners, such as a late grant."""

    _numbers: dict[str, int] = field(default_factory=dict)

    def number(self, endpoint: str) -> int:
        """Return the highest number known of an endpoint, or 0."""
        return self._numbers.get(endpoint, 0)

    def raise_to(self, endpoint: str, number: int) -> None:
        """Record that an owner with this number sent a message."""
        self._numbers[endpoint] = max(number, self.number(endpoint))

    def is_current(self, endpoint: str, number: int) -> bool:
        """Return whether messages of an owner with this number are still valid."""
        return number >= self.number(endpoint)
