"""What a daemon believes of one endpoint: what it holds, runs, and how it answers."""

import math
from collections import deque
from dataclasses import dataclass, field

from knapweedbridge_core.serving.backpressure import Backpressure
from knapweedbridge_core.serving.endpoint_records import EndpointRecord, EndpointStart
from knapweedbridge_core.serving.messages import EngineChanged, EngineTold
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.recent_adapters import RecentAdapters

SUSPECT_FIRST_S = 0.5
"""Pause after a first failed connection: a restart of an endpoint takes seconds."""

SUSPECT_LONGEST_S = 2.0
"""Longest pause, so that an endpoint that is back is found within it."""

UPDATE_MAX_AGE_S = 3.0
"""Age of an owner's last telling past which an engine is known by the platform's list
alone. Owners tell a small pool each change, the relays of a large one each second."""

LOAD_MAX_AGE_S = 1.0
"""How long an owner's word of the calls of all daemons holds; it tells of changes
within 0.06 s, so after this there were none, or there is no owner."""

OWNER_ANSWERS_S = 0.15
"""An owner answers each question at once, over a way of some milliseconds; its lease
outlives it by seconds, in which its engines would get no orders."""

REPORT_DELAY_S = 0.15
"""How long an owner's telling that goes to many is on its way by a relay: what a daemon
told its owner later than that is not counted in it yet."""

MAX_REPORTS_KEPT = 4
"""Own counts that are remembered: they are told some ten times a second at most."""

FAILURE_HALF_LIFE_S = 3.0
"""Half-life of the share of failures, so that one bad second is soon forgotten."""


@dataclass(slots=True)
class HeldAdapter:
    """An adapter on an engine, from ``ready_s`` on, with the calls that run on it."""

    version: int
    ready_s: float
    users: int = 0
    used_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """What a daemon told an engine's owner of its own calls, and when."""

    told_s: float
    calls: int
    unread_tokens: int


NO_REPORTED_LOAD = ReportedLoad(-math.inf, 0, 0)


@dataclass(slots=True, eq=False)
class Endpoint:
    """What is believed of one endpoint; two are equal only if they are the same one.

    Compared field by field, a placement among 6,000 engines took 37 ms, by identity it
    takes 20 ms; among 62 it took 0.29 ms and takes 0.25 ms.

    Parameters
    ----------
    record : EndpointRecord
        What the platform says.
    held : dict of ModelRef to HeldAdapter
        Adapters as the owner tells, or as the list told first.
    recent : RecentAdapters
        Adapters that it held lately; it has them in memory.
    own_calls : int
        Calls of this daemon that run there.
    others_calls : int
        Calls of other daemons, as the owner tells.
    own_unread_tokens, others_unread_tokens : int
        Tokens of prompts that the engine has yet to read, of this daemon's calls and
        of others'.
    slowness, slowness_s : float
        Times as slow as the others' first events that its own came, and when that was
        seen last; see `engine_rates`.
    speed : float
        Times that it takes as long as its service's usual engine; 0.0: unknown.
    published_speed : float
        What its owner published of that; see `service_speeds`.
    usable : bool
        Whether its entry in the list can be read; if not, it gets no new work.
    answered_s : float
        When it last answered a call of this daemon.
    unlisted_s : float or None
        When its entry was removed; None where it is listed.
    lapsed_until_s : float
        Until when an entry that was removed is taken for one that lapsed.
    pressure : Backpressure
        What it asks for in its answers.
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
        """Which start of which endpoint this is."""
        return self.record.start

    def accepts_work(self, now_s: float) -> bool:
        """Tell whether it may get new calls."""
        is_listed = now_s < self.lapsed_until_s
        return self.usable and not self.leaves and is_listed

    @property
    def leaves(self) -> bool:
        """Whether its entry or one of its answers has told that it leaves."""
        return self.record.leaving or self.pressure.leaves

    @property
    def listing(self) -> tuple[bool, bool, bool]:
        """Whether its entry can be read, tells that it leaves, and is there at all.

        A relay hands on an entry that changes this: hearers were told of the removal.
        """
        return self.usable, self.record.leaving, self.unlisted_s is None

    def record_listed(self) -> None:
        """Note that it has an entry."""
        self.unlisted_s, self.lapsed_until_s = None, math.inf

    def record_unlisted(self, now_s: float, lapsed_until_s: float) -> None:
        """Note that its entry was removed, but may have lapsed."""
        if self.unlisted_s is None:
            self.unlisted_s, self.lapsed_until_s = now_s, lapsed_until_s

    @property
    def calls(self) -> int:
        """Calls that run there, of all daemons."""
        return self.own_calls + self.others_calls

    def unlisted_for_s(self, now_s: float) -> float | None:
        """Return for how long its entry has been missing; None where it is listed."""
        return None if self.unlisted_s is None else now_s - self.unlisted_s

    def record_owner_request(self, now_s: float) -> None:
        """Note that its owner was asked for something, and has not answered yet."""
        if self.asked_s is None:
            self.asked_s = now_s

    def has_silent_owner(self, now_s: float) -> bool:
        """Tell whether its owner left a question open: it may be frozen or cut off."""
        return self.asked_s is not None and now_s - self.asked_s > OWNER_ANSWERS_S

    def coming(self, now_s: float) -> int:
        """Return the adapters that are on their way there."""
        if self.loading_until_s <= now_s:
            return 0
        return sum(held.ready_s > now_s for held in self.held.values())

    def replace_adapters(self, held: dict[ModelRef, HeldAdapter]) -> None:
        """Take what it holds now; what it held before stays in its memory."""
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
        """Take that it holds an adapter no more, but in its memory."""
        if self.held.pop(model, None) is not None:
            self.recent.add(model)

    def add_adapter(
        self, model: ModelRef, version: int, now_s: float, ready_in_s: float
    ) -> None:
        """Take that it holds an adapter, or will after some seconds."""
        known = self.held.get(model)
        ready_s = now_s + ready_in_s
        users = known.users if known else 0
        self.held[model] = HeldAdapter(version, ready_s, users, now_s)
        self.recent.discard(model)
        self.loading_until_s = max(self.loading_until_s, ready_s)

    def is_new(self, message: EngineTold) -> bool:
        """Tell whether an owner's telling is newer than the last one taken."""
        told = self.update_number, self.update_order
        # One of the same order was asked for, and made later than the change.
        return (message.number, message.order) >= told

    def is_next(self, message: EngineChanged) -> bool:
        """Tell whether a change is the next after the last telling taken."""
        following = self.update_number, self.update_order + 1
        return (message.number, message.order) == following

    def update_load(self, message: EngineTold | EngineChanged, now_s: float) -> None:
        """Take the calls of other daemons and what else every telling holds."""
        self.update_number, self.update_order = message.number, message.order
        own = self._counted_in(now_s) if message.of_all else NO_REPORTED_LOAD
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
        """Note that the owner was told of this daemon's calls as they are."""
        self.counted.append(ReportedLoad(now_s, self.own_calls, self.own_unread_tokens))

    def _counted_in(self, now_s: float) -> ReportedLoad:
        """Return what a telling that comes now counts as this daemon's own."""
        for each in reversed(self.counted):
            if each.told_s <= now_s - REPORT_DELAY_S:
                return each
        return NO_REPORTED_LOAD

    def has_recent_update(self, now_s: float) -> bool:
        """Tell whether its owner told of it lately."""
        return now_s - self.heard_s <= UPDATE_MAX_AGE_S

    def expire_speed(self, now_s: float) -> None:
        """Take the speed for unknown where its owner has not told of it lately."""
        if self.published_speed and not self.has_recent_update(now_s):
            self.speed = self.published_speed = 0.0

    def estimate_others(self, daemons: int, now_s: float) -> None:
        """Take others to send as much as this daemon, where no owner tells.

        After a restart of all daemons callers come at once. Each daemon knew only its
        own calls, and sent all for a hot adapter to the one engine that has it.
        """
        if now_s - self.heard_s > LOAD_MAX_AGE_S:
            self.others_calls = self.own_calls * (daemons - 1)
            self.others_unread_tokens = self.own_unread_tokens * (daemons - 1)

    @property
    def unread_tokens(self) -> int:
        """Tokens of prompts that the engine has yet to read."""
        return self.own_unread_tokens + self.others_unread_tokens

    def failing_share(self, now_s: float) -> float:
        """Return the decayed share of failed calls, 0 to 1."""
        age_s = max(0.0, now_s - self.failure_s)
        return self.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def record_result(self, failed: bool, now_s: float) -> None:
        """Add one call's end to the share of failures."""
        share = self.failing_share(now_s)
        self.failure_share = share + 0.2 * ((1.0 if failed else 0.0) - share)
        self.failure_s = now_s

    def record_unreachable(self, now_s: float) -> None:
        """Back off after a connection that could not be made or broke at once."""
        pause_s = SUSPECT_FIRST_S * 2**self.failures_in_row
        self.failures_in_row = min(self.failures_in_row + 1, 8)
        self.suspect_until_s = now_s + min(pause_s, SUSPECT_LONGEST_S)

    def record_answer(self, now_s: float) -> None:
        """End the back-off: the endpoint answers."""
        self.answered_s = now_s
        self.failures_in_row = 0
        self.suspect_until_s = 0.0
