from behave import given, then, when

from knapweedbridge_core.serving import DaemonRecord, EndpointPaths, Forwarders

ENDPOINTS = "abcde"


class Host:
    """Paths and forwarders of one host."""

    def __init__(self):
        self.now_s = 0.0
        self.paths = EndpointPaths()
        self.forwarders = Forwarders("h0")

    def apply(self, event):
        self.now_s += 0.05
        name, _, what = event.partition(" ")
        actions = {
            "is cut": lambda: self.paths.record_cut(name, self.now_s),
            "fails": lambda: self.paths.record_retry_failure(name, self.now_s),
            "stands": lambda: self.paths.record_direct(name, self.now_s),
            "fail": lambda: self.paths.record_other_failures(2),
            "is left": lambda: self.paths.record_other_failures(0),
            "go": lambda: self.paths.keep_only(set()),
            "refuses": lambda: self.forwarders.record_refused(name, self.now_s),
        }
        if what.startswith("carries"):
            self.forwarders.record_opened(name, int(what.split()[1]))
        else:
            actions[what]()


@given("a host that knows the endpoints a, b, c, d and e")
def knows_endpoints(context):
    context.host = Host()


@given("a host that knows the daemons h1 to h9, of which h9 has no links and h8 drains")
def knows_daemons(context):
    context.host = Host()
    daemons = [DaemonRecord(f"h{n}", 1, "a", "d", n == 8) for n in range(10)]
    context.host.forwarders.set_daemons(daemons, {"h9"})


@when("these events occur: {events}")
def apply_events(context, events):
    for event in events.split(", "):
        context.host.apply(event)


def parse_names(text):
    return set() if text == "none" else set(text.split(","))


@then("the paths to {cut} are cut, to {confirmed} confirmed, and its links are {links}")
def are_cut(context, cut, confirmed, links):
    paths = context.host.paths
    assert {each for each in ENDPOINTS if paths.is_cut(each)} == parse_names(cut)
    found = {each for each in parse_names(cut) if paths.is_confirmed(each)}
    assert found == parse_names(confirmed), found
    assert paths.has_lost_links == (links == "lost")


@then("the next path to try is {name}")
def next_to_try(context, name):
    found = context.host.paths.next_to_try()
    assert (found or "none") == name, found


@then("{first} come first, and {left} are no candidates")
def come_first(context, first, left):
    order = context.host.forwarders.in_order(context.host.now_s)
    assert not parse_names(left) & set(order), order
    assert len(order) == 9 - len(parse_names(left)), order
    if first == "untried":
        assert order[0] not in {"h1", "h2", "h3"}, order
        assert order[1] == "h1" or len(order) < 7 or order[1] == "h3", order
    else:
        assert order[: len(parse_names(first))] == first.split(","), order


@then("{first}, {second} and {third} are the candidates")
def are_candidates(context, first, second, third):
    order = context.host.forwarders.in_order(context.host.now_s)
    assert order == [first, second, third], order
