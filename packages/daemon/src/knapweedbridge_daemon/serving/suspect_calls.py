"""Delays calls that may crash endpoints until the cause of a recent loss is known.

Without the delay a call that crashes endpoints is sent to the next one before the first
loss is known, and calls that share a crashing part are sent to one endpoint each at
once.
"""

from collections import Counter

from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.hub import Hub

MAX_DELAY_S = 1.0
"""Longest delay of a call, after which it is sent: most suspects are harmless."""

POLL_INTERVAL_S = 0.05
"""Longest pause between checks of a delayed call."""


class SuspectCalls:
    """Admits suspected calls of this host one at a time.

    Parameters
    ----------
    hub : Hub
        The daemon's ledger of crashes.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._running: Counter[str] = Counter()

    async def admit(self, call: Call) -> float:
        """Wait until a call may be sent.

        Of the calls that share a suspected fingerprint one is sent at a time.

        Returns
        -------
        refused_s : float
            For how long the call is refused instead; 0: it may be sent.
        """
        crashes = self._hub.crashes
        until_s = loop_time_s() + min(MAX_DELAY_S, call.left_s)
        while True:
            now_s = loop_time_s()
            refused_s = crashes.refused_for_s(call.mark, now_s, call.parts)
            if refused_s:
                return refused_s
            if now_s >= until_s or not self._must_wait(call, now_s):
                break
            await self._hub.losses_changed.wait(POLL_INTERVAL_S)
        call.suspects = crashes.find_suspects(call.mark, call.parts, now_s)
        self._running.update(call.suspects)
        return 0.0

    def _must_wait(self, call: Call, now_s: float) -> bool:
        crashes = self._hub.crashes
        if crashes.is_verdict_pending(call.mark, call.parts, now_s):
            return True
        suspects = crashes.find_suspects(call.mark, call.parts, now_s)
        return any(self._running[each] > 0 for each in suspects)

    def release(self, call: Call) -> None:
        """Record that an admitted call has ended."""
        self._running -= Counter(call.suspects)
        if call.suspects:
            self._hub.losses_changed.tell()
        call.suspects = ()
