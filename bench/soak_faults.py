"""The faults of a soak run, each brought about and mended from a seed."""

import random
import re
import signal
import time
from abc import ABC, abstractmethod

import anyio
from asking import Asker, Work
from forwarder import Forwarder
from world import BACK_S, World

from knapweedbridge_standins.runs import (
    Accepted,
    Fault,
    Leaving,
    Outcome,
    Stopped,
)

POISON = "POISON"


class SoakFault(ABC):
    """One kind of fault."""

    name = ""
    weight = 1

    @abstractmethod
    async def run(self, world: World, rng: random.Random) -> None:
        """Bring the fault about, mend it and note it."""

    def note(self, world: World, target: str, began_s: float) -> None:
        """Note that the fault lay on a target until now."""
        world.note(Fault(self.name, target, began_s, time.time()))


class HostFault(SoakFault):
    """A fault that takes one host away for a while."""

    async def run(self, world: World, rng: random.Random) -> None:
        """See `SoakFault.run`."""
        host = world.free_host(rng)
        if host is None:
            return
        world.gone.add(f"host-{host}")
        try:
            await self.take(world, rng, host)
        finally:
            world.gone.discard(f"host-{host}")

    @abstractmethod
    async def take(self, world: World, rng: random.Random, host: int) -> None:
        """Take the host away, and bring it back."""


class Kill(HostFault):
    """A daemon is killed; the balancer notices when it refuses."""

    name = "kill"
    weight = 2

    async def take(self, world: World, rng: random.Random, host: int) -> None:
        """See `HostFault.take`."""
        began_s = time.time()
        await anyio.to_thread.run_sync(world.deployment.kill, f"host-{host}")
        await anyio.sleep(rng.uniform(0.1, 1))
        world.open_hosts.discard(host)
        await anyio.sleep(rng.uniform(0, 4))
        await world.start_host(host)
        self.note(world, f"host-{host}", began_s)


class Freeze(HostFault):
    """A daemon is stopped past its lease and goes on unaware."""

    name = "freeze"
    weight = 2

    async def take(self, world: World, rng: random.Random, host: int) -> None:
        """See `HostFault.take`."""
        began_s = time.time()
        world.deployment.signal(f"host-{host}", signal.SIGSTOP)
        await anyio.sleep(1)
        world.open_hosts.discard(host)
        await anyio.sleep(rng.uniform(2, 20))
        world.deployment.signal(f"host-{host}", signal.SIGCONT)
        await anyio.sleep(BACK_S)
        world.open_hosts.add(host)
        self.note(world, f"host-{host}", began_s)


class Replace(HostFault):
    """A daemon is stopped gracefully in mid-load, and replaced."""

    name = "replace"
    weight = 2

    async def take(self, world: World, rng: random.Random, host: int) -> None:
        """See `HostFault.take`."""
        began_s = time.time()
        world.open_hosts.discard(host)
        name = f"host-{host}"
        code = await anyio.to_thread.run_sync(world.deployment.stop, name)
        world.note(Stopped(name, began_s, time.time(), code))
        await world.start_host(host)
        self.note(world, name, began_s)


class EngineRestart(SoakFault):
    """An engine is killed and starts again cold."""

    name = "engine_restart"
    weight = 2

    async def run(self, world: World, rng: random.Random) -> None:
        """See `SoakFault.run`."""
        place = world.free_engine(rng)
        if place is None:
            return
        name = f"draft-{place}"
        world.gone.add(name)
        began_s = time.time()
        await anyio.to_thread.run_sync(world.deployment.kill, name)
        await anyio.sleep(rng.uniform(0, 3))
        world.deployment.engine(place)
        await anyio.sleep(1)
        world.gone.discard(name)
        self.note(world, name, began_s)


class ConnectionFault(SoakFault):
    """The standing connections of one address fail; new ones work."""

    weight = 2

    async def run(self, world: World, rng: random.Random) -> None:
        """See `SoakFault.run`."""
        forwarder, began_s = rng.choice(world.forwarders), time.time()
        self.strike(forwarder)
        self.note(world, forwarder.target, began_s)

    @abstractmethod
    def strike(self, forwarder: Forwarder) -> None:
        """Make the connections fail."""


class Cut(ConnectionFault):
    """The standing connections of one address end."""

    name = "cut"

    def strike(self, forwarder: Forwarder) -> None:
        """See `ConnectionFault.strike`."""
        forwarder.cut()


class Silence(ConnectionFault):
    """The standing connections of one address go silent for good."""

    name = "silence"

    def strike(self, forwarder: Forwarder) -> None:
        """See `ConnectionFault.strike`."""
        forwarder.silence()


class StoreFault(SoakFault):
    """The key-value service fails for a while."""

    async def run(self, world: World, rng: random.Random) -> None:
        """See `SoakFault.run`."""
        if "store" in world.gone:
            return
        world.gone.add("store")
        began_s = time.time()
        address = world.deployment.example.key_value
        await world.post(address, "/faults", **self.faults(rng))
        await anyio.sleep(rng.uniform(2, 20))
        await world.post(address, "/faults", down=False, delay_s=0, lose_share=0)
        world.gone.discard("store")
        self.note(world, "store", began_s)

    @abstractmethod
    def faults(self, rng: random.Random) -> dict[str, object]:
        """Return what is switched on."""


class StoreDown(StoreFault):
    """It answers nothing."""

    name = "store_down"

    def faults(self, rng: random.Random) -> dict[str, object]:
        """See `StoreFault.faults`."""
        return {"down": True}


class StoreSlow(StoreFault):
    """It answers late, some calls after their timeout."""

    name = "store_slow"

    def faults(self, rng: random.Random) -> dict[str, object]:
        """See `StoreFault.faults`."""
        return {"delay_s": rng.uniform(0.3, 3)}


class RepliesLost(StoreFault):
    """Writes take effect and a share of the replies is lost."""

    name = "replies_lost"

    def faults(self, rng: random.Random) -> dict[str, object]:
        """See `StoreFault.faults`."""
        return {"lose_share": rng.uniform(0.2, 0.8)}


class FailingLoads(SoakFault):
    """The next loads end partway."""

    name = "failing_loads"

    async def run(self, world: World, rng: random.Random) -> None:
        """See `SoakFault.run`."""
        began_s, count = time.time(), rng.randint(1, 5)
        address = world.deployment.example.weight_store
        await world.post(address, "/faults", fail_next=count)
        self.note(world, "weight-store", began_s)


class EndpointLeaves(SoakFault):
    """An engine leaves: the list says so after its lag, the engine at once."""

    name = "leaving"

    async def run(self, world: World, rng: random.Random) -> None:
        """See `SoakFault.run`."""
        place = world.free_engine(rng)
        if place is None:
            return
        name, example = f"draft-{place}", world.deployment.example
        world.gone.add(name)
        refuses = rng.random() < 0.5
        began_s = time.time()
        await self._list(world, place, True)
        if refuses:
            await world.post(example.engine(place), "/faults", leaving=True)
        await anyio.sleep(rng.uniform(8, 16))
        world.note(Leaving(name, began_s, time.time()))
        if refuses:
            await world.post(example.engine(place), "/faults", leaving=False)
        await self._list(world, place, False)
        world.gone.discard(name)
        self.note(world, name, began_s)

    @staticmethod
    async def _list(world: World, place: int, leaving: bool) -> None:
        example = world.deployment.example
        await world.post(
            example.host_list,
            "/hosts",
            name=f"draft-{place}",
            kind="endpoint",
            data_centre=example.data_centre(place),
            address=example.reached(example.engine(place)),
            leaving=leaving,
        )


class OperatorsRace(SoakFault):
    """Two operators apply different folders at once through two hosts."""

    name = "operators_race"
    weight = 2

    async def run(self, world: World, rng: random.Random) -> None:
        """See `SoakFault.run`."""
        began_s = time.time()
        hosts = sorted(world.open_hosts)
        if len(hosts) < 2 or "operators" in world.gone:
            return
        world.gone.add("operators")
        chosen = rng.sample(hosts, 2)
        async with anyio.create_task_group() as tasks:
            for operator, host in enumerate(chosen):
                share = rng.randint(1, 900)
                tasks.start_soon(self._apply, world, operator, host, share)
        world.gone.discard("operators")
        self.note(world, "operators", began_s)

    async def _apply(self, world: World, operator: int, host: int, share: int) -> None:
        change = {"90-share.ini": f"[team optics]\nshare = {share}\n"}
        deployment = world.deployment
        folder = deployment.folder(f"folder-{operator}", **change)
        try:
            printed = await anyio.to_thread.run_sync(
                lambda: deployment.command("apply", str(folder), host=host)
            )
        except RuntimeError:
            return
        found = re.search(r"generation (\d+)", printed)
        if found is None:
            raise RuntimeError(f"apply printed no generation: {printed}")
        accepted = Accepted(f"operator-{operator}", time.time(), int(found[1]))
        world.note(accepted)


class Poison(SoakFault):
    """One request crashes each engine that runs it; its caller repeats it."""

    name = "poison"

    async def run(self, world: World, rng: random.Random) -> None:
        """See `SoakFault.run`."""
        began_s = time.time()
        world.poisons += 1
        example = world.deployment.example
        model = example.model(rng.randrange(example.adapters))
        nonce = f"poison-{world.poisons}"
        work = Work(nonce, model, model, extra=f"{POISON} ", deadline_s=10.0)
        async with Asker(example, "poisoner") as asker:
            for _ in range(6):
                ended, retry_after_s = await asker.ask(
                    work, rng.choice(sorted(world.open_hosts))
                )
                world.note(ended)
                if ended.reason == "blamed" or time.time() > world.ends_s:
                    break
                if ended.outcome == Outcome.COMPLETE:
                    break
                await anyio.sleep(max(0.5, min(retry_after_s, 3)))
        self.note(world, nonce, began_s)


FAULTS: tuple[SoakFault, ...] = (
    Kill(),
    Freeze(),
    Replace(),
    EngineRestart(),
    Cut(),
    Silence(),
    StoreDown(),
    StoreSlow(),
    RepliesLost(),
    FailingLoads(),
    EndpointLeaves(),
    OperatorsRace(),
    Poison(),
)
