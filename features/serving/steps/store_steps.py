import json
from types import SimpleNamespace

from behave import then, when

from knapweedbridge_core.codec import encode
from knapweedbridge_core.serving import StoreAge
from knapweedbridge_core.serving.messages import StoreUpdate
from knapweedbridge_daemon.serving.store_follower import StoreFollower
from knapweedbridge_daemon.serving.store_update_codec import pack_items, unpack_items
from knapweedbridge_daemon.store import StoreItem

LINK_BYTES_PER_S = 5_000_000 / 8


def entry(number):
    """Return an entry as long as those of the users' engines."""
    adapters = [f"a{number * 37 % 9000 + n * 113}@{n % 3 + 1}" for n in range(8)]
    fields = {
        "service": "service-name",
        "address": f"10.1.64.{number}:8343",
        "zone": "zone-name",
        "version": "v1",
        "slots": 12,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1000 + number,
        "models": [{"name": "model-name-x", "version": 1, "adapters": adapters}],
        "stage": "both",
        "at_hand": {"in_memory": [], "on_disk": []},
    }
    return json.dumps(fields).encode()


@when("the entries of {engines:d} engines are handed on to {n:d} daemons each {s:g} s")
def handed_on(context, engines, n, s):
    # Each engine writes its entry some 0.8 times a second.
    count = round(engines * 0.8 * s)
    context.items = [
        StoreItem(f"engines/i-{each:010x}", entry(each), 900 + each)
        for each in range(count)
    ]
    told = StoreUpdate(1, 2, pack_items(context.items))
    context.bytes_per_s = len(encode(told)) * n / s
    context.told = told


@then("that takes less than a fifth of 5 Mbit/s, and all arrive unchanged")
def fits(context):
    assert context.bytes_per_s < LINK_BYTES_PER_S / 5, context.bytes_per_s
    assert unpack_items(context.told) == context.items


@when("a daemon at revision 5 is told of changes after {since:d} up to {revision:d}")
def told_of(context, since, revision):
    hub = SimpleNamespace(store_age=StoreAge())
    follower = StoreFollower(hub, None, None, lambda *changes: None)
    follower._revision = 5
    follower.heard("relay", StoreUpdate(since, revision, pack_items([])))
    context.follower = follower


@then("it is at revision {revision:d}, and has heard: {heard}")
def at_revision(context, revision, heard):
    assert context.follower._revision == revision, context.follower._revision
    assert context.follower._update_received.is_set() == (heard == "yes")
