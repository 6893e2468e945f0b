import re

import anyio
from behave import then, when
from pressure_calls import retry_draft
from stories import played

SUPERSEDED_COUNT = re.compile(
    r"^knapweedbridge_superseded_seconds_count (\S+)$", re.MULTILINE
)


@when("a call runs on a new adapter {when} a version of it is named")
@played()
async def call_runs(context, path, when):
    await retry_draft(path, "base/a1", 0)
    if when != "before":
        path.name_version("a1", 2)
        await anyio.sleep(float(when.split()[0]))
        await retry_draft(path, "base/a1", 0)
    context.metrics = await path.metrics()


@then("its log line has held version {held:d}, superseded: {superseded}")
def log_line_has(context, held, superseded):
    line = [e for e in context.lines if e["message_type"] == "attempt.ended"][-1]
    assert line["held_version"] == held, line
    ages_s = [line["superseded_s"], line["first_superseded_s"]]
    if superseded == "no":
        assert ages_s == [None, None], line
    else:
        assert 0.5 <= ages_s[0] <= ages_s[1] < 5, line


@then("the histogram of first events on superseded versions counts {count:d}")
def histogram_counts(context, count):
    found = SUPERSEDED_COUNT.search(context.metrics)
    assert (float(found[1]) if found else 0) == count, context.metrics
