"""Forecasts of the time to a call's first event, learned from earlier calls.

Engines differ in model. Constants that fit one model forecast 0.25 s of waiting on
engines of another that had none: with 60 calls running, 630 of 4,850 callers were
refused, came back seconds later and were late by that.
"""

from abc import ABC, abstractmethod

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.engine_speed import speed_factor
from knapweedbridge_core.serving.first_event_fit import OUTLIER_RATIO, FirstEventFit
from knapweedbridge_core.serving.prompt_pacing import turn_wait_s

HOLD_PRIOR_S = 1.2
"""Prior of the time a call holds its slot; streams of the users' workloads last 0.6 to
4 s."""

HOLD_WEIGHT = 0.05
"""Weight of one call in the mean time that a slot is held."""

SLOWNESS_WEIGHT = 0.25
"""Weight of one call in an engine's own slowness: four calls reveal a slow one."""

LEVEL_WEIGHT = 0.03
"""Weight of one call in the mean ratio of times to forecasts over all engines of a
service."""

MAX_SLOWNESS = 6.0
"""Largest slowness of an engine, as a ratio to the others."""

SLOWNESS_HALF_LIFE_S = 2.0
"""Half-life of an engine's slowness without new calls: the engine is tried again."""

MIN_FITTED_CALLS = 12
"""Calls from which on a fit describes the usual engine: with fewer it consists mostly
of priors, which differ from what daemons with more calls have learned."""

GAP_WEIGHT = 0.05
"""Weight of one gap between events in the usual one; a stream has about forty gaps of
about the same length, so few streams count and each gap counts little."""

PROMPT_WEIGHT = 0.05
"""Weight of one prompt in the mean length of prompts."""


class EngineRates(ABC):
    """Forecasts of the times that engines take."""

    @abstractmethod
    def first_event_s(
        self, endpoint: Endpoint, prompt_tokens: int, now_s: float
    ) -> float:
        """Forecast the time from sending a call to its first event, in seconds.

        It includes the waits for a turn and for a slot.
        """

    @abstractmethod
    def set_accepted_gaps(self, longest_s: dict[str, float]) -> None:
        """Set the longest gap that streams accept, by service, in seconds."""

    @abstractmethod
    def hold_s(self, service: str) -> float:
        """Return how long a call holds its slot, in seconds."""

    @abstractmethod
    def slot_wait_s(self, endpoint: Endpoint) -> float:
        """Forecast the wait for a slot, in seconds."""

    @abstractmethod
    def token_s(self, service: str) -> float:
        """Return the time in which the usual engine reads one prompt token."""

    @abstractmethod
    def engine_token_s(self, endpoint: Endpoint) -> float:
        """Return the time in which this engine reads one prompt token."""

    @abstractmethod
    def usual_first_event_s(
        self, service: str, prompt_tokens: float, unread_tokens: float
    ) -> float | None:
        """Return the usual engine's time to a first event; None: too few calls."""

    @abstractmethod
    def usual_gap_s(self, service: str) -> float:
        """Return the usual engine's gap between two events; 0.0: unknown."""

    @abstractmethod
    def accepted_gap_s(self, service: str) -> float:
        """Return the longest gap that streams accept; 0.0: any."""

    @abstractmethod
    def usual_prompt_tokens(self, service: str) -> float:
        """Return the mean length of prompts; 0.0: unknown."""

    @abstractmethod
    def record_gap(self, endpoint: Endpoint, gap_s: float) -> None:
        """Record a gap between two events of a stream."""

    @abstractmethod
    def record_first_event(
        self,
        endpoint: Endpoint,
        prompt_tokens: int,
        unread_tokens: int,
        took_s: float,
        now_s: float,
    ) -> None:
        """Record a call's first event, or that it has not come for some seconds.

        Parameters
        ----------
        unread_tokens : int
            Tokens that the engine had yet to read when the call was sent.
        took_s : float
            Time since the call was sent, without its wait for a turn.
        """

    @abstractmethod
    def record_end(self, endpoint: Endpoint, took_s: float) -> None:
        """Record how long an answered call held its slot."""


class LearnedRates(EngineRates):
    """Learns from the calls of one daemon, by service and by engine."""

    def __init__(self) -> None:
        self._fits: dict[str, FirstEventFit] = {}
        self._accepted_gap_s: dict[str, float] = {}
        self._hold_s: dict[str, float] = {}
        self._level: dict[str, float] = {}
        self._usual_gap_s: dict[str, float] = {}
        self._prompt_tokens: dict[str, float] = {}

    def _fit(self, service: str) -> FirstEventFit:
        fit = self._fits.get(service)
        if fit is None:
            fit = self._fits[service] = FirstEventFit()
        return fit

    def first_event_s(
        self, endpoint: Endpoint, prompt_tokens: int, now_s: float
    ) -> float:
        """See `EngineRates.first_event_s`."""
        service = endpoint.record.service
        fit, unread = self._fit(service), endpoint.unread_tokens
        pace_tokens = endpoint.pace_tokens
        turn_s = turn_wait_s(
            unread, pace_tokens, self._accepted_gap_s.get(service, 0.0)
        )
        # Prompts that wait for their turn have not been sent to the engine yet.
        before = min(unread, pace_tokens) if turn_s else unread
        read_s = fit.forecast_s(prompt_tokens, before)
        read_s *= slowness(endpoint, now_s) * speed_factor(endpoint.speed)
        return turn_s + read_s + self.slot_wait_s(endpoint)

    def set_accepted_gaps(self, longest_s: dict[str, float]) -> None:
        """See `EngineRates.set_accepted_gaps`."""
        self._accepted_gap_s = longest_s

    def hold_s(self, service: str) -> float:
        """See `EngineRates.hold_s`."""
        return self._hold_s.get(service, HOLD_PRIOR_S)

    def slot_wait_s(self, endpoint: Endpoint) -> float:
        """See `EngineRates.slot_wait_s`.

        The running calls end evenly spread over the time that a slot is held.
        """
        slots = max(1, endpoint.record.slots)
        before = endpoint.calls + 1 - slots
        if before <= 0:
            return 0.0
        hold_s = self.hold_s(endpoint.record.service) * speed_factor(endpoint.speed)
        return before * hold_s / slots

    def token_s(self, service: str) -> float:
        """See `EngineRates.token_s`."""
        return self._fit(service).prompt_s

    def engine_token_s(self, endpoint: Endpoint) -> float:
        """See `EngineRates.engine_token_s`."""
        return self.token_s(endpoint.record.service) * speed_factor(endpoint.speed)

    def usual_first_event_s(
        self, service: str, prompt_tokens: float, unread_tokens: float
    ) -> float | None:
        """See `EngineRates.usual_first_event_s`."""
        fit = self._fit(service)
        if fit.calls < MIN_FITTED_CALLS:
            return None
        return fit.forecast_s(prompt_tokens, unread_tokens)

    def usual_gap_s(self, service: str) -> float:
        """See `EngineRates.usual_gap_s`."""
        if self._fit(service).calls < MIN_FITTED_CALLS:
            return 0.0
        return self._usual_gap_s.get(service, 0.0)

    def accepted_gap_s(self, service: str) -> float:
        """See `EngineRates.accepted_gap_s`."""
        return self._accepted_gap_s.get(service, 0.0)

    def usual_prompt_tokens(self, service: str) -> float:
        """See `EngineRates.usual_prompt_tokens`."""
        return self._prompt_tokens.get(service, 0.0)

    def record_gap(self, endpoint: Endpoint, gap_s: float) -> None:
        """See `EngineRates.record_gap`."""
        service = endpoint.record.service
        gap_s /= speed_factor(endpoint.speed)
        known_s = self._usual_gap_s.get(service, gap_s)
        gap_s = min(gap_s, OUTLIER_RATIO * known_s)
        self._usual_gap_s[service] = known_s + GAP_WEIGHT * (gap_s - known_s)

    def record_first_event(
        self,
        endpoint: Endpoint,
        prompt_tokens: int,
        unread_tokens: int,
        took_s: float,
        now_s: float,
    ) -> None:
        """See `EngineRates.record_first_event`."""
        fit = self._fit(endpoint.record.service)
        service = endpoint.record.service
        took_s /= speed_factor(endpoint.speed)
        known = self._prompt_tokens.get(service, prompt_tokens)
        self._prompt_tokens[service] = known + PROMPT_WEIGHT * (prompt_tokens - known)
        ratio = took_s / fit.forecast_s(prompt_tokens, unread_tokens)
        # If all engines are slower than forecast, the forecast is wrong.
        level = self._level.get(service, 1.0)
        level += LEVEL_WEIGHT * (min(ratio, MAX_SLOWNESS) - level)
        self._level[service] = level
        ratio /= max(1.0, level)
        slow = slowness(endpoint, now_s)
        # The part that one engine's slowness explains doesn't apply to the others.
        fit.add_call(prompt_tokens, unread_tokens, took_s / slow)
        endpoint.slowness = slow + SLOWNESS_WEIGHT * (_clamped(ratio) - slow)
        endpoint.slowness_s = now_s

    def record_end(self, endpoint: Endpoint, took_s: float) -> None:
        """See `EngineRates.record_end`."""
        service = endpoint.record.service
        took_s /= speed_factor(endpoint.speed)
        known_s = self.hold_s(service)
        self._hold_s[service] = known_s + HOLD_WEIGHT * (took_s - known_s)


def _clamped(ratio: float) -> float:
    return min(MAX_SLOWNESS, max(1.0, ratio))


def slowness(endpoint: Endpoint, now_s: float) -> float:
    """Return the decayed slowness of an engine as a ratio to others, 1 or more."""
    age_s = max(0.0, now_s - endpoint.slowness_s)
    return 1.0 + (endpoint.slowness - 1.0) * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
