import contextlib
from contextlib import AsyncExitStack

import anyio
import msgpack
from anyio.abc import SocketAttribute
from behave import given, then, when

from knapweedbridge_core.events import PeerConnected, PeerDisconnected, PeerMessage
from knapweedbridge_core.messages import MAX_MESSAGE_BYTES, ProbeRequest
from knapweedbridge_daemon import peers as peers_module
from knapweedbridge_daemon.handshake import Handshake
from knapweedbridge_daemon.peer_sockets import PeerListener
from knapweedbridge_daemon.peers import Peers

SECRET = b"secret of the features"
SILENCE_S = 0.3
LIMIT_S = 10.0
WAIT_S = 1.0

BAD_BYTES = {
    "an unknown tag": msgpack.packb(["Nothing", 1]),
    "a tag with too many fields": msgpack.packb(["ProbeAsk", 1, 2, 3]),
    "a tag that is not a string": msgpack.packb([None, 1, 2]),
    "a tag with too few fields": msgpack.packb(["LimitHeard", "e"]),
    "bytes that are not msgpack": b"\xc1" * 20,
    "a message over the size limit": b"\xc6\x7f\xff\xff\xff"
    + b"x" * (MAX_MESSAGE_BYTES + 70_000),
}


class Daemon:
    """The streams of a daemon, with the events passed to its core."""

    def __init__(self, host, secret=SECRET, incarnation=1):
        self.host = host
        self.received = []
        self.linked = []
        self.unlinked = []
        self.peers = Peers(host, secret, SILENCE_S, self._submit, incarnation)

    async def _submit(self, event):
        kinds = {
            PeerMessage: self.received,
            PeerConnected: self.linked,
            PeerDisconnected: self.unlinked,
        }
        kinds[type(event)].append(event)

    async def listen(self, tasks):
        listener = PeerListener()
        await listener.listen("127.0.0.1", 0)
        tasks.start_soon(listener.serve, self.peers.serve)
        self.address = listener.address


class Forwarder:
    """Forwards connections until it drops those that are open."""

    def __init__(self, target):
        self.target = target
        self.lost = False
        self.connections = 0

    async def listen(self, tasks):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, self._forward)
        self.address = address_of(listener)

    async def _forward(self, stream):
        number = self.connections = self.connections + 1
        ip, _, port = self.target.rpartition(":")
        async with (
            stream,
            await anyio.connect_tcp(ip, int(port)) as upstream,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._copy, stream, upstream, number)
            tasks.start_soon(self._copy, upstream, stream, number)

    async def _copy(self, source, target, number):
        with contextlib.suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            async for data in source:
                if not (self.lost and number == 1):
                    await target.send(data)
        if not (self.lost and number == 1):
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                await target.send_eof()


def address_of(listener):
    ip, port = listener.extra(SocketAttribute.local_address)
    return f"{ip}:{port}"


async def until(condition):
    with anyio.fail_after(LIMIT_S):
        while not condition():
            await anyio.sleep(0.01)


class Network:
    """Runs the steps of a scenario in one event loop, in its last step."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.intruders = []
        self.steps = []
        self.daemons_by_host = {}

    def run(self):
        anyio.run(self._run)

    async def _run(self):
        async with AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            self.tasks = tasks
            for host in self.hosts:
                self.daemons_by_host[host] = Daemon(host)
            for host in self.intruders:
                self.daemons_by_host[host] = Daemon(host, b"another secret")
            for daemon in self.daemons_by_host.values():
                await daemon.listen(tasks)
            for step in self.steps:
                await step(self)
            tasks.cancel_scope.cancel()

    def send(self, sender, receiver, address, message=None):
        daemon = self.daemons_by_host[sender]
        daemon.peers.know(self.tasks, {receiver: address})
        daemon.peers.send(receiver, message or ProbeRequest())


@given('daemons "{hosts}"')
def daemons(context, hosts):
    context.network = Network(hosts.split(","))


@given('daemons "{hosts}" whose idle streams close after {seconds:g} s')
def idle_daemons(context, hosts, seconds):
    daemons(context, hosts)
    context.add_cleanup(setattr, peers_module, "IDLE_S", peers_module.IDLE_S)
    peers_module.IDLE_S = seconds


@given('a daemon "{host}" with another secret')
def intruder(context, host):
    context.network.intruders.append(host)


def dial(context, dialling, dialled, leads_to):
    async def step(network):
        for _ in range(3):
            network.send(dialling, dialled, network.daemons_by_host[leads_to].address)
            await anyio.sleep(0.1)
        await until(lambda: network.daemons_by_host[dialling].unlinked)

    context.network.steps.append(step)


@when(
    '"{dialling}" connects to "{dialled}" at an address that leads back to "{leads_to}"'
)
def dial_self(context, dialling, dialled, leads_to):
    dial(context, dialling, dialled, leads_to)


@when('"{dialling}" connects to "{dialled}" at the address of "{leads_to}"')
def dial_other(context, dialling, dialled, leads_to):
    dial(context, dialling, dialled, leads_to)


@then('no stream to "{host}" is ever established')
def never_established(context, host):
    context.network.run()
    assert not context.network.daemons_by_host["host-0"].linked


@when('"{sender}" sends to "{receiver}" through a forwarder')
def through_forwarder(context, sender, receiver):
    async def step(network):
        network.forwarder = Forwarder(network.daemons_by_host[receiver].address)
        await network.forwarder.listen(network.tasks)
        network.send(sender, receiver, network.forwarder.address)
        await until(lambda: network.daemons_by_host[receiver].received)

    context.network.steps.append(step)


@when("the forwarder silently drops its open connections")
def drops_connections(context):
    async def step(network):
        network.forwarder.lost = True

    context.network.steps.append(step)


@then('"{receiver}" receives messages from "{sender}" again on a new stream')
def receives_again(context, receiver, sender):
    async def step(network):
        before = len(network.daemons_by_host[receiver].received)
        with anyio.fail_after(LIMIT_S):
            while len(network.daemons_by_host[receiver].received) == before:
                network.send(sender, receiver, network.forwarder.address)
                await anyio.sleep(0.05)
        assert network.forwarder.connections > 1

    context.network.steps.append(step)


@then('"{sender}" never considered "{receiver}" unreachable')
def never_unreachable(context, sender, receiver):
    context.network.run()
    assert not context.network.daemons_by_host[sender].unlinked


@when('"{sender}" sends to "{receiver}", then a newer incarnation of "{same}" does too')
def newer_start(context, sender, receiver, same):
    async def step(network):
        address = network.daemons_by_host[receiver].address
        network.send(sender, receiver, address)
        await until(lambda: len(network.daemons_by_host[receiver].received) == 1)
        network.daemons_by_host["newer"] = Daemon(same, incarnation=2)
        network.send("newer", receiver, address)
        await until(lambda: len(network.daemons_by_host[receiver].received) == 2)

    context.network.steps.append(step)


@when('the older incarnation of "{host}" sends again')
def older_sends(context, host):
    async def step(network):
        address = network.daemons_by_host["host-1"].address
        for _ in range(10):
            network.send(host, "host-1", address)
            await anyio.sleep(0.1)

    context.network.steps.append(step)


@then('"{receiver}" receives nothing more from the older incarnation')
def older_not_received(context, receiver):
    context.network.run()
    assert len(context.network.daemons_by_host[receiver].received) == 2


@when('a host that knows the secret sends {kind} to "{receiver}"')
def sends_bad(context, kind, receiver):
    async def step(network):
        ip, _, port = network.daemons_by_host[receiver].address.rpartition(":")
        stream = await anyio.connect_tcp(ip, int(port))
        await Handshake("host-9", 1, SECRET).greet(stream, receiver)
        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(BAD_BYTES[kind])
        network.bad = stream

    context.network.steps.append(step)


@when('a host that knows the secret sends {kind} to "{receiver}", and then a message')
def sends_more(context, kind, receiver):
    sends_bad(context, kind, receiver)

    async def step(network):
        await network.bad.send(msgpack.packb(["ProbeAsk"]))

    context.network.steps.append(step)


@then('"{receiver}" receives that message on the same stream')
def receives_after(context, receiver):
    async def step(network):
        received = network.daemons_by_host[receiver].received
        await until(lambda: "host-9" in {event.host for event in received})
        await network.bad.aclose()

    context.network.steps.append(step)


@then('"{receiver}" closes that stream')
def closes_bad(context, receiver):
    async def step(network):
        with anyio.fail_after(LIMIT_S):
            try:
                while True:
                    await network.bad.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                await network.bad.aclose()

    context.network.steps.append(step)


@then('"{receiver}" still receives messages from "{sender}"')
def still_receives(context, receiver, sender):
    async def step(network):
        network.send(sender, receiver, network.daemons_by_host[receiver].address)
        await until(lambda: network.daemons_by_host[receiver].received)

    context.network.steps.append(step)
    context.network.run()


@when('"{sender}" sends to "{receiver}" once')
def sends_once(context, sender, receiver):
    async def step(network):
        network.expected = len(network.daemons_by_host[receiver].received) + 1
        network.send(sender, receiver, network.daemons_by_host[receiver].address)

    context.network.steps.append(step)


@then('"{receiver}" receives it')
def receives_it(context, receiver):
    async def step(network):
        await until(
            lambda: len(network.daemons_by_host[receiver].received) == network.expected
        )

    context.network.steps.append(step)


@then("the stream is closed again")
def closed_again(context):
    async def step(network):
        await until(lambda: not network.daemons_by_host["host-0"].peers.open_streams)

    context.network.steps.append(step)
