"""The highest fencing number that a holder of grants knows of each endpoint."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class FencingNumbers:
    """Keeps an old owner's late grant from being used."""

    _numbers: dict[str, int] = field(default_factory=dict)

    def number(self, endpoint: str) -> int:
        """Return the highest number known; 0: none."""
        return self._numbers.get(endpoint, 0)

    def raise_to(self, endpoint: str, number: int) -> None:
        """Note that an owner under this number asked or spoke."""
        self._numbers[endpoint] = max(number, self.number(endpoint))

    def is_current(self, endpoint: str, number: int) -> bool:
        """Tell whether the word of an owner under this number still counts."""
        return number >= self.number(endpoint)
