"""State of one endpoint as a daemon knows it: adapters, load, failures."""

import math
from collections import deque
from dataclasses import dataclass, field

from knapweedbridge_core.serving.backpressure import Backpressure
from knapweedbridge_core.serving.endpoint_records import EndpointRecord, EndpointStart
from knapweedbridge_core.serving.messages import EngineDelta, EngineSnapshot
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.recent_adapters import RecentAdapters

BACKOFF_FIRST_S = 0.5
"""Back-off after a first failed connection: restarts of endpoints take seconds."""

BACKOFF_LONGEST_S = 2.0
"""Longest back-off, and so the longest time until an endpoint that is back is found."""

UPDATE_MAX_AGE_S = 3.0
"""Age of the owner's last update past which only the platform's list is used. Owners
publish each change in a small pool, and their relays one update each second in a
large one."""

LOAD_MAX_AGE_S = 1.0
"""How long the owner's count of the calls of all daemons is valid. Owners publish
changes within 0.06 s, so an older count means that nothing changed or that there is
no owner."""

OWNER_RESPONSE_TIMEOUT_S = 0.15
"""Owners respond to requests at once, over links of a few milliseconds. The lease of an
owner that stopped outlives it by seconds, in which its engines get no orders."""

REPORT_DELAY_S = 0.15
"""How long an owner's update takes that relays distribute to many daemons: it doesn't
yet count what a daemon reported to the owner later than that."""

MAX_REPORTS_KEPT = 4
"""Own reports that are kept: at most about ten are sent per second."""

FAILURE_HALF_LIFE_S = 3.0
"""Half-life of the failure share, so that one bad second stops counting soon."""


@dataclass(slots=True)
class HeldAdapter:
    """An adapter that an engine holds from ``ready_s`` on, and its running calls."""

    version: int
    ready_s: float
    users: int = 0
    used_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """Own calls that a daemon reported to an engine's owner, and when."""

    sent_s: float
    calls: int
    unread_tokens: int


NO_REPORTED_LOAD = ReportedLoad(-math.inf, 0, 0)


@dataclass(slots=True, eq=False)
class Endpoint:
    """State of one endpoint; compared by identity.

    Comparison field by field made a placement among 6,000 engines take 37 ms rather
    than 20 ms, and one among 62 engines 0.29 ms rather than 0.25 ms.

    Parameters
    ----------
    record : EndpointRecord
        The platform's entry.
    held : dict of ModelRef to HeldAdapter
        Adapters by the owner's updates, or by the platform's list until the first
        one.
    recent : RecentAdapters
        Adapters that the engine held recently and still has in memory.
    own_calls : int
        Calls of this daemon that run there.
    others_calls : int
        Calls of other daemons, by the owner's updates.
    own_unread_tokens, others_unread_tokens : int
        Prompt tokens that the engine has yet to read, of this daemon's calls and of
        others'.
    slowness, slowness_s : float
        Ratio of its times to a first event to those of other engines, and when it
        was last observed; see `engine_rates`.
    speed : float
        Ratio of its times to those of its service's usual engine; 0.0: unknown.
    published_speed : float
        Speed as its owner published it; see `service_speeds`.
    usable : bool
        Whether its entry in the list can be parsed; if not, it gets no new work.
    answered_s : float
        When it last answered a call of this daemon.
    unlisted_s : float or None
        When its entry was removed; None while it is listed.
    lapsed_until_s : float
        Until when a removed entry is treated as one whose lease lapsed.
    pressure : Backpressure
        Limits that the endpoint states in its answers.
    """

    record: EndpointRecord
    held: dict[ModelRef, HeldAdapter] = field(default_factory=dict)
    recent: RecentAdapters = field(default_factory=RecentAdapters)
    pressure: Backpressure = field(default_factory=Backpressure)
    bases: set[str] = field(default_factory=set)
    owner: str = ""
    own_calls: int = 0
    others_calls: int = 0
    own_unread_tokens: int = 0
    others_unread_tokens: int = 0
    usable: bool = True
    unlisted_s: float | None = None
    lapsed_until_s: float = math.inf
    suspect_until_s: float = 0.0
    failures_in_row: int = 0
    answered_s: float = -math.inf
    failure_share: float = 0.0
    failure_s: float = 0.0
    slowness: float = 1.0
    slowness_s: float = 0.0
    speed: float = 0.0
    published_speed: float = 0.0
    loading_until_s: float = 0.0
    places_free: int = 0
    long_prompts_per_s: float = 0.0
    pace_tokens: float = math.inf
    pace_scale: float = 0.0
    wants: int = 0
    asked_s: float | None = None
    heard_s: float = float("-inf")
    asked_all_s: float = float("-inf")
    first_listed_s: float = 0.0
    update_number: int = 0
    update_order: int = 0
    counted: deque[ReportedLoad] = field(
        default_factory=lambda: deque(maxlen=MAX_REPORTS_KEPT)
    )

    @property
    def name(self) -> str:
        """Id of the endpoint."""
        return self.record.endpoint

    @property
    def start(self) -> EndpointStart:
        """The start of the endpoint that this is."""
        return self.record.start

    def accepts_work(self, now_s: float) -> bool:
        """Return whether it may get new calls."""
        is_listed = now_s < self.lapsed_until_s
        return self.usable and not self.leaves and is_listed

    @property
    def leaves(self) -> bool:
        """Whether its entry or one of its answers says that it is leaving."""
        return self.record.leaving or self.pressure.leaves

    @property
    def listing(self) -> tuple[bool, bool, bool]:
        """Whether its entry can be parsed, says that it leaves, and exists.

        A relay forwards an entry that changes this: its subscribers were notified of
        the removal.
        """
        return self.usable, self.record.leaving, self.unlisted_s is None

    def record_listed(self) -> None:
        """Record that it has an entry."""
        self.unlisted_s, self.lapsed_until_s = None, math.inf

    def record_unlisted(self, now_s: float, lapsed_until_s: float) -> None:
        """Record that its entry was removed, perhaps only because it lapsed."""
        if self.unlisted_s is None:
            self.unlisted_s, self.lapsed_until_s = now_s, lapsed_until_s

    @property
    def calls(self) -> int:
        """Calls of all daemons that run there."""
        return self.own_calls + self.others_calls

    def unlisted_for_s(self, now_s: float) -> float | None:
        """Return how long its entry has been missing; None while it is listed."""
        return None if self.unlisted_s is None else now_s - self.unlisted_s

    def record_owner_request(self, now_s: float) -> None:
        """Record a request to its owner that has no response yet."""
        if self.asked_s is None:
            self.asked_s = now_s

    def has_silent_owner(self, now_s: float) -> bool:
        """Return whether its owner left a request open: it may be frozen or cut off."""
        return (
            self.asked_s is not None and now_s - self.asked_s > OWNER_RESPONSE_TIMEOUT_S
        )

    def coming(self, now_s: float) -> int:
        """Return the number of adapters that are being loaded."""
        if self.loading_until_s <= now_s:
            return 0
        return sum(held.ready_s > now_s for held in self.held.values())

    def replace_adapters(self, held: dict[ModelRef, HeldAdapter]) -> None:
        """Replace the held adapters; those no longer held stay in its memory."""
        for model in self.held:
            if model not in held:
                self.recent.add(model)
        for model in held:
            self.recent.discard(model)
        self.held = held
        self.loading_until_s = max(
            (each.ready_s for each in held.values()), default=0.0
        )

    def remove_adapter(self, model: ModelRef) -> None:
        """Record that it no longer holds an adapter, except in its memory."""
        if self.held.pop(model, None) is not None:
            self.recent.add(model)

    def add_adapter(
        self, model: ModelRef, version: int, now_s: float, ready_in_s: float
    ) -> None:
        """Record that it holds an adapter, or will in ``ready_in_s`` seconds."""
        known = self.held.get(model)
        ready_s = now_s + ready_in_s
        users = known.users if known else 0
        self.held[model] = HeldAdapter(version, ready_s, users, now_s)
        self.recent.discard(model)
        self.loading_until_s = max(self.loading_until_s, ready_s)

    def is_new(self, message: EngineSnapshot) -> bool:
        """Return whether an owner's snapshot is newer than the last update applied."""
        applied = self.update_number, self.update_order
        # A snapshot of the same order was requested, and made after the change.
        return (message.number, message.order) >= applied

    def is_next(self, message: EngineDelta) -> bool:
        """Return whether a change directly follows the last update applied."""
        following = self.update_number, self.update_order + 1
        return (message.number, message.order) == following

    def update_load(self, message: EngineSnapshot | EngineDelta, now_s: float) -> None:
        """Apply the other daemons' calls and the other fields of every update."""
        self.update_number, self.update_order = message.number, message.order
        own = self._load_reported_by(now_s) if message.of_all else NO_REPORTED_LOAD
        self.others_calls = max(0, message.others_calls - own.calls)
        self.others_unread_tokens = max(
            0, message.others_unread_tokens - own.unread_tokens
        )
        self.heard_s, self.asked_s = now_s, None
        self.places_free = message.places_free
        self.wants = message.wants
        self.long_prompts_per_s = message.long_prompts_per_s
        self.pace_tokens = message.pace_tokens
        self.pace_scale = message.pace_scale
        self.bases = set(message.bases)

    def record_reported_load(self, now_s: float) -> None:
        """Record that this daemon's current calls were reported to the owner."""
        self.counted.append(ReportedLoad(now_s, self.own_calls, self.own_unread_tokens))

    def _load_reported_by(self, now_s: float) -> ReportedLoad:
        """Return the own load that an update received now includes."""
        for each in reversed(self.counted):
            if each.sent_s <= now_s - REPORT_DELAY_S:
                return each
        return NO_REPORTED_LOAD

    def has_recent_update(self, now_s: float) -> bool:
        """Return whether its owner sent a recent update."""
        return now_s - self.heard_s <= UPDATE_MAX_AGE_S

    def expire_speed(self, now_s: float) -> None:
        """Reset the speed to unknown if its owner sent no recent update."""
        if self.published_speed and not self.has_recent_update(now_s):
            self.speed = self.published_speed = 0.0

    def estimate_others(self, daemons: int, now_s: float) -> None:
        """Assume that others send as much as this daemon if the owner is silent.

        After a restart of all daemons callers arrive at once. Each daemon knew only its
        own calls, and all sent those for a hot adapter to the one engine that holds it.
        """
        if now_s - self.heard_s > LOAD_MAX_AGE_S:
            self.others_calls = self.own_calls * (daemons - 1)
            self.others_unread_tokens = self.own_unread_tokens * (daemons - 1)

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that the engine has yet to read."""
        return self.own_unread_tokens + self.others_unread_tokens

    def failing_share(self, now_s: float) -> float:
        """Return the decayed share of failed calls, 0 to 1."""
        age_s = max(0.0, now_s - self.failure_s)
        return self.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def record_result(self, failed: bool, now_s: float) -> None:
        """Add the result of one call to the failure share."""
        share = self.failing_share(now_s)
        self.failure_share = share + 0.2 * ((1.0 if failed else 0.0) - share)
        self.failure_s = now_s

    def record_unreachable(self, now_s: float) -> None:
        """Back off after a connection that failed or broke at once."""
        pause_s = BACKOFF_FIRST_S * 2**self.failures_in_row
        self.failures_in_row = min(self.failures_in_row + 1, 8)
        self.suspect_until_s = now_s + min(pause_s, BACKOFF_LONGEST_S)

    def record_answer(self, now_s: float) -> None:
        """End the back-off: the endpoint answers."""
        self.answered_s = now_s
        self.failures_in_row = 0
        self.suspect_until_s = 0.0
