"""Calls to a service with an endpoint that signals backpressure."""

import anyio
from behave import then

MODELS = ("base/a1", "base/a2", "base/a3", "base/a4")


def find_endpoint(path, name):
    return next(each for each in path.endpoints if each.name == name)


async def call_service(path, endpoint, number, daemons, answers):
    if endpoint in path.engines:
        model = MODELS[number % len(MODELS)]
        answers.append(await retry_draft(path, model, number % daemons))
    else:
        answers.append(await path.call("GET", "/look/1", number % daemons))


async def retry_draft(path, model, daemon):
    answer = await path.draft(model, daemon)
    while answer.status_code == 503:
        await anyio.sleep(float(answer.headers["Retry-After"]))
        answer = await path.draft(model, daemon)
    return answer


async def call_repeatedly(path, endpoint, per_s, seconds, daemons, answers):
    async with anyio.create_task_group() as tasks:
        for number in range(int(per_s * seconds)):
            tasks.start_soon(call_service, path, endpoint, number, daemons, answers)
            await anyio.sleep(1 / per_s)


@then("all calls are answered")
def all_answered(context):
    statuses = [each.status_code for each in context.answers]
    assert set(statuses) == {200}, statuses
