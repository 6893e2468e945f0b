"""Steps that begin a story on the whole path."""

import path_steps  # noqa: F401
from behave import given


@given("the whole path with {daemons:d} daemons, and two engines of v1 and of v2")
def both_versions(context, daemons):
    context.daemons, context.serves_v2 = daemons, True
