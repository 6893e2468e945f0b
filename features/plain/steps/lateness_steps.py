from behave import given, then, when

from knapweedbridge_standins.plain_pool import WAYS, PlainFigures, PlainPool, PlainSite


@given("75 requests a second of 90 ms, of which {shares} come from each data centre")
def requests_from(context, shares):
    context.shares = tuple(map(float, shares.split()))


@given(
    "endpoints that take {factors} times as long, with {waiting:d} places in a queue"
)
def endpoints_that(context, factors, waiting):
    context.site = PlainSite(
        shares=context.shares,
        factors=tuple(map(float, factors.split())),
        waiting=waiting,
    )


@when("{seeds:d} seeds of 40 s are simulated with own counts, learning and counting")
def played(context, seeds):
    context.found = {}
    for name, way in WAYS.items():
        figures = context.found[name] = PlainFigures()
        for seed in range(seeds):
            figures.add(PlainPool(context.site, way(), seed).play())


@then("counting has at most {part:g} of the late requests of own counts")
def fewer_late(context, part):
    shares = {name: each.late_share() for name, each in context.found.items()}
    assert shares["counting"] <= part * shares["own counts"], shares


@then(
    "counting has fewer late requests than learning, and at most {most:d} messages "
    "a request"
)
def fewer_than_learning(context, most):
    counting, learning = context.found["counting"], context.found["learning"]
    shares = counting.late_share(), learning.late_share()
    assert shares[0] < shares[1], shares
    messages = counting.messages / counting.requests
    assert messages <= most, messages
