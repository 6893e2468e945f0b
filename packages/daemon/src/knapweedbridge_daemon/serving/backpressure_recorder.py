"""Records the backpressure that endpoints signal in their responses."""

import anyio

from knapweedbridge_core.serving import Endpoint
from knapweedbridge_daemon.serving.dialects import ResponseDetails
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.permits import Permits


class BackpressureRecorder:
    """Records the draining, pauses and limits that endpoints signal.

    Parameters
    ----------
    hub : Hub
        The daemon's log and metrics.
    permits : Permits
        Shares the limits with the other daemons.
    """

    def __init__(self, hub: Hub, permits: Permits) -> None:
        self._hub = hub
        self._permits = permits

    async def take(
        self, endpoint: Endpoint, answer: ResponseDetails, sent_s: float
    ) -> None:
        """Record the backpressure in a response, if it comes from the given endpoint.

        Parameters
        ----------
        sent_s : float
            When the request that was answered was sent.
        """
        if answer.endpoint not in (None, endpoint.name):
            return
        for name in answer.unreadable:
            self._hub.log.info("answer.unreadable", endpoint=endpoint.name, field=name)
        self._record_draining(endpoint, answer)
        self._record_pause(endpoint, answer)
        await self._record_limit(endpoint, answer, sent_s)
        await self._record_brittle_limit(endpoint, answer, sent_s)

    def _record_draining(self, endpoint: Endpoint, answer: ResponseDetails) -> None:
        if answer.leaves and endpoint.pressure.record_draining():
            self._hub.metrics.count("endpoint_leavings")
            self._hub.log.info("endpoint.leaving", endpoint=endpoint.name)
            self._hub.engines_changed.tell()

    def _record_pause(self, endpoint: Endpoint, answer: ResponseDetails) -> None:
        if answer.retry_after_s is None:
            return
        endpoint.pressure.record_pause(answer.retry_after_s, anyio.current_time())
        self._hub.metrics.count("endpoint_rests")
        self._hub.log.info(
            "endpoint.resting", endpoint=endpoint.name, rest_s=answer.retry_after_s
        )
        self._hub.engines_changed.tell()

    async def _record_limit(
        self, endpoint: Endpoint, answer: ResponseDetails, sent_s: float
    ) -> None:
        if answer.limit_per_s is None:
            # Only an authenticated response may end a limit, and only one to a later
            # request: others may have been under way when the limit was set.
            is_later = sent_s > endpoint.pressure.limit_heard_s
            if not endpoint.pressure.is_limited or not (answer.genuine and is_later):
                return
        before_per_s = endpoint.pressure.limit_per_s
        if not endpoint.pressure.update_limit(answer.limit_per_s, anyio.current_time()):
            return
        self._hub.metrics.count(
            "endpoint_limits", "ended" if answer.limit_per_s is None else "named"
        )
        self._hub.log.info(
            "endpoint.limited",
            endpoint=endpoint.name,
            limit_per_s=answer.limit_per_s,
            before_per_s=before_per_s,
            source="answer",
        )
        await self._permits.report_limit(endpoint)

    async def _record_brittle_limit(
        self, endpoint: Endpoint, answer: ResponseDetails, sent_s: float
    ) -> None:
        pressure, per_s = endpoint.pressure, answer.brittle_per_s
        # As above: only a later, authenticated response may end the limit.
        is_later = answer.genuine and sent_s > pressure.brittle_heard_s
        is_valid = per_s is not None or is_later
        if is_valid and pressure.update_brittle_limit(per_s, anyio.current_time()):
            self._hub.log.info(
                "endpoint.brittle", endpoint=endpoint.name, turned_away_per_s=per_s
            )
            self._hub.engines_changed.tell()
        if answer.turned_away and pressure.is_brittle:
            await self._permits.turned_away(endpoint)
