from behave import given, then, when
from decision_values import NOW_S, make_route, record

from knapweedbridge_core.serving import (
    ClusterState,
    DaemonRecord,
    Deployment,
    LeaseClock,
    ModelRef,
    OwnerRecord,
    StoreOutage,
    claim_due_s,
    claimants,
    is_small,
    may_claim,
    ranked,
    relays,
    subscribers,
)
from knapweedbridge_core.serving.cluster_state import (
    DaemonNamed,
    DeploymentNamed,
    EndpointNamed,
    OwnerGone,
    OwnerNamed,
    VersionNamed,
)


@given("daemons near1 and near2 in the engine's data centre, and far1 elsewhere")
def three_daemons(context):
    context.daemons = [
        DaemonRecord("far1", 1, "a", "d2"),
        DaemonRecord("near1", 1, "a", "d1"),
        DaemonRecord("near2", 1, "a", "d1"),
        DaemonRecord("near3", 1, "a", "d1", draining=True),
    ]


@when("{passed:g} s have passed since its record lapsed")
def have_passed(context, passed):
    context.order = claimants("e1", "d1", context.daemons)
    dues = {
        daemon.name: claim_due_s(daemon.name, context.order, NOW_S)
        for daemon in context.daemons
    }
    context.able = [
        name for name, due in dues.items() if due is not None and due <= NOW_S + passed
    ]
    claiming = [
        daemon.name
        for daemon in context.daemons
        if may_claim(daemon, "e1", "d1", context.daemons, passed)
    ]
    assert sorted(claiming) == sorted(context.able), claiming


@then("{count:d} daemons may claim it, the nearest first")
def claim_in_order(context, count):
    assert sorted(context.able) == sorted(context.order[:count]), context.able
    assert context.order[-1] == "far1", context.order


@given("host h1 at start 5 owned engine e1")
def owned_before(context):
    cluster = context.cluster = ClusterState()
    cluster.take(DaemonNamed(DaemonRecord("h1", 5, "a", "d1")), NOW_S)
    cluster.take(OwnerNamed("e1", OwnerRecord("h1", 5, 40)), NOW_S)


CHANGES = {
    "nothing changes": [],
    "the record goes": [OwnerGone("e1")],
    "the record is handed over": [OwnerNamed("e1", OwnerRecord("", 5, 50))],
    "h1 is listed at start 6": [DaemonNamed(DaemonRecord("h1", 6, "a", "d1"))],
    "h1 claims": [OwnerNamed("e1", OwnerRecord("h1", 5, 50))],
    "h1 hands over": [OwnerNamed("e1", OwnerRecord("", 5, 60))],
    "h2 claims": [OwnerNamed("e1", OwnerRecord("h2", 1, 50))],
    "h3 claims": [OwnerNamed("e1", OwnerRecord("h3", 1, 60))],
    "h2 is listed at start 2": [DaemonNamed(DaemonRecord("h2", 2, "a", "d1"))],
    "h2 hands over": [OwnerNamed("e1", OwnerRecord("", 1, 60))],
    "11 s pass": [],
}
LEASE_S = 10.0


@when("of the owner, {changes}")
def beliefs_change(context, changes):
    context.now_s = NOW_S
    for change in changes.split(" and "):
        context.now_s += 11 if change == "11 s pass" else 0
        for store_event in CHANGES[change]:
            context.cluster.take(store_event, context.now_s)


@then("e1 is ownerless: {free}, and may still be ordered by h1: {may}")
def is_ownerless(context, free, may):
    assert context.cluster.is_ownerless("e1") == (free == "yes")
    lost = context.cluster.silent_predecessors("e1", context.now_s, LEASE_S)
    assert ("h1" in {each.record.owner for each in lost}) == (may == "yes"), lost


@when("a lease of {ttl:g} s was renewed {ago:g} s ago")
def record_renewal(context, ttl, ago):
    clock = LeaseClock()
    clock.record_renewal(NOW_S - ago, ttl)
    context.may = clock.may_order(NOW_S)


@then("the owner may order: {may}")
def owner_may(context, may):
    assert context.may == (may == "yes")


BELIEFS = {
    "a configuration": lambda n: DeploymentNamed(Deployment(n, (), {})),
    "an adapter's version": lambda n: VersionNamed(ModelRef("m", "x"), n),
    "an owner's record": lambda n: OwnerNamed("e", OwnerRecord(f"d{n}", 1, n)),
}


@when("{what} at 5 is followed by 4")
def followed(context, what):
    cluster = context.cluster = ClusterState()
    for number in (5, 4):
        cluster.take(BELIEFS[what](number), NOW_S)


@then("5 is believed")
def five_believed(context):
    cluster = context.cluster
    found = [
        cluster.deployment and cluster.deployment.version,
        cluster.newest_version(ModelRef("m", "x")),
        "e" in cluster.owners and cluster.owners["e"].number,
    ]
    assert [value for value in found if value] == [5], found


@given("a listed endpoint")
def listed(context):
    context.cluster = ClusterState()
    context.cluster.take(EndpointNamed(record("e1")), NOW_S)


@when("its entry goes {when}")
def entry_goes(context, when):
    outage = StoreOutage(3.0)
    if when != "while the store is well":
        outage.failed(NOW_S - float(when.split()[0]))
    context.cluster.fleet.unlisted("e1", NOW_S, outage.lapsed_until_s)


@then("it is used for {seconds:g} s")
def used_for(context, seconds):
    fleet = context.cluster.fleet
    last_s = NOW_S + seconds
    assert bool(fleet.of_service("llm", last_s - 0.01)) == (seconds > 0)
    assert not fleet.of_service("llm", last_s)
    assert fleet.forget_unlisted(last_s) == (["e1"] if seconds else [])


@given('routes "one.example" "/a/" and "/a/b/", and "two.example" "/"')
def three_routes(context):
    routes = (
        make_route(name="a", host="one.example", path_prefix="/a/"),
        make_route(name="ab", host="one.example", path_prefix="/a/b/"),
        make_route(name="all", host="two.example", path_prefix="/"),
    )
    context.deployment = Deployment(1, routes, {})


@then('"{host}" "{path}" takes route "{name}"')
def takes_route(context, host, path, name):
    route = context.deployment.match(host, path)
    assert (route.name if route else "none") == name, route


@given("{count:d} daemons in 3 data centres")
def many_daemons(context, count):
    context.daemons = [DaemonRecord(f"h{n}", 1, "a", f"d{n % 3}") for n in range(count)]


@then("{count:d} of a data centre's watch the store")
def watching(context, count):
    own = [each.name for each in context.daemons if each.data_centre == "d1"]
    names = own if is_small(context.daemons) else relays(ranked(context.daemons))["d1"]
    assert len([name for name in names if name in own]) == count, names


@then("{count:d} are handed what those hear, each by one of them")
def hearing(context, count):
    names = [] if is_small(context.daemons) else relays(ranked(context.daemons))["d1"]
    told = [
        daemon
        for relay in names
        for daemon in subscribers(context.daemons, "d1", relay, names)
    ]
    assert len(told) == len(set(told)) == count, told
    assert not set(told) & set(names), told
