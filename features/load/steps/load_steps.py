from functools import cache
from unittest import mock

from behave import then, when

from knapweedbridge_core.serving import (
    Fleet,
    LeastCostPlacement,
    LoadTimes,
    late_admission,
)
from knapweedbridge_standins.serving_load import (
    SITES,
    HashedPlacement,
    LeastCallsPlacement,
    play,
)
from knapweedbridge_standins.serving_load import daemon as load_daemon

PLAYED_S = {"okavango": 10.0, "okavango-grown": 4.0}
SMALL = SITES["okavango"]
# Most of a large deployment's engines are unknown to each of its daemons.
LARGE = SITES["okavango-grown"]
POLICIES = {"hashing": HashedPlacement, "least calls": LeastCallsPlacement}


def simulate(site, policy, load):
    return play(site, policy(), load, PLAYED_S[site.name])


simulate_cached = cache(simulate)


def assume_busy(fleet, engines, daemons, small, now_s):
    """Assume the mean load of the known engines for the unknown ones."""
    known = [each for each in engines if each.has_recent_update(now_s)]
    count = max(1, len(known))
    for each in engines:
        if not each.has_recent_update(now_s):
            each.others_calls = sum(one.others_calls for one in known) // count
            each.others_unread_tokens = (
                sum(one.others_unread_tokens for one in known) // count
            )


SEEDS = (1, 2, 3, 4)


def mean_share(relayed):
    """Return the mean share in time over four runs of a large pool."""
    found = [
        play(
            LARGE,
            LeastCostPlacement(),
            1.0,
            PLAYED_S[LARGE.name],
            seed,
            relayed=relayed,
        )
        for seed in SEEDS
    ]
    return sum(each.in_time_share for each in found) / len(found)


WITHOUT = {
    "do not ask before they send": mock.patch.object(load_daemon, "QUESTIONS_MOST", 0),
    "assume unknown engines to be busy": mock.patch.object(
        Fleet, "estimate_load", assume_busy
    ),
}


@when("a small pool is simulated at {load:g} times its usual load")
def small_pool(context, load):
    context.site, context.load = SMALL, load
    context.figures = simulate_cached(SMALL, LeastCostPlacement, load)


@when("a large pool is simulated at its usual load")
def large_pool(context):
    context.site, context.load = LARGE, 1.0
    context.figures = simulate_cached(LARGE, LeastCostPlacement, 1.0)


@then("at least {share:g} of its callers are answered in time")
def share_in_time(context, share):
    assert context.figures.in_time_share >= share, context.figures.in_time_share


def run_strict(context):
    with mock.patch.object(late_admission, "MAX_DELAY_OBJECTIVES", 0.0):
        return play(
            context.site,
            LeastCostPlacement(),
            context.load,
            PLAYED_S[context.site.name],
        )


@then("as many, with at most half as many refused as where every late call is refused")
def fewer_refused_than_strict(context):
    found = run_strict(context)
    shares = context.figures.in_time_share, found.in_time_share
    assert shares[0] >= shares[1] - 0.015, shares
    assert 2 * context.figures.refusals <= found.refusals, found.refusals


@then("more than where every late call is refused")
def more_than_strict(context):
    found = run_strict(context)
    shares = context.figures.in_time_share, found.in_time_share
    assert shares[0] > shares[1], shares
    assert context.figures.refusals < found.refusals, found.refusals


@when("a small pool is simulated at 1.5 and at 3 times its usual load")
def two_loads(context):
    context.loads = [
        simulate_cached(SMALL, LeastCostPlacement, load) for load in (1.5, 3.0)
    ]


@then("at 3 times at least as many callers are answered in time as at 1.5")
def goodput_holds(context):
    usual, heavy = (sum(each.in_time.values()) for each in context.loads)
    assert heavy >= usual, (usual, heavy)


@then('at least {more:g} more of its callers are answered in time than with "{policy}"')
def more_than_policy(context, more, policy):
    other = simulate_cached(context.site, POLICIES[policy], context.load)
    shares = context.figures.in_time_share, other.in_time_share
    assert shares[0] >= shares[1] + more, shares


@then("at least {more:g} more than where daemons {without}")
def more_than_without(context, more, without):
    with WITHOUT[without]:
        found = simulate(context.site, LeastCostPlacement, context.load)
    shares = context.figures.in_time_share, found.in_time_share
    assert shares[0] >= shares[1] + more, shares


@then("engines refuse at most half as many calls as where nothing is learned")
def fewer_not_run(context):
    with mock.patch.object(LoadTimes, "told", lambda times, cold_s: None):
        found = simulate(context.site, LeastCostPlacement, context.load)
    refused = context.figures.not_run, found.not_run
    assert refused[0] <= refused[1] / 2, refused


@when("a large pool is simulated with four seeds, with its relays and without")
def with_and_without_relays(context):
    context.shares = mean_share(relayed=True), mean_share(relayed=False)


@then("at least {share:g} of its callers are answered in time without them")
def share_without(context, share):
    assert context.shares[1] >= share, context.shares


@then("no fewer with them")
def no_fewer_with(context):
    assert context.shares[0] >= context.shares[1], context.shares


@then("without them at least {more:g} more than where daemons {without}")
def more_than_assuming(context, more, without):
    with WITHOUT[without]:
        found = mean_share(relayed=False)
    assert context.shares[1] >= found + more, (context.shares[1], found)
