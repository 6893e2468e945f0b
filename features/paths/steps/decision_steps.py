from behave import given, then, when

from knapweedbridge_core.serving import DaemonRecord, EndpointPaths, Forwarders

ENDPOINTS = "abcde"


class Host:
    """The paths and the forwarders of one host."""

    def __init__(self):
        self.now_s = 0.0
        self.paths = EndpointPaths()
        self.forwarders = Forwarders("h0")

    def take(self, event):
        self.now_s += 0.05
        who, _, what = event.partition(" ")
        done = {
            "is cut": lambda: self.paths.record_cut(who, self.now_s),
            "fails": lambda: self.paths.record_retry_failure(who, self.now_s),
            "stands": lambda: self.paths.record_direct(who, self.now_s),
            "fail": lambda: self.paths.record_other_failures(2),
            "is left": lambda: self.paths.record_other_failures(0),
            "go": lambda: self.paths.keep_only(set()),
            "refuses": lambda: self.forwarders.record_refused(who, self.now_s),
        }
        if what.startswith("carries"):
            self.forwarders.record_opened(who, int(what.split()[1]))
        else:
            done[what]()


@given("a host that knows the endpoints a, b, c, d and e")
def knows_endpoints(context):
    context.host = Host()


@given("a host that knows the daemons h1 to h9, of which h9 has no links and h8 drains")
def knows_daemons(context):
    context.host = Host()
    daemons = [DaemonRecord(f"h{n}", 1, "a", "d", n == 8) for n in range(10)]
    context.host.forwarders.set_daemons(daemons, {"h9"})


@when("these come: {events}")
def take_events(context, events):
    for event in events.split(", "):
        context.host.take(event)


def names(text):
    return set() if text == "none" else set(text.split(","))


@then("{cut} are cut, {confirmed} surely, and its links are {links}")
def are_cut(context, cut, confirmed, links):
    paths = context.host.paths
    assert {each for each in ENDPOINTS if paths.is_cut(each)} == names(cut)
    surely = {each for each in names(cut) if paths.is_confirmed(each)}
    assert surely == names(confirmed), surely
    assert paths.has_lost_links == (links == "lost")


@then("the next to try is {name}")
def next_to_try(context, name):
    found = context.host.paths.next_to_try()
    assert (found or "none") == name, found


@then("{first} come first, and {left} are not asked")
def come_first(context, first, left):
    order = context.host.forwarders.in_order(context.host.now_s)
    assert not names(left) & set(order), order
    assert len(order) == 9 - len(names(left)), order
    if first == "untried":
        assert order[0] not in {"h1", "h2", "h3"}, order
        assert order[1] == "h1" or len(order) < 7 or order[1] == "h3", order
    else:
        assert order[: len(names(first))] == first.split(","), order


@then("{first}, {second} and {third} are asked")
def are_asked(context, first, second, third):
    order = context.host.forwarders.in_order(context.host.now_s)
    assert order == [first, second, third], order
