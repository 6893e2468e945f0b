"""What a call runs on: a base model, or an adapter of one."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ModelRef:
    """A base model, or an adapter of one; ``adapter`` is empty for the base."""

    base: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.base}/{self.adapter}" if self.adapter else self.base


def parse_model(text: str) -> ModelRef:
    """Read ``BASE`` or ``BASE/ADAPTER``."""
    base, _, adapter = text.partition("/")
    return ModelRef(base, adapter)
