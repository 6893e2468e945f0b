import random

from behave import then, when

from knapweedbridge_core.serving import Attribution, NamedResponses

IDS = ("a", "b", "c", "")


def carry(before):
    """Return the attribution of a connection that has carried some requests."""
    attribution = NamedResponses()
    ids = [str(n) for n in range(128)] if before == "128 requests" else before.split()
    for each in [] if before == "none" else ids:
        attribution.record_request(each)
    return attribution


def read_id(text):
    return "" if text == "none" else text


@when(
    "a connection has carried {before} and then carries {name}, and a response names "
    "{named}"
)
def response_arrives(context, before, name, named):
    attribution = carry(before)
    assert attribution.may_carry(read_id(name))
    attribution.record_request(read_id(name))
    context.found = attribution.attribute(read_id(named) or None)


@then("the response belongs to the {request} request")
def belongs_to(context, request):
    assert context.found is Attribution(request), context.found


@when("a connection has carried {before}")
def has_carried(context, before):
    context.attribution = carry(before)
    if before == "none":
        context.attribution.record_request("")


@then("it may not carry a request with id {name}")
def not_carried(context, name):
    assert not context.attribution.may_carry(read_id(name))


def play_history(luck):
    """Yield each response that counts as current: its request, and the current one."""
    attribution = NamedResponses()
    responses = []
    for current in range(8):
        name = luck.choice(IDS)
        if not attribution.may_carry(name):
            continue
        attribution.record_request(name)
        late = luck.sample(responses, luck.randint(0, len(responses)))
        own = (current, name if luck.random() < 0.8 else "")
        for request, named in [*late, own]:
            if attribution.attribute(named or None) is Attribution.CURRENT:
                yield request, current
                break
        responses.append(own)


@when(
    "{count:d} histories of connections are played, with late, unnamed and repeated "
    "responses"
)
def play_histories(context, count):
    context.found = [
        found for seed in range(count) for found in play_history(random.Random(seed))
    ]


@then("each response that belongs to the current request was made for it")
def made_for_it(context):
    wrong = [each for each in context.found if each[0] != each[1]]
    assert len(context.found) > 400 and not wrong, wrong[:5]
