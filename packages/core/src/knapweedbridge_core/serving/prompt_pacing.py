"""Admission of prompts to an engine, paced so that its running streams do not pause.

Prompts arrive in bursts. An engine reads prompts between the steps that generate
tokens, so each step takes longer while some are unread. Ten prompts within a tenth of a
second paused every stream on their engine for 0.3 s: under the heaviest load of a small
pool 24% of the answers were late by such a pause alone, and their users saw the text
stop.

An engine's owner gives each prompt its turn. Within the longest pause that users accept
it admits no more tokens than the engine reads in a part of that time. A prompt that is
held back waits some tenths of a second before its first event, which users don't
notice.

How long prompts pause the streams depends on the engine's model: one that reads little
in a step never pauses them. So all prompts are admitted until a first pause comes near
the longest accepted one. After that the budget follows from the reading speed, and
grows slowly while pauses stay short.
"""

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

READING_SHARE = 0.8
"""Part of the longest accepted pause that reading may take on engines which read all
pending prompts at once: the rest is for the steps between, and for errors of the
learned reading speed."""

SHRINK_SHARE = 0.85
"""Part of the longest accepted pause above which a pause shrinks the budget: prompts
already sent may lengthen the next one."""

GROW_SHARE = 0.75
"""Part of the longest accepted pause below which all pauses between two reviews must
stay for the budget to grow."""

GROW_USED_SHARE = 0.85
"""Part of the budget that must have been used for short pauses to be meaningful."""

GROWTH = 1.15
"""Factor by which the budget grows after a review with short pauses."""

START_SCALE = 4.0
"""Initial scale of the budget; at 1.0 reading stays within `READING_SHARE`. Engines
that read little in a step never pause their streams, and pacing them cost 0.02 of
the answers in time. The first pause of one engine sets the scale of its whole
service."""

MIN_SCALE = 1.0
"""Scale after a pause. With a smaller one, the prompts held back are all admitted at
the end of their longest wait, and pause the streams."""

HOLD_AFTER_PAUSE_S = 20.0
"""How long the budget doesn't grow after a pause shrank it: finding the bound again
costs each running stream a late answer."""

SINGLE_PROMPT_SHARE = 0.5
"""Share of the tokens read above which a single prompt caused the pause: holding others
back would not have prevented it."""

LOOK_S = 1.0
"""Pause between reviews; a window and the report of its pauses take half as long."""

REPORT_DELAY_S = 0.1
"""Delay of the report of a pause, which is only seen with the event that ends it."""

MIN_READING_SHARE = 0.4
"""Least part of a pause that reading must explain to count as its cause: fewer prompts
don't help an engine that stalls for another reason."""

MAX_PROMPT_SHARE = 0.9
"""Part of the budget that a waiting prompt counts at most: a prompt longer than the
budget of a window would otherwise wait forever."""

LONG_PROMPT_SHARE = 0.65
"""Part of the budget from which on a prompt is long: almost alone, it pauses the
streams of its engine for longer than they accept."""

NO_TURN_SHARE = 0.5
"""Part of the budget of a window up to which a prompt and all unread tokens need no
turn: it would be admitted at once, and asking takes 3 ms or more."""

LONG_HALF_LIFE_S = 4.0
"""Half-life of the rate of long prompts: all engines together get a few per second."""

LONGEST_WAIT_S = 0.5
"""Longest wait for a turn. One call that is late by its wait does less harm than the
pause of all streams that its prompt adds to: with 0.4 s, two bursts that were
admitted at once made 76 streams late."""

URGENCY_STEP_S = 0.05
"""Waiting time that one rank of urgency is worth: with urgency alone the least urgent
workload, which has the longest prompts, never got a turn."""

LEAST_PAUSE_S = 0.001
"""Shortest pause between two checks for due prompts, so that rounding errors cause no
busy loop."""

MIN_BUDGET_TOKENS = 1000
"""Least budget of a window, in tokens: a usual prompt."""


@dataclass(slots=True, frozen=True)
class PromptTurn:
    """A prompt that waits for its turn.

    Parameters
    ----------
    daemon : str
        The daemon that asked.
    ticket : int
        The daemon's id of the request.
    tokens : int
        Length of the prompt.
    urgency : int
        Rank among calls; 0 goes first.
    asked_s : float
        When it was requested, on the owner's clock.
    """

    daemon: str
    ticket: int
    tokens: int
    urgency: int
    asked_s: float


def turn_wait_s(tokens: float, pace_tokens: float, gap_s: float) -> float:
    """Forecast the wait for a turn behind some tokens, in seconds.

    Parameters
    ----------
    pace_tokens : float
        Budget of tokens within the longest accepted pause.
    gap_s : float
        That pause, in seconds.
    """
    over = tokens - pace_tokens
    return min(LONGEST_WAIT_S, over / pace_tokens * gap_s) if over > 0 else 0.0


def passes_at_once(unread_tokens: int, tokens: int, pace_tokens: float) -> bool:
    """Return whether a prompt needs no turn.

    Parameters
    ----------
    unread_tokens : int
        Tokens that the engine has yet to read.
    tokens : int
        Length of the prompt.
    pace_tokens : float
        Budget of tokens within the longest accepted pause.
    """
    return unread_tokens + tokens <= NO_TURN_SHARE * pace_tokens


@dataclass(slots=True)
class LongPrompts:
    """Recent rate of long prompts for an engine.

    Parameters
    ----------
    pace_tokens : float
        Budget of tokens within the longest accepted pause there.
    pace_scale : float
        See `WindowPacing.measured_scale`.
    """

    pace_tokens: float = math.inf
    pace_scale: float = 0.0
    _per_s: float = 0.0
    _recorded_s: float = 0.0

    def note(self, tokens: int, now_s: float) -> None:
        """Record that a prompt was sent."""
        if tokens < LONG_PROMPT_SHARE * self.pace_tokens:
            return
        self._per_s = self.per_s(now_s) + math.log(2) / LONG_HALF_LIFE_S
        self._recorded_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the decayed rate per second."""
        age_s = max(0.0, now_s - self._recorded_s)
        return self._per_s * 0.5 ** (age_s / LONG_HALF_LIFE_S)


class PromptPacer(ABC):
    """Gives the prompts for one engine their turns."""

    @abstractmethod
    def ask(self, turn: PromptTurn) -> None:
        """Enqueue a prompt."""

    @abstractmethod
    def sent(self, tokens: int, now_s: float) -> None:
        """Record a prompt that was sent without a turn."""

    @abstractmethod
    def due(self, now_s: float) -> list[PromptTurn]:
        """Remove and return the prompts whose turn has come."""

    @abstractmethod
    def next_s(self, now_s: float) -> float | None:
        """Return when to check again, or None while the queue is empty."""

    @abstractmethod
    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record the longest recent pause of streams on the engine."""

    @property
    @abstractmethod
    def budget_tokens(self) -> float:
        """Budget of tokens within the longest accepted pause."""


class NoPacing(PromptPacer):
    """Admits every prompt at once."""

    def __init__(self) -> None:
        self._waiting: list[PromptTurn] = []

    def ask(self, turn: PromptTurn) -> None:
        """See `PromptPacer.ask`."""
        self._waiting.append(turn)

    def sent(self, tokens: int, now_s: float) -> None:
        """See `PromptPacer.sent`."""

    def due(self, now_s: float) -> list[PromptTurn]:
        """See `PromptPacer.due`."""
        found, self._waiting = self._waiting, []
        return found

    def next_s(self, now_s: float) -> float | None:
        """See `PromptPacer.next_s`."""
        return now_s + LEAST_PAUSE_S if self._waiting else None

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """See `PromptPacer.record_pause`."""

    @property
    def budget_tokens(self) -> float:
        """See `PromptPacer.budget_tokens`."""
        return math.inf


class WindowPacing(PromptPacer):
    """Bounds the tokens that are admitted within the longest accepted pause.

    Parameters
    ----------
    gap_s : float
        Longest pause of a stream that its users accept, in seconds.
    token_s : float
        Time in which the engine reads a token; updated as it is learned.
    """

    def __init__(self, gap_s: float, token_s: float) -> None:
        self.gap_s = gap_s
        self.token_s = token_s
        self._scale = START_SCALE
        self._sent: deque[tuple[float, int]] = deque()
        self._in_window = 0
        self._waiting: list[PromptTurn] = []
        self._reviewed_s = -math.inf
        self._shrunk_s = -math.inf
        self._peak_tokens = 0
        self._longest_pause_s = 0.0

    @property
    def budget_tokens(self) -> float:
        """See `PromptPacer.budget_tokens`."""
        read = READING_SHARE * self.gap_s / self.token_s
        return max(MIN_BUDGET_TOKENS, self._scale * read)

    def ask(self, turn: PromptTurn) -> None:
        """See `PromptPacer.ask`."""
        self._waiting.append(turn)
        self._waiting.sort(
            key=lambda each: each.asked_s + URGENCY_STEP_S * each.urgency
        )

    def sent(self, tokens: int, now_s: float) -> None:
        """See `PromptPacer.sent`."""
        self._advance(now_s)
        self._sent.append((now_s, tokens))
        self._in_window += tokens
        self._peak_tokens = max(self._peak_tokens, self._in_window)

    def due(self, now_s: float) -> list[PromptTurn]:
        """See `PromptPacer.due`."""
        self._advance(now_s)
        found: list[PromptTurn] = []
        while self._waiting and self._is_due(self._waiting[0], now_s):
            turn = self._waiting.pop(0)
            self.sent(turn.tokens, now_s)
            found.append(turn)
        return found

    def _advance(self, now_s: float) -> None:
        # Keeps more than the window: a pause is reported some time after its cause.
        while self._sent and self._sent[0][0] <= now_s - 4 * self.gap_s:
            self._sent.popleft()
        self._in_window = self._sent_since(now_s - self.gap_s)

    def _sent_since(self, since_s: float) -> int:
        return sum(tokens for sent_s, tokens in self._sent if sent_s > since_s)

    def _counted_tokens(self, turn: PromptTurn) -> float:
        return min(turn.tokens, MAX_PROMPT_SHARE * self.budget_tokens)

    def _is_due(self, turn: PromptTurn, now_s: float) -> bool:
        if now_s - turn.asked_s >= LONGEST_WAIT_S:
            return True
        return self._in_window + self._counted_tokens(turn) <= self.budget_tokens

    def next_s(self, now_s: float) -> float | None:
        """See `PromptPacer.next_s`."""
        if not self._waiting:
            return None
        first = self._waiting[0]
        over = self._in_window + self._counted_tokens(first) - self.budget_tokens
        latest_s = first.asked_s + LONGEST_WAIT_S
        for sent_s, tokens in self._sent:
            if sent_s <= now_s - self.gap_s:
                continue
            over -= tokens
            if over <= 0:
                due_s = min(latest_s, sent_s + self.gap_s)
                return max(now_s + LEAST_PAUSE_S, due_s)
        return max(now_s + LEAST_PAUSE_S, latest_s)

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """See `PromptPacer.record_pause`."""
        self._longest_pause_s = max(self._longest_pause_s, pause_s)
        if pause_s > SHRINK_SHARE * self.gap_s:
            self._shrink(pause_s, now_s)
        if now_s - self._reviewed_s >= LOOK_S:
            self._review(now_s)

    @property
    def measured_scale(self) -> float:
        """Scale that pauses of its own streams have shown; 0: there were none."""
        return self._scale if self._shrunk_s > -math.inf else 0.0

    def adopt_scales(self, scales: Iterable[float]) -> None:
        """Adopt the scales of other engines of the service.

        They apply as long as this engine's own streams have not paused.
        """
        if not self.measured_scale:
            self._scale = min((each for each in scales if each), default=START_SCALE)

    def _shrink(self, pause_s: float, now_s: float) -> None:
        since_s = now_s - pause_s - REPORT_DELAY_S
        read = self._sent_since(since_s)
        if read * self.token_s < MIN_READING_SHARE * pause_s:
            return
        if max(tokens for sent_s, tokens in self._sent if sent_s > since_s) > (
            SINGLE_PROMPT_SHARE * read
        ):
            return
        # How much of the tokens was read within the pause is unknown, so they don't
        # show the right budget. The reading speed does.
        self._scale = min(self._scale, MIN_SCALE)
        self._shrunk_s = now_s

    def _review(self, now_s: float) -> None:
        may_grow = 0.0 < self._longest_pause_s < GROW_SHARE * self.gap_s
        may_grow = may_grow and now_s - self._shrunk_s >= HOLD_AFTER_PAUSE_S
        if may_grow and self._peak_tokens >= GROW_USED_SHARE * self.budget_tokens:
            self._scale *= GROWTH
        self._reviewed_s = now_s
        self._peak_tokens, self._longest_pause_s = 0, 0.0
