"""Coordinator of the claims of a data centre, which writes many in one transaction."""

from dataclasses import dataclass

from knapweedbridge_core import events, messages
from knapweedbridge_core.actions import ClaimTimer, ClaimWrite, Count, StoreRead
from knapweedbridge_core.claims import ClaimRecord, ClaimState, unpack_record
from knapweedbridge_core.context import Context, Handler, Side

WRITE_INTERVAL_S = 0.2
MAX_BATCH_CLAIMS = 128
MAX_PENDING = 10_000
STORE_TIMEOUT_S = 10.0


@dataclass(slots=True)
class _Change:
    """A claim to be made or ended.

    Parameters
    ----------
    key, token : str
        The claim, and who wants it changed.
    packed : bytes
        The record to be written.
    host : str
        Host that sent the request and receives the response.
    ends : bool
        Whether it ends a claim.
    revision : int or None
        Revision that the key must have; None if it has to be read first.
    """

    key: str
    token: str
    packed: bytes
    host: str
    ends: bool
    revision: int | None


class ClaimCoordinator(Side):
    """Collects changes of claims while a write is in progress, and writes them as one.

    A write that fails and one whose response is lost are handled alike: all of its keys
    are read back, and the token in each tells whose claim is stored.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._pending: dict[tuple[str, str, bool], _Change] = {}
        self._batch: list[_Change] = []
        self._token = ""
        self._count = 0
        self._called_s = -STORE_TIMEOUT_S
        self._written_s = -WRITE_INTERVAL_S
        self._has_timer = False

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.ClaimsDue: self._timer_fired,
            events.StoreResponse: self._store_responded,
            messages.ClaimRequest: self._claim_requested,
            messages.ClaimEnded: self._claim_ended,
        }

    def _claim_requested(self, message: messages.ClaimRequest) -> None:
        self._add(message.key, message.token, message.record, False)

    def _claim_ended(self, message: messages.ClaimEnded) -> None:
        # The request for the claim may still be pending. Written after the end of the
        # claim, it would leave the claim open for ever.
        self._pending.pop((message.key, message.token, False), None)
        self._add(message.key, message.token, message.record, True)

    def _add(self, key: str, token: str, packed: bytes, ends: bool) -> None:
        identity = (key, token, ends)
        in_batch = any(
            (change.key, change.token, change.ends) == identity
            for change in self._batch
        )
        if identity in self._pending or in_batch or len(self._pending) >= MAX_PENDING:
            return
        revision = None if ends else 0
        host = self._context.sender
        self._pending[identity] = _Change(key, token, packed, host, ends, revision)
        self._start_batch()

    def _tick(self, event: events.Tick) -> None:
        # A call without a response is treated as failed: its keys are read back.
        if self._batch and self._context.now_s - self._called_s > STORE_TIMEOUT_S:
            self._requeue_batch()
        self._start_batch()

    def _timer_fired(self, event: events.ClaimsDue) -> None:
        self._has_timer = False
        self._start_batch()

    def _start_batch(self) -> None:
        if self._batch or not self._pending or self._has_timer:
            return
        left_s = self._written_s + WRITE_INTERVAL_S - self._context.now_s
        if left_s > 0:
            self._has_timer = True
            self._context.emit(ClaimTimer(left_s))
            return
        keys: set[str] = set()
        for identity, change in list(self._pending.items()):
            if change.key not in keys and len(self._batch) < MAX_BATCH_CLAIMS:
                keys.add(change.key)
                self._batch.append(self._pending.pop(identity))
        self._written_s = self._context.now_s
        self._call_store()

    def _call_store(self) -> None:
        self._count += 1
        self._called_s = self._context.now_s
        unread = tuple(change.key for change in self._batch if change.revision is None)
        if unread:
            self._token = f"claims-read:{self._count}"
            self._context.emit(StoreRead(self._token, unread))
            return
        self._token = f"claims-write:{self._count}"
        compares = {change.key: change.revision or 0 for change in self._batch}
        puts = {change.key: change.packed for change in self._batch}
        self._context.emit(Count("claim.writes"))
        self._context.emit(Count("claim.written", len(puts)))
        self._context.emit(ClaimWrite(self._token, compares, puts))

    def _store_responded(self, event: events.StoreResponse) -> None:
        if event.token != self._token or not self._batch:
            return
        reading = event.token.startswith("claims-read")
        if reading and event.known:
            self._apply_read(event.values)
        elif not reading and event.known and event.applied:
            for change in self._batch:
                self._respond(change, change.packed)
            self._batch = []
        else:
            self._requeue_batch()
        self._start_batch()

    def _requeue_batch(self) -> None:
        for change in self._batch:
            change.revision = None
            self._pending[change.key, change.token, change.ends] = change
        self._batch = []

    def _apply_read(self, values: dict[str, tuple[bytes, int]]) -> None:
        for change in list(self._batch):
            if change.revision is not None:
                continue
            packed, change.revision = values.get(change.key, (b"", 0))
            stored = unpack_record(packed) if packed else None
            if stored is not None and self._is_settled(change, stored):
                self._batch.remove(change)
                self._respond(change, packed)
        if self._batch:
            self._call_store()

    @staticmethod
    def _is_settled(change: _Change, stored: ClaimRecord) -> bool:
        ours = stored.token == change.token
        if change.ends:
            # The claim has already ended, or another one replaced it: nothing to write.
            return not ours or stored.state != ClaimState.OPEN
        return ours or stored.state != ClaimState.RELEASED

    def _respond(self, change: _Change, packed: bytes) -> None:
        if change.ends:
            self._context.send(change.host, messages.ClaimEndStored(change.token))
            return
        if unpack_record(packed).state == ClaimState.RELEASED:
            return
        response = messages.ClaimResponse(change.token, packed)
        self._context.send(change.host, response)
