"""Adapter slots of a stand-in engine and the orders that change them."""

from dataclasses import dataclass, field

import httpx

from knapweedbridge_standins.platform import SIZE_HEADER

FETCH_TIMEOUT_S = 60.0


@dataclass(slots=True)
class Orders:
    """Counts of orders, right and wrong."""

    loads: int = 0
    evictions: int = 0
    failed_loads: int = 0
    evicted_while_running: int = 0
    evicted_unread: int = 0
    evicted_absent: int = 0
    over_full: int = 0
    old_numbers: int = 0


@dataclass(slots=True)
class Slots:
    """What the engine holds.

    Parameters
    ----------
    size : int
        Adapters it can hold.
    weight_store : str
        URL of the weight store; empty: loads take no time.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    """

    size: int = 8
    weight_store: str = ""
    checks_fencing: bool = False
    loaded: set[str] = field(default_factory=set)
    loading: set[str] = field(default_factory=set)
    highest_number: int = 0
    orders: Orders = field(default_factory=Orders)

    def accepts(self, number: int) -> bool:
        """Take an order's fencing number, or refuse an old one."""
        if number < self.highest_number:
            self.orders.old_numbers += 1
            if self.checks_fencing:
                return False
        self.highest_number = max(self.highest_number, number)
        return True

    def shut_out(self, number: int) -> None:
        """Refuse orders older than this number from now on, if any are refused."""
        self.highest_number = max(self.highest_number, number)

    def is_full(self) -> bool:
        """Return whether no slot is free; a load under way takes one."""
        return len(self.loaded) + len(self.loading) >= self.size

    async def load(self, name: str, weights: str) -> bool:
        """Fetch the weights of an adapter into a free slot."""
        self.loading.add(name)
        try:
            fetched = await self._fetch(weights)
        finally:
            self.loading.discard(name)
        if fetched:
            self.orders.loads += 1
            self.loaded.add(name)
        else:
            self.orders.failed_loads += 1
        return fetched

    async def _fetch(self, weights: str) -> bool:
        if not self.weight_store:
            return True
        try:
            async with httpx.AsyncClient(
                timeout=FETCH_TIMEOUT_S, trust_env=False, verify=False
            ) as client:
                found = await client.get(f"{self.weight_store}/weights/{weights}")
        except httpx.HTTPError:
            return False
        return self.is_whole(found)

    @staticmethod
    def is_whole(found: httpx.Response) -> bool:
        """Return whether weights came whole and not only partway."""
        whole = len(found.content) == int(found.headers.get(SIZE_HEADER, -1))
        return found.status_code == 200 and whole
