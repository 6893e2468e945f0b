from unittest import mock

import anyio
import httpx
from behave import given, then, when

from knapweedbridge_core.actions import OrderEndpoint, ProbeEndpoint
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_daemon.endpoints import HttpEndpoint
from knapweedbridge_daemon.errors import DaemonError
from knapweedbridge_daemon.etcd_store import EtcdStore
from knapweedbridge_daemon.hosts import HttpHostList
from knapweedbridge_daemon.plain_transport import GuardedTransport
from knapweedbridge_daemon.probes import Prober

ADDRESS = "127.0.0.1:9"
URL = f"http://{ADDRESS}"


async def _order():
    model = AdapterVersion("refill", "1")
    order = OrderEndpoint("draft-0", ADDRESS, "load", model, "w", 1)
    await _endpoint().order(order)


def _endpoint():
    return HttpEndpoint(httpx.AsyncClient(transport=GuardedTransport()), ADDRESS)


async def _probe():
    result = await Prober().probe(ProbeEndpoint("draft-0", ADDRESS, "engine"))
    return "not reached" if not result.reached else "reached"


CALLS = {
    "reads the list of hosts": lambda: HttpHostList(URL, 1.0).read(),
    "reads the key-value service": lambda: EtcdStore(URL, 1.0).read("key"),
    "sends an order": _order,
    "requests a report": lambda: _endpoint().report(),
    "probes an endpoint": _probe,
}


@given("that each new connection is closed as it is opened")
def close_connections(context):
    error = AttributeError("'NoneType' object has no attribute 'family'")
    patch = mock.patch.object(
        httpx.AsyncHTTPTransport, "handle_async_request", side_effect=error
    )
    patch.start()
    context.add_cleanup(patch.stop)


@when("the daemon {calls}")
def call(context, calls):
    try:
        context.result = anyio.run(CALLS[calls])
    except DaemonError as error:
        context.result = type(error).__name__


@then('the call fails with "{error}"')
def fails_with(context, error):
    assert context.result == error, context.result
