from behave import then

from knapweedbridge_core.folder import merge_folder


@then('section "{title}" holds "{lines}"')
def section_holds(context, title, lines):
    wanted = dict(line.split(" = ") for line in lines.split(";"))
    assert not context.faults, context.faults
    assert merge_folder(context.files.items())[title] == wanted
