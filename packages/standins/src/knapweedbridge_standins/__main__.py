"""Runs one stand-in as a process: ``python -m knapweedbridge_standins engine``."""

from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from knapweedbridge_standins.engine import EngineFaults, EngineStandIn
from knapweedbridge_standins.journal import Journal
from knapweedbridge_standins.key_value import (
    READS_PER_S,
    WRITES_PER_S,
    KeyValueStandIn,
)
from knapweedbridge_standins.plain import PlainStandIn
from knapweedbridge_standins.platform import HostListStandIn, WeightStoreStandIn
from knapweedbridge_standins.prefix_cache import PrefixCache
from knapweedbridge_standins.serving import serve_app

Address = Annotated[str, cappa.Arg(long=True, help="IP:port to listen on.")]


@cappa.command(name="key-value")
@dataclass
class KeyValue:
    """The key-value service."""

    listen: Address
    writes_per_s: Annotated[float, cappa.Arg(long=True)] = WRITES_PER_S
    reads_per_s: Annotated[float, cappa.Arg(long=True)] = READS_PER_S
    seed: Annotated[int, cappa.Arg(long=True)] = 0

    async def run(self) -> None:
        """Serve until a signal."""
        stand_in = KeyValueStandIn(self.writes_per_s, self.reads_per_s, self.seed)
        await serve_app(stand_in.app(), self.listen)


@cappa.command(name="host-list")
@dataclass
class HostList:
    """The list of hosts."""

    listen: Address
    lag_s: Annotated[float, cappa.Arg(long=True)] = 0.0

    async def run(self) -> None:
        """Serve until a signal."""
        await serve_app(HostListStandIn(self.lag_s).app(), self.listen)


@cappa.command(name="weight-store")
@dataclass
class WeightStore:
    """The weight store."""

    listen: Address
    load_s: Annotated[float, cappa.Arg(long=True)] = 0.3
    loads_per_s: Annotated[float, cappa.Arg(long=True)] = 0.0

    async def run(self) -> None:
        """Serve until a signal."""
        stand_in = WeightStoreStandIn(self.load_s, self.loads_per_s)
        await serve_app(stand_in.app(), self.listen)


@cappa.command(name="engine")
@dataclass
class Engine:
    """A model engine."""

    listen: Address
    weight_store: Annotated[str, cappa.Arg(long=True)] = ""
    slots: Annotated[int, cappa.Arg(long=True)] = 8
    batch: Annotated[int, cappa.Arg(long=True)] = 16
    step_s: Annotated[float, cappa.Arg(long=True)] = 0.01
    checks_fencing: Annotated[bool, cappa.Arg(long=True)] = False
    report_lag_s: Annotated[float, cappa.Arg(long=True)] = 0.0
    cache_blocks: Annotated[int, cappa.Arg(long=True)] = 512
    cache_lag_s: Annotated[float, cappa.Arg(long=True)] = 0.0
    cache_lost_share: Annotated[float, cappa.Arg(long=True)] = 0.0
    keep_s: Annotated[float, cappa.Arg(long=True)] = 3.0
    name: Annotated[str, cappa.Arg(long=True)] = "engine"
    journal: Annotated[str, cappa.Arg(long=True, help="File of JSON lines.")] = ""
    crash_on: Annotated[str, cappa.Arg(long=True, help="Prompt that ends it.")] = ""

    def _make(self) -> EngineStandIn:
        cache = PrefixCache(self.cache_blocks, self.cache_lag_s, self.cache_lost_share)
        return EngineStandIn(
            self.slots,
            self.batch,
            self.step_s,
            self.weight_store,
            self.checks_fencing,
            self.report_lag_s,
            cache,
            self.keep_s,
            Journal(self.name, self.journal),
            faults=EngineFaults(crash_on=self.crash_on),
        )

    async def run(self) -> None:
        """Serve until a signal."""
        engine = self._make()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.run)
            await serve_app(engine.app(), self.listen)
            tasks.cancel_scope.cancel()


@cappa.command(name="plain")
@dataclass
class Plain:
    """An instance of a plain service."""

    listen: Address
    work_s: Annotated[float, cappa.Arg(long=True)] = 0.005
    name: Annotated[str, cappa.Arg(long=True)] = "plain"
    journal: Annotated[str, cappa.Arg(long=True, help="File of JSON lines.")] = ""

    async def run(self) -> None:
        """Serve until a signal."""
        journal = Journal(self.name, self.journal)
        stand_in = PlainStandIn(self.name, self.work_s, journal)
        await serve_app(stand_in.app(), self.listen)


@cappa.command(name="knapweedbridge_standins")
@dataclass
class StandIns:
    """Stand-ins for the outside systems."""

    chosen: cappa.Subcommands[KeyValue | HostList | WeightStore | Engine | Plain]

    def __call__(self) -> None:
        """Run the chosen stand-in."""
        anyio.run(self.chosen.run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    cappa.parse(StandIns)()
