"""Return of grants by a caller's daemon to the owners that gave them."""

from dataclasses import dataclass

from knapweedbridge_core.actions import CancelAttempt, Count
from knapweedbridge_core.context import Context
from knapweedbridge_core.events import AttemptCancelled
from knapweedbridge_core.messages import GrantReturned
from knapweedbridge_core.requests import LiveRequest

LATE_GRANT_S = 30.0
CANCEL_RETRY_S = 1.0
CANCEL_TIMEOUT_S = 10.0


@dataclass(slots=True)
class _HeldGrant:
    owner: str
    returned: GrantReturned
    since_s: float
    cancelled_s: float

    def give_back(self, context: Context) -> None:
        context.send(self.owner, self.returned)


class GrantReturns:
    """Return grants once the endpoint runs nothing under them any longer.

    Parameters
    ----------
    context : Context
        State that the sides of this daemon share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._cancelling: dict[str, _HeldGrant] = {}
        self._unanswered: dict[str, _HeldGrant] = {}

    def release_grant(self, live: LiveRequest, maybe_running: bool) -> None:
        """Return the grant of a request's attempt, if it has or requested one.

        Parameters
        ----------
        live : LiveRequest
            The request, still with the endpoint of the attempt.
        maybe_running : bool
            Whether the endpoint may still run the attempt. The grant pins the
            adapter, so it is returned only after the attempt was cancelled.
        """
        if not live.attempt_id or not live.endpoint or live.request.model is None:
            return
        self._context.view.ended(live.endpoint)
        returned = GrantReturned(live.attempt_id, live.endpoint, live.request.model)
        now_s = self._context.now_s
        held = _HeldGrant(live.owner, returned, since_s=now_s, cancelled_s=now_s)
        entry = self._context.configuration.endpoints.get(live.endpoint)
        if maybe_running and live.dispatched and entry is not None:
            self._cancelling[live.attempt_id] = held
            self._context.emit(CancelAttempt(live.attempt_id, entry.address))
            return
        if not live.dispatched:
            # The stream to the owner may drop this return although the owner
            # received the request, so a grant that arrives late is returned again.
            self._unanswered[live.attempt_id] = held
        held.give_back(self._context)

    def handle_cancel_result(self, event: AttemptCancelled) -> None:
        """Return the grant if the endpoint confirmed the cancellation."""
        held = self._cancelling.get(event.attempt_id)
        if held is None:
            return
        if event.confirmed:
            del self._cancelling[event.attempt_id]
            held.give_back(self._context)
        else:
            self._context.emit(Count("attempt.cancel_failed"))

    def retry_cancels(self) -> None:
        """Retry the cancellations that no endpoint confirmed, until a timeout."""
        # An endpoint that is gone confirms nothing, so its grants are returned after
        # the timeout; the owner may then evict only after a newer report.
        now_s = self._context.now_s
        for attempt_id, held in list(self._cancelling.items()):
            entry = self._context.configuration.endpoints.get(held.returned.endpoint)
            if entry is None or now_s - held.since_s >= CANCEL_TIMEOUT_S:
                del self._cancelling[attempt_id]
                held.give_back(self._context)
            elif now_s - held.cancelled_s >= CANCEL_RETRY_S:
                held.cancelled_s = now_s
                self._context.emit(CancelAttempt(attempt_id, entry.address))

    def pop_unanswered(self, attempt_id: str) -> _HeldGrant | None:
        """Remove and return a grant that was returned before its owner answered."""
        return self._unanswered.pop(attempt_id, None)

    def expire_unanswered(self) -> None:
        """Discard the grants whose owners will not answer any longer."""
        now_s = self._context.now_s
        self._unanswered = {
            attempt_id: held
            for attempt_id, held in self._unanswered.items()
            if now_s - held.since_s < LATE_GRANT_S
        }
