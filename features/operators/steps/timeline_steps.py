import json
import re
import xml.etree.ElementTree as ElementTree
from pathlib import Path

import msgpack
from behave import then, when
from hypothesis import given as over
from hypothesis import settings
from hypothesis import strategies as st

from knapweedbridge_core.timeline import EventFilter, HybridClock, Timeline
from knapweedbridge_daemon.stamps import PeerClock

SVG = "{http://www.w3.org/2000/svg}"
HOSTS = 4
SKEW_US = 5_000_000


@when('a caller asks for "{model}" through a host that does not own its engine')
def ask_elsewhere(context, model):
    hosts = range(context.platform.example.daemons)
    status = [
        context.platform.administration("GET", "/v1/status", host=host).json()
        for host in hosts
    ]
    free = next(host for host in hosts if not status[host]["owned"])
    context.execute_steps(f'When a caller asks for "{model}" through host {free}')


@then("it ends with {code:d} and prints these events in order")
def events_in_order(context, code):
    assert context.code == code, (context.code, context.err)
    found = re.findall(r"ms\s+host-\d\s+(\S+)", context.out)
    # A load may be placed again where the first owner refused it.
    distinct = list(dict.fromkeys(found))
    assert distinct == [row["event"] for row in context.table], context.out


@then("the grant was asked by one host and given by another")
def two_hosts(context):
    asked = re.search(r"(host-\d)\s+grant.asked.* to=(host-\d)", context.out)
    given = re.search(r"(host-\d)\s+grant.given.* to=(host-\d)", context.out)
    assert asked.groups() == given.groups()[::-1], context.out
    assert asked[1] != asked[2], context.out


@then("the events in JSON are sorted by their stamps")
def sorted_by_stamps(context):
    found = json.loads(context.out)["events"]
    stamps = [(event["wall_us"], event["count"], event["host"]) for event in found]
    assert stamps == sorted(stamps) and len(stamps) >= 11, stamps
    context.events = found


@then(
    "the picture has a lane for each host and the engine, and an arrow for each message"
)
def picture(context):
    assert context.code == 0, context.err
    root = ElementTree.parse(Path(context.scratch) / "a.svg").getroot()
    texts = [text.text for text in root.iter(f"{SVG}text")]
    lanes = [text for text in texts if re.fullmatch(r"(host|draft)-\d", text)]
    assert len(set(lanes)) == len(lanes) >= 3, lanes
    arrows = [line for line in root.iter(f"{SVG}line") if line.get("marker-end")]
    assert len(arrows) == sum(map(_crosses, context.events)), len(arrows)
    page = (Path(context.scratch) / "a.html").read_text()
    assert "<svg" in page and context.request_id in page


@then("every event of the JSON has {field} {value}")
def every_event(context, field, value):
    assert context.code == 0, context.err
    found = json.loads(context.out)["events"]
    assert found
    for event in found:
        assert event["fields"].get(field) == value, event


def _crosses(event):
    """Tell whether an event is of a message between two lanes."""
    fields = event["fields"]
    if "to" in fields:
        return fields["to"] != event["host"]
    return event["kind"].startswith(("attempt.", "load.", "evict."))


class Host:
    """One host's time line and clock, without a daemon."""

    def __init__(self, name, skew_us):
        self.timeline = Timeline(name, 1000)
        self.now_us = 0
        self.clock = PeerClock(self.timeline.clock, lambda: self.now_us + skew_us)
        self.skew_us = skew_us

    def record(self, kind, number):
        self.timeline.add(kind, {"number": number}, self.now_us + self.skew_us)

    def last(self):
        return self.timeline.select(EventFilter(since_us=-SKEW_US))[-1]


def _cross(skews, steps):
    hosts = [Host(f"host-{place}", skew) for place, skew in enumerate(skews)]
    for number, (sender, receiver, pause_us) in enumerate(steps):
        for host in hosts:
            host.now_us += pause_us
        hosts[sender].record("sent", number)
        packed = hosts[sender].clock.pack()
        sent = hosts[sender].last()
        assert hosts[receiver].clock.take(msgpack.unpackb(packed))
        hosts[receiver].record("heard", number)
        heard = hosts[receiver].last()
        assert sent.stamp < heard.stamp, (sent, heard)


@when("messages cross between 4 hosts whose wall clocks differ by up to 5 seconds")
def messages_cross(context):
    place = st.integers(0, HOSTS - 1)
    step = st.tuples(place, place, st.integers(0, 100_000))
    skews = st.lists(st.integers(0, SKEW_US), min_size=HOSTS, max_size=HOSTS)

    @settings(max_examples=100, derandomize=True, deadline=None, database=None)
    @over(skews, st.lists(step, max_size=30))
    def check(skews, steps):
        _cross(skews, steps)

    context.check = check


@then("in every history each message is stamped after its sending")
def stamped_after(context):
    context.check()


@when("a stamp from 11 minutes ahead is heard")
def far_ahead(context):
    context.host = Host("host-0", 0)
    context.host.now_us = 1_000_000
    assert context.host.clock.take([1_000_000 + 11 * 60_000_000, 0])


@then("the next event is stamped by the host's own wall clock")
def own_clock(context):
    context.host.record("event", 1)
    assert context.host.last().stamp.wall_us == 1_000_000


@when("the peer value {value} is heard")
def value_heard(context, value):
    context.taken = PeerClock(HybridClock()).take(json.loads(value))


@then("it is {taken} as a stamp")
def is_taken(context, taken):
    assert context.taken == (taken == "taken")
