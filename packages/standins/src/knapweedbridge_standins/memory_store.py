"""The key-value service as an object in memory, for tests of single decisions."""

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from enum import Enum

from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.store import KeyValueStore, Transaction


class WriteFault(Enum):
    """What becomes of a write."""

    NONE = "answered"
    REPLY_LOST = "carried out, not answered"
    LOST = "neither carried out nor answered"
    LATE = "not answered, carried out after the next read"


@dataclass(slots=True)
class Snapshot:
    """Contents to come back to."""

    values: dict[str, tuple[bytes, int]]


@dataclass(slots=True)
class MemoryStore(KeyValueStore):
    """Answers at once; faults are switched on by tests.

    Attributes
    ----------
    down : bool
        Nothing is answered or carried out.
    next_writes : list of WriteFault
        What becomes of the next writes; then they are answered.
    before_write : callable or None
        Called once before the next write is carried out.
    after_list : callable or None
        Called once after the next read of several keys.
    calls : int
        Calls that arrived.
    """

    values: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    revision: int = 0
    down: bool = False
    next_writes: list[WriteFault] = field(default_factory=list)
    before_write: Callable[[], None] | None = None
    after_list: Callable[[], None] | None = None
    calls: int = 0
    _late: list[Transaction] = field(default_factory=list)

    def snapshot(self) -> Snapshot:
        """Return the contents as they are."""
        return Snapshot(dict(self.values))

    def restore(self, snapshot: Snapshot) -> None:
        """Come back with older contents; revisions go on rising."""
        self.values = dict(snapshot.values)
        self._late.clear()

    def _begin(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreError("down")

    async def read(self, key: str) -> tuple[bytes, int] | None:
        """See `KeyValueStore.read`."""
        self._begin()
        found = self.values.get(key)
        self._carry_out_late()
        return found

    async def read_prefix(self, prefix: str) -> dict[str, tuple[bytes, int]]:
        """See `KeyValueStore.read_prefix`."""
        self._begin()
        found = {key: self.values[key] for key in self.values if key.startswith(prefix)}
        self._carry_out_late()
        if self.after_list is not None:
            act, self.after_list = self.after_list, None
            act()
        return found

    def _carry_out_late(self) -> None:
        late, self._late = self._late, []
        for transaction in late:
            self._carry_out(transaction)

    async def write(self, transaction: Transaction) -> bool:
        """See `KeyValueStore.write`."""
        self._begin()
        if self.before_write is not None:
            act, self.before_write = self.before_write, None
            act()
        fault = self.next_writes.pop(0) if self.next_writes else WriteFault.NONE
        if fault is WriteFault.LATE:
            self._late.append(transaction)
        if fault in (WriteFault.LATE, WriteFault.LOST):
            raise StoreError("no answer", may_have_applied=True)
        applied = self._carry_out(transaction)
        if fault is WriteFault.REPLY_LOST:
            raise StoreError("no answer", may_have_applied=True)
        return applied

    def _carry_out(self, transaction: Transaction) -> bool:
        for key, revision in transaction.compares.items():
            if self.values.get(key, (b"", 0))[1] != revision:
                return False
        self.revision += 1
        for key, value in transaction.puts.items():
            self.values[key] = (value, self.revision)
        for key in transaction.deletes:
            self.values.pop(key, None)
        return True

    async def grant_lease(self, ttl_s: float) -> str:
        """See `KeyValueStore.grant_lease`."""
        raise StoreError("no leases here")

    async def keep_lease(self, lease: str) -> float:
        """See `KeyValueStore.keep_lease`."""
        raise StoreError("no leases here")

    async def watch(self, prefix: str, revision: int) -> AsyncGenerator[str, None]:
        """See `KeyValueStore.watch`."""
        raise StoreError("no watches here")
        yield ""

    async def close(self) -> None:
        """See `KeyValueStore.close`."""
