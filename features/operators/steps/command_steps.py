import tempfile
from pathlib import Path

from behave import given, then, when

from knapweedbridge_standins.example import CALLER_KEY, hash_text

DUES_KEY = "key-of-the-dues-operator"
DUES = """
[adapter tariffs]
team = dues
base_model = namib-7b
[version tariffs@1]
[application explain]
team = dues
model = tariffs@1
[key dues-operator]
team = dues
role = operator
hash = {hash of dues}
"""
DUES_ADMINISTRATOR = """
[team dues]
[key dues-administrator]
team = dues
role = administrator
hash = cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc
"""


def _fill(context, text):
    values = {
        "{folder}": str(getattr(context, "folder", "")),
        "{scratch}": str(getattr(context, "scratch", "")),
        "{request}": str(getattr(context, "request_id", "")),
        "{before}": str(context.before),
        "{next}": str(context.before + 1),
        "{after next}": str(context.before + 2),
        "{hash of dues}": hash_text(DUES_KEY),
        "{administration of host-2}": context.platform.example.administration(2),
        "{key-value service}": context.platform.example.key_value,
        "{address of draft-0}": context.platform.example.engine(0),
    }
    for name, value in values.items():
        text = text.replace(name, value)
    return text


def _write(context, files):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    for name, text in files.items():
        Path(folder.name, name).write_text(_fill(context, text))
    context.folder = folder.name


@given("the folder of two teams is in force")
def two_teams(context):
    context.before = 0
    context.platform.start()
    files = context.platform.example.folder()
    files["50-dues.ini"] = _fill(context, DUES_ADMINISTRATOR + DUES)
    context.files = files
    context.platform.put_in_force(files)
    context.before = context.platform.generation()


@given('the folder with "{name}"')
def folder_with(context, name):
    if not hasattr(context, "changed"):
        context.changed = context.platform.example.folder()
    context.changed[name] = context.text
    _write(context, context.changed)


@given('another operator applies "{name}"')
def other_applies(context, name):
    files = dict(getattr(context, "files", None) or context.platform.example.folder())
    files[name] = context.text
    context.platform.put_in_force(files)


def _run(context, command, **options):
    if "{folder}" in command and not hasattr(context, "folder"):
        _write(context, context.platform.example.folder())
    if "{scratch}" in command:
        scratch = tempfile.TemporaryDirectory()
        context.add_cleanup(scratch.cleanup)
        context.scratch = scratch.name
    arguments = _fill(context, command).split()
    ended = context.platform.command(arguments, **options)
    context.code, context.out, context.err = ended


@when('the administrator runs "{command}"')
def administrator_runs(context, command):
    _run(context, command)


@when('the caller runs "{command}"')
def caller_runs(context, command):
    _run(context, command, key=CALLER_KEY)


@when('the operator of "dues" runs "{command}"')
def operator_runs(context, command):
    _run(context, command, key=DUES_KEY)


@when('the operator of "dues" applies')
def operator_applies(context):
    _write(context, {"folder.ini": context.text})
    _run(context, "apply {folder} --wait", key=DUES_KEY)


@when('the operator of "dues" applies based on the generation before')
def operator_applies_late(context):
    _write(context, {"folder.ini": context.text})
    _run(context, "apply {folder} --wait --based-on {before}", key=DUES_KEY)


@when('the operator of "dues" applies its sections and')
def operator_applies_more(context):
    _write(context, {"folder.ini": DUES + context.text.replace(";", "\n")})
    _run(context, "apply {folder}", key=DUES_KEY)


@then("it ends with {code:d} and prints")
def prints(context, code):
    assert context.code == code, (context.code, context.out, context.err)
    assert _fill(context, context.text) in context.out, context.out


@then("it ends with {code:d} and complains")
def complains(context, code):
    assert context.code == code, (context.code, context.out, context.err)
    assert _fill(context, context.text) in context.err, context.err


@then('it does not print "{text}"')
def does_not_print(context, text):
    assert text not in context.out, context.out


@then("generation {before} is still in force")
def still_in_force(context, before):
    assert context.platform.generation() == context.before


@then("generation {after} is in force with the example's sections")
def in_force_again(context, after):
    assert context.platform.generation() == context.before + 2
    context.platform.put_in_force(context.platform.example.folder())
    assert context.platform.generation() == context.before + 2


def _sections(context, **options):
    answer = context.platform.administration("GET", "/v1/configuration", **options)
    return answer.json()["sections"]


@then('section "{title}" is still there')
def section_there(context, title):
    assert title in _sections(context)


@then('section "{title}" has "{key}" = "{value}"')
def section_has(context, title, key, value):
    assert _sections(context)[title][key] == value


@then('the configuration that the operator of "dues" sees is')
def sees(context):
    seen = sorted(_sections(context, key=DUES_KEY))
    assert seen == [row["section"] for row in context.table], seen


@then('the operator of "dues" does not see section "{title}"')
def does_not_see(context, title):
    assert title not in _sections(context, key=DUES_KEY)


@when('a caller asks for "{model}" through host {host:d}')
def caller_asks(context, model, host):
    answer = context.platform.call(
        "POST",
        f"http://{context.platform.example.callers(host)}/v1/completions",
        json={"model": model, "prompt": "hello", "max_tokens": 4, "stream": True},
        headers={"authorization": f"Bearer {CALLER_KEY}"},
    )
    assert answer.status_code == 200, answer.text
    context.request_id = answer.headers["x-request-id"]


@then('the daemon of "{host}" ends by itself')
def ends(context, host):
    context.platform.await_end(host)


@given('the daemon of "{host}" starts again')
def starts_again(context, host):
    context.platform.restart(host)


@then('the time line of host {host:d} holds "{kind}" with')
def holds(context, host, kind):
    answer = context.platform.administration("GET", "/v1/timeline", host=host)
    found = [event for event in answer.json()["events"] if event["kind"] == kind]
    wanted = {row["field"]: _fill(context, row["value"]) for row in context.table}
    fields = {name: str(value) for name, value in found[-1]["fields"].items()}
    assert wanted.items() <= fields.items(), fields
