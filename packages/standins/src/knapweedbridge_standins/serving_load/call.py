"""One request of a modelled caller."""

from dataclasses import dataclass, field

from knapweedbridge_core.serving import (
    ModelRef,
)
from knapweedbridge_standins.serving_load.sites import CallMix

WAY_S = 0.0015
"""One way between two hosts, with what they take to handle a message."""


@dataclass(slots=True)
class LoadCall:
    """One request of a caller."""

    mix: CallMix
    model: ModelRef
    prompt_tokens: int
    output_tokens: int
    arrived_s: float
    big: bool
    began_s: float = 0.0
    refused: set[str] = field(default_factory=set)
    accepted: bool = False
    placed: bool = False
    asked_s: float = float("-inf")
    turn: int = 0
    questions: int = 0
    returned: bool = False
    first_s: float = 0.0
    longest_pause_s: float = 0.0
