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
    "a tag that is no name": msgpack.packb([None, 1, 2]),
    "a tag with too few fields": msgpack.packb(["LimitHeard", "e"]),
    "bytes that are no msgpack": b"\xc1" * 20,
    "a message over the size limit": b"\xc6\x7f\xff\xff\xff"
    + b"x" * (MAX_MESSAGE_BYTES + 70_000),
}


class Side:
    """One daemon's streams, with what it told its core."""

    def __init__(self, host, secret=SECRET, incarnation=1):
        self.host = host
        self.heard = []
        self.linked = []
        self.unlinked = []
        self.peers = Peers(host, secret, SILENCE_S, self._submit, incarnation)

    async def _submit(self, event):
        kinds = {
            PeerMessage: self.heard,
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
    """Passes connections on, until it loses track of those open."""

    def __init__(self, target):
        self.target = target
        self.lost = False
        self.connections = 0

    async def listen(self, tasks):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, self._pass)
        self.address = address_of(listener)

    async def _pass(self, stream):
        number = self.connections = self.connections + 1
        ip, _, port = self.target.rpartition(":")
        async with (
            stream,
            await anyio.connect_tcp(ip, int(port)) as onward,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._copy, stream, onward, number)
            tasks.start_soon(self._copy, onward, stream, number)

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


async def until(holds):
    with anyio.fail_after(LIMIT_S):
        while not holds():
            await anyio.sleep(0.01)


class Scene:
    """Runs one scenario's story in one event loop, at its end."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.strangers = []
        self.story = []
        self.sides = {}

    def run(self):
        anyio.run(self._run)

    async def _run(self):
        async with AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            self.tasks = tasks
            for host in self.hosts:
                self.sides[host] = Side(host)
            for host in self.strangers:
                self.sides[host] = Side(host, b"another secret")
            for side in self.sides.values():
                await side.listen(tasks)
            for step in self.story:
                await step(self)
            tasks.cancel_scope.cancel()

    def send(self, sender, receiver, address, message=None):
        side = self.sides[sender]
        side.peers.know(self.tasks, {receiver: address})
        side.peers.send(receiver, message or ProbeRequest())


@given('daemons "{hosts}"')
def daemons(context, hosts):
    context.scene = Scene(hosts.split(","))


@given('daemons "{hosts}" whose streams are idle after {seconds:g} s')
def idle_daemons(context, hosts, seconds):
    daemons(context, hosts)
    context.add_cleanup(setattr, peers_module, "IDLE_S", peers_module.IDLE_S)
    peers_module.IDLE_S = seconds


@given('a daemon "{host}" with another secret')
def stranger(context, host):
    context.scene.strangers.append(host)


def dial(context, dialling, dialled, leads_to):
    async def step(scene):
        for _ in range(3):
            scene.send(dialling, dialled, scene.sides[leads_to].address)
            await anyio.sleep(0.1)
        await until(lambda: scene.sides[dialling].unlinked)

    context.scene.story.append(step)


@when('"{dialling}" dials "{dialled}" at an address that leads back to "{leads_to}"')
def dial_self(context, dialling, dialled, leads_to):
    dial(context, dialling, dialled, leads_to)


@when('"{dialling}" dials "{dialled}" at the address of "{leads_to}"')
def dial_other(context, dialling, dialled, leads_to):
    dial(context, dialling, dialled, leads_to)


@then('no stream to "{host}" ever stands')
def none_stands(context, host):
    context.scene.run()
    assert not context.scene.sides["host-0"].linked


@when('"{sender}" sends to "{receiver}" through a forwarder')
def through_forwarder(context, sender, receiver):
    async def step(scene):
        scene.forwarder = Forwarder(scene.sides[receiver].address)
        await scene.forwarder.listen(scene.tasks)
        scene.send(sender, receiver, scene.forwarder.address)
        await until(lambda: scene.sides[receiver].heard)

    context.scene.story.append(step)


@when("the forwarder loses track of the open connections")
def loses_track(context):
    async def step(scene):
        scene.forwarder.lost = True

    context.scene.story.append(step)


@then('"{receiver}" hears "{sender}" again by a new stream')
def hears_again(context, receiver, sender):
    async def step(scene):
        before = len(scene.sides[receiver].heard)
        with anyio.fail_after(LIMIT_S):
            while len(scene.sides[receiver].heard) == before:
                scene.send(sender, receiver, scene.forwarder.address)
                await anyio.sleep(0.05)
        assert scene.forwarder.connections > 1

    context.scene.story.append(step)


@then('"{sender}" never took "{receiver}" for unreachable')
def never_unreachable(context, sender, receiver):
    context.scene.run()
    assert not context.scene.sides[sender].unlinked


@when('"{sender}" sends to "{receiver}", then a newer start of "{same}" does too')
def newer_start(context, sender, receiver, same):
    async def step(scene):
        address = scene.sides[receiver].address
        scene.send(sender, receiver, address)
        await until(lambda: len(scene.sides[receiver].heard) == 1)
        scene.sides["newer"] = Side(same, incarnation=2)
        scene.send("newer", receiver, address)
        await until(lambda: len(scene.sides[receiver].heard) == 2)

    context.scene.story.append(step)


@when('the older start of "{host}" sends again')
def older_sends(context, host):
    async def step(scene):
        address = scene.sides["host-1"].address
        for _ in range(10):
            scene.send(host, "host-1", address)
            await anyio.sleep(0.1)

    context.scene.story.append(step)


@then('"{receiver}" hears no more from the older start')
def older_not_heard(context, receiver):
    context.scene.run()
    assert len(context.scene.sides[receiver].heard) == 2


@when('a host that knows the secret sends {kind} to "{receiver}"')
def sends_bad(context, kind, receiver):
    async def step(scene):
        ip, _, port = scene.sides[receiver].address.rpartition(":")
        stream = await anyio.connect_tcp(ip, int(port))
        await Handshake("host-9", 1, SECRET).greet(stream, receiver)
        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(BAD_BYTES[kind])
        scene.bad = stream

    context.scene.story.append(step)


@when('a host that knows the secret sends {kind} to "{receiver}", and then a message')
def sends_more(context, kind, receiver):
    sends_bad(context, kind, receiver)

    async def step(scene):
        await scene.bad.send(msgpack.packb(["ProbeAsk"]))

    context.scene.story.append(step)


@then('"{receiver}" hears that message on the same stream')
def hears_after(context, receiver):
    async def step(scene):
        heard = scene.sides[receiver].heard
        await until(lambda: "host-9" in {event.host for event in heard})
        await scene.bad.aclose()

    context.scene.story.append(step)


@then('"{receiver}" closes that stream')
def closes_bad(context, receiver):
    async def step(scene):
        with anyio.fail_after(LIMIT_S):
            try:
                while True:
                    await scene.bad.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                await scene.bad.aclose()

    context.scene.story.append(step)


@then('"{receiver}" still hears "{sender}"')
def still_hears(context, receiver, sender):
    async def step(scene):
        scene.send(sender, receiver, scene.sides[receiver].address)
        await until(lambda: scene.sides[receiver].heard)

    context.scene.story.append(step)
    context.scene.run()


@when('"{sender}" sends to "{receiver}" once')
def sends_once(context, sender, receiver):
    async def step(scene):
        scene.expected = len(scene.sides[receiver].heard) + 1
        scene.send(sender, receiver, scene.sides[receiver].address)

    context.scene.story.append(step)


@then('"{receiver}" hears it')
def hears_it(context, receiver):
    async def step(scene):
        await until(lambda: len(scene.sides[receiver].heard) == scene.expected)

    context.scene.story.append(step)


@then("the stream is closed again")
def closed_again(context):
    async def step(scene):
        await until(lambda: not scene.sides["host-0"].peers.open_streams)

    context.scene.story.append(step)
