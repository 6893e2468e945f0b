"""The holder of grants: reports them to owners, and witnesses evictions."""

from dataclasses import dataclass

from knapweedbridge_core import events, messages
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.times import QUARANTINE_S


@dataclass(slots=True, frozen=True)
class _Held:
    endpoint: str
    model: AdapterVersion


@dataclass(slots=True, frozen=True)
class _Intent:
    number: int
    since_s: float


class HolderSide(Side):
    """Track the grants that this daemon holds, and witness evictions for owners.

    Parameters
    ----------
    context : Context
        State shared with the other sides.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._held: dict[str, _Held] = {}
        self._intents: dict[tuple[str, AdapterVersion], _Intent] = {}
        self._owners: dict[str, str] = {}
        context.watch(messages.GrantRequest, self._request_sent)
        context.watch(messages.GrantReturned, self._return_sent)

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            messages.GrantRefused: self._grant_refused,
            messages.HeldGrantsRequest: self._held_grants_request,
            messages.EndpointUpdate: self._endpoint_update,
            messages.EvictionIntent: self._eviction_intent,
            messages.EvictionFinished: self._eviction_finished,
        }

    def _request_sent(self, host: str, message: messages.GrantRequest) -> None:
        self._held[message.attempt_id] = _Held(message.endpoint, message.model)

    def _return_sent(self, host: str, message: messages.GrantReturned) -> None:
        held = self._held.pop(message.attempt_id, None)
        owner = self._owners.get(message.endpoint, host)
        if held is not None and owner != host:
            self._context.send(owner, message)

    def _grant_refused(self, message: messages.GrantRefused) -> None:
        self._held.pop(message.attempt_id, None)

    def _endpoint_update(self, message: messages.EndpointUpdate) -> None:
        self._record_owner(message.endpoint, message.owner, message.number)

    def _record_owner(self, endpoint: str, owner: str, number: int) -> None:
        if self._context.fencing_numbers.is_current(endpoint, number):
            self._context.fencing_numbers.raise_to(endpoint, number)
            self._owners[endpoint] = owner

    def _held_grants_request(self, message: messages.HeldGrantsRequest) -> None:
        endpoint, number = message.endpoint, message.number
        sender = self._context.sender
        if not self._context.fencing_numbers.is_current(endpoint, number):
            highest = self._context.fencing_numbers.number(endpoint)
            self._context.send(sender, messages.OwnerSuperseded(endpoint, highest))
            return
        before = self._owners.get(endpoint)
        self._record_owner(endpoint, sender, number)
        if before not in (None, sender, self._context.host):
            self._context.send(before, messages.OwnerSuperseded(endpoint, number))
        self._context.send(sender, self._held_on(endpoint, number))

    def _held_on(self, endpoint: str, number: int) -> messages.HeldGrants:
        held = {
            attempt_id: grant.model
            for attempt_id, grant in self._held.items()
            if grant.endpoint == endpoint
        }
        quarantined = [
            model
            for (intent_endpoint, model), intent in self._intents.items()
            if intent_endpoint == endpoint and intent.number < number
        ]
        return messages.HeldGrants(
            endpoint, number, list(held), list(held.values()), quarantined
        )

    def _eviction_intent(self, message: messages.EvictionIntent) -> None:
        endpoint, model, number = message.endpoint, message.model, message.number
        sender = self._context.sender
        if not self._context.fencing_numbers.is_current(endpoint, number):
            highest = self._context.fencing_numbers.number(endpoint)
            self._context.send(sender, messages.OwnerSuperseded(endpoint, highest))
            return
        self._intents[endpoint, model] = _Intent(number, self._context.now_s)
        acknowledged = messages.EvictionIntentAcknowledged(endpoint, model, number)
        self._context.send(sender, acknowledged)

    def _eviction_finished(self, message: messages.EvictionFinished) -> None:
        key = (message.endpoint, message.model)
        intent = self._intents.get(key)
        if intent is not None and intent.number <= message.number:
            del self._intents[key]

    def _tick(self, event: events.Tick) -> None:
        self._intents = {
            key: intent
            for key, intent in self._intents.items()
            if self._context.now_s - intent.since_s < QUARANTINE_S
        }
