"""What an owner checks before it looks for a slot: leaving, quarantine."""

from knapweedbridge_core import messages
from knapweedbridge_core.blame import Quarantine
from knapweedbridge_core.context import Context
from knapweedbridge_core.outcomes import Reason


class GrantAdmission:
    """Refuses grants for reasons that have nothing to do with slots."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._quarantine = Quarantine()

    def refusal(self, ask: messages.GrantRequest, now_s: float) -> Reason | None:
        """Return why a grant may not be given, or None."""
        # The asking daemon may not have heard yet that the endpoint leaves.
        if ask.endpoint in self._context.leaving:
            return Reason.ENDPOINT_LEAVING
        if ask.suspect and not self._quarantine.enter(
            ask.endpoint, ask.attempt_id, now_s
        ):
            return Reason.QUARANTINE
        return None

    def leave(self, message: messages.GrantRequest | messages.GrantReturned) -> None:
        """Take note that an attempt ended, or got no grant."""
        self._quarantine.leave(message.endpoint, message.attempt_id)
