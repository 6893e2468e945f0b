from behave import then, when

from knapweedbridge_standins.history import World


def run_plain(daemons, seconds, seed):
    world = World(seed, daemons=daemons)
    world.load(4, seconds)
    world.run(seconds)
    return world


@when("a history of {daemons:d} daemons, {seconds:d} s and seed {seed:d} is run twice")
def run_twice(context, daemons, seconds, seed):
    context.runs = [run_plain(daemons, seconds, seed) for _ in range(2)]


@then("both runs saw the same, and requests were answered")
def same(context):
    first, second = [world.checker for world in context.runs]
    assert first.counts == second.counts, (first.counts, second.counts)
    assert first.violations == second.violations
    assert first.counts["Complete"] > 0
