"""Client accounts, which are identified by the key of a call."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum


class QuotaUnit(Enum):
    """Unit in which an account's quota is counted."""

    CALLS = "calls"
    TOKENS = "tokens"


@dataclass(slots=True, frozen=True)
class Quota:
    """Quota of an account, over all daemons together.

    Parameters
    ----------
    unit : QuotaUnit
        What is counted.
    rate_per_s : float
        Units per second.
    burst : float
        Additional units that may be used at once.
    plain_units : int
        Units of a call without a number of tokens, if tokens are counted.
    """

    unit: QuotaUnit
    rate_per_s: float
    burst: float
    plain_units: int = 0

    def cost(self, tokens: int | None) -> int:
        """Return the units of a call with a number of tokens; None: it has none."""
        if self.unit is QuotaUnit.CALLS:
            return 1
        return self.plain_units if tokens is None else tokens


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """A client account: its keys, and the priority and quota of its calls.

    Parameters
    ----------
    name : str
        Name by which endpoints know the account.
    key_digests : tuple of str
        Digests of its keys; the keys themselves are not stored.
    urgency : int or None
        Priority of its calls, which overrides that of their route; None: the route's.
    quota : Quota or None
        None: no limit.
    """

    name: str
    key_digests: tuple[str, ...]
    urgency: int | None = None
    quota: Quota | None = None


class Accounts:
    """The client accounts of one configuration.

    Parameters
    ----------
    accounts : iterable of ClientAccount
        All accounts.

    Raises
    ------
    ValueError
        If two accounts have the same name or the same key.
    """

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._by_name: dict[str, ClientAccount] = {}
        self._by_digest: dict[str, ClientAccount] = {}
        for account in accounts:
            if account.name in self._by_name:
                raise ValueError(f"two accounts are named {account.name}")
            self._by_name[account.name] = account
            for digest in account.key_digests:
                other = self._by_digest.setdefault(digest, account)
                if other is not account:
                    raise ValueError(f"{other.name} and {account.name} hold one key")

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[ClientAccount]:
        return iter(self._by_name.values())

    def named(self, name: str) -> ClientAccount | None:
        """Return the account with a name, or None."""
        return self._by_name.get(name)

    def by_key_digest(self, key_digest: str) -> ClientAccount | None:
        """Return the account that holds a key, or None.

        Digests are looked up instead of keys, so the duration of a look-up reveals
        nothing about a key.
        """
        return self._by_digest.get(key_digest)
