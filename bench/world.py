"""What callers, faults and observers of a whole run share."""

import random
import time
from dataclasses import dataclass, field

import anyio
import httpx
from deployment import Deployment
from forwarder import Forwarder

from knapweedbridge_standins.runs import Record

MOST_HOSTS_GONE = 3
MOST_ENDPOINTS_GONE = 4
BACK_S = 2.0


@dataclass
class Life:
    """The life of one daemon process."""

    start: int = 1
    started_s: float = field(default_factory=time.time)


@dataclass
class World:
    """What callers, faults and observers of a run share.

    Parameters
    ----------
    open_hosts : set of int
        Hosts that the platform's balancer sends callers to.
    gone : set of str
        Processes that a fault holds now.
    """

    deployment: Deployment
    forwarders: list[Forwarder]
    open_hosts: set[int]
    records: list[Record] = field(default_factory=list)
    lives: dict[int, Life] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)
    ends_s: float = 0.0
    poisons: int = 0

    def note(self, record: Record) -> None:
        """Add a record to the history."""
        self.records.append(record)

    async def post(self, to: str, path: str, **body: object) -> None:
        """Set something on a stand-in."""
        async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
            answer = await client.post(f"http://{to}{path}", json=body)
            answer.raise_for_status()

    async def start_host(self, host: int) -> None:
        """Start a daemon again and open it to callers when it answers."""
        life = self.lives[host]
        self.lives[host] = Life(life.start + 1)
        self.deployment.daemon(host)
        url = f"http://{self.deployment.example.administration(host)}/v1/status"
        await anyio.to_thread.run_sync(self.deployment.await_answer, url)
        await anyio.sleep(BACK_S)
        self.open_hosts.add(host)

    def free_host(self, rng: random.Random) -> int | None:
        """Choose a host that no fault holds, if so many may be gone."""
        held = sum(name.startswith("host-") for name in self.gone)
        free = [host for host in self.lives if f"host-{host}" not in self.gone]
        return rng.choice(free) if held < MOST_HOSTS_GONE and free else None

    def free_engine(self, rng: random.Random) -> int | None:
        """Choose an engine that no fault holds, if so many may be gone."""
        held = sum(name.startswith("draft-") for name in self.gone)
        engines = range(self.deployment.example.engines)
        free = [place for place in engines if f"draft-{place}" not in self.gone]
        return rng.choice(free) if held < MOST_ENDPOINTS_GONE and free else None
