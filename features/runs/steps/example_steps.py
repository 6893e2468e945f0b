from behave import given, then, when

from knapweedbridge_core.folder import merge_folder
from knapweedbridge_standins.example import Example


@given("the example with {adapters:d} adapters")
def example(context, adapters):
    context.example = Example(20000, adapters=adapters)


@when("its folder is merged")
def merge(context):
    context.sections = merge_folder(context.example.folder().items())


@then("the folder has no fault")
def no_fault(context):
    assert "application receipts" in context.sections
