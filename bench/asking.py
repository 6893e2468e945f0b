"""Callers of whole runs: each request ends in a record, checked by the oracle."""

import json
import ssl
import time
from dataclasses import dataclass, field

import httpx

from knapweedbridge_standins.example import CALLER_KEY, Example
from knapweedbridge_standins.oracle import answer
from knapweedbridge_standins.runs import Answer, Outcome, RequestEnded

GRACE_S = 10.0
CONNECT_S = 2.0
_TLS = ssl.create_default_context()


@dataclass(slots=True, frozen=True)
class Work:
    """A piece of work that a caller wants done.

    Parameters
    ----------
    nonce : str
        First word of the prompt or body, found in no other work.
    name : str
        What the caller asks for: an adapter version, an application or, if
        empty, the plain service.
    model : str
        What must run.
    """

    nonce: str
    name: str = ""
    model: str = ""
    streamed: bool = True
    non_idempotent: bool = False
    key: str = ""
    tokens: int = 24
    extra: str = ""
    deadline_s: float = 20.0

    @property
    def prompt(self) -> str:
        """The whole prompt or body."""
        return f"{self.nonce} {self.extra}hello"


@dataclass(slots=True)
class _Seen:
    outcome: Outcome = Outcome.BROKEN
    text: str = ""
    reason: str = ""
    request_id: str = ""
    first_token_s: float = 0.0
    retry_after_s: float = 0.0
    whole: bool = field(default=False)


class Asker:
    """One caller with connections of its own.

    Parameters
    ----------
    example : Example
        The deployment.
    name : str
        The caller's name in the records.
    """

    def __init__(self, example: Example, name: str) -> None:
        self._example = example
        self._name = name
        headers = {"authorization": f"Bearer {CALLER_KEY}"}
        # One context for all: making one takes tens of milliseconds, in which
        # 32 callers would connect and then not send for a second.
        self._client = httpx.AsyncClient(headers=headers, verify=_TLS, trust_env=False)

    async def __aenter__(self) -> "Asker":
        await self._client.__aenter__()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._client.__aexit__(*error)

    async def ask(self, work: Work, host: int) -> tuple[RequestEnded, float]:
        """Send work to a host; return its record and when to come back."""
        began_s = time.time()
        seen = _Seen()
        try:
            await self._send(work, host, seen)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            seen.outcome, seen.reason = Outcome.REFUSED, repr(error)
        except httpx.TimeoutException as error:
            seen.outcome, seen.reason = Outcome.UNANSWERED, repr(error)
        except (httpx.HTTPError, ValueError, KeyError, IndexError) as error:
            seen.outcome, seen.reason = Outcome.BROKEN, repr(error)
        ended = RequestEnded(
            nonce=work.nonce,
            caller=self._name,
            host=f"host-{host}",
            model=work.model,
            streamed=work.streamed,
            non_idempotent=work.non_idempotent,
            began_s=began_s,
            ended_s=time.time(),
            outcome=seen.outcome,
            answer=_judge(work, seen),
            reason=seen.reason[:200],
            request_id=seen.request_id,
            key=work.key,
            first_token_s=seen.first_token_s,
        )
        return ended, seen.retry_after_s

    async def _send(self, work: Work, host: int, seen: _Seen) -> None:
        url = f"http://{self._example.callers(host)}"
        headers = {"x-deadline-s": str(work.deadline_s)}
        if work.key:
            headers["idempotency-key"] = work.key
        timeout = httpx.Timeout(work.deadline_s + GRACE_S, connect=CONNECT_S)
        if work.name:
            path, content = "/v1/completions", json.dumps(_body(work))
            headers["content-type"] = "application/json"
        else:
            path, content = "/orders/new", work.prompt
        request = self._client.stream(
            "POST", url + path, content=content, headers=headers, timeout=timeout
        )
        began_s = time.monotonic()
        async with request as response:
            seen.request_id = response.headers.get("x-request-id", "")
            seen.retry_after_s = float(response.headers.get("retry-after", "0"))
            if response.status_code != 200:
                _take_error(json.loads(await response.aread()), seen)
            elif work.name and work.streamed:
                await _read_stream(response, seen, began_s)
            else:
                _take_whole(json.loads(await response.aread()), work, seen)


def _body(work: Work) -> dict[str, object]:
    return {
        "model": work.name,
        "prompt": work.prompt,
        "max_tokens": work.tokens,
        "stream": work.streamed,
    }


def _take_error(body: dict, seen: _Seen) -> None:
    error = body["error"]
    run = error.get("run", error.get("type"))
    seen.outcome = Outcome.NOT_RUN if run == "not_run" else Outcome.UNKNOWN
    seen.reason = str(error.get("code"))


async def _read_stream(response: httpx.Response, seen: _Seen, began_s: float) -> None:
    async for line in response.aiter_lines():
        if line == "data: [DONE]":
            seen.outcome = Outcome.COMPLETE
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            if "error" in event:
                _take_error(event, seen)
                continue
            if not seen.text:
                seen.first_token_s = time.monotonic() - began_s
            seen.text += event["choices"][0]["text"]
    if seen.outcome == Outcome.BROKEN:
        # A caller takes an end without [DONE] and without an error as whole.
        seen.outcome, seen.reason = Outcome.COMPLETE, "clean end without [DONE]"


def _take_whole(body: dict, work: Work, seen: _Seen) -> None:
    seen.outcome = Outcome.COMPLETE
    seen.text = body["choices"][0]["text"] if work.name else body["body"]


def _judge(work: Work, seen: _Seen) -> Answer:
    right = work.prompt
    if work.name:
        right = "".join(answer(work.model, work.prompt, work.tokens))
    if not seen.text:
        return Answer.NONE
    if seen.text == right:
        return Answer.RIGHT
    return Answer.PART if right.startswith(seen.text) else Answer.WRONG
