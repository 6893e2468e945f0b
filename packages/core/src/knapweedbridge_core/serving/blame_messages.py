"""What daemons notify each other of: calls and parts that endpoints were lost with."""

from knapweedbridge_core.codec import message


@message
class CallsBlamed:
    """An endpoint was lost with these calls; `crashes` says what that means."""

    endpoint: str
    fingerprints: list[str]


@message
class CallsCleared:
    """These calls got whole answers: they crash no endpoint."""

    fingerprints: list[str]


@message
class PartsBlamed:
    """An endpoint was lost with calls whose answers had not begun; see `crash_parts`.

    Parameters
    ----------
    loss : str
        What the loss is known by.
    calls : list of list of str
        What each call is known by, and the marks of the parts of its prompt.
    age_s : float
        For how long the endpoint had been lost.
    """

    loss: str
    calls: list[list[str]]
    age_s: float


@message
class PartsCleared:
    """An endpoint that stayed began answers on these parts: they crash none."""

    parts: list[str]


@message
class SuspectsHeld:
    """Calls, or parts of prompts, with a loss that is about to be judged."""

    fingerprints: list[str]
    parts: list[str]
