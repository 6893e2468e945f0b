"""Handles the requests of callers."""

import traceback
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from knapweedbridge_core.connection_limit import RETRY_AFTER_S
from knapweedbridge_core.serving import RequestLimits, Route, fingerprint, shared_parts
from knapweedbridge_daemon.serving.account_quotas import AccountQuotas
from knapweedbridge_daemon.serving.attempt_records import MARK_DIGITS
from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.call_runner import CallRunner
from knapweedbridge_daemon.serving.call_terms import CallTerms, TermsFinder
from knapweedbridge_daemon.serving.dialects import CallDetails, DialectError, Refusal
from knapweedbridge_daemon.serving.http_server import (
    BadRequestError,
    CallerDisconnectedError,
    ReceivedRequest,
    Responder,
)
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.request_reading import OverloadedError
from knapweedbridge_daemon.serving.wire import Headers, get_header

STOPPING_RETRY_AFTER_S = 0.05
"""Retry-After of a stopping daemon: another one takes the request at once."""

KEY_DIGITS = 8
"""Digits of a key's digest in log lines: enough to tell keys apart, not to guess one.
"""

MAX_TRACEBACK_LINES = 4
"""Lines of a traceback in a log line."""

DEFAULT_DEADLINE_S = 60.0
"""Deadline of a call that states none; the route's timeout applies as well."""


class CallersApp:
    """Routes the requests of callers and runs them.

    Parameters
    ----------
    hub : Hub
        The daemon's cluster state, dialects and metrics.
    runner : CallRunner
        Runs the calls.
    quotas : AccountQuotas
        Quotas of the client accounts.

    Attributes
    ----------
    running : int
        Requests that are being handled.
    """

    def __init__(self, hub: Hub, runner: CallRunner, quotas: AccountQuotas) -> None:
        self._hub = hub
        self._runner = runner
        self._quotas = quotas
        self._terms = TermsFinder(hub)
        self._scopes: set[anyio.CancelScope] = set()
        self._is_ending = False
        self.running = 0

    def limits(self) -> RequestLimits:
        """Return the size and time limits of requests."""
        deployment = self._hub.cluster.deployment
        return deployment.limits if deployment else RequestLimits()

    def count_bad_request(self, error: BadRequestError) -> None:
        """Count and log a request that could not be parsed."""
        self._hub.metrics.count("bad_requests", str(error.status))
        self._hub.log.info("request.bad", status=error.status, error=str(error))

    def pack_refusal(self, error: BadRequestError) -> tuple[Headers, bytes]:
        """Return headers and body of the response to a request that was not read."""
        if not isinstance(error, OverloadedError):
            return [], b""
        refusal = Refusal(error.status, error.reason, RETRY_AFTER_S)
        return self._hub.dialects.callers.refusal(refusal)

    def record_accept_failure(self, error: OSError) -> None:
        """Count and log a connection that could not be accepted."""
        self._hub.metrics.count("connections_not_accepted")
        self._hub.log.error("connection.not_accepted", error=repr(error))

    def count_internal_error(self, error: Exception) -> None:
        """Count and log an unexpected exception, with the end of its traceback."""
        self._hub.metrics.count("internal_errors")
        while isinstance(error, ExceptionGroup):
            error = error.exceptions[0]
        trace = "".join(traceback.format_exception(error)[-MAX_TRACEBACK_LINES:])
        self._hub.log.error("daemon.fault", error=repr(error), places=trace)

    def end_calls(self) -> None:
        """Cancel all calls; those without a started response are answered at once."""
        self._is_ending = True
        for scope in self._scopes:
            scope.cancel()

    async def handle(self, request: ReceivedRequest, responder: Responder) -> None:
        """Handle one request."""
        self.running += 1
        try:
            await self._handle(request, responder)
        finally:
            self.running -= 1

    async def _handle(self, request: ReceivedRequest, responder: Responder) -> None:
        try:
            details = self._hub.dialects.callers.read_call(request.head)
        except DialectError as error:
            self._hub.log.info("request.unreadable", error=str(error))
            refusal = Refusal(400, "unreadable")
            await self._refuse(request, responder, refusal, CallDetails())
            return
        terms = await self._terms.find(request, details)
        if isinstance(terms, CallTerms) and self._ends_before(terms.route):
            terms = Refusal(503, "stopping", STOPPING_RETRY_AFTER_S)
        if isinstance(terms, Refusal):
            await self._refuse(request, responder, terms, details)
            return
        await self._run(request, responder, terms, details)

    def _ends_before(self, route: Route) -> bool:
        # A call that still runs when the daemon exits would be cut off.
        ends_s = self._hub.ends_s
        if ends_s is None:
            return False
        return anyio.current_time() + route.timeout_s > ends_s

    async def _refuse(
        self,
        request: ReceivedRequest,
        responder: Responder,
        refusal: Refusal,
        details: CallDetails,
    ) -> None:
        self._hub.metrics.count("requests", refusal.reason)
        deployment = self._hub.cluster.deployment
        self._hub.log.info(
            "request.refused",
            request=details.call_id,
            path=request.head.path,
            configuration=deployment.version if deployment else None,
            reason=refusal.reason,
            key=details.key_digest[:KEY_DIGITS],
            news_age_s=round(min(999.0, self._hub.news_age_s), 3),
        )
        headers, body = self._hub.dialects.callers.refusal(refusal)
        await responder.answer(refusal.status, headers, body)

    async def _run(
        self,
        request: ReceivedRequest,
        responder: Responder,
        terms: CallTerms,
        details: CallDetails,
    ) -> None:
        route = terms.route
        stated_s = details.deadline_s
        allowed_s = min(
            DEFAULT_DEADLINE_S if stated_s is None else stated_s, route.timeout_s
        )
        if allowed_s <= 0:
            await self._refuse(request, responder, Refusal(503, "too_late"), details)
            return
        call = Call(
            request,
            responder,
            route,
            route.choose_service(details.stream_id),
            details,
            request.received_s + allowed_s,
            mark=_fingerprint_request(request, terms),
            parts=shared_parts(details.prompt_parts),
            spent_s=self._hub.deadlines.spent_s(
                route.name, details.deadline_s, request.received_s
            ),
            account=terms.account,
            is_keyed=terms.deployment.accounts is not None,
        )
        self._hub.budget.record_daemons(self._hub.daemons, self._hub.steady_s())
        self._hub.budget.record_request(call.service, self._hub.steady_s())
        outcome = "caller_left"
        refused_for_s = self._hub.crashes.refused_for_s(
            call.mark, anyio.current_time(), call.parts
        )
        if refused_for_s:
            refusal = Refusal(503, "blamed", refused_for_s)
            self._hub.log.info(
                "call.blamed",
                request=details.call_id,
                mark=call.mark[:MARK_DIGITS],
                parts=[part[:MARK_DIGITS] for part in call.parts],
                refused_for_s=round(refused_for_s, 1),
            )
            await self._refuse(request, responder, refusal, details)
            return
        over_quota = await self._quotas.take(call.account, details.tokens)
        if over_quota is not None:
            await self._refuse(request, responder, over_quota, details)
            return
        try:
            with self._limit_time(call.deadline_s) as scope:
                outcome = await self._runner.run(call)
            if scope.cancelled_caught:
                outcome = await self._answer_cancelled(call)
        except CallerDisconnectedError:
            raise
        except Exception:
            outcome = "fault"
            raise
        finally:
            if not call.progress.may_have_run:
                self._quotas.give_back(call.account, details.tokens)
            self._record_end(call, outcome, terms.deployment.version)

    @contextmanager
    def _limit_time(self, deadline_s: float) -> Iterator[anyio.CancelScope]:
        """Cancel a call at its deadline, or when all calls are ended."""
        with anyio.CancelScope(deadline=deadline_s) as scope:
            self._scopes.add(scope)
            if self._is_ending:
                scope.cancel()
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    async def _answer_cancelled(self, call: Call) -> str:
        """Answer a call that was cancelled; return its outcome."""
        if call.responder.begun:
            return "cut_at_stop" if self._is_ending else "cut_at_timeout"
        refusal = self._make_refusal(call.progress.sends > 0)
        headers, body = self._hub.dialects.callers.refusal(refusal)
        await call.responder.answer(refusal.status, headers, body)
        return refusal.reason

    def _make_refusal(self, was_sent: bool) -> Refusal:
        if self._is_ending:
            # A call that was sent may have run, so only one that was not may be
            # retried elsewhere.
            if was_sent:
                return Refusal(504, "stopping")
            return Refusal(503, "stopping", STOPPING_RETRY_AFTER_S)
        return Refusal(504, "timeout") if was_sent else Refusal(503, "no_place", 0.5)

    def _record_end(self, call: Call, outcome: str, version: int) -> None:
        now_s = anyio.current_time()
        self._hub.metrics.count("requests", outcome)
        self._hub.metrics.time("request_seconds", now_s - call.request.received_s)
        first_s = call.first_event_s
        if first_s is not None:
            first_s = round(first_s - call.request.received_s, 4)
            self._hub.metrics.time("first_event_seconds", first_s)
            self._hub.metrics.time("longest_pause_seconds", call.longest_pause_s)
        self._hub.log.info(
            "request.ended",
            request=call.details.call_id,
            route=call.route.name,
            account=call.account.name if call.account else "",
            service=call.service,
            model=str(call.details.model or ""),
            configuration=version,
            resumes=call.details.resumes,
            after_event=call.details.after_event,
            outcome=outcome,
            sends=call.progress.sends,
            placed=call.last_choice,
            first_s=first_s,
            pause_s=round(call.longest_pause_s, 4),
            paused_at_s=round(call.paused_s, 4),
            took_s=round(now_s - call.request.received_s, 4),
        )


def _fingerprint_request(request: ReceivedRequest, terms: CallTerms) -> str:
    """Return the fingerprint by which a repeated request is recognized."""
    head, account = request.head, terms.account
    return fingerprint(
        account.name if account else "",
        request.sender,
        get_header(head.headers, b"host") or "",
        head.method,
        head.target,
        request.body,
    )
