"""Forecasts attempts, learns from their results and logs them."""

from dataclasses import dataclass

import anyio

from knapweedbridge_core.serving import AttemptEnd, Endpoint
from knapweedbridge_daemon.serving.call import Call, Target
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.engine_observations import EngineObservations
from knapweedbridge_daemon.serving.http_client import NotSentError
from knapweedbridge_daemon.serving.hub import Hub

MARK_DIGITS = 8
"""Digits of a fingerprint in log lines: enough to find a repeated request."""

MAX_LOGGED_PARTS = 8
"""Parts of a prompt in one log line."""

MAX_LOGGED_S = 3600.0
"""Logged where a version was superseded before this daemon first read the store."""


@dataclass(slots=True)
class Forecast:
    """The forecast and the course of one attempt; times on the daemon's clock.

    Parameters
    ----------
    began_s : float
        When the attempt began to wait for its turn.
    unread_tokens : int
        Tokens that the engine had yet to process when the attempt was sent.
    slot_wait_s, expected_s : float
        Forecast wait for a slot, and forecast time to the first event in all.
    sent_s, first_s : float or None
        When the attempt was sent, and when its first event arrived.
    unlisted_for_s : float or None
        How long the endpoint's entry had been missing when the attempt was sent; None
        where it was listed.
    limit_per_s : float or None
        The endpoint's known rate limit when the attempt was sent.
    held_version : int or None
        Known version of the adapter on the engine when the attempt was sent; None: it
        was sent without an adapter.
    superseded_s, first_superseded_s : float or None
        For how long a newer version may have been published when the attempt was sent,
        and when its first event arrived; None: there was none.
    forwarder : str
        Host that forwarded the attempt; empty: it went over this host's own link.
    head_s : float or None
        When the head of the response arrived.
    has_survived : bool
        Whether the endpoint kept running after the first event.
    connection, carried : int
        Number of the attempt's connection, and how many requests it had carried,
        this one included; 0: there was none.
    status : int
        Status of the response; 0: there was none.
    answered_id : str or None
        Request id that the response named.
    discarded : int
        How many responses to other requests its connection had discarded.
    """

    began_s: float
    unread_tokens: int = 0
    slot_wait_s: float = 0.0
    expected_s: float = 0.0
    sent_s: float = 0.0
    first_s: float | None = None
    unlisted_for_s: float | None = None
    limit_per_s: float | None = None
    held_version: int | None = None
    superseded_s: float | None = None
    forwarder: str = ""
    first_superseded_s: float | None = None
    head_s: float | None = None
    has_survived: bool = False
    connection: int = 0
    carried: int = 0
    status: int = 0
    answered_id: str | None = None
    discarded: int = 0


class AttemptRecords:
    """Forecasts attempts, and records their results.

    Parameters
    ----------
    hub : Hub
        The daemon's engine rates, log and metrics.
    observed : EngineObservations
        Collects what is reported to the owners of engines.
    """

    def __init__(self, hub: Hub, observed: EngineObservations) -> None:
        self._hub = hub
        self._observed = observed

    def forecast(self, call: Call, endpoint: Endpoint, now_s: float) -> Forecast:
        """Return the forecast of an attempt that begins now."""
        if call.details.model is None:
            return Forecast(now_s)
        return Forecast(
            now_s,
            0,
            self._hub.rates.slot_wait_s(endpoint),
            self._hub.rates.first_event_s(endpoint, call.details.prompt_tokens, now_s),
        )

    def record_sent(self, call: Call, target: Target, forecast: Forecast) -> None:
        """Record what is known of the endpoint as an attempt is sent."""
        endpoint = target.endpoint
        forecast.sent_s = loop_time_s()
        forecast.unread_tokens = endpoint.unread_tokens - call.unread_tokens
        forecast.unlisted_for_s = endpoint.unlisted_for_s(forecast.sent_s)
        forecast.limit_per_s = endpoint.pressure.limit_per_s
        forecast.held_version = known_version(call, target)
        forecast.superseded_s = self._superseded_for_s(call, forecast)

    def _superseded_for_s(self, call: Call, forecast: Forecast) -> float | None:
        model, version = call.details.model, forecast.held_version
        if model is None or version is None:
            return None
        for_s = self._hub.cluster.superseded_for_s(model, version, self._hub.steady_s())
        return None if for_s is None else min(for_s, MAX_LOGGED_S)

    def record_first_event(
        self, call: Call, endpoint: Endpoint, forecast: Forecast
    ) -> None:
        """Record that the first event arrived, to be reported to the engine's owner."""
        forecast.first_superseded_s = self._superseded_for_s(call, forecast)
        if forecast.first_superseded_s is not None:
            self._hub.metrics.time("superseded_seconds", forecast.first_superseded_s)
        if forecast.first_s is None or forecast.slot_wait_s:
            return
        if call.details.model is not None:
            self._observed.record_first_event(
                endpoint.start,
                call.details.prompt_tokens,
                forecast.unread_tokens,
                forecast.first_s - forecast.sent_s,
            )

    def record_speed(
        self, call: Call, endpoint: Endpoint, forecast: Forecast, end: AttemptEnd
    ) -> None:
        """Update the engine's estimated speed by the result of an attempt."""
        now_s = anyio.current_time()
        is_sent = end not in (AttemptEnd.NOT_RUN, AttemptEnd.WITHHELD)
        if call.details.model is None or not is_sent:
            return
        if end is AttemptEnd.ANSWERED:
            self._hub.rates.record_end(endpoint, now_s - forecast.began_s)
        first_s = forecast.first_s
        if first_s is None and end is AttemptEnd.BROKEN:
            # The time without a first event is a lower bound, and the best that is
            # known.
            first_s = now_s
        if first_s is None or forecast.slot_wait_s:
            return
        took_s = first_s - forecast.sent_s
        self._hub.rates.record_first_event(
            endpoint, call.details.prompt_tokens, forecast.unread_tokens, took_s, now_s
        )
        self._hub.metrics.time(
            "forecast_error_seconds",
            abs(first_s - forecast.began_s - forecast.expected_s),
        )

    def record_unreachable(self, endpoint: Endpoint, error: NotSentError) -> None:
        """Log that no connection to an endpoint could be made."""
        fleet = self._hub.cluster.fleet
        self._hub.log.info(
            "endpoint.unreachable",
            endpoint=endpoint.name,
            in_row=endpoint.failures_in_row,
            unreachable=fleet.unreachable_count(loop_time_s()),
            endpoints=len(fleet.endpoints),
            error=str(error),
        )

    def record_end(
        self,
        call: Call,
        target: Target,
        end: AttemptEnd,
        forecast: Forecast,
        detail: str,
    ) -> None:
        """Log how an attempt ended, and count its result for the endpoint."""
        now_s = anyio.current_time()
        first_s = forecast.first_s
        if end not in (AttemptEnd.ABANDONED, AttemptEnd.WITHHELD):
            failed = end in (AttemptEnd.FAILED, AttemptEnd.BROKEN)
            target.endpoint.record_result(failed, now_s)
        self._hub.metrics.count("attempts", end.value)
        self._hub.log.info(
            "attempt.ended",
            request=call.details.call_id,
            mark=call.mark[:MARK_DIGITS],
            parts=[part[:MARK_DIGITS] for part in call.parts[:MAX_LOGGED_PARTS]],
            endpoint=target.endpoint.name,
            software=target.endpoint.record.software,
            version=target.version,
            held_version=forecast.held_version,
            superseded_s=_rounded(forecast.superseded_s),
            first_superseded_s=_rounded(forecast.first_superseded_s),
            calls_there=target.endpoint.calls,
            speed=round(target.endpoint.speed, 2),
            unlisted_s=_rounded(forecast.unlisted_for_s),
            limit_per_s=forecast.limit_per_s,
            forwarder=forecast.forwarder,
            outcome=end.value,
            connection=forecast.connection,
            carried=forecast.carried,
            status=forecast.status,
            answered_id=forecast.answered_id,
            discarded=forecast.discarded,
            prompt_tokens=call.details.prompt_tokens,
            turn_s=round(max(0.0, forecast.sent_s - forecast.began_s), 4),
            forecast_s=round(forecast.expected_s, 4),
            head_s=_rounded(forecast.head_s and forecast.head_s - forecast.began_s),
            first_s=_rounded(first_s - forecast.began_s if first_s else None),
            unread_tokens=forecast.unread_tokens,
            took_s=round(now_s - forecast.began_s, 4),
            left_s=round(call.deadline_s - now_s, 3),
            detail=detail,
        )


def known_version(call: Call, target: Target) -> int | None:
    """Return the known adapter version of an attempt; None: it has no adapter.

    An engine that is sent an expected version runs no other. Without one it runs the
    version it holds: the newest when it was loaded, before any was published.
    """
    model = call.details.model
    if model is None or not model.adapter:
        return None
    if target.version is not None:
        return target.version
    held = target.endpoint.held.get(model)
    return held.version if held else 0


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
