from dataclasses import replace

from behave import then, when

from knapweedbridge_core.serving import LeastCostPlacement
from knapweedbridge_standins.serving_load import SITES, play

SHARE = 24 / 70
PLAYED_S = 24.0
UNEVEN = replace(
    SITES["uneven"],
    daemons=24,
    engines=24,
    adapters=3000,
    loads_at_once=24,
    mixes=tuple(replace(mix, per_s=SHARE * mix.per_s) for mix in SITES["uneven"].mixes),
)
EQUAL = replace(UNEVEN, speeds=(1.0,), slow_share=0.0)


def play_both(context, site, seeds):
    context.found = [
        [
            play(site, LeastCostPlacement(), 1.0, PLAYED_S, seed, learn_speeds=learn)
            for seed in range(1, seeds + 1)
        ]
        for learn in (True, False)
    ]


@when(
    "the uneven pool is simulated with {seeds:d} seeds, with learned speeds and without"
)
def play_uneven(context, seeds):
    play_both(context, UNEVEN, seeds)


@when(
    "a pool of equal engines is simulated with {seeds:d} seeds, "
    "with learned speeds and without"
)
def play_equal(context, seeds):
    play_both(context, EQUAL, seeds)


def shares(context):
    return [
        sum(sum(each.in_time.values()) for each in found)
        / sum(each.asked for each in found)
        for found in context.found
    ]


@then("with them at least {more:g} more are answered in time")
def more_in_time(context, more):
    learned, unlearned = shares(context)
    print("in time", learned, unlearned)
    assert learned >= unlearned + more, (learned, unlearned)


@then("with them at most {fewer:g} fewer are answered in time")
def hardly_fewer(context, fewer):
    learned, unlearned = shares(context)
    print("in time", learned, unlearned)
    assert learned >= unlearned - fewer, (learned, unlearned)


@then("at most {part:g} times as many streams pause too long")
def fewer_pause(context, part):
    learned, unlearned = (sum(each.paused for each in found) for found in context.found)
    print("paused", learned, unlearned)
    assert learned <= part * unlearned, (learned, unlearned)
