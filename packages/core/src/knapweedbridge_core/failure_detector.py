"""The suspicions of one daemon, and what it tries for others."""

from collections.abc import Callable

from knapweedbridge_core import messages
from knapweedbridge_core.context import Context
from knapweedbridge_core.suspicion import Finding, Suspicion, Trial

ANSWER_SHARE = 0.5


class FailureDetector:
    """Notices silence of neighbours and has it confirmed by others.

    Parameters
    ----------
    context : Context
        What the sides of the daemon share.
    declare_dead : callable
        Takes the name of a member whose death is confirmed.
    """

    def __init__(self, context: Context, declare_dead: Callable[[str], None]) -> None:
        self._context = context
        self._declare_dead = declare_dead
        self._heard_s: dict[str, float] = {}
        self._open: dict[str, Suspicion] = {}
        self._trials: list[Trial] = []
        self._bad_links: set[str] = set()
        self._heard_any_s = context.now_s
        self.isolated = False

    def heard(self, host: str) -> None:
        """Note that a daemon was heard."""
        self._heard_s[host] = self._context.now_s
        self._heard_any_s = self._context.now_s
        self._open.pop(host, None)
        self._bad_links.discard(host)
        self.isolated = False
        answered = [trial for trial in self._trials if trial.host == host]
        for trial in answered:
            self._trials.remove(trial)
            self._context.send(trial.asker, messages.IndirectProbeResponse(host, True))

    def excuse(self, host: str) -> None:
        """Count a daemon's silence from now on."""
        self._heard_s[host] = self._context.now_s
        self._open.pop(host, None)

    def excuse_all(self, now_s: float) -> None:
        """Blame nobody for a time in which this daemon itself was stopped."""
        self._heard_s = dict.fromkeys(self._heard_s, now_s)
        self._open.clear()
        self._trials.clear()

    def open(self, host: str) -> None:
        """Suspect a daemon, and ask others about it."""
        if host not in self._open:
            self._open[host] = Suspicion(host)
            self._ask(self._open[host])

    def tick(self, neighbours: list[str]) -> None:
        """Suspect silent neighbours, and draw what follows from answers."""
        now_s = self._context.now_s
        self._forget_others(neighbours)
        for host in neighbours:
            heard_s = self._heard_s.setdefault(host, now_s)
            if now_s - heard_s >= self._context.silence_s:
                self.open(host)
        for suspicion in list(self._open.values()):
            self._conclude(suspicion)
        for trial in [trial for trial in self._trials if now_s >= trial.ends_s]:
            self._trials.remove(trial)
            self._context.send(
                trial.asker, messages.IndirectProbeResponse(trial.host, False)
            )

    def asked(self, message: messages.IndirectProbeRequest) -> None:
        """Try a daemon for another one."""
        wait_s = self._context.silence_s * ANSWER_SHARE
        ends_s = self._context.now_s + wait_s
        self._trials.append(Trial(message.host, self._context.sender, ends_s))
        self._context.send(message.host, messages.ProbeRequest())

    def told(self, message: messages.IndirectProbeResponse) -> None:
        """Take what a helper found."""
        suspicion = self._open.get(message.host)
        if suspicion is None:
            return
        if message.answered:
            self._note_bad_link(message.host)
            self.excuse(message.host)
        elif self._context.sender in suspicion.asked:
            suspicion.denied.add(self._context.sender)
            self._conclude(suspicion)

    def _note_bad_link(self, host: str) -> None:
        if host not in self._bad_links:
            self._bad_links.add(host)
            self._context.record("peer.link_bad", peer=host)

    def _ask(self, suspicion: Suspicion) -> None:
        others = [
            member.name
            for member in self._context.members.peers()
            if member.name not in self._open
        ]
        wait_s = self._context.silence_s * (0.5 + ANSWER_SHARE)
        message = messages.IndirectProbeRequest(suspicion.host)
        for helper in suspicion.ask(others, self._context.now_s, wait_s):
            self._context.send(helper, message)

    def _conclude(self, suspicion: Suspicion) -> None:
        now_s = self._context.now_s
        finding = suspicion.finding(now_s, len(self._open))
        if finding is Finding.DEAD:
            self._open.pop(suspicion.host, None)
            self._declare_dead(suspicion.host)
            return
        if finding is Finding.ISOLATED:
            silence_s = now_s - self._heard_any_s
            self.isolated = silence_s >= self._context.silence_s
        if now_s >= suspicion.ends_s:
            self._ask(suspicion)

    def _forget_others(self, neighbours: list[str]) -> None:
        kept = {*neighbours, *self._open}
        self._heard_s = {
            host: at_s for host, at_s in self._heard_s.items() if host in kept
        }
        gone = [host for host in self._open if self._context.members.get(host) is None]
        for host in gone:
            del self._open[host]
