"""Messages between daemons about calls, and parts of prompts, that crash endpoints."""

from knapweedbridge_core.codec import message


@message
class CallsBlamed:
    """An endpoint was lost while it ran these calls; see `crashes`."""

    endpoint: str
    fingerprints: list[str]


@message
class CallsCleared:
    """These calls completed, so they do not crash endpoints."""

    fingerprints: list[str]


@message
class PartsBlamed:
    """An endpoint was lost with calls that had no response yet; see `part_ledger`.

    Parameters
    ----------
    loss : str
        Identifies the loss.
    calls : list of list of str
        For each call its identifier, followed by the marks of the parts of its prompt.
    age_s : float
        Time since the endpoint was lost.
    """

    loss: str
    calls: list[list[str]]
    age_s: float


@message
class PartsCleared:
    """An endpoint began to answer these parts and stayed up: they crash none."""

    parts: list[str]


@message
class SuspectsHeld:
    """Calls, or parts of prompts, of a loss whose cause is about to be determined."""

    fingerprints: list[str]
    parts: list[str]
