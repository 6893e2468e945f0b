from behave import given, then, when

from knapweedbridge_core import messages
from knapweedbridge_core.times import REFRESH_S
from knapweedbridge_standins.history import World
from knapweedbridge_standins.history.scripts import owner_of

ENDPOINT = "draft-0"
SETTLED_S = 60.0
MARGIN_S = 1.0
SLOW_LOAD_S = 30.0


def settled(endpoints):
    world = World(7, engines=1, checks_fencing=endpoints == "checking")
    for model in world.models[:2]:
        world.at(SETTLED_S - 30.0, lambda model=model: world.ask("host-0", model))
    world.run(SETTLED_S)
    return world


def seen(world, host):
    view = world.nodes[host].bridge._context.view.endpoints[ENDPOINT]
    return view.loaded


@given("daemons that know what {endpoints} endpoints hold")
def known(context, endpoints):
    context.world = world = settled(endpoints)
    context.owner = owner_of(world)
    context.peer = next(host for host in world.live() if host != context.owner)
    assert len(seen(world, context.peer)) == 2


@when("an adapter's {change} is told and one peer does not hear it")
def lost(context, change):
    world, engine = context.world, context.world.engines[ENDPOINT]
    context.lost = []

    def loses(host, action):
        told = isinstance(action.message, messages.SlotsChanged)
        if not told or action.host != context.peer or context.lost:
            return False
        context.lost.append(action.message)
        return True

    world.loses = loses
    if change == "load":
        engine.loaded.add(world.models[2])
    else:
        engine.load_s = SLOW_LOAD_S
        engine.loaded.remove(world.models[0])
    while not context.lost and world.now_s < SETTLED_S + 60.0:
        world.run(world.now_s + 0.1)


@then("that peer sees the endpoint otherwise than its owner")
def differs(context):
    assert context.lost
    assert seen(context.world, context.peer) != seen(context.world, context.owner)


@then("it sees it as its owner does after one refresh")
def repaired(context):
    world = context.world
    world.run(world.now_s + REFRESH_S + MARGIN_S)
    found = seen(world, context.peer), seen(world, context.owner)
    assert found[0] == found[1], found


@when("nothing happens on the endpoints for a minute")
def quiet(context):
    context.world = world = settled("ignoring")
    context.sent = []
    world.loses = lambda host, action: context.sent.append(action.message)
    world.run(SETTLED_S + 60.0)


@then("no peer asks an owner and no owner tells adapters")
def nothing(context):
    kinds = {type(message).__name__ for message in context.sent}
    assert "SlotsKept" in kinds, kinds
    assert not kinds & {"SlotsAsk", "SlotsChanged"}, kinds
