from behave import then, when

from knapweedbridge_core.serving import (
    AdmitAll,
    LeastCostPlacement,
    OverdueLast,
)
from knapweedbridge_standins.serving_load import (
    QUOTA_SITE,
    OverloadStory,
    play_overload,
)

LONGEST_WAIT_S = 6.1
"""Half of the deadline of 12 s, which is before any caller of rank 2 leaves, and what
a last look takes."""


def played(make_policy, story, seeds):
    return [
        play_overload(QUOTA_SITE, LeastCostPlacement(), make_policy, story, seed)
        for seed in seeds
    ]


@when(
    "{load:g} times the usual load is played with seeds {seeds}, {crash:g} of the "
    "engines lost and {hasty:g} of the clients hasty"
)
def is_played(context, load, seeds, crash, hasty):
    first, _, last = seeds.partition("..")
    numbers = range(int(first), int(last or first) + 1)
    story = OverloadStory(load, hasty_share=hasty, crash_share=crash)
    context.others = played(AdmitAll, story, numbers)
    context.last = played(OverdueLast, story, numbers)


def share(found, end):
    ended = sum(sum(getattr(each, end).values()) for each in found)
    return ended / sum(each.asked for each in found)


@then(
    "with overdue calls last at least {more:g} more of the callers are answered in time"
)
def more_in_time(context, more):
    shares = share(context.others, "in_time"), share(context.last, "in_time")
    assert shares[1] >= shares[0] + more, shares


@then("at most {part:g} as many late")
def fewer_late(context, part):
    shares = share(context.others, "late"), share(context.last, "late")
    assert shares[1] <= part * shares[0] + 0.005, shares


@then("no call waits longer than its caller would")
def bounded_wait(context):
    waited_s = max(each.longest_wait_s for each in context.last)
    assert waited_s <= LONGEST_WAIT_S, waited_s
