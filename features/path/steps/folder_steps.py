from behave import given, then, when

from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.folder import merge_folder


@given('the folder file "{name}"')
def folder_file(context, name):
    _files(context)[name] = context.text


@given('a section "{section}" with the line "{line}" in file "{name}"')
def folder_line(context, section, line, name):
    _files(context)[name] = f"[{section}]\n{line}\n"


def _files(context):
    if not hasattr(context, "files"):
        context.files = {}
    return context.files


@when("the folder is merged")
def merge(context):
    try:
        context.sections = merge_folder(context.files.items())
        context.errors = []
    except CheckError as error:
        context.errors = [str(fault) for fault in error.faults]


@then('section "{section}" has "{key}" = "{value}"')
def section_has(context, section, key, value):
    assert context.sections[section][key] == value, context.sections


@then('the only error is "{error}"')
def only_error(context, error):
    assert context.errors == [error], context.errors
