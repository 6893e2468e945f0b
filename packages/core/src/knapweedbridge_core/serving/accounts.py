"""Client accounts: whose call it is, by the key that it shows."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum


class QuotaUnit(Enum):
    """What an account's quota counts."""

    CALLS = "calls"
    TOKENS = "tokens"


@dataclass(slots=True, frozen=True)
class Quota:
    """What an account may use, over all daemons together.

    Parameters
    ----------
    unit : QuotaUnit
        What is counted.
    rate_per_s : float
        Units that it may use a second.
    burst : float
        Units that it may use at once besides.
    plain_units : int
        Units of a call that tells no tokens, where tokens are counted.
    """

    unit: QuotaUnit
    rate_per_s: float
    burst: float
    plain_units: int = 0

    def cost(self, tokens: int | None) -> int:
        """Return the units of a call with so many tokens; None: it tells none."""
        if self.unit is QuotaUnit.CALLS:
            return 1
        return self.plain_units if tokens is None else tokens


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """Whose calls come under some keys, and on what terms.

    Parameters
    ----------
    name : str
        What endpoints know the account by.
    key_digests : tuple of str
        Digests of its keys; the keys themselves are not kept.
    urgency : int or None
        Rank of its calls, which goes before that of their route; None: the route's.
    quota : Quota or None
        None: it has no limit.
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
        All of them.

    Raises
    ------
    ValueError
        If two accounts have one name, or hold one key.
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
        """Return the account of a name, or None."""
        return self._by_name.get(name)

    def by_key_digest(self, key_digest: str) -> ClientAccount | None:
        """Return the account that holds a key, or None where none does.

        Digests are looked up, so how long it takes tells nothing of a key.
        """
        return self._by_digest.get(key_digest)
