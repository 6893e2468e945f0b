from behave import given, then, when

from knapweedbridge_core.events import ListedHost
from knapweedbridge_core.members import Members
from knapweedbridge_standins.pool import Pool


def converged_pool(daemons, seed=1):
    pool = Pool(daemons, seed)
    assert pool.run_until(pool.agree, 30) is not None
    pool.run(3)
    return pool


def members_of(pool, host):
    return pool.nodes[host].bridge.members


@given("a pool of {daemons:d} daemons that agree")
def agreeing(context, daemons):
    context.pool = converged_pool(daemons)
    context.lost = set()


@when('no message passes from "{host}" to its neighbour in that direction')
def cut_that_way(context, host):
    neighbour = members_of(context.pool, host).neighbours()[0]
    context.pool.cut(host, neighbour)


@when('no message passes from "{host}" to its neighbour in the opposite direction')
def cut_other_way(context, host):
    neighbour = members_of(context.pool, host).neighbours()[0]
    context.pool.cut(neighbour, host)


@when('no message passes from "{host}" to its neighbour in both directions')
def cut_either_way(context, host):
    cut_that_way(context, host)
    cut_other_way(context, host)


@when("{seconds:g} s pass")
def time_passes(context, seconds):
    context.pool.run(seconds)


@then("every daemon considers every other alive")
def all_alive(context):
    assert context.pool.agree()


@then("a bad link was recorded")
def bad_link(context):
    nodes = context.pool.nodes.values()
    assert any(node.recorded("peer.link_bad") for node in nodes)
    assert not any(node.recorded("member.dead") for node in nodes)


@when('"{host}" is killed')
def killed(context, host):
    context.pool.kill(host)


@when('"{host}" loses power')
def power_lost(context, host):
    context.pool.kill(host, refuses=False)


@then('within {limit:g} s every daemon considers only "{host}" dead')
def dead_within(context, limit, host):
    took = context.pool.run_until(lambda: context.pool.agree({host}), limit)
    assert took is not None


@when('"{host}" is restarted')
def started(context, host):
    context.pool.start(host)


@then("within {limit:g} s every daemon considers every other alive")
def alive_within(context, limit):
    assert context.pool.run_until(context.pool.agree, limit) is not None


@when("{lost:d} hosts lose power at the same time")
def rack_fails(context, lost):
    context.lost = {f"host-{place}" for place in range(lost)}
    for host in context.lost:
        context.pool.kill(host, refuses=False)


@then("within {limit:g} s every daemon considers only the lost hosts dead")
def rack_dead(context, limit):
    pool = context.pool
    assert pool.run_until(lambda: pool.agree(context.lost), limit) is not None
    pool.run(10)
    dead = {
        record.fields["member"]
        for node in pool.nodes.values()
        for record in node.recorded("member.dead")
    }
    assert dead == context.lost, dead


@when('"{host}" is paused for {seconds:g} s')
def paused(context, host, seconds):
    context.pool.pause(host, seconds)


@then('every daemon but "{host}" considers it dead')
def seen_dead(context, host):
    for other in context.pool.live():
        if other != host:
            peers = {p.name for p in members_of(context.pool, other).peers()}
            assert host not in peers, other


@then('"{host}" recorded the pause and did not list itself while its state was stale')
def noticed_pause(context, host):
    node = context.pool.nodes[host]
    assert node.recorded("daemon.paused")
    assert node.bridge.members.is_stale is (host not in node.bridge.members.available())


@then('no daemon but "{host}" was ever recorded as dead')
def no_other_dead(context, host):
    for node in context.pool.nodes.values():
        dead = {record.fields["member"] for record in node.recorded("member.dead")}
        assert dead <= {host}, dead


@when("each daemon is killed and restarted, {seconds:g} s apart")
def rolling_restart(context, seconds):
    for host in list(context.pool.nodes):
        context.pool.kill(host)
        context.pool.run(seconds)
        context.pool.start(host)
        context.pool.run(seconds)


@then("every daemon knows the latest incarnation of every other")
def newest_starts(context):
    for host in context.pool.live():
        for peer in members_of(context.pool, host).peers():
            number = context.pool.nodes[peer.name].bridge.incarnation
            assert peer.incarnation == number, (host, peer)


@when("{side:d} daemons are cut off from the others for {seconds:g} s")
def partitioned(context, side, seconds):
    context.pool.partition({f"host-{place}" for place in range(side)})
    context.pool.run(seconds)
    assert not context.pool.agree()
    context.pool.heal()


@when('"{host}" is cut off from all others')
def isolated(context, host):
    context.pool.partition({host})


@then('"{host}" knows that it is isolated and does not list itself as available')
def knows_isolated(context, host):
    node = context.pool.nodes[host]
    assert node.recorded("daemon.isolated")
    assert host not in node.bridge.members.available()


@then('"{host}" recorded no daemon as dead')
def recorded_none_dead(context, host):
    assert not context.pool.nodes[host].recorded("member.dead")


@given("pools of 16, 48 and 128 daemons at rest")
def pools_at_rest(context):
    context.pools = []
    for daemons in (16, 48, 128):
        pool = Pool(daemons)
        assert pool.run_until(pool.agree, 60) is not None
        pool.run(20)
        pool.reset_traffic()
        pool.run(4)
        context.pools.append(pool)


@then("every daemon sends less than {limit:d} bytes per second in each pool")
def sends_under(context, limit):
    for pool in context.pools:
        most = max(node.traffic.sent_bytes / 4 for node in pool.nodes.values())
        assert most < limit, most


@then("no daemon has more than {limit:d} neighbours")
def few_neighbours(context, limit):
    for pool in context.pools:
        for node in pool.nodes.values():
            assert 2 <= len(node.bridge.members.neighbours()) <= limit


@given('a member list in "{data_centre}" of a pool "{pool}"')
def member_list(context, data_centre, pool):
    context.members = Members("host-0", data_centre, pool == "deployment")


@when('hosts of "{first}" and "{second}" are listed')
def hosts_listed(context, first, second):
    context.members.listed(
        tuple(
            ListedHost(f"host-{place}", "daemon", data_centre, "127.0.0.1:1", False)
            for place, data_centre in enumerate((first, first, second, second))
        )
    )


@then("it lists {known:d} other members")
def knows(context, known):
    assert len(context.members.known()) == known
