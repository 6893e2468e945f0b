"""Histories written for one failure each."""

from collections.abc import Callable

from knapweedbridge_core.actions import OrderEndpoint
from knapweedbridge_standins.history.world import World

Script = Callable[[int, bool], World]


def _world(seed: int, checks_fencing: bool, daemons: int = 3) -> World:
    world = World(
        seed,
        daemons=daemons,
        adapters=12,
        checks_fencing=checks_fencing,
        stream_s=0.6,
    )
    world.load(5.0, 150.0)
    return world


def owner_of(world: World, endpoint: str = "draft-0") -> str:
    """Name a live daemon that believes to own an endpoint."""
    for host in world.live():
        if world.nodes[host].bridge.owner.owners.number(endpoint) is not None:
            return host
    return world.live()[0]


def owner_killed(seed: int, checks_fencing: bool) -> World:
    """Kill the owner with grants out; long streams of others go on."""
    world = _world(seed, checks_fencing)
    _long_streams(world, 28.0, 30.0)
    world.at(30.0, lambda: world.kill(owner_of(world)))
    world.run(160.0)
    return world


def _long_streams(world: World, from_s: float, until_s: float) -> None:
    world.at(from_s, lambda: setattr(world, "stream_s", 50.0))
    world.at(until_s, lambda: setattr(world, "stream_s", 0.6))


def holder_killed(seed: int, checks_fencing: bool) -> World:
    """Kill a holder; the engine sees its connections close only much later."""
    world = _world(seed, checks_fencing)
    world.closed_seen_s = 100.0
    _long_streams(world, 28.0, 30.0)
    world.at(30.0, lambda: _kill_other(world))
    world.run(160.0)
    return world


def _kill_other(world: World) -> None:
    world.kill(_other(world))


def _other(world: World) -> str:
    owner = owner_of(world)
    return next(host for host in world.live() if host != owner)


def holder_paused(seed: int, checks_fencing: bool) -> World:
    """Pause a holder with grants on the way past its lease; it wakes and has them."""
    world = _world(seed, checks_fencing)
    world.at(30.1, lambda: _ask_and_pause(world, 40.0))
    _long_streams(world, 70.0, 70.2)
    world.run(160.0)
    return world


def _ask_and_pause(world: World, seconds: float) -> None:
    host = _other(world)
    for model in world.models:
        world.ask(host, model)
    world.pause(host, seconds)


def owner_paused_in_order(seed: int, checks_fencing: bool) -> World:
    """Pause an owner between check and sending of an eviction; the name is wanted.

    The daemon wakes past its lease and sends. Meanwhile its successor is asked for
    just that adapter.
    """
    world = _world(seed, checks_fencing)
    world.at(25.0, lambda: _pause_orders(world, 50.0))
    for tenth in range(400):
        world.at(60.0 + tenth / 10, lambda: _ask_late(world))
    world.run(160.0)
    return world


def _pause_orders(world: World, seconds: float) -> None:
    for host in {owner_of(world, name) for name in world.engines}:
        world.nodes[host].pause_before_order_s = seconds


def _ask_late(world: World) -> None:
    for order in world.late_orders if world.live() else []:
        world.ask(world.rng.choice(world.live()), order.model)


def restarted_alone(seed: int, checks_fencing: bool) -> World:
    """Restart the only daemon while an order of its is on the way."""
    world = _world(seed, checks_fencing, daemons=1)
    world.at(30.0, lambda: setattr(world, "order_delay_s", 4.5))
    for at_s in (31.0, 60.0, 90.0, 120.0):
        world.at(at_s, lambda: world.kill("host-0"))
        world.at(at_s + 0.2, lambda: world.start("host-0"))
    world.run(160.0)
    return world


def order_in_transit(seed: int, checks_fencing: bool) -> World:
    """Kill the only daemon with an eviction in transit; the name is wanted at once."""
    world = _world(seed, checks_fencing, daemons=1)

    def sent(host: str, order: OrderEndpoint) -> None:
        if order.kind == "evict" and not world.late_orders:
            world.late_orders.append(order)
            world.order_delay_s = 4.5
            world.after(0.0005, lambda: world.kill(host))
            world.after(0.2, lambda: world.start(host))
            for tenth in range(5, 60):
                world.after(tenth / 10, lambda: _ask_late(world))

    world.at(30.0, lambda: setattr(world, "order_sent", sent))
    world.run(160.0)
    return world


def reports_lag(seed: int, checks_fencing: bool) -> World:
    """Let every report arrive three seconds after it was taken."""
    world = _world(seed, checks_fencing)
    world.report_lag_s = 3.0
    for at_s in range(20, 100, 10):
        world.at(at_s, lambda: setattr(world, "stream_s", 12.0))
        world.at(at_s + 1.0, lambda: setattr(world, "stream_s", 0.6))
    world.run(160.0)
    return world


def minority_cut(seed: int, checks_fencing: bool) -> World:
    """Cut two of five daemons from the others; the service answers them all."""
    world = _world(seed, checks_fencing, daemons=5)
    world.at(25.0, lambda: _split(world))
    world.run(160.0)
    return world


def _split(world: World) -> None:
    owner = owner_of(world)
    others = [host for host in world.nodes if host != owner]
    for near in (owner, *others[:2]):
        for far in others[2:]:
            world.cut(near, far)
            world.cut(far, near)


def owner_paused(seed: int, checks_fencing: bool) -> World:
    """Pause an owner past its lease; it wakes beside its successor."""
    world = _world(seed, checks_fencing)
    for at_s in (25.0, 80.0):
        world.at(at_s, lambda: world.pause(owner_of(world), 40.0))
    world.run(160.0)
    return world


def owner_isolated(seed: int, checks_fencing: bool) -> World:
    """Cut owners from peers and service while their own callers go on."""
    world = _world(seed, checks_fencing)
    for at_s in (25.0, 90.0):
        world.at(at_s, lambda: world.isolate(owner_of(world)))
        world.at(at_s + 50.0, world.heal)
    world.run(160.0)
    return world


def handed_over(seed: int, checks_fencing: bool) -> World:
    """Drain an owner with long streams of others out."""
    world = _world(seed, checks_fencing)
    _long_streams(world, 28.0, 30.0)
    world.at(30.0, lambda: _drain(world))
    world.run(160.0)
    return world


def _drain(world: World) -> None:
    host = owner_of(world)
    world.drain(host)
    world.after(60.0, lambda: world.kill(host))


def claims_lost(seed: int, checks_fencing: bool) -> World:
    """Lose the replies of claims while owners come and go."""
    world = _world(seed, checks_fencing)
    world.store.lose_replies = 3
    for at_s in (20.0, 60.0, 100.0):
        world.at(at_s, lambda: _kill_and_restart(world))
    world.run(160.0)
    return world


def _kill_and_restart(world: World) -> None:
    host = owner_of(world)
    world.kill(host)
    world.store.lose_replies += 4
    world.after(3.0, lambda: world.start(host))


def service_down(seed: int, checks_fencing: bool) -> World:
    """Take the service down for ten minutes."""
    world = _world(seed, checks_fencing)
    world.load(2.0, 700.0)
    world.at(20.0, lambda: setattr(world.store, "down", True))
    world.at(620.0, lambda: setattr(world.store, "down", False))
    world.run(720.0)
    return world


SCRIPTS: dict[str, Script] = {
    script.__name__: script
    for script in (
        owner_killed,
        holder_killed,
        holder_paused,
        restarted_alone,
        order_in_transit,
        reports_lag,
        minority_cut,
        owner_paused_in_order,
        owner_paused,
        owner_isolated,
        handed_over,
        claims_lost,
    )
}
