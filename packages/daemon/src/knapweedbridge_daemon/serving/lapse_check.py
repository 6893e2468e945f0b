"""Check the store before endpoints whose entries expired are taken out of use."""

import anyio

from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.store_calls import CALL_EVERY_S

CHECK_AHEAD_S = 0.3
"""How long before the end of a grace period the store is called: it answers within
milliseconds, or within a quarter of a second if it is slow."""

EXTENSION_S = 0.25
"""Extension of the grace periods at a time while the store has not answered."""

EXTENSION_INTERVAL_S = 0.1
"""Interval between extensions."""

IDLE_S = 1.0
"""Longest pause between checks while nothing changes."""


class LapseCheck:
    """Task that keeps expired endpoints in use through a further outage.

    An endpoint whose entry expired in an outage is listed again within two seconds of
    the store's return, which is its grace period. If the store fails again before that,
    the end of the grace period says nothing about the endpoint, which would be out of
    use until the second outage is over. So the grace period ends only once the store
    has answered a call made near its end.

    Parameters
    ----------
    hub : Hub
        Shared state, and the store.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    async def run(self) -> None:
        """Check grace periods that are about to end, until cancelled."""
        fleet = self._hub.cluster.fleet
        while True:
            ends_s = fleet.lapse_ends_s(anyio.current_time())
            if ends_s is None:
                await self._hub.cluster_changed.wait(IDLE_S)
                continue
            await anyio.sleep_until(ends_s - CHECK_AHEAD_S)
            ends_s = fleet.lapse_ends_s(anyio.current_time())
            if ends_s is not None and ends_s - CHECK_AHEAD_S <= anyio.current_time():
                await self._check(ends_s)

    async def _check(self, ends_s: float) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._extend)
            failures = await self._await_answer()
            tasks.cancel_scope.cancel()
        fleet = self._hub.cluster.fleet
        new_end_s = max(ends_s, self._hub.outage.lapsed_until_s)
        fleet.end_lapses(new_end_s)
        fleet.extend_lapses(new_end_s, anyio.current_time())
        if failures:
            self._hub.log.info(
                "endpoint.lapse_prolonged",
                endpoints=fleet.unlisted_count(),
                failures=failures,
                for_s=round(new_end_s - ends_s, 3),
            )
        await anyio.sleep_until(new_end_s)

    async def _extend(self) -> None:
        while True:
            now_s = anyio.current_time()
            self._hub.cluster.fleet.extend_lapses(now_s + EXTENSION_S, now_s)
            await anyio.sleep(EXTENSION_INTERVAL_S)

    async def _await_answer(self) -> int:
        """Call the store until it answers; return how many calls failed.

        Freshness that a relay proves counts as an answer: the store may reject this
        daemon and serve the others.
        """
        store = self._hub.dialects.store
        prefix = self._hub.dialects.daemon_keys.secret
        asked_s = self._hub.steady_s()
        failures = 0
        while self._known_until_s() <= asked_s:
            began_s = anyio.current_time()
            try:
                await store.read_items(prefix)
            except StoreError:
                failures += 1
                self._hub.outage.failed(began_s)
                await anyio.sleep_until(began_s + CALL_EVERY_S)
            else:
                self._hub.outage.answered(anyio.current_time())
                break
        return failures

    def _known_until_s(self) -> float:
        """Return until when the store's changes are known, by the steady clock."""
        now_s = self._hub.steady_s()
        return now_s - self._hub.store_age.age_s(now_s)
