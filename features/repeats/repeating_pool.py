"""Nine hosts that repeat all they may, and what arrives of that, in virtual time."""

import random

from knapweedbridge_core.serving import RetryBudget, RetryRecord

STEP_S = 0.1

KILLED_S = {
    "all start again": (15.0,),
    "all start again three times": (15.0, 19.0, 22.0),
    "most start again": (15.0,),
    "all start again while records have lapsed": (15.0,),
    "all start again while the store is away": (15.0,),
    "all start again as the store returns": (23.5,),
}
"""When hosts are killed, by story."""


def split_due(timed, now_s):
    """Return what is due, and the rest with its times."""
    due = [each for due_s, each in timed if due_s <= now_s + 1e-6]
    return due, [each for each in timed if each[0] > now_s + 1e-6]


class RepeatingHost:
    """One host with its processes, and its record in the store."""

    def __init__(self, pool):
        self._pool = pool
        self.down_until_s = 0.0
        self.frozen_until_s = 0.0
        self.record = None
        self.waiting, self.sent = [], []
        self.start(0.0)

    def start(self, now_s):
        """Start a process."""
        pool = self._pool
        self.budget = RetryBudget(pool.ratio, pool.slack, pool.window_s, now_s)
        self.waiting.clear()
        self.sent.clear()
        if not pool.is_store_away():
            self._read(now_s)

    def request(self, now_s):
        """Receive a request."""
        self.budget.record_daemons(self._pool.listed(), now_s)
        self.budget.record_request("s", now_s)

    def grant(self, now_s):
        """Return the grant of one more repeat, or None."""
        self.budget.record_daemons(self._pool.listed(), now_s)
        grant = self.budget.grant("s", now_s)
        if grant is None and self.budget.may_reserve("s", now_s):
            self._reserve(now_s)
            grant = self.budget.grant("s", now_s)
        return grant

    def send_due(self, now_s):
        """Send the granted repeats that have waited for long enough."""
        due, self.waiting = split_due(self.waiting, now_s)
        for grant in due:
            if not grant.is_valid(now_s):
                self.budget.give_back(grant, now_s)
                grant = self.grant(now_s)
            if grant is not None:
                self.sent.append((self._pool.arrival_s(), grant))

    def deliver_due(self, now_s):
        """Return how many repeats arrive."""
        due, self.sent = split_due(self.sent, now_s)
        for grant in due:
            self.budget.settle(grant, now_s)
        return len(due)

    def _read(self, now_s):
        """Read the record of the previous process, as `RetryReserver` does."""
        age_s = self.record.age_s(now_s, now_s) if self.record else 0.0
        self.budget.record_previous(self.record, age_s, now_s)
        services = self.budget.describe(now_s)
        if services:
            self.record = RetryRecord(services, now_s, now_s, 0)

    def _reserve(self, now_s):
        """Reserve repeats in the store, as `RetryReserver` does."""
        if self._pool.is_store_away():
            return
        if self.budget.needs_record:
            self._read(now_s)
        reservation = self.budget.plan_reservation("s", now_s)
        if reservation is not None:
            self.record = RetryRecord(reservation.services, now_s, now_s, 0)
            self.budget.confirm_reservation(reservation, now_s)


class RepeatingPool:
    """Hosts of which some start again, while all requests fail.

    Parameters
    ----------
    story : str
        What happens to the hosts.
    requests_per_s : int
        Requests of each host that is up.
    failing_from_s : float
        When requests begin to fail.
    """

    ratio, slack, window_s, hosts = 0.2, 58, 10.0, 9

    def __init__(self, story, requests_per_s, failing_from_s):
        self.story = story
        self.requests_per_s = requests_per_s
        self.failing_from_s = failing_from_s
        self.now_s = 0.0
        self.requests_s, self.arrivals_s = [], []
        self._luck = random.Random(7)
        self._hosts = [RepeatingHost(self) for _ in range(self.hosts)]

    def play(self, seconds):
        """Let time pass."""
        for step in range(round(seconds / STEP_S)):
            self.now_s = step * STEP_S
            for number in self._killed(step):
                self._kill(self._hosts[number])
            if "frozen" in self.story and step == 150:
                for host in self._hosts[:4]:
                    host.frozen_until_s = self.now_s + 6.0
            for host in self._hosts:
                self._step(host, step)

    def _kill(self, host):
        host.down_until_s = self.now_s + 0.5
        host.start(host.down_until_s)

    def _killed(self, step):
        """Return which hosts are killed in a step."""
        if any(step == round(at_s / STEP_S) for at_s in KILLED_S.get(self.story, ())):
            return range(6 if "most" in self.story else self.hosts)
        if "one after the other" in self.story and step >= 120 and step % 10 == 0:
            return [step // 10 % self.hosts]
        if "at random" in self.story and step >= 150:
            return [n for n in range(self.hosts) if self._luck.random() < 0.02]
        return []

    def listed(self):
        """Return how many hosts each one lists."""
        if "list the others late" in self.story and self.now_s < 0.6:
            return 1 + int(self.now_s / 0.1)
        if "loses their records" in self.story and 12 <= self.now_s < 13:
            return 1
        if "lapsed" in self.story and 14.0 <= self.now_s < 16.0:
            return min(self.hosts, 1 + int((self.now_s - 14.0) / 0.25))
        return self.hosts

    def is_store_away(self):
        """Return whether the store gives no answers."""
        return "the store" in self.story and 12.0 <= self.now_s < 24.0

    def arrival_s(self):
        """Return when a repeat that is sent now arrives."""
        is_held_up = "held up" in self.story and 13.0 <= self.now_s < 19.0
        return 19.0 if is_held_up else self.now_s

    def _wait_s(self):
        """Return how long what is granted waits until it is sent."""
        return 3.0 if "waits" in self.story and self.now_s % 20 < 10 else 0.0

    def _step(self, host, step):
        if self.now_s < max(host.down_until_s, host.frozen_until_s):
            return
        every = round(1 / STEP_S / self.requests_per_s) or 1
        count = max(1, round(self.requests_per_s * STEP_S))
        for _ in range(count if step % every == 0 else 0):
            host.request(self.now_s)
            self.requests_s.append(self.now_s)
        while self.now_s >= self.failing_from_s:
            grant = host.grant(self.now_s)
            if grant is None:
                break
            host.waiting.append((self.now_s + self._wait_s(), grant))
        host.send_due(self.now_s)
        self.arrivals_s += [self.now_s] * host.deliver_due(self.now_s)

    def worst(self):
        """Return the most repeats in a window beyond what is allowed in it."""
        return max(
            self.count(self.arrivals_s, at_s) - self.allowed(at_s)
            for at_s in sorted(set(self.arrivals_s))
        )

    def count(self, times_s, from_s, for_s=window_s):
        """Return how many times lie in a span."""
        return sum(from_s - 1e-6 <= each < from_s + for_s - 1e-6 for each in times_s)

    def allowed(self, from_s):
        """Return how many repeats are allowed in the window from a moment on."""
        starts_s = (from_s, from_s - self.window_s / 2, from_s - self.window_s)
        most = max(self.count(self.requests_s, each) for each in starts_s)
        return self.ratio * most + self.slack
