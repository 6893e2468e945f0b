from behave import then, when
from hypothesis import given as over
from hypothesis import settings
from hypothesis import strategies as st

from knapweedbridge_core.differences import ChangeKind, compare
from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.teams import sections_of
from knapweedbridge_daemon.access import Caller
from knapweedbridge_daemon.proposals import propose

TEAMS = ("optics", "dues")
NAMES = ("refill", "tariffs")
ROLES = ("caller", "operator", "administrator")
HASHES = tuple(digit * 64 for digit in "abcd")

team_names = st.sampled_from(TEAMS)


def _adapters():
    items = st.fixed_dictionaries({"team": team_names, "base_model": st.just("base")})
    return st.dictionaries(st.sampled_from(NAMES).map("adapter {}".format), items)


def _keys():
    items = st.fixed_dictionaries(
        {
            "team": team_names,
            "role": st.sampled_from(ROLES),
            "hash": st.sampled_from(HASHES),
        }
    )
    return st.dictionaries(st.sampled_from(NAMES).map("key {}".format), items)


def _applications():
    models = st.sampled_from(NAMES).map("{}@1".format)
    items = st.fixed_dictionaries({"team": team_names, "model": models})
    return st.dictionaries(st.sampled_from(NAMES).map("application {}".format), items)


def _versions():
    names = st.sampled_from(NAMES).map("version {}@1".format)
    return st.dictionaries(names, st.just({}))


def _teams():
    items = st.dictionaries(st.just("share"), st.sampled_from(("1", "2")))
    return st.fixed_dictionaries({f"team {name}": items for name in TEAMS})


def _joined(parts):
    return {title: items for part in parts for title, items in part.items()}


own_parts = (_adapters(), _keys(), _applications(), _versions())
configurations = st.tuples(_teams(), *own_parts).map(_joined)
folders = st.tuples(*own_parts, st.just({}) | _teams()).map(_joined)


def _ini(sections):
    lines = []
    for title, items in sections.items():
        lines += [f"[{title}]", *(f"{key} = {value}" for key, value in items.items())]
    return "\n".join(lines)


def _accepted(caller, base, files):
    try:
        return propose(caller, base, files)
    except CheckError:
        return None


@when("operators of 2 teams apply random folders to a random configuration")
def random_folders(context):
    context.counts = {"accepted": 0, "changed": 0}

    @settings(max_examples=500, derandomize=True, deadline=None, database=None)
    @over(configurations, folders, team_names)
    def check(base, folder, team):
        operator = Caller("operator", team, administrator=False)
        wanted = _accepted(operator, base, {"folder.ini": _ini(folder)})
        if wanted is None:
            return
        context.counts["accepted"] += 1
        context.counts["changed"] += wanted != base
        own = sections_of(team, base).keys() | sections_of(team, wanted).keys()
        before = {title: base[title] for title in base.keys() - own}
        after = {title: wanted[title] for title in wanted.keys() - own}
        assert before == after
        for title in own:
            assert not title.startswith(("team", "endpoint", "weight_store"))
            for sections in (base, wanted):
                assert sections.get(title, {}).get("role") != "administrator"
                assert sections.get(title, {}).get("team", team) == team

    context.check = check


@then("what is accepted differs in the team's own sections only")
def own_only(context):
    context.check()
    assert context.counts["accepted"] > 50, context.counts
    assert context.counts["changed"] > 10, context.counts


@when("random configurations are compared")
def random_configurations(context):
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @over(configurations, configurations)
    def check(before, after):
        made = {title: dict(items) for title, items in before.items()}
        for change in compare(before, after):
            _take(made, change)
        assert made == after

    context.check = check


def _take(made, change):
    removed = change.kind is ChangeKind.REMOVED
    if not change.key:
        made.pop(change.section) if removed else made.setdefault(change.section, {})
    elif removed:
        made.get(change.section, {}).pop(change.key, None)
    else:
        made[change.section][change.key] = change.after


@then("the changes turn the one into the other")
def leads(context):
    context.check()
