"""The placement policy, as operators configure it."""

from dataclasses import dataclass

from knapweedbridge_core.schema import Choice, Flag, Key, Number, Section, ValueType

STALLS = 0.0
BATCHES = 1.0


class BatchWeight(ValueType):
    """``stalls``, ``batches``, or a number between them."""

    allowed = "stalls, batches or a number from 0 (stalls) to 1 (batches)"

    def read(self, text: str) -> float:
        """Return the weight as a number."""
        named = {"stalls": STALLS, "batches": BATCHES}
        if text in named:
            return named[text]
        return Number(STALLS, BATCHES).read(text)


PLACEMENT_SECTION = Section(
    "How adapters are placed.",
    {
        "weigh": Key(BatchWeight(), "stalls", "Preference; also a number, 0 to 1."),
        "forecast": Key(
            Choice("change_aware", "decayed_count", "last_use"),
            "change_aware",
            "What evictions are based on.",
        ),
        "order": Key(
            Choice("most_awaited", "longest_wait"),
            "most_awaited",
            "Which load starts first.",
        ),
        "prefetch": Key(Flag(), "yes", "Whether spare loads fill free slots."),
        "copies": Key(Flag(), "yes", "Whether a hot adapter gets a second copy."),
        "refuse_late": Key(
            Flag(), "yes", "Whether a request that cannot load in time is refused."
        ),
    },
)


@dataclass(slots=True, frozen=True)
class PlacementPolicy:
    """The placement settings.

    Parameters
    ----------
    weigh : float
        From 0 (prefer few load stalls) to 1 (prefer full batches).
    forecast : str
        ``change_aware``, ``decayed_count`` or ``last_use``.
    order : str
        ``most_awaited`` or ``longest_wait``.
    prefetch : bool
        Whether spare loads fill free slots.
    copies : bool
        Whether a hot adapter gets a second copy.
    refuse_late : bool
        Whether a request whose adapter cannot be loaded in time is refused at once.
    """

    weigh: float = STALLS
    forecast: str = "change_aware"
    order: str = "most_awaited"
    prefetch: bool = True
    copies: bool = True
    refuse_late: bool = True
