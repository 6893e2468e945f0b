"""Asks the store again before endpoints whose entries lapsed go out of use."""

import anyio

from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.store_calls import CALL_EVERY_S

CHECK_BEFORE_S = 0.3
"""How long before a lapse ends the store is asked: it answers in milliseconds, or in a
quarter of a second where it is slow."""

HOLD_S = 0.25
"""By how much lapses are prolonged at a time while the store has not answered."""

HOLD_EVERY_S = 0.1
"""Pause between prolongations."""

IDLE_S = 1.0
"""Longest pause between looks while nothing changes."""


class LapseCheck:
    """The task that keeps lapsed endpoints in use through a further outage.

    An endpoint whose entry lapsed in an outage is listed again within two seconds of
    the store's return. Where the store goes away again before that, the end of the
    grace says nothing of the endpoint: it went out of use until the second outage was
    over. So the grace ends only once the store has answered a call made near its end.

    Parameters
    ----------
    hub : Hub
        Beliefs, and the store that is asked.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    async def run(self) -> None:
        """Look at the lapses that are about to end, until cancelled."""
        fleet = self._hub.cluster.fleet
        while True:
            ends_s = fleet.lapse_ends_s(anyio.current_time())
            if ends_s is None:
                await self._hub.cluster_changed.wait(IDLE_S)
                continue
            await anyio.sleep_until(ends_s - CHECK_BEFORE_S)
            ends_s = fleet.lapse_ends_s(anyio.current_time())
            if ends_s is not None and ends_s - CHECK_BEFORE_S <= anyio.current_time():
                await self._check(ends_s)

    async def _check(self, ends_s: float) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._hold)
            failures = await self._await_answer()
            tasks.cancel_scope.cancel()
        fleet = self._hub.cluster.fleet
        over_s = max(ends_s, self._hub.outage.lapsed_until_s)
        fleet.end_lapses(over_s)
        fleet.extend_lapses(over_s, anyio.current_time())
        if failures:
            self._hub.log.info(
                "endpoint.lapse_prolonged",
                endpoints=fleet.unlisted_count(),
                failures=failures,
                for_s=round(over_s - ends_s, 3),
            )
        await anyio.sleep_until(over_s)

    async def _hold(self) -> None:
        while True:
            now_s = anyio.current_time()
            self._hub.cluster.fleet.extend_lapses(now_s + HOLD_S, now_s)
            await anyio.sleep(HOLD_EVERY_S)

    async def _await_answer(self) -> int:
        """Call the store until it answers; return how many calls failed.

        What a relay proves of the store counts as its answer: the store may turn this
        daemon away and serve the others.
        """
        store = self._hub.dialects.store
        prefix = self._hub.dialects.daemon_keys.secret
        asked_s = self._hub.steady_s()
        failures = 0
        while self._proved_s() <= asked_s:
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

    def _proved_s(self) -> float:
        """Return up to when the store's changes are known, by the steady clock."""
        now_s = self._hub.steady_s()
        return now_s - self._hub.store_age.age_s(now_s)
