"""How a caller's daemon gives its grants back to the owners that gave them."""

from dataclasses import dataclass

from knapweedbridge_core.actions import CancelAttempt, Count
from knapweedbridge_core.context import Context
from knapweedbridge_core.events import AttemptCancelled
from knapweedbridge_core.messages import GrantReturned
from knapweedbridge_core.requests import LiveRequest

LATE_GRANT_S = 30.0
CANCEL_AGAIN_S = 1.0
CANCEL_GIVE_UP_S = 10.0


@dataclass(slots=True)
class _HeldGrant:
    owner: str
    returned: GrantReturned
    since_s: float
    asked_s: float

    def give_back(self, context: Context) -> None:
        context.send(self.owner, self.returned)


class GrantReturns:
    """Gives grants back, after the endpoint stopped what may still run there.

    Parameters
    ----------
    context : Context
        What the sides of this daemon share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._cancelling: dict[str, _HeldGrant] = {}
        self._unanswered: dict[str, _HeldGrant] = {}

    def release_grant(self, live: LiveRequest, maybe_running: bool) -> None:
        """Give back the grant of a request's attempt, if it has or asked for one.

        Parameters
        ----------
        live : LiveRequest
            The request, still with the endpoint of the attempt.
        maybe_running : bool
            Whether the endpoint may still run the attempt. Its grant pins the
            adapter, so it goes back only after the endpoint was told to stop.
        """
        if not live.attempt_id or not live.endpoint or live.request.model is None:
            return
        self._context.view.ended(live.endpoint)
        returned = GrantReturned(live.attempt_id, live.endpoint, live.request.model)
        now_s = self._context.now_s
        held = _HeldGrant(live.owner, returned, since_s=now_s, asked_s=now_s)
        entry = self._context.configuration.endpoints.get(live.endpoint)
        if maybe_running and live.dispatched and entry is not None:
            self._cancelling[live.attempt_id] = held
            self._context.emit(CancelAttempt(live.attempt_id, entry.address))
            return
        if not live.dispatched:
            # The stream to the owner may drop this return and yet the owner
            # may have heard the question: a late grant is returned again.
            self._unanswered[live.attempt_id] = held
        held.give_back(self._context)

    def handle_cancel_result(self, event: AttemptCancelled) -> None:
        """Take an endpoint's answer to a cancel, or that none came."""
        held = self._cancelling.get(event.attempt_id)
        if held is None:
            return
        if event.confirmed:
            del self._cancelling[event.attempt_id]
            held.give_back(self._context)
        else:
            self._context.emit(Count("attempt.cancel_failed"))

    def retry_cancels(self) -> None:
        """Send the cancels again that no endpoint confirmed, up to a bound."""
        # An endpoint that is gone confirms nothing: the grant goes back in the
        # end, and only a report newer than that lets the owner evict.
        now_s = self._context.now_s
        for attempt_id, held in list(self._cancelling.items()):
            entry = self._context.configuration.endpoints.get(held.returned.endpoint)
            if entry is None or now_s - held.since_s >= CANCEL_GIVE_UP_S:
                del self._cancelling[attempt_id]
                held.give_back(self._context)
            elif now_s - held.asked_s >= CANCEL_AGAIN_S:
                held.asked_s = now_s
                self._context.emit(CancelAttempt(attempt_id, entry.address))

    def pop_unanswered(self, attempt_id: str) -> _HeldGrant | None:
        """Remove and return a grant given back before its owner answered."""
        return self._unanswered.pop(attempt_id, None)

    def expire_unanswered(self) -> None:
        """Forget the questions that no owner answers any more."""
        now_s = self._context.now_s
        self._unanswered = {
            attempt_id: held
            for attempt_id, held in self._unanswered.items()
            if now_s - held.since_s < LATE_GRANT_S
        }
