from behave import then, when

from knapweedbridge_standins.history import World
from knapweedbridge_standins.history.faults import random_history
from knapweedbridge_standins.history.scripts import SCRIPTS

LEASE_S = 20.0


@when('the history "{name}" is run on {endpoints} endpoints')
def run_history(context, name, endpoints):
    context.world = SCRIPTS[name](1, endpoints == "checking")


@when("the history of random faults with seed {seed:d} is run on ignoring endpoints")
def run_random_faults(context, seed):
    context.world = random_history(seed, False)


@when("a daemon is killed at 20 s and started again at 23 s")
def restart(context):
    world = World(1, adapters=6, stream_s=0.6)
    world.load(4.0, 100.0)
    world.at(20.0, lambda: world.kill("host-1"))
    world.at(23.0, lambda: world.start("host-1"))
    world.run(140.0)
    context.world = world


@when("the key-value service is down for ten minutes, {endpoints} endpoints")
def outage(context, endpoints):
    world = World(3, adapters=12, checks_fencing=endpoints == "checking", stream_s=0.6)
    world.load(2.0, 640.0)
    world.at(20.0, lambda: setattr(world.store, "down", True))
    world.run(20.0 + LEASE_S)
    context.evicted_before = world.checker.counts["evicted"]
    world.run(600.0)
    context.answered_before = world.checker.counts["Complete"]
    world.run(619.0)
    context.world = world


@then("no invariant was violated")
def no_violation(context):
    assert not context.world.checker.violations, context.world.checker.violations


@then("adapters were evicted and requests answered")
def evicted(context):
    counts = context.world.checker.counts
    assert counts["evicted"] >= 5 and counts["Complete"] >= 100, counts


@then("no request waited over 30 s for an adapter that was loaded")
def no_long_wait(context):
    assert context.world.longest_wait_s < 30.0, context.world.longest_wait_s
    assert not context.world.waiting, context.world.waiting


@then("requests were answered until the end of the outage")
def answered(context):
    assert context.world.checker.counts["Complete"] > context.answered_before


@then("adapters were evicted during the outage: {expected}")
def evicted_in_outage(context, expected):
    evicted = context.world.checker.counts["evicted"] - context.evicted_before
    assert (evicted > 0) == (expected == "yes"), evicted
