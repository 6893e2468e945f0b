"""Has calls wait while a loss is not judged that they, or others like them, may cause.

Without it a call that ends endpoints goes to the next one before the first loss is
known, and calls that share a deadly part go to one endpoint each at once.
"""

from collections import Counter

from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.hub import Hub

HELD_S = 1.0
"""Longest wait of a call, after which it is sent: most suspects are innocent."""

LOOK_S = 0.05
"""Pause between looks, where nothing changes."""


class SuspectCalls:
    """The calls of this host that something is held against.

    Parameters
    ----------
    hub : Hub
        The ledger of crashes.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._running: Counter[str] = Counter()

    async def admit(self, call: Call) -> float:
        """Wait until a call may be sent; return for how long it is refused instead.

        One call at a time is sent of those that share something suspected.
        """
        crashes = self._hub.crashes
        until_s = loop_time_s() + min(HELD_S, call.left_s)
        while True:
            now_s = loop_time_s()
            refused_s = crashes.refused_for_s(call.mark, now_s, call.parts)
            if refused_s:
                return refused_s
            if now_s >= until_s or not self._waits(call, now_s):
                break
            await self._hub.losses_changed.wait(LOOK_S)
        call.suspects = crashes.find_suspects(call.mark, call.parts, now_s)
        self._running.update(call.suspects)
        return 0.0

    def _waits(self, call: Call, now_s: float) -> bool:
        crashes = self._hub.crashes
        if crashes.is_verdict_pending(call.mark, call.parts, now_s):
            return True
        suspects = crashes.find_suspects(call.mark, call.parts, now_s)
        return any(self._running[each] > 0 for each in suspects)

    def release(self, call: Call) -> None:
        """Record that a call that was admitted runs no more."""
        self._running -= Counter(call.suspects)
        if call.suspects:
            self._hub.losses_changed.tell()
        call.suspects = ()
