import asyncio

from behave import then

from knapweedbridge_standins.example import CALLER_KEY

LOOKS = 500
LOOK_S = 0.02


@then('host {host:d} soon shows "{endpoint}" as {state}')
def shows(context, host, endpoint, state):
    platform = context.platform
    for _ in range(LOOKS):
        found = platform.administration("GET", "/v1/endpoints", host=host).json()
        if found[endpoint]["leaving"] == (state == "leaving"):
            break
        platform.wait(asyncio.sleep(LOOK_S))
    else:
        raise AssertionError(found)
    lines = platform.command(["endpoints"], host=host)[1].splitlines()
    assert any(line.startswith(endpoint) and state in line for line in lines), lines


def _endpoint_of(platform, place, host):
    answer = platform.call(
        "POST",
        f"http://{platform.example.callers(host)}/v1/completions",
        json={
            "model": platform.example.model(place),
            "prompt": "hello",
            "max_tokens": 2,
        },
        headers={"authorization": f"Bearer {CALLER_KEY}"},
    )
    assert answer.status_code == 200, answer.text
    path = f"/v1/timeline?request={answer.headers['x-request-id']}"
    told = platform.administration("GET", path, host=host).json()["events"]
    return {
        event["fields"]["endpoint"]
        for event in told
        if event["kind"] == "attempt.dispatched"
    }


@then('{count:d} requests through host {host:d} all run on "{endpoint}"')
def run_on(context, count, host, endpoint):
    for place in range(count):
        assert _endpoint_of(context.platform, place, host) == {endpoint}
