import json
import time
from types import SimpleNamespace

import anyio
from behave import then, when
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from knapweedbridge_core.codec import encode
from knapweedbridge_core.serving import RetryBudget
from knapweedbridge_daemon.serving.dialects import DaemonKeys
from knapweedbridge_daemon.serving.hub import Hub, Identity
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.store_follower import StoreFollower
from knapweedbridge_daemon.store import StoreItem
from knapweedbridge_platform.items import PlatformItems
from knapweedbridge_standins.virtual_loop import run_virtually

VALID = {
    "version": "1",
    "seq": 3,
    "cold_left_ms": 0,
    "address": "10.0.0.1:8000",
    "slots": 6,
    "service": "files",
    "zone": "d0",
    "state": "ready",
    "models": [{"name": "m", "adapters": ["a@3"]}],
    "born": int(time.time() * 1000) - 60_000,
}
VICTIM, OTHER = "servers/victim", "servers/other"
SAFE = set(map(chr, range(0x21, 0x7F)))
MAX_NUMBER = 1 << 63

SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(1 << 64), 1 << 65),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=8),
    st.sampled_from(["ready", "10.0.0.1:80", "[fe80::1%a\n]:8", "1.2.3.4:0", "m@x"]),
)
ANY_JSON = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.one_of(st.sampled_from(["name", "adapters"]), st.text(max_size=3)),
            inner,
            max_size=3,
        ),
    ),
    max_leaves=6,
)
MODELS = st.lists(
    st.fixed_dictionaries(
        {"name": st.one_of(st.just("m"), SCALARS)},
        optional={
            "adapters": st.one_of(
                SCALARS,
                st.lists(st.from_regex(r"[ab]?@?[-+_ 0-9]{0,24}", fullmatch=True)),
            )
        },
    ),
    max_size=2,
)


@st.composite
def with_wrong_field(draw):
    entry = dict(VALID)
    for field in draw(st.sets(st.sampled_from(sorted(VALID)), min_size=1, max_size=2)):
        if draw(st.integers(0, 5)) == 0:
            del entry[field]
        elif field == "models":
            entry[field] = draw(st.one_of(MODELS, ANY_JSON))
        else:
            entry[field] = draw(ANY_JSON)
    return VICTIM, json.dumps(entry).encode()


VERSIONS = st.fixed_dictionaries(
    {"model": st.one_of(st.just("m"), ANY_JSON), "version": ANY_JSON},
    optional={"adapter": ANY_JSON},
).map(lambda found: json.dumps(found).encode())

KINDS = {
    "versions with a wrong field": st.tuples(
        st.just("op/version/m"),
        st.one_of(VERSIONS, st.just(b'{"model": "m", "version": 1e999}')),
    ),
    "any bytes": st.tuples(st.just(VICTIM), st.binary(max_size=40)),
    "any JSON": st.tuples(
        st.just(VICTIM), ANY_JSON.map(lambda found: json.dumps(found).encode())
    ),
    "valid ones with a wrong field": with_wrong_field(),
    "under any name": st.tuples(
        st.text(max_size=6).map(lambda name: "servers/" + name),
        st.just(json.dumps(VALID).encode()),
    ),
}


class RecordingLog:
    """Records the types of log lines."""

    def __init__(self):
        self.kinds = []

    def info(self, kind, **fields):
        self.kinds.append(kind)

    error = info


def make_follower():
    dialects = SimpleNamespace(store_items=PlatformItems(), daemon_keys=DaemonKeys())
    hub = Hub(
        Identity("h1", 1, "d0", "a:1"),
        dialects,
        RetryBudget(0.2, 50, 10),
        RecordingLog(),
        MetricsRegistry(),
        steady_s=anyio.current_time,
    )
    return hub, StoreFollower(hub, None, None, lambda *changes: None)


def in_use(hub):
    fleet, now_s = hub.cluster.fleet, anyio.current_time()
    return {each.name: each for each in fleet.engines() if each.accepts_work(now_s)}


def valid_entry(**fields):
    return json.dumps({**VALID, **fields}).encode()


async def read_entries(context, key, value):
    hub, follower = make_follower()
    follower._take(
        [StoreItem(VICTIM, valid_entry(), 1), StoreItem(OTHER, valid_entry(), 2)], 0.0
    )
    follower._take([StoreItem(key, value, 3)], 0.0)
    context.hub, found = hub, in_use(hub)
    if "other" not in found and key != OTHER:
        context.hidden.append(value)
    for endpoint in found.values():
        if not is_sendable(hub, endpoint):
            context.unsendable.append((key, value))
    again = valid_entry(born=VALID["born"] + 1)
    follower._take(
        [StoreItem(VICTIM, again, 4), StoreItem(OTHER, valid_entry(), 5)], 0.0
    )
    victim = in_use(hub).get("victim")
    if victim is None or victim.record.address != VALID["address"]:
        context.lost.append(value)


def is_sendable(hub, endpoint):
    record = endpoint.record
    # These two are sent in headers, the others in log lines and messages.
    sent = all(text and set(text) <= SAFE for text in (record.endpoint, record.address))
    if not sent or not (record.service + record.data_centre).isprintable():
        return False
    numbers = [record.slots, record.started_ms, *record.adapters.values()]
    if not all(0 <= each < MAX_NUMBER for each in numbers):
        return False
    return bool(encode(hub.cluster.fleet.build_snapshot(endpoint, 0.0)))


@when("{count:d} entries are read that are {kind}")
def entries_taken(context, count, kind):
    context.hidden, context.unsendable, context.lost = [], [], []

    @seed(1)
    @settings(
        max_examples=count,
        database=None,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(KINDS[kind])
    def take(entry):
        run_virtually(read_entries(context, *entry))

    take()


@then("no entry stopped the follower or took another endpoint out of use")
def none_hidden(context):
    assert not context.hidden, context.hidden[:5]


@then("each endpoint in use has fields that are valid in requests and messages")
def all_carried(context):
    assert not context.unsendable, (len(context.unsendable), context.unsendable[:5])


@then("each endpoint is in use again after its server's next entry")
def none_lost(context):
    assert not context.lost, (len(context.lost), context.lost[:5])


@when("an entry is read with {field} {value}")
def entry_with(context, field, value):
    entry = dict(VALID)
    if value == "missing":
        del entry[field]
    else:
        entry[field] = json.loads(value)

    async def taken():
        context.hub, follower = make_follower()
        follower._take([StoreItem(VICTIM, valid_entry(), 1)], 0.0)
        for revision in (2, 3):
            value = json.dumps(entry).encode()
            follower._take([StoreItem(VICTIM, value, revision)], 0.0)
        context.names = set(in_use(context.hub))

    run_virtually(taken())


@then("its endpoint gets no requests, and one log line reports it")
def gets_none(context):
    assert not context.names, context.names
    count = context.hub.log.kinds.count("store.unreadable")
    assert count == 1, context.hub.log.kinds
