"""The claim keeper: writes the claims of a data centre, many in one write."""

from dataclasses import dataclass

from knapweedbridge_core import events, messages
from knapweedbridge_core.actions import ClaimTimer, ClaimWrite, Count, StoreRead
from knapweedbridge_core.claims import ClaimRecord, ClaimState, unpack_record
from knapweedbridge_core.context import Context, Handler, Side

WRITE_EVERY_S = 0.2
BATCH_CLAIMS = 128
MAX_WAITING = 10_000
REPLY_TIMEOUT_S = 10.0


@dataclass(slots=True)
class _Wish:
    """One claim to be made or ended.

    Parameters
    ----------
    key, token : str
        The claim, and who wants it changed.
    packed : bytes
        The record to be written.
    host : str
        Who asked, and is answered.
    ends : bool
        Whether it ends a claim.
    revision : int or None
        Revision that the key must have; None: to be read first.
    """

    key: str
    token: str
    packed: bytes
    host: str
    ends: bool
    revision: int | None


class ClaimCoordinator(Side):
    """Gathers claims while a write is under way, and writes them together.

    A write that fails, and one whose reply was lost, are settled alike: all its
    keys are read back, and the token in each tells whose claim stands.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._waiting: dict[tuple[str, str, bool], _Wish] = {}
        self._batch: list[_Wish] = []
        self._token = ""
        self._count = 0
        self._began_s = -REPLY_TIMEOUT_S
        self._wrote_s = -WRITE_EVERY_S
        self._timed = False

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.ClaimsDue: self._due,
            events.StoreResponse: self._replied,
            messages.ClaimRequest: self._asked,
            messages.ClaimEnded: self._ended,
        }

    def _asked(self, message: messages.ClaimRequest) -> None:
        self._add(message.key, message.token, message.record, False)

    def _ended(self, message: messages.ClaimEnded) -> None:
        # Its ask may still wait here; made after its end it would stand for ever.
        self._waiting.pop((message.key, message.token, False), None)
        self._add(message.key, message.token, message.record, True)

    def _add(self, key: str, token: str, packed: bytes, ends: bool) -> None:
        named = (key, token, ends)
        under_way = any(
            (wish.key, wish.token, wish.ends) == named for wish in self._batch
        )
        if named in self._waiting or under_way or len(self._waiting) >= MAX_WAITING:
            return
        revision = None if ends else 0
        host = self._context.sender
        self._waiting[named] = _Wish(key, token, packed, host, ends, revision)
        self._start()

    def _tick(self, event: events.Tick) -> None:
        # The reply to a call may never come: its keys are read back.
        if self._batch and self._context.now_s - self._began_s > REPLY_TIMEOUT_S:
            self._wait_again()
        self._start()

    def _due(self, event: events.ClaimsDue) -> None:
        self._timed = False
        self._start()

    def _start(self) -> None:
        if self._batch or not self._waiting or self._timed:
            return
        left_s = self._wrote_s + WRITE_EVERY_S - self._context.now_s
        if left_s > 0:
            self._timed = True
            self._context.emit(ClaimTimer(left_s))
            return
        keys: set[str] = set()
        for named, wish in list(self._waiting.items()):
            if wish.key not in keys and len(self._batch) < BATCH_CLAIMS:
                keys.add(wish.key)
                self._batch.append(self._waiting.pop(named))
        self._wrote_s = self._context.now_s
        self._next_call()

    def _next_call(self) -> None:
        self._count += 1
        self._began_s = self._context.now_s
        unread = tuple(wish.key for wish in self._batch if wish.revision is None)
        if unread:
            self._token = f"claims-read:{self._count}"
            self._context.emit(StoreRead(self._token, unread))
            return
        self._token = f"claims-write:{self._count}"
        compares = {wish.key: wish.revision or 0 for wish in self._batch}
        puts = {wish.key: wish.packed for wish in self._batch}
        self._context.emit(Count("claim.writes"))
        self._context.emit(Count("claim.written", len(puts)))
        self._context.emit(ClaimWrite(self._token, compares, puts))

    def _replied(self, event: events.StoreResponse) -> None:
        if event.token != self._token or not self._batch:
            return
        reading = event.token.startswith("claims-read")
        if reading and event.known:
            self._read(event.values)
        elif not reading and event.known and event.applied:
            for wish in self._batch:
                self._tell(wish, wish.packed)
            self._batch = []
        else:
            self._wait_again()
        self._start()

    def _wait_again(self) -> None:
        for wish in self._batch:
            wish.revision = None
            self._waiting[wish.key, wish.token, wish.ends] = wish
        self._batch = []

    def _read(self, values: dict[str, tuple[bytes, int]]) -> None:
        for wish in list(self._batch):
            if wish.revision is not None:
                continue
            packed, wish.revision = values.get(wish.key, (b"", 0))
            found = unpack_record(packed) if packed else None
            if found is not None and self._is_settled(wish, found):
                self._batch.remove(wish)
                self._tell(wish, packed)
        if self._batch:
            self._next_call()

    @staticmethod
    def _is_settled(wish: _Wish, found: ClaimRecord) -> bool:
        ours = found.token == wish.token
        if wish.ends:
            # Ours and ended already, or another's since: nothing to write.
            return not ours or found.state != ClaimState.OPEN
        return ours or found.state != ClaimState.RELEASED

    def _tell(self, wish: _Wish, packed: bytes) -> None:
        if wish.ends:
            self._context.send(wish.host, messages.ClaimEndStored(wish.token))
            return
        if unpack_record(packed).state == ClaimState.RELEASED:
            return
        answered = messages.ClaimResponse(wish.token, packed)
        self._context.send(wish.host, answered)
