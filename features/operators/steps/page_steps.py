import ast
import re
import sys
from pathlib import Path

from behave import then, when

from knapweedbridge_cli.errors import ExitCode
from knapweedbridge_daemon.gauges import GAUGES
from knapweedbridge_daemon.logs import LEVELS, REQUEST_FAMILIES
from knapweedbridge_daemon.observer import ORDER_TIMERS, REQUEST_TIMERS

ROOT = Path(__file__).parents[3]
DOCS = ROOT / "docs"
ANY = "*"


def _text(node):
    """Return a literal text with each computed part as ``*``, or None."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        parts = [
            part.value if isinstance(part, ast.Constant) else ANY
            for part in node.values
        ]
        return "".join(parts)
    return None


def _first_arguments(names):
    found = set()
    for package in ("core", "daemon"):
        for path in (ROOT / "packages" / package / "src").rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and node.args:
                    called = getattr(node.func, "attr", getattr(node.func, "id", ""))
                    found |= _texts(node.args[0]) if called in names else set()
    return found


def _texts(node):
    nodes = [node.body, node.orelse] if isinstance(node, ast.IfExp) else [node]
    texts = {_text(part) for part in nodes}
    return {text for text in texts if text and "." in text and " " not in text}


@when("docs/settings.md is made anew")
def make_settings(context):
    sys.path.insert(0, str(DOCS))
    try:
        from make_settings import PAGE, make_page
    finally:
        sys.path.remove(str(DOCS))
    context.made, context.stands = make_page(), PAGE.read_text()


@then('it is the page that stands there; else run "make docs"')
def page_stands(context):
    assert context.made == context.stands, "docs/settings.md is old: run make docs"


@when("the {kind} of the code are collected")
def collect(context, kind):
    context.names = {
        "counters": lambda: _first_arguments({"count", "Count", "_count"}),
        "timers": lambda: {*REQUEST_TIMERS, *ORDER_TIMERS.values()},
        "gauges": lambda: set(GAUGES),
        "records": lambda: _first_arguments({"record", "Record", "_record"}),
    }[kind]()


@then('the table "{heading}" of docs/metrics.md names the same')
def table_names(context, heading):
    page = (DOCS / "metrics.md").read_text()
    part = page.partition(f"## {heading}\n")[2].partition("\n## ")[0]
    named = set(re.findall(r"^\| `([^`]+)`", part, re.MULTILINE))
    named = {re.sub(r"[A-Z]+", lambda _: ANY, name) for name in named}
    # A name of its own within a family of names is sent through the family.
    sent = context.names | {name for name in named if name in {"request.complete"}}
    missing, surplus = sent - named, named - sent
    assert not missing, f"add to the table in docs/metrics.md: {sorted(missing)}"
    assert not surplus, f"no code sends: {sorted(surplus)}"


@then("each is of a request's family or stands in logs.LEVELS, and the reverse")
def levels(context):
    kinds = {
        name for name in context.names if not name.startswith((*REQUEST_FAMILIES, ANY))
    }
    # Those that the observer and the streams name by a variable.
    kinds |= {"platform.lost", "platform.regained"}
    missing, surplus = kinds - LEVELS.keys(), LEVELS.keys() - kinds
    assert not missing, f"give a level in logs.LEVELS to: {sorted(missing)}"
    assert not surplus, f"no code records: {sorted(surplus)}"


@when("docs/operators.md is read")
def read_operators(context):
    context.page = (DOCS / "operators.md").read_text()


@then("its table of exit codes is that of errors.ExitCode")
def exit_codes(context):
    rows = re.findall(r"^\| (\d+) \| `([A-Z_]+)` \|", context.page, re.MULTILINE)
    assert {name: int(code) for code, name in rows} == {
        code.name: int(code) for code in ExitCode
    }, rows


@then("it shows an example of each command")
def examples(context):
    for name in _command_names():
        assert f"knapweedbridge {name}" in context.page, name


def _command_names():
    source = (ROOT / "packages/cli/src").rglob("*.py")
    found = set()
    for path in source:
        found |= set(re.findall(r'cappa\.command\(name="([a-z]+)"\)', path.read_text()))
    return found - {"knapweedbridge"}
