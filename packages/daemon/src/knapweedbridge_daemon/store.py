"""The platform's key-value service, as the daemon uses it."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

from knapweedbridge_daemon.errors import StoreError


@dataclass(slots=True)
class Transaction:
    """A write that takes effect only if every comparison holds.

    Parameters
    ----------
    compares : dict of str to int
        Revision each key must have; 0: the key must be absent.
    puts : dict of str to bytes
        Values to write.
    deletes : tuple of str
        Keys to remove.
    lease : str
        Lease the written keys hang on, or empty.
    """

    compares: dict[str, int] = field(default_factory=dict)
    puts: dict[str, bytes] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()
    lease: str = ""


class KeyValueStore(ABC):
    """A small key-value service with compare-and-swap, leases and watches."""

    @abstractmethod
    async def read(self, key: str) -> tuple[bytes, int] | None:
        """Return value and revision of a key, or None; may raise StoreError."""

    @abstractmethod
    async def read_prefix(self, prefix: str) -> dict[str, tuple[bytes, int]]:
        """Return all keys under a prefix; may raise StoreError."""

    @abstractmethod
    async def write(self, transaction: Transaction) -> bool:
        """Return whether the comparisons held; may raise StoreError."""

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> str:
        """Return a new lease; may raise StoreError."""

    @abstractmethod
    async def keep_lease(self, lease: str) -> float:
        """Renew a lease; return its remaining seconds, 0 if it lapsed."""

    @abstractmethod
    def watch(self, prefix: str, revision: int) -> AsyncGenerator[str, None]:
        """Yield keys under a prefix as they change after a revision."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@dataclass(slots=True, frozen=True)
class StoreItem:
    """A key as it was written at a revision; ``value`` is None where it was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, frozen=True)
class StoreItems:
    """Items, and the store's revision when it answered."""

    items: list[StoreItem]
    revision: int


@dataclass(slots=True, frozen=True)
class Committed:
    """What became of a transaction.

    Parameters
    ----------
    applied : bool
        Whether its comparisons held.
    revision : int
        Revision of what was written; 0 where nothing was.
    """

    applied: bool
    revision: int = 0


class HistoryGoneError(StoreError):
    """The store no longer knows the changes since a revision: read all anew."""


class LeaseGoneError(StoreError):
    """A lease has ended, and with it all that hung on it."""


class RevisionedStore(KeyValueStore):
    """A key-value service that tells the revision with each answer.

    Revisions are stamps: they also bear the store's era, see
    `knapweedbridge_core.serving.store_eras`.

    Attributes
    ----------
    era : int
        The newest era that an answer told; it rises when the store has come back from
        an older copy, without what was written since, and without leases.
    """

    era: int = 0

    @abstractmethod
    async def read_items(self, prefix: str) -> StoreItems:
        """Return all items under a prefix, and a revision to follow from."""

    @abstractmethod
    async def read_changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> StoreItems:
        """Wait for changes under a prefix after a revision.

        Raises
        ------
        HistoryGoneError
            If the changes since then are not known any more, or are another era's.
        StoreError
            If there was no answer.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Committed:
        """Write under comparisons.

        Raises
        ------
        LeaseGoneError
            If the lease has ended.
        StoreError
            If there was no answer; it tells whether it may have applied.
        """
