from itertools import islice
from unittest import mock

from behave import then, when

from knapweedbridge_daemon.serving.permits import Permits
from knapweedbridge_daemon.serving.plain_load_client import PlainLoadClient
from knapweedbridge_daemon.serving.stream_resumer import StreamResumer
from knapweedbridge_daemon.serving.turns import Turns

REQUESTS = 1000

MAKERS = {
    "Permits": lambda: Permits(mock.Mock(), mock.Mock(), mock.Mock()),
    "PlainLoadClient": lambda: PlainLoadClient(mock.Mock(), mock.Mock(), {}),
    "StreamResumer": lambda: StreamResumer(mock.Mock(), mock.Mock(), mock.Mock()),
    "Turns": lambda: Turns(mock.Mock(), mock.Mock(), mock.Mock()),
}


@when("two processes of a host request as {name} in turn")
def request_in_turn(context, name):
    context.tickets = [set(islice(MAKERS[name]()._tickets, REQUESTS)) for _ in range(2)]


@then("no response to the first matches a request of the second")
def none_matches(context):
    first, second = context.tickets
    assert len(first) == len(second) == REQUESTS
    assert not first & second, len(first & second)
