import socket
from collections import Counter
from contextlib import AsyncExitStack
from types import SimpleNamespace
from unittest import mock

import anyio
import httpx
import msgpack
from anyio.abc import SocketAttribute
from behave import given, then, when
from cut_steps import RECOVERY_S, FirstAttempts, with_links
from whole_path import RunningHost, whole_path

from knapweedbridge_core.codec import encode
from knapweedbridge_core.serving import (
    ClusterState,
    DaemonRecord,
    EndpointPaths,
    Forwarders,
)
from knapweedbridge_core.serving.tunnel_messages import TunnelOpened, TunnelRequest
from knapweedbridge_daemon.handshake import Handshake
from knapweedbridge_daemon.peer_sockets import PeerListener, connect_peer
from knapweedbridge_daemon.peers import Peers
from knapweedbridge_daemon.serving import forwarding
from knapweedbridge_daemon.serving.byte_stream import (
    RESET_ON_CLOSE,
    ByteStream,
    connect_stream,
)
from knapweedbridge_daemon.serving.forwarding import TunnelForwarder
from knapweedbridge_daemon.serving.http_client import (
    Destination,
    DirectConnector,
    NotSentError,
)
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.tunnels import END, Tunnels, TunnelStream

SECRET = b"secret of the features"
ENDS = {
    "the endpoint ends normally": END,
    "the forwarder is killed": b"",
    "bytes that are no message come": b"\xc1",
}


@when("a forwarder passes on 5 bytes and then {end}")
def passes_on(context, end):
    async def serve(stream):
        await stream.receive()
        await stream.send(encode(TunnelOpened(1)) + msgpack.packb(b"12345"))
        await anyio.sleep(0.05)
        await stream.send(ENDS[end])
        await stream.send_eof()
        await anyio.sleep_forever()

    async def scenario():
        async with anyio.create_task_group() as tasks:
            listener = PeerListener()
            await listener.listen("127.0.0.1", 0)
            tasks.start_soon(listener.serve, serve)
            ip, _, port = listener.address.rpartition(":")
            stream = TunnelStream(await connect_peer(ip, int(port)), "h1")
            await stream.ask(Destination("127.0.0.1:1", "e"))
            context.read = [await stream.receive()]
            try:
                context.read.append(await stream.receive())
            except ConnectionError as error:
                context.read.append(error)
            stream.close()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


@then("the requesting host reads 5 bytes and then {what}")
def reads(context, what):
    data, last = context.read
    assert data == b"12345", context.read
    assert (last == b"") == (what == "an end"), context.read


class Log:
    def info(self, kind, **fields):
        pass


def hub_of(name, address, paths, draining=False):
    """Return the shared state of a daemon that knows two hosts and an endpoint."""
    cluster = ClusterState(secret=SECRET)
    for host in ("host-0", "host-1"):
        cluster.daemons[host] = DaemonRecord(host, 1, address, "d0")
    record = SimpleNamespace(address="127.0.0.1:1")
    cluster.fleet.endpoints["e"] = SimpleNamespace(record=record)
    return SimpleNamespace(
        identity=SimpleNamespace(name=name, incarnation=1),
        cluster=cluster,
        paths=paths,
        draining=draining,
        log=Log(),
        metrics=MetricsRegistry(),
    )


def paths_of(what):
    """Return the paths of a forwarder that cannot carry a tunnel."""
    return SimpleNamespace(
        has_lost_links=what.endswith("has no links"),
        is_cut=lambda address: False,
        is_linked=lambda now_s: "with links" in what,
    )


@when("a daemon {what} is asked for a tunnel")
def asked_for_tunnel(context, what):
    hub = hub_of("host-1", "", paths_of(what), draining=what == "that drains")
    if "know the endpoint" in what:
        hub.cluster.fleet.endpoints.clear()
    carried = TunnelForwarder(hub, 0 if "too many" in what else 10)
    serve_tunnel = None if "no tunnels" in what else carried.serve

    async def scenario():
        async with anyio.create_task_group() as tasks:
            peers = Peers("host-1", SECRET, 1.0, None, 1, serve_tunnel=serve_tunnel)
            listener = PeerListener()
            await listener.listen("127.0.0.1", 0)
            tasks.start_soon(listener.serve, peers.serve)
            asking = hub_of("host-0", listener.address, None)
            try:
                await Tunnels(asking).open(Destination("127.0.0.1:1", "e"))
            except NotSentError as error:
                context.error = error
            tasks.cancel_scope.cancel()

    context.error = None
    anyio.run(scenario)


@when("a host that requests a tunnel resets its stream while a call waits")
def requester_resets(context):
    context.ended, context.response = None, None

    async def run(host):
        try:
            await host.run()
        except Exception as error:
            context.ended = error

    async def slow(ip, port):
        await anyio.sleep(0.2)
        return await connect_stream(ip, port)

    async def ask_and_reset(path):
        desk = path.desks[0]
        secret = next(
            item[0] for key, item in path.store.items.items() if "secret" in key
        )
        stream = await connect_peer("127.0.0.1", path.ports[0][2])
        await Handshake("host-9", 1, secret).greet(stream, "host-0")
        await stream.send(encode(TunnelRequest(desk.name, desk.entry()["address"])))
        await anyio.sleep(0.05)
        stream.raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.abort()

    async def call(path):
        try:
            context.response = await path.call("POST", "/order/1")
        except httpx.HTTPError as error:
            context.response = error

    async def scenario():
        with mock.patch.object(RunningHost, "serve", staticmethod(run)):
            async with whole_path(1) as path:
                for desk in path.desks:
                    desk.work_s = 1.0
                with mock.patch.object(
                    forwarding,
                    "byte_stream",
                    SimpleNamespace(connect_stream=slow),
                ):
                    async with anyio.create_task_group() as calls:
                        calls.start_soon(call, path)
                        await anyio.sleep(0.2)
                        await ask_and_reset(path)
                        await anyio.sleep(0.5)
                context.lines = path.lines()

    anyio.run(scenario, backend_options={"use_uvloop": True})


@then("the daemon keeps serving, and the call is answered with {status:d}")
def serves_on(context, status):
    outcomes = [
        line["outcome"]
        for line in context.lines
        if line["message_type"] == "request.ended"
    ]
    seen = context.ended, context.response, outcomes
    assert context.ended is None, seen
    assert isinstance(context.response, httpx.Response), seen
    assert context.response.status_code == status, seen


@then("none is opened, and the endpoint counts as {state}")
def none_opened(context, state):
    assert context.error is not None
    assert context.error.is_lost == (state == "lost"), context.error


@when("a caller of a host without links disconnects in the middle of a draft")
@with_links
async def caller_disconnects(context, path, links):
    await path.draft("base/a1", 0)
    for engine in path.engines:
        engine.pause_s = 0.5
    links.cut("host-0", "hang")
    await anyio.sleep(RECOVERY_S)
    with anyio.move_on_after(1.5):
        await path.draft("base/a1", 0)
    await anyio.sleep(0.5)
    context.runs = sum(engine.busy for engine in path.engines)
    context.forwarded = [
        line["forwarder"]
        for line in path.lines(0)
        if line["message_type"] == "attempt.ended" and line["outcome"] == "abandoned"
    ]


@then("no endpoint works on the call 0.5 s later")
def no_connection(context):
    assert context.forwarded and all(context.forwarded), context.forwarded
    assert context.runs == 0, context.runs


@when("a host loses its links for 3 s while calls come, and calls go on for 4 s")
@with_links
async def links_come_back(context, path, links):
    attempts = FirstAttempts()
    await attempts.call_for(path, context.daemons, 1.0)
    links.cut("host-0", "hang")
    await attempts.call_for(path, context.daemons, 3.0)
    links.heal("host-0")
    await attempts.call_for(path, context.daemons, 2.0)
    await anyio.sleep(0.2)
    before = len(path.lines(0))
    context.served = len(attempts.answers)
    await attempts.call_for(path, context.daemons, 2.0)
    await anyio.sleep(0.2)
    context.ended = [
        line
        for line in path.lines(0)[before:]
        if line["message_type"] == "attempt.ended"
    ]


@then("from 2 s after the links are restored its calls use no tunnel")
def uses_no_tunnel(context):
    assert context.ended
    tunnelled = [line for line in context.ended if line["forwarder"]]
    assert not tunnelled, tunnelled


@when("calls come for 3 s")
@with_links
async def calls_come(context, path, links):
    await FirstAttempts().call_for(path, context.daemons, 3.0)
    context.pages = [await path.metrics(host) for host in range(context.daemons)]


@then("no host has requested a tunnel")
def no_tunnels(context):
    asked = [page for page in context.pages if "knapweedbridge_tunnels" in page]
    assert not asked, len(asked)


@given("a pool of 79 hosts of which 26, a data centre, have lost their links")
def large_pool(context):
    context.daemons = [DaemonRecord(f"h{n}", 1, "a", f"d{n // 26}") for n in range(79)]
    context.without = {each.name for each in context.daemons[:26]}


@when("each of the 26 opens 40 tunnels")
def opens_tunnels(context):
    context.carried, context.asked = Counter(), {}
    requesters = {name: Forwarders(name) for name in context.without}
    for requester in requesters.values():
        requester.set_daemons(context.daemons, context.without)
    for _ in range(40):
        for name, requester in requesters.items():
            order = requester.in_order(0.0)
            context.asked[name] = len(order)
            context.carried[order[0]] += 1
            requester.record_opened(order[0], context.carried[order[0]])


@then("no host carries more than three times the mean over the hosts with links")
def carries_its_share(context):
    mean = context.carried.total() / (len(context.daemons) - len(context.without))
    assert max(context.carried.values()) <= 3 * mean, (context.carried, mean)


@then("each host requests tunnels of at most {most:d} others")
def requests_few(context, most):
    assert max(context.asked.values()) <= most, context.asked


OPTIONS = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")


async def sockets():
    """Open one connection of each kind, and return its socket options by its ends."""
    found = {}
    made = anyio.Event()
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        endpoint = await listening(tasks, lambda stream: anyio.sleep_forever())
        forwarding = TunnelForwarder(forwarder_of(endpoint), 10)

        async def serve_tunnel(host, stream, asked):
            found["a forwarder to the requesting host"] = stream.raw
            await forwarding.serve(host, stream, asked)

        peers = Peers("host-1", SECRET, 1.0, None, 1, serve_tunnel=serve_tunnel)
        forwarder = await listening(tasks, peers.serve)
        tunnels = Tunnels(hub_of("host-0", forwarder, None))
        tunnel = await tunnels.open(Destination(endpoint, "e"))
        found["a host to its forwarder"] = tunnel._stream.raw
        direct = await DirectConnector().connect(Destination(endpoint))
        found["a host to an endpoint"] = direct._transport.get_extra_info("socket")

        async def take(stream):
            own = ByteStream.from_anyio(stream)
            found["a caller to a host"] = own._transport.get_extra_info("socket")
            made.set()
            await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, take)
        port = listener.extra(SocketAttribute.local_port)
        await stack.enter_async_context(await anyio.connect_tcp("127.0.0.1", port))
        await made.wait()
        options = {end: read_options(raw) for end, raw in found.items()}
        tunnel.close()
        direct.close()
        tasks.cancel_scope.cancel()
    return options


async def listening(tasks, serve):
    listener = PeerListener()
    await listener.listen("127.0.0.1", 0)
    tasks.start_soon(listener.serve, serve)
    return listener.address


def forwarder_of(endpoint):
    hub = hub_of("host-1", "", EndpointPaths())
    hub.cluster.fleet.endpoints["e"].record.address = endpoint
    return hub


def read_options(raw):
    assert raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    return {
        name: raw.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
        for name in OPTIONS
    }


@when("the socket options of a connection from {end} are read")
def read_socket_options(context, end):
    context.options = anyio.run(sockets)[end]


@then(
    "its keepalive probes and its timeout for unacknowledged bytes each end it after "
    "2 to 3 s"
)
def ends_in_time(context):
    found = context.options
    probes_s = found["TCP_KEEPIDLE"] + found["TCP_KEEPINTVL"] * found["TCP_KEEPCNT"]
    bound_s = found["TCP_USER_TIMEOUT"] / 1000
    assert 2 <= bound_s <= 3 and 2 <= probes_s <= 3, found
