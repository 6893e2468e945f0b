"""Takes what endpoints ask for in their answers."""

import anyio

from knapweedbridge_core.serving import Endpoint
from knapweedbridge_daemon.serving.dialects import ResponseDetails
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.permits import Permits


class BackpressureRecorder:
    """Reads backpressure from the answers of endpoints.

    Parameters
    ----------
    hub : Hub
        Log and measures.
    permits : Permits
        Is told of limits.
    """

    def __init__(self, hub: Hub, permits: Permits) -> None:
        self._hub = hub
        self._permits = permits

    async def take(
        self, endpoint: Endpoint, answer: ResponseDetails, sent_s: float
    ) -> None:
        """Take what an answer of an endpoint asks for, if it is that endpoint's.

        Parameters
        ----------
        sent_s : float
            When the call or order was sent.
        """
        if answer.endpoint not in (None, endpoint.name):
            return
        for name in answer.unreadable:
            self._hub.log.info("answer.unreadable", endpoint=endpoint.name, field=name)
        self._take_leaving(endpoint, answer)
        self._take_rest(endpoint, answer)
        await self._take_limit(endpoint, answer, sent_s)
        await self._take_brittle(endpoint, answer, sent_s)

    def _take_leaving(self, endpoint: Endpoint, answer: ResponseDetails) -> None:
        if answer.leaves and endpoint.pressure.record_draining():
            self._hub.metrics.count("endpoint_leavings")
            self._hub.log.info("endpoint.leaving", endpoint=endpoint.name)
            self._hub.engines_changed.tell()

    def _take_rest(self, endpoint: Endpoint, answer: ResponseDetails) -> None:
        if answer.retry_after_s is None:
            return
        endpoint.pressure.record_pause(answer.retry_after_s, anyio.current_time())
        self._hub.metrics.count("endpoint_rests")
        self._hub.log.info(
            "endpoint.resting", endpoint=endpoint.name, rest_s=answer.retry_after_s
        )
        self._hub.engines_changed.tell()

    async def _take_limit(
        self, endpoint: Endpoint, answer: ResponseDetails, sent_s: float
    ) -> None:
        if answer.limit_per_s is None:
            # Only an answer that is surely the endpoint's own may end a limit, and only
            # one to a later call: others may have been on their way as it was named.
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

    async def _take_brittle(
        self, endpoint: Endpoint, answer: ResponseDetails, sent_s: float
    ) -> None:
        pressure, per_s = endpoint.pressure, answer.brittle_per_s
        # As with a limit: only a later answer that is surely its own may end it.
        is_later = answer.genuine and sent_s > pressure.brittle_heard_s
        counts = per_s is not None or is_later
        if counts and pressure.update_brittle_limit(per_s, anyio.current_time()):
            self._hub.log.info(
                "endpoint.brittle", endpoint=endpoint.name, turned_away_per_s=per_s
            )
            self._hub.engines_changed.tell()
        if answer.turned_away and pressure.is_brittle:
            await self._permits.turned_away(endpoint)
