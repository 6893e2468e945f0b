"""Reference to the model of a call: a base model or one of its adapters."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ModelRef:
    """A base model, or an adapter of one; ``adapter`` is empty for the base."""

    base: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.base}/{self.adapter}" if self.adapter else self.base


def parse_model(text: str) -> ModelRef:
    """Parse ``BASE`` or ``BASE/ADAPTER``."""
    base, _, adapter = text.partition("/")
    return ModelRef(base, adapter)
