from behave import then, when

from knapweedbridge_standins.history import World


def run_without_faults(daemons, seconds, seed):
    world = World(seed, daemons=daemons)
    world.load(4, seconds)
    world.run(seconds)
    return world


@when("a history of {daemons:d} daemons, {seconds:d} s and seed {seed:d} is run twice")
def run_twice(context, daemons, seconds, seed):
    context.runs = [run_without_faults(daemons, seconds, seed) for _ in range(2)]


@then("both runs had the same results, and requests were answered")
def same_results(context):
    first, second = [world.checker for world in context.runs]
    assert first.counts == second.counts, (first.counts, second.counts)
    assert first.violations == second.violations
    assert first.counts["Complete"] > 0
