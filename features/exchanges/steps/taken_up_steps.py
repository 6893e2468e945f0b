import anyio
import httpx
import path_steps  # noqa: F401
from behave import then, when
from standins import Engine, header
from stories import played
from whole_path import WholePath

MODEL = {"Model": "base", "Token-Counts": "100,30"}


class TimedEngine(Engine):
    """Engine that records when its runs began and ended.

    Attributes
    ----------
    runs : list
        Request, begin and end of each run, over all engines; the end is None so far.
    """

    runs = ()

    async def _stream(self, request, responder, behaviour):
        run = [header(request, "Last-Event-Id"), anyio.current_time(), None]
        self.runs.append(run)
        try:
            if behaviour == "quiet":
                await anyio.sleep(30)
            await super()._stream(request, responder, behaviour)
        finally:
            run[2] = anyio.current_time()

    async def answer(self, request, responder, behaviour):
        if behaviour == "quiet":
            await self._stream(request, responder, behaviour)
            return
        await super().answer(request, responder, behaviour)


class TimedPath(WholePath):
    """Whole path with such engines."""

    engine_kind = TimedEngine


async def read_events(path, daemon, events, **headers):
    """Read some events of a stream, then leave; None reads all."""
    url = f"http://127.0.0.1:{path.ports[daemon][0]}/draft/1"
    sent = {"Host": "shop.example", "Deadline-Ms": "4000", **MODEL, **headers}
    async with httpx.AsyncClient(timeout=8) as client:
        stream = client.stream("POST", url, headers=sent, content=b"prompt")
        async with stream as response:
            got = 0
            async for line in response.aiter_lines():
                got += line.startswith("id:")
                if events is not None and got >= events:
                    return


async def read_until_cut(path, context):
    context.cut = False
    try:
        await read_events(path, 0, None, **{"Request-Id": "first"})
    except httpx.HTTPError:
        context.cut = True


@when("a stream is taken up at another engine after {cause}")
@played(kind=TimedPath)
async def taken_up(context, path, cause):
    TimedEngine.runs = []
    for each in path.engines:
        each.pause_s = 0.1
    first = {"Request-Id": "first"}
    if cause.startswith("it "):
        shared = ["quiet" if "silent" in cause else "cut in an event"]
        for each in path.engines:
            each.behaviour = shared
        await read_events(path, 0, None, **first)
    elif cause == "host-0 was killed":
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_until_cut, path, context)
            await anyio.sleep(0.25)
            await path.kill_daemon("host-0")
        assert context.cut, "the stream was not cut"
        await read_events(path, 1, None, **{"Last-Event-Id": "2"})
    else:
        await read_events(path, 0, 3, **first)
        await read_events(path, 1, None, **{"Last-Event-Id": "3"})
    await anyio.sleep(0.5)
    context.runs = TimedEngine.runs


@then("the first run has ended at most {limit_s:g} s after the second began")
def has_ended(context, limit_s):
    assert len(context.runs) == 2, context.runs
    (_, _, ended_s), (_, began_s, _) = context.runs
    assert ended_s is not None and ended_s - began_s <= limit_s, context.runs
