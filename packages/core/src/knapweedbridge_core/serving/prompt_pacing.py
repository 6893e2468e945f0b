"""When a prompt may go to an engine, so that its running streams do not pause.

The load that this answers: prompts that come in clumps. An engine reads prompts between
the steps that make tokens, so each step lasts longer while some are unread. Where ten
prompts came within a tenth of a second, every stream that ran there paused for 0.3 s:
on the heaviest day of a small pool 24% of the answers were late by such a pause alone,
and their users saw the text stop.

An engine's owner gives each prompt its turn. Within the longest pause that users accept
it lets no more tokens through than the engine reads in a part of that time. What is
held back waits some tenths of a second before its first event, where nobody notices.

How much pauses an engine's streams depends on its make: one that reads little in a step
never does. So all passes until a first pause comes near the longest accepted one; then
what reading allows, and slowly more while the pauses stay calm.
"""

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

READING_SHARE = 0.8
"""Part of the longest accepted pause that reading may take on engines which read all
that they have at once: the steps between take the rest, and so does what is read
faster or slower than was learnt."""

NEAR = 0.85
"""Part of the longest accepted pause above which a pause lets less through from then
on: prompts that are on their way may lengthen the next one."""

CALM = 0.75
"""Part of it below which all pauses of a look must stay for more to pass."""

USED = 0.85
"""Part of what may pass that must have passed for calm pauses to mean something."""

GROWTH = 1.15
"""Times that what passes grows with a look that was calm."""

START_SCALE = 4.0
"""What passes at first, in times of what keeps reading within `READING_SHARE`: engines
that read little in a step never pause their streams, and pacing cost them 0.02 of the
answers in time. The first pause of one engine sets the pace of all of its service."""

LEAST_SCALE = 1.0
"""To what a pause lowers that. With less, what is held back passes all at once when its
longest wait is over, and pauses the streams."""

HOLD_AFTER_PAUSE_S = 20.0
"""How long nothing more passes after a pause lowered it: to find the bound anew costs a
late answer of each stream that runs there."""

ONE_PROMPT = 0.5
"""Part of what was read from which on one prompt alone made a pause: it would have made
the same one whatever else was held back."""

LOOK_S = 1.0
"""Pause between looks; a window and the word of its pauses take half as long."""

TOLD_LATE_S = 0.1
"""How late word of a pause comes: it shows with the event that ends it."""

PROMPTS_SHARE = 0.4
"""Least part of a pause that reading must explain to be taken for its cause: an engine
that stands still for another reason is not helped by fewer prompts."""

ALONE_SHARE = 0.9
"""Part of what passes that one prompt counts at most while it waits: the longest would
else wait for ever, as it is more than passes in any window."""

LONG_PROMPT_SHARE = 0.65
"""Part of what passes from which on a prompt is long: with little else beside it, it
pauses the streams of its engine for longer than they accept."""

CALM_SHARE = 0.5
"""Part of what passes within a window up to which, with all that is unread, a prompt is
sent without a turn: it would pass at once, and the question takes 3 ms or more."""

LONG_HALF_LIFE_S = 4.0
"""Half-life of the rate of long prompts: some come in a second, to all engines."""

LONGEST_WAIT_S = 0.5
"""Longest wait for a turn. One call that is late by its wait does less harm than the
pause of all streams that its prompt adds to: with 0.4 s, two clumps that went through
at once made 76 streams late."""

URGENT_S = 0.05
"""By how much a rank of urgency comes before the next while they wait: with urgency
alone the least urgent kind, which has the longest prompts, never had its turn."""

LEAST_PAUSE_S = 0.001
"""Least pause between two looks at what is due, so that rounding makes no busy loop."""

LEAST_TOKENS = 1000
"""Least that passes in a window, in tokens; a usual prompt."""


@dataclass(slots=True, frozen=True)
class PromptTurn:
    """A prompt that waits for its turn.

    Parameters
    ----------
    daemon : str
        Who asked.
    ticket : int
        What the daemon knows it by.
    tokens : int
        Its length.
    urgency : int
        Rank among calls; 0 goes first.
    asked_s : float
        When it was asked for, on the owner's clock.
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
        Tokens that pass within the longest accepted pause.
    gap_s : float
        That pause, in seconds.
    """
    over = tokens - pace_tokens
    return min(LONGEST_WAIT_S, over / pace_tokens * gap_s) if over > 0 else 0.0


def passes_at_once(unread_tokens: int, tokens: int, pace_tokens: float) -> bool:
    """Tell whether a prompt needs to wait for no turn.

    Parameters
    ----------
    unread_tokens : int
        What the engine has yet to read.
    tokens : int
        The prompt's length.
    pace_tokens : float
        Tokens that pass within the longest accepted pause.
    """
    return unread_tokens + tokens <= CALM_SHARE * pace_tokens


@dataclass(slots=True)
class LongPrompts:
    """How many long prompts an engine gets in a second, of late.

    Parameters
    ----------
    pace_tokens : float
        Tokens that pass within the longest accepted pause there.
    pace_scale : float
        See `WindowPacing.measured_scale`.
    """

    pace_tokens: float = math.inf
    pace_scale: float = 0.0
    _per_s: float = 0.0
    _noted_s: float = 0.0

    def note(self, tokens: int, now_s: float) -> None:
        """Take that a prompt was sent."""
        if tokens < LONG_PROMPT_SHARE * self.pace_tokens:
            return
        self._per_s = self.per_s(now_s) + math.log(2) / LONG_HALF_LIFE_S
        self._noted_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the decayed rate."""
        age_s = max(0.0, now_s - self._noted_s)
        return self._per_s * 0.5 ** (age_s / LONG_HALF_LIFE_S)


class PromptPacer(ABC):
    """Gives the prompts for one engine their turns."""

    @abstractmethod
    def ask(self, turn: PromptTurn) -> None:
        """Take a prompt that wants to be sent."""

    @abstractmethod
    def sent(self, tokens: int, now_s: float) -> None:
        """Take a prompt that was sent without a turn."""

    @abstractmethod
    def due(self, now_s: float) -> list[PromptTurn]:
        """Return the prompts whose turn has come, and forget them."""

    @abstractmethod
    def next_s(self, now_s: float) -> float | None:
        """Return when to look again, or None while nothing waits."""

    @abstractmethod
    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Take the longest pause of streams that ran on the engine just now."""

    @property
    @abstractmethod
    def budget_tokens(self) -> float:
        """What may pass within the longest accepted pause, in tokens."""


class NoPacing(PromptPacer):
    """Lets every prompt through at once."""

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
    """Bounds the tokens that pass within the longest accepted pause.

    Parameters
    ----------
    gap_s : float
        Longest pause of a stream that its users accept, in seconds.
    token_s : float
        Time in which the engine reads a token; it may be set anew as it is learnt.
    """

    def __init__(self, gap_s: float, token_s: float) -> None:
        self.gap_s = gap_s
        self.token_s = token_s
        self._scale = START_SCALE
        self._sent: deque[tuple[float, int]] = deque()
        self._in_window = 0
        self._waiting: list[PromptTurn] = []
        self._look_s = -math.inf
        self._shrunk_s = -math.inf
        self._most_tokens = 0
        self._longest_pause_s = 0.0

    @property
    def budget_tokens(self) -> float:
        """See `PromptPacer.budget_tokens`."""
        read = READING_SHARE * self.gap_s / self.token_s
        return max(LEAST_TOKENS, self._scale * read)

    def ask(self, turn: PromptTurn) -> None:
        """See `PromptPacer.ask`."""
        self._waiting.append(turn)
        self._waiting.sort(key=lambda each: each.asked_s + URGENT_S * each.urgency)

    def sent(self, tokens: int, now_s: float) -> None:
        """See `PromptPacer.sent`."""
        self._slide(now_s)
        self._sent.append((now_s, tokens))
        self._in_window += tokens
        self._most_tokens = max(self._most_tokens, self._in_window)

    def due(self, now_s: float) -> list[PromptTurn]:
        """See `PromptPacer.due`."""
        self._slide(now_s)
        found: list[PromptTurn] = []
        while self._waiting and self._may_pass(self._waiting[0], now_s):
            turn = self._waiting.pop(0)
            self.sent(turn.tokens, now_s)
            found.append(turn)
        return found

    def _slide(self, now_s: float) -> None:
        # More than the window is kept: a pause is told some time after its cause.
        while self._sent and self._sent[0][0] <= now_s - 4 * self.gap_s:
            self._sent.popleft()
        self._in_window = self._sent_since(now_s - self.gap_s)

    def _sent_since(self, since_s: float) -> int:
        return sum(tokens for sent_s, tokens in self._sent if sent_s > since_s)

    def _counted(self, turn: PromptTurn) -> float:
        return min(turn.tokens, ALONE_SHARE * self.budget_tokens)

    def _may_pass(self, turn: PromptTurn, now_s: float) -> bool:
        if now_s - turn.asked_s >= LONGEST_WAIT_S:
            return True
        return self._in_window + self._counted(turn) <= self.budget_tokens

    def next_s(self, now_s: float) -> float | None:
        """See `PromptPacer.next_s`."""
        if not self._waiting:
            return None
        first = self._waiting[0]
        over = self._in_window + self._counted(first) - self.budget_tokens
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
        if pause_s > NEAR * self.gap_s:
            self._shrink(pause_s, now_s)
        if now_s - self._look_s >= LOOK_S:
            self._look(now_s)

    @property
    def measured_scale(self) -> float:
        """The scale that pauses of its own streams have shown; 0: none has come."""
        return self._scale if self._shrunk_s > -math.inf else 0.0

    def heard(self, scales: Iterable[float]) -> None:
        """Take what pauses of other engines of the service have shown.

        It counts while this one's own streams have shown none.
        """
        if not self.measured_scale:
            self._scale = min((each for each in scales if each), default=START_SCALE)

    def _shrink(self, pause_s: float, now_s: float) -> None:
        since_s = now_s - pause_s - TOLD_LATE_S
        read = self._sent_since(since_s)
        if read * self.token_s < PROMPTS_SHARE * pause_s:
            return
        if max(tokens for sent_s, tokens in self._sent if sent_s > since_s) > (
            ONE_PROMPT * read
        ):
            return
        # What made the pause says little of what would have been too much: how much
        # of it was read within the pause is not known. What reading allows is.
        self._scale = min(self._scale, LEAST_SCALE)
        self._shrunk_s = now_s

    def _look(self, now_s: float) -> None:
        calm = 0.0 < self._longest_pause_s < CALM * self.gap_s
        calm = calm and now_s - self._shrunk_s >= HOLD_AFTER_PAUSE_S
        if calm and self._most_tokens >= USED * self.budget_tokens:
            self._scale *= GROWTH
        self._look_s = now_s
        self._most_tokens, self._longest_pause_s = 0, 0.0
