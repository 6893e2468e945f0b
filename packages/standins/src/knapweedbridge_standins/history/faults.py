"""Faults that a history may bring about, by name."""

from collections.abc import Callable
from random import Random

from knapweedbridge_standins.history.world import World

Fault = Callable[[World, Random], None]

MAX_PAUSE_S = 40.0
LONG_PAUSE_S = 70.0


def _pick(world: World, rng: Random) -> str | None:
    alive = [name for name, node in world.nodes.items() if node.alive]
    return rng.choice(alive) if len(alive) > 1 else None


def kill(world: World, rng: Random) -> None:
    """End a daemon at once; it starts again, or not before long."""
    host = _pick(world, rng)
    if host is not None:
        world.kill(host)
        world.after(rng.choice([1.0, 5.0, 40.0]), lambda: _restart(world, host))


def _restart(world: World, host: str) -> None:
    if not world.nodes[host].alive:
        world.start(host)


def pause(world: World, rng: Random) -> None:
    """Stop a daemon's processor, often past its lease."""
    host = _pick(world, rng)
    if host is not None and not world.nodes[host].paused:
        world.pause(host, rng.uniform(1.0, MAX_PAUSE_S))


def pause_in_order(world: World, rng: Random) -> None:
    """Stop a daemon between the last check of its next order and the sending."""
    host = _pick(world, rng)
    if host is not None:
        world.nodes[host].pause_before_order_s = rng.uniform(1.0, LONG_PAUSE_S)


def isolate(world: World, rng: Random) -> None:
    """Cut a daemon from its peers and the service, but not from the engines."""
    host = _pick(world, rng)
    if host is not None:
        world.isolate(host)
        world.after(rng.uniform(5.0, 60.0), world.heal)


def cut_one_way(world: World, rng: Random) -> None:
    """Let one daemon hear another that does not hear it."""
    sender, receiver = rng.sample(sorted(world.nodes), 2)
    world.cut(sender, receiver)
    world.after(rng.uniform(3.0, 40.0), world.heal)


def cut_from_service(world: World, rng: Random) -> None:
    """Cut one daemon from the service alone."""
    host = _pick(world, rng)
    if host is not None:
        world.store.unreachable.add(host)
        world.after(rng.uniform(5.0, 60.0), world.heal)


def service_down(world: World, rng: Random) -> None:
    """Take the service down; leases' time goes on."""
    world.store.down = True
    world.after(rng.uniform(2.0, 60.0), lambda: _service_up(world))


def _service_up(world: World) -> None:
    world.store.down = False


def service_slow(world: World, rng: Random) -> None:
    """Let each call take long."""
    world.store.delay_s = rng.uniform(0.2, 4.0)
    world.after(rng.uniform(5.0, 40.0), lambda: _service_fast(world))


def _service_fast(world: World) -> None:
    world.store.delay_s = 0.002


def lose_writes(world: World, rng: Random) -> None:
    """Lose the replies of the next writes, which take effect."""
    world.store.lose_replies += rng.randint(1, 4)


def lose_orders(world: World, rng: Random) -> None:
    """Lose the replies of an engine's next orders, which take effect."""
    engine = rng.choice(list(world.engines.values()))
    engine.lose_replies += rng.randint(1, 3)


def drain(world: World, rng: Random) -> None:
    """Drain a daemon, end it, and start it again."""
    host = _pick(world, rng)
    if host is not None and len(world.live()) > 1:
        world.drain(host)
        world.after(10.0, lambda: world.kill(host))
        world.after(12.0, lambda: _restart(world, host))


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        kill,
        pause,
        pause_in_order,
        isolate,
        cut_one_way,
        cut_from_service,
        service_down,
        service_slow,
        lose_writes,
        lose_orders,
        drain,
    )
}


def random_history(seed: int, checks_fencing: bool, run_s: float = 240.0) -> World:
    """Run a history with faults by chance, then let it settle.

    Parameters
    ----------
    seed : int
        The same seed gives the same history.
    checks_fencing : bool
        Whether the engines refuse old orders.
    run_s : float
        Virtual seconds in which faults come, 15 s apart in the mean.
    """
    world = World(
        seed, daemons=4, adapters=12, checks_fencing=checks_fencing, stream_s=0.6
    )
    rng = Random(seed * 7919 + 1)
    world.load(5.0, run_s + 60.0)
    at_s = 10.0
    while at_s < run_s:
        fault = rng.choice(list(FAULTS.values()))
        world.at(at_s, lambda fault=fault: fault(world, rng))  # type: ignore[misc]
        at_s += rng.expovariate(1 / 15.0)
    world.at(run_s, lambda: _mend(world))
    world.run(run_s + 130.0)
    return world


def _mend(world: World) -> None:
    world.heal()
    world.store.down = False
    world.store.delay_s = 0.002
    for host, node in world.nodes.items():
        node.pause_before_order_s = 0.0
        if not node.alive:
            world.start(host)
