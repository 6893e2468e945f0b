"""The promises as rules on a recorded history.

A rule excuses a record only by a fault that the run itself brought about and
that takes from the daemon the means to keep the promise; each rule names them.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from knapweedbridge_standins.runs.history import History
from knapweedbridge_standins.runs.records import (
    Accepted,
    Answer,
    EvictedWhileRunning,
    GenerationSeen,
    Leaving,
    OrderSeen,
    Outcome,
    RequestEnded,
    RunSeen,
    Stopped,
)

LEAVING_S = 5.0
IN_FORCE_S = 6.0
AFTER_FAULT_S = 5.0
POISON_PREFIX = "poison-"
MOST_POISONED = 2

HOST_GONE = ("kill", "freeze")
STORE_FAULTS = ("store_down", "store_slow", "store_restored")
NETWORK_FAULTS = ("cut", "silence")
ENDPOINT_FAULTS = ("engine_restart", "poison")


@dataclass(slots=True, frozen=True)
class Violation:
    """A broken promise with its evidence."""

    promise: str
    at_s: float
    detail: str


class Rule(ABC):
    """One promise.

    Attributes
    ----------
    promise : str
        The promise in the words of the page of proofs.
    """

    promise = ""

    @abstractmethod
    def check(self, history: History) -> Iterator[Violation]:
        """Yield what breaks the promise."""

    def broken(self, at_s: float, detail: str) -> Violation:
        """Make a violation of this rule."""
        return Violation(self.promise, at_s, detail)


class RightAdapter(Rule):
    """The answer and the run are those of the adapter version named."""

    promise = "runs on the adapter and version it names"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; no fault excuses a wrong answer."""
        runs = history.runs_by_nonce()
        for nonce, requests in history.requests_by_nonce().items():
            asked = {request.model for request in requests}
            for request in requests:
                if request.answer == Answer.WRONG:
                    detail = f"wrong answer for {request.model} on {request.host}"
                    yield self.broken(request.ended_s, f"{detail}: {nonce}")
            for run in runs.get(nonce, []):
                if run.model not in asked:
                    detail = f"{run.by} ran {run.model}, asked for {sorted(asked)}"
                    yield self.broken(run.at_s, f"{detail}: {nonce}")


class NeverEvicted(Rule):
    """No engine evicts an adapter under an attempt that is read."""

    promise = "an adapter that serves is never evicted"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; no fault excuses it."""
        for evicted in history.of(EvictedWhileRunning):
            detail = f"{evicted.by} evicted {evicted.model} under {evicted.attempts}"
            yield self.broken(evicted.at_s, detail)


class WholeAnswer(Rule):
    """A clean end means the whole answer, and that something ran."""

    promise = "each caller receives the whole answer"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; no fault excuses it."""
        runs = history.runs_by_nonce()
        for nonce, requests in history.requests_by_nonce().items():
            for request in requests:
                if request.outcome != Outcome.COMPLETE:
                    continue
                if request.answer != Answer.RIGHT:
                    detail = f"clean end with a {request.answer} answer: {nonce}"
                    yield self.broken(request.ended_s, detail)
                if not runs.get(nonce):
                    yield self.broken(request.ended_s, f"nothing ran: {nonce}")


class NotRun(Rule):
    """What was told as not run was not run."""

    promise = "told not run means not run"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; a repeat with another outcome may have run it."""
        runs = history.runs_by_nonce()
        never = {Outcome.NOT_RUN, Outcome.REFUSED}
        for nonce, requests in history.requests_by_nonce().items():
            told = all(request.outcome in never for request in requests)
            for run in runs.get(nonce, []) if told else []:
                detail = f"{run.by} ran what {requests[0].host} called not run"
                yield self.broken(run.at_s, f"{detail}: {nonce}")


class AtMostOnce(Rule):
    """Non-idempotent work runs at most once over all endpoints."""

    promise = "a non-idempotent request runs at most once"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; no fault excuses it."""
        runs = history.runs_by_nonce()
        for nonce, requests in history.requests_by_nonce().items():
            found = runs.get(nonce, [])
            if any(request.non_idempotent for request in requests) and len(found) > 1:
                places = ", ".join(f"{run.by} at {run.at_s:.2f}" for run in found)
                yield self.broken(found[1].at_s, f"ran {len(found)} times: {places}")


class LeavingLeft(Rule):
    """A leaving endpoint gets no new work after a few seconds."""

    promise = "a leaving endpoint receives no new work"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; a daemon frozen meanwhile is excused."""
        for leaving in history.of(Leaving):
            for run in history.of(RunSeen):
                late = leaving.began_s + LEAVING_S < run.at_s < leaving.ended_s
                if run.by != leaving.endpoint or not late:
                    continue
                if history.faults(("freeze",), run.at_s - AFTER_FAULT_S, run.at_s):
                    continue
                after_s = run.at_s - leaving.began_s
                yield self.broken(run.at_s, f"{run.by} got work {after_s:.1f} s after")


class GracefulWhole(Rule):
    """A graceful stop cuts no request in flight."""

    promise = "a graceful shutdown cuts no request in flight"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; excused where the host was also killed or frozen.

        An explicit error is excused where an endpoint or its link failed in
        the request's time.
        """
        for stopped in history.of(Stopped):
            if stopped.exit_code != 0:
                detail = f"{stopped.host} ended with code {stopped.exit_code}"
                yield self.broken(stopped.ended_s, detail)
            for request in history.of(RequestEnded):
                if self._was_cut(request, stopped, history):
                    detail = f"{request.nonce} on {request.host}: {request.outcome}"
                    yield self.broken(request.ended_s, f"{detail} {request.reason}")

    @staticmethod
    def _was_cut(request: RequestEnded, stopped: Stopped, history: History) -> bool:
        in_flight = request.began_s < stopped.began_s <= request.ended_s
        if request.host != stopped.host or not in_flight:
            return False
        span = (request.began_s, request.ended_s)
        if history.faults(HOST_GONE, *span, target=request.host):
            return False
        if request.outcome in (Outcome.BROKEN, Outcome.UNANSWERED):
            return True
        failed = history.faults(ENDPOINT_FAULTS + NETWORK_FAULTS, *span)
        return request.outcome == Outcome.UNKNOWN and not failed


class Answered(Rule):
    """Every request gets its final answer."""

    promise = "each request gets a final answer"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; excused where its host was killed or frozen."""
        for request in history.of(RequestEnded):
            if request.outcome not in (Outcome.BROKEN, Outcome.UNANSWERED):
                continue
            span = (request.began_s, request.ended_s)
            if not history.faults(HOST_GONE, *span, target=request.host):
                waited_s = request.ended_s - request.began_s
                detail = f"{request.host} {request.model} {request.outcome}"
                detail = f"{detail} after {waited_s:.1f} s: {request.nonce}"
                yield self.broken(request.ended_s, f"{detail} {request.reason}")


class NeverReverts(Rule):
    """The generation in force on a host never falls while it lives."""

    promise = "a configuration never reverts to an older one"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; no fault excuses it."""
        highest: dict[tuple[str, int], int] = {}
        for seen in sorted(history.of(GenerationSeen), key=lambda held: held.at_s):
            life = (seen.host, seen.start)
            if seen.generation < highest.get(life, 0):
                detail = f"{seen.host}: {seen.generation} after {highest[life]}"
                yield self.broken(seen.at_s, detail)
            highest[life] = max(highest.get(life, 0), seen.generation)


class InForce(Rule):
    """An accepted generation is in force on every live host within seconds."""

    promise = "an accepted configuration is in force everywhere within 6 s"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`.

        Excused for a host that started, was frozen or was cut off less than
        6 s ago, and while the key-value service was down or slow.
        """
        accepted = sorted(history.of(Accepted), key=lambda held: held.at_s)
        for seen in history.of(GenerationSeen):
            due_s = seen.at_s - IN_FORCE_S
            due = [held.generation for held in accepted if held.at_s < due_s]
            if not due or seen.generation >= max(due) or seen.started_s > due_s:
                continue
            span = (due_s - AFTER_FAULT_S, seen.at_s)
            excused = history.faults(STORE_FAULTS, *span)
            excused += history.faults(("freeze",), *span, target=seen.host)
            if not excused:
                detail = f"{seen.host}: {seen.generation}, {max(due)} was accepted"
                yield self.broken(seen.at_s, detail)


class AcceptedOnce(Rule):
    """Of racing operators one is told that a generation is accepted."""

    promise = "one operator wins a generation"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; no fault excuses it."""
        accepted = history.of(Accepted)
        times = Counter(held.generation for held in accepted)
        for held in accepted:
            if times[held.generation] > 1:
                detail = f"generation {held.generation} told to {held.operator}"
                yield self.broken(held.at_s, detail)


class OldOrders(Rule):
    """No engine that checks fencing numbers carries out an old order."""

    promise = "an old order is not carried out where it is checked"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; engines that do not check never refuse an order."""
        refusing = {order.by for order in history.of(OrderSeen) if not order.accepted}
        for order in history.of(OrderSeen):
            if order.by in refusing and order.old and order.accepted:
                detail = f"{order.by}: {order.order} {order.model} by {order.number}"
                yield self.broken(order.at_s, detail)


class PoisonStopped(Rule):
    """A request that crashes each engine that runs it is refused after two."""

    promise = "a request that crashes endpoints costs two at most"

    def check(self, history: History) -> Iterator[Violation]:
        """See `Rule.check`; no fault excuses it."""
        for nonce, runs in history.runs_by_nonce().items():
            if nonce.startswith(POISON_PREFIX) and len(runs) > MOST_POISONED:
                places = ", ".join(f"{run.by} at {run.at_s:.2f}" for run in runs)
                detail = f"{nonce} ran {len(runs)} times: {places}"
                yield self.broken(runs[MOST_POISONED].at_s, detail)


RULES: tuple[Rule, ...] = (
    RightAdapter(),
    NeverEvicted(),
    WholeAnswer(),
    NotRun(),
    AtMostOnce(),
    LeavingLeft(),
    GracefulWhole(),
    Answered(),
    NeverReverts(),
    InForce(),
    AcceptedOnce(),
    OldOrders(),
    PoisonStopped(),
)


def check(history: History) -> list[Violation]:
    """Return all violations of all rules."""
    return [violation for rule in RULES for violation in rule.check(history)]
