"""Checks before the owner looks for a slot: leaving endpoints and quarantine."""

from knapweedbridge_core import messages
from knapweedbridge_core.context import Context
from knapweedbridge_core.outcomes import Reason
from knapweedbridge_core.suspects import Quarantine


class GrantAdmission:
    """Refuse grants for reasons other than the state of the slots.

    Parameters
    ----------
    context : Context
        State that the sides of this daemon share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._quarantine = Quarantine()

    def refusal(self, request: messages.GrantRequest, now_s: float) -> Reason | None:
        """Return why a grant may not be given, or None."""
        # The requesting daemon may not know yet that the endpoint is leaving.
        if request.endpoint in self._context.leaving:
            return Reason.ENDPOINT_LEAVING
        if request.suspect and not self._quarantine.enter(
            request.endpoint, request.attempt_id, now_s
        ):
            return Reason.QUARANTINE
        return None

    def leave(self, message: messages.GrantRequest | messages.GrantReturned) -> None:
        """Record that an attempt ended, or that its grant was refused."""
        self._quarantine.leave(message.endpoint, message.attempt_id)
