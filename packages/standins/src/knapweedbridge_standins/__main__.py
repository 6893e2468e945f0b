"""Runs one stand-in as a process: ``python -m knapweedbridge_standins engine``."""

from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from knapweedbridge_standins.engine import EngineStandIn
from knapweedbridge_standins.key_value import KeyValueStandIn
from knapweedbridge_standins.plain import PlainStandIn
from knapweedbridge_standins.platform import HostListStandIn, WeightStoreStandIn
from knapweedbridge_standins.serving import serve_app

Address = Annotated[str, cappa.Arg(long=True, help="IP:port to listen on.")]


@cappa.command(name="key-value")
@dataclass
class KeyValue:
    """The key-value service."""

    listen: Address

    async def run(self) -> None:
        """Serve until a signal."""
        await serve_app(KeyValueStandIn().app(), self.listen)


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

    async def run(self) -> None:
        """Serve until a signal."""
        await serve_app(WeightStoreStandIn(self.load_s).app(), self.listen)


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

    async def run(self) -> None:
        """Serve until a signal."""
        engine = EngineStandIn(
            self.slots, self.batch, self.step_s, self.weight_store, self.checks_fencing
        )
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

    async def run(self) -> None:
        """Serve until a signal."""
        await serve_app(PlainStandIn(work_s=self.work_s).app(), self.listen)


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
