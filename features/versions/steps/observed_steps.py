import re

import anyio
from behave import then, when
from pressure_calls import draft_until_taken, metrics
from stories import played

BEGUN = re.compile(r"^knapweedbridge_superseded_seconds_count (\S+)$", re.MULTILINE)


@when("a call runs on a new adapter {when} a version of it is named")
@played()
async def runs(context, path, when):
    await draft_until_taken(path, "base/a1", 0)
    if when != "before":
        path.name_version("a1", 2)
        await anyio.sleep(float(when.split()[0]))
        await draft_until_taken(path, "base/a1", 0)
    context.metrics = await metrics(path)


@then("its line says held version {held:d}, superseded: {superseded}")
def line_says(context, held, superseded):
    line = [e for e in context.lines if e["message_type"] == "attempt.ended"][-1]
    assert line["held_version"] == held, line
    told = [line["superseded_s"], line["first_superseded_s"]]
    if superseded == "no":
        assert told == [None, None], line
    else:
        assert 0.5 <= told[0] <= told[1] < 5, line


@then("the histogram of first events under older versions counts {count:d}")
def histogram_counts(context, count):
    found = BEGUN.search(context.metrics)
    assert (float(found[1]) if found else 0) == count, context.metrics
