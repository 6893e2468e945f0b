import os

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from knapweedbridge_standins.embedded import EmbeddedPlatform, EmbeddedRunner
from knapweedbridge_standins.example import Example, hash_text

BASE_PORT = 22100
# An address of its own for each run, so that several may run at once.
IP = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"
HARBOUR_KEY = "harbour-key-of-the-tests"
HARBOUR = f"""
[team harbour]

[key port]
team = harbour
hash = {hash_text(HARBOUR_KEY)}

[adapter tariff]
team = harbour
base_model = namib-7b
[version tariff@1]

[application dues]
team = harbour
model = tariff@1

[service invoices]
team = harbour
path = /invoices

[endpoint invoices-0]
kind = service
service = invoices
address = {IP}:{BASE_PORT + 90}
data_centre = dc1

[rule signed]
team = optics
service = orders
path = /signed
without_key = refuse

[rule told]
application = receipts
without_key = refuse

[service returns]
team = optics
path = /orders/returns

[endpoint returns-0]
kind = service
service = returns
address = {IP}:{BASE_PORT + 91}
data_centre = dc1
"""
SETTINGS = """
[requests]
max_body_bytes = 20000
token_gap_timeout_s = 0.3
"""
METHODS = ["GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"]


async def echo(request):
    """Answers with what reached the service."""
    told = {
        "method": request.method,
        "target": request.scope["raw_path"].decode(),
        "query": request.scope["query_string"].decode(),
        "headers": sorted([name, value] for name, value in request.headers.items()),
        "body": (await request.body()).decode(),
    }
    headers = {"x-stock": "12", "set-cookie": "seen=counter; Path=/"}
    return JSONResponse(told, status_code=201, headers=headers)


class CutStreams:
    """Breaks the stream of a prompt that says so, and can resume none."""

    def __init__(self, app):
        self.app = app

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        first = await receive()
        body = first.get("body", b"")
        cut = b"cut this" in body
        if scope["path"].startswith("/v1/streams"):
            start = {"type": "http.response.start", "status": 404, "headers": []}
            await send(start)
            await send({"type": "http.response.body", "body": b""})
            return
        given = [first]
        sent = 0

        async def again():
            return given.pop() if given else await receive()

        async def sending(message):
            nonlocal sent
            data = message.get("body", b"")
            sent += data.startswith(b"data: ")
            if cut and sent > 2:
                half = {"type": "http.response.body", "body": data[:20]}
                await send({**half, "more_body": True})
                raise ConnectionError("cut by the test")
            await send(message)

        await self.app(scope, again, sending)


def make_platform():
    app = Starlette(routes=[Route("/{path:path}", echo, methods=METHODS)])
    return EmbeddedPlatform(
        Example(BASE_PORT, daemons=1, engines=1, slots=8, ip=IP),
        extra_files={"50-harbour.ini": HARBOUR},
        extra_settings=SETTINGS,
        plain=app,
        wrap_engine=CutStreams,
    )


def shared_runner(context):
    """Start the platform at its first use, for all scenarios of the area."""
    if context.shared["runner"] is None:
        runner = EmbeddedRunner(make_platform)
        context.shared["runner"] = runner.__enter__()
    return context.shared["runner"]


def before_all(context):
    context.shared = {"runner": None}
    context.runner = lambda: shared_runner(context)
    context.harbour_key = HARBOUR_KEY


def after_all(context):
    if context.shared["runner"] is not None:
        context.shared["runner"].__exit__()
