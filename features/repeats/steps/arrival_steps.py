import anyio
from behave import then, when
from counting import CountingPath
from host_links import path_with_links
from path_steps import several_daemons  # noqa: F401

SETTLING_S = 1.0
"""Time in which a host finds out that its links are lost."""


async def call(path, kind, number):
    """Make a call; host-0, whose links may be down, receives it."""
    if kind == "draft":
        await path.draft("base/a1")
    else:
        await path.call("GET" if kind == "look" else "POST", f"/{kind}/{number}")


@when(
    '{count:d} "{kind}" calls come while endpoints are "{behaves}" and links are '
    '"{links}"'
)
def calls_come(context, count, kind, behaves, links):
    async def scenario():
        async with path_with_links(context.daemons, kind=CountingPath) as (path, cuts):
            context.path = path
            await path.draft("base/a1")
            if links != "up":
                cuts.cut("host-0", links)
                with anyio.move_on_after(SETTLING_S):
                    await call(path, kind, 0)
            before = await path.read_counter("repeats_sent"), path.count_repeats()
            for number in range(count):
                behaviour = [behaves] if number % 2 else []
                for endpoint in path.endpoints:
                    endpoint.behaviour = behaviour
                with anyio.move_on_after(4):
                    await call(path, kind, number)
            await anyio.sleep(0.1)
            context.counted = await path.read_counter("repeats_sent") - before[0]
            context.arrived = path.count_repeats() - before[1]

    anyio.run(scenario)


@then("the hosts have counted {bound} as many repeats as have arrived")
def counted_as_arrived(context, bound):
    assert context.arrived, "nothing was repeated"
    found = context.counted, context.arrived
    assert context.counted >= context.arrived, found
    assert bound == "at least" or context.counted == context.arrived, found
