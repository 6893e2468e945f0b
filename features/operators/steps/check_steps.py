import contextlib
import io
import sys
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when

from knapweedbridge_cli.main import run
from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.folder import merge_folder
from knapweedbridge_daemon import main as binary

VALID = """
[team optics]
[key counter]
team = optics
hash = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
[service orders]
team = optics
path = /orders
[endpoint draft-0]
address = 127.0.0.1:1
data_centre = dc1
base_model = namib-7b
"""


def _files(context):
    if not hasattr(context, "files"):
        context.files = {}
    return context.files


def _temporary(context):
    if not hasattr(context, "temporary"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.temporary = Path(folder.name)
    return context.temporary


@given('the file "{name}"')
def file_text(context, name):
    _files(context)[name] = context.text


@given('the valid file "{name}"')
def valid_file(context, name):
    _files(context)[name] = VALID


@given('the lines "{lines}" in file "{name}"')
def file_lines(context, lines, name):
    _files(context)[name] = lines.replace(";", "\n")


@when("the files are checked")
def check_files(context):
    try:
        merge_folder(context.files.items())
        context.faults = []
    except CheckError as error:
        context.faults = [str(fault) for fault in error.faults]


@then("the faults are")
def faults_are(context):
    wanted = sorted(row["fault"] for row in context.table)
    assert sorted(context.faults) == wanted, "\n".join(context.faults)


@then('the only fault is that "{fault}"')
def only_fault(context, fault):
    assert context.faults == [fault], context.faults


@given("the settings file")
def settings_file(context):
    context.settings = _temporary(context) / "daemon.ini"
    context.settings.write_text(context.text)


@given('the settings file holds bytes "{hexadecimal}"')
def settings_bytes(context, hexadecimal):
    context.settings = _temporary(context) / "daemon.ini"
    if hexadecimal != "none":
        context.settings.write_bytes(bytes.fromhex(hexadecimal))


@when("the daemon's binary checks it")
def check_settings(context):
    err = io.StringIO()
    arguments = ["knapweedbridged", "--settings", str(context.settings), "--check"]
    context.code = 0
    with mock.patch.object(sys, "argv", arguments), contextlib.redirect_stderr(err):
        try:
            binary.main()
        except SystemExit as error:
            context.code = error.code
    context.err = err.getvalue()


@then("it ends with {code:d} and names the faults")
def names_faults(context, code):
    assert context.code == code, context.code
    for row in context.table:
        assert row["fault"] in context.err, (row["fault"], context.err)
    assert len(context.err.splitlines()) == len(context.table.rows), context.err


@given("a folder that {state}")
def folder_in_state(context, state):
    context.folder = _temporary(context) / "folder"
    if state == "is a file":
        context.folder.write_text("")
    elif state != "is missing":
        context.folder.mkdir()
    if state == "holds a file not UTF-8":
        (context.folder / "bad.ini").write_bytes(b"\xff\xfe")


@when('the command "check" reads it')
def check_folder(context):
    err = io.StringIO()
    with contextlib.redirect_stderr(err):
        context.code = run(["check", str(context.folder)])
    context.err = err.getvalue()


@then('it ends with {code:d} and says "{message}"')
def says(context, code, message):
    assert context.code == code, context.code
    assert message in context.err, context.err
