from behave import then, when

from knapweedbridge_core.serving import QuotaTolerance
from knapweedbridge_standins.quota_pool import STORIES, KeptParts, QuotaPool

TOLERANCE = QuotaTolerance(window_s=8.0, over=0.1, slack_units=11_000)
HOSTS = 64


@when('accounts of {tokens:d} tokens a second run "{story}" with seeds 0 to {last:d}')
def accounts_play(context, tokens, story, last):
    context.figures = [
        QuotaPool(HOSTS, tokens, STORIES[story], seed).play(KeptParts, TOLERANCE)
        for seed in range(last + 1)
    ]


@then("no window of {seconds:d} s holds more than is accepted")
def within_accepted(context, seconds):
    assert seconds == TOLERANCE.window_s
    worst = max(each.worst_share for each in context.figures)
    assert 0 < worst <= 1.0, worst


@then("it gets all that a single counter would admit")
def none_missed(context):
    assert not any(each.missed_share for each in context.figures), [
        each.missed_share for each in context.figures
    ]
