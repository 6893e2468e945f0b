import sys
from pathlib import Path

from behave import given, then, when

from knapweedbridge_core import events, rendezvous

sys.path.insert(0, str(Path(__file__).parents[3] / "bench"))


@given("a pool of {daemons:d} cores and {endpoints:d} endpoints that has settled")
def settled(context, daemons, endpoints):
    from pool import Pool, make_configuration

    context.pool = Pool(daemons, make_configuration(10, endpoints))
    context.pool.run(20.0)
    context.weighed = set()
    score = rendezvous.score

    def counted(key, candidate):
        if key.startswith("draft-"):
            context.weighed.add((key, candidate))
        return score(key, candidate)

    rendezvous.score = counted
    context.add_cleanup(setattr, rendezvous, "score", score)


@when("{seconds:d} seconds pass and the list of hosts is read again")
def pass_time(context, seconds):
    context.weighed.clear()
    context.pool.run(seconds / 2)
    context.pool.list_hosts()
    context.pool.run(seconds / 2)


@then("no candidate was weighed for an owner")
def nothing_weighed(context):
    assert not context.weighed, len(context.weighed)


@when("a member drains")
def drains(context):
    context.pool.tell("host-3", events.DrainStarted())
    context.pool.run(2.0)


@then("candidates are weighed again")
def weighed_again(context):
    assert context.weighed
