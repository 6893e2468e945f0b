"""Failure detection: silence of neighbours, confirmed by probes of other members."""

from collections.abc import Callable

from knapweedbridge_core import messages
from knapweedbridge_core.context import Context
from knapweedbridge_core.suspicion import IndirectProbe, Suspicion, SuspicionResult

PROBE_TIMEOUT_SHARE = 0.5


class FailureDetector:
    """Suspect silent neighbours and have other members probe them.

    Parameters
    ----------
    context : Context
        State that the sides of the daemon share.
    declare_dead : callable
        Called with the name of a member whose failure is confirmed.
    """

    def __init__(self, context: Context, declare_dead: Callable[[str], None]) -> None:
        self._context = context
        self._declare_dead = declare_dead
        self._heard_s: dict[str, float] = {}
        self._open: dict[str, Suspicion] = {}
        self._probes: list[IndirectProbe] = []
        self._bad_links: set[str] = set()
        self._heard_any_s = context.now_s
        self.isolated = False

    def record_message(self, host: str) -> None:
        """Record that a message arrived from a daemon."""
        self._heard_s[host] = self._context.now_s
        self._heard_any_s = self._context.now_s
        self._open.pop(host, None)
        self._bad_links.discard(host)
        self.isolated = False
        answered = [probe for probe in self._probes if probe.host == host]
        for probe in answered:
            self._probes.remove(probe)
            self._context.send(
                probe.requester, messages.IndirectProbeResponse(host, True)
            )

    def reset_silence(self, host: str) -> None:
        """Measure the silence of a daemon from now on."""
        self._heard_s[host] = self._context.now_s
        self._open.pop(host, None)

    def reset_all(self, now_s: float) -> None:
        """Discard all silence measured while this daemon itself was stopped."""
        self._heard_s = dict.fromkeys(self._heard_s, now_s)
        self._open.clear()
        self._probes.clear()

    def suspect(self, host: str) -> None:
        """Suspect a daemon, and ask other members to probe it."""
        if host not in self._open:
            self._open[host] = Suspicion(host)
            self._request_probes(self._open[host])

    def tick(self, neighbours: list[str]) -> None:
        """Suspect silent neighbours, and evaluate suspicions and probes."""
        now_s = self._context.now_s
        self._forget_others(neighbours)
        for host in neighbours:
            heard_s = self._heard_s.setdefault(host, now_s)
            if now_s - heard_s >= self._context.silence_s:
                self.suspect(host)
        for suspicion in list(self._open.values()):
            self._evaluate(suspicion)
        for probe in [probe for probe in self._probes if now_s >= probe.ends_s]:
            self._probes.remove(probe)
            self._context.send(
                probe.requester, messages.IndirectProbeResponse(probe.host, False)
            )

    def handle_request(self, message: messages.IndirectProbeRequest) -> None:
        """Probe a daemon on behalf of another one."""
        wait_s = self._context.silence_s * PROBE_TIMEOUT_SHARE
        ends_s = self._context.now_s + wait_s
        self._probes.append(IndirectProbe(message.host, self._context.sender, ends_s))
        self._context.send(message.host, messages.ProbeRequest())

    def handle_response(self, message: messages.IndirectProbeResponse) -> None:
        """Handle the result of a probe that this daemon requested."""
        suspicion = self._open.get(message.host)
        if suspicion is None:
            return
        if message.answered:
            self._record_bad_link(message.host)
            self.reset_silence(message.host)
        elif self._context.sender in suspicion.asked:
            suspicion.failed.add(self._context.sender)
            self._evaluate(suspicion)

    def _record_bad_link(self, host: str) -> None:
        if host not in self._bad_links:
            self._bad_links.add(host)
            self._context.record("peer.link_bad", peer=host)

    def _request_probes(self, suspicion: Suspicion) -> None:
        others = [
            member.name
            for member in self._context.members.peers()
            if member.name not in self._open
        ]
        wait_s = self._context.silence_s * (0.5 + PROBE_TIMEOUT_SHARE)
        message = messages.IndirectProbeRequest(suspicion.host)
        for helper in suspicion.begin_round(others, self._context.now_s, wait_s):
            self._context.send(helper, message)

    def _evaluate(self, suspicion: Suspicion) -> None:
        now_s = self._context.now_s
        result = suspicion.evaluate(now_s, len(self._open))
        if result is SuspicionResult.DEAD:
            self._open.pop(suspicion.host, None)
            self._declare_dead(suspicion.host)
            return
        if result is SuspicionResult.ISOLATED:
            silence_s = now_s - self._heard_any_s
            self.isolated = silence_s >= self._context.silence_s
        if now_s >= suspicion.ends_s:
            self._request_probes(suspicion)

    def _forget_others(self, neighbours: list[str]) -> None:
        kept = {*neighbours, *self._open}
        self._heard_s = {
            host: at_s for host, at_s in self._heard_s.items() if host in kept
        }
        gone = [host for host in self._open if self._context.members.get(host) is None]
        for host in gone:
            del self._open[host]
