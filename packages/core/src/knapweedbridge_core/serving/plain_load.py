"""How much runs at a plain endpoint, and how long a request takes there now.

Each daemon of a large pool has one request or none at an endpoint, which tells it
nothing of the others' requests. So one daemon per endpoint counts for all of them.
"""

import math
from collections.abc import Container
from dataclasses import dataclass, field

SPELL_HALF_LIFE_S = 0.1
"""Half-life of the evidence of a slow period: such periods last about 0.6 s, so one is
seen while it lasts and forgotten soon after."""

USUAL_HALF_LIFE_S = 10.0
"""Half-life of the evidence of the usual time: slow periods take 15% of the time in
pieces of 0.6 s, and move it little; an endpoint that stays slow moves it in seconds."""

USUAL_WEIGHT = 2.0
"""Ended requests that the usual time counts as beside the evidence of the last tenths
of a second, as single requests vary by more than a slow period changes them."""

LEAST_ENDED = 5.0
"""Ended requests before which no usual time is known."""

REFUSED_LIFE_S = 0.1
"""How long a refusal shows that an endpoint is full: at 90 ms a request and six slots,
slots get free every 15 ms."""

TOLD_LIFE_S = 10.0
"""How long a daemon's word of its requests holds; one that is cut off says no more."""


@dataclass(slots=True, frozen=True)
class PlainState:
    """What is known of one plain endpoint.

    Parameters
    ----------
    running : int
        Requests that run there, of all daemons.
    work_s : float
        How long a request that begins now is expected to take; 0.0: unknown.
    typical_s : float
        How long requests usually take there; 0.0: unknown.
    """

    running: int
    work_s: float = 0.0
    typical_s: float = 0.0


@dataclass(slots=True)
class _Pace:
    """Time that requests spent running and requests that ended, both decaying."""

    half_life_s: float
    spent_s: float = 0.0
    ended: float = 0.0

    def add(self, passed_s: float, running: int) -> None:
        kept = 0.5 ** (passed_s / self.half_life_s)
        self.spent_s = self.spent_s * kept + running * passed_s
        self.ended *= kept


@dataclass(slots=True, frozen=True)
class _Told:
    calls: int
    told_s: float


@dataclass(slots=True)
class PlainCounter:
    """Counts the requests of all daemons at one endpoint; kept by one of them.

    The time that requests spend there, divided by the number that end, is the time that
    one takes. It also shows a slow period while no request ends in it.

    Parameters
    ----------
    slots : int
        Requests that the endpoint runs at once.
    """

    slots: int
    _told: dict[str, _Told] = field(default_factory=dict)
    _spell: _Pace = field(default_factory=lambda: _Pace(SPELL_HALF_LIFE_S))
    _usual: _Pace = field(default_factory=lambda: _Pace(USUAL_HALF_LIFE_S))
    _counted_s: float = -math.inf
    _refused_s: float = -math.inf

    def take(
        self, daemon: str, calls: int, now_s: float, ended: int = 0, refused: int = 0
    ) -> None:
        """Take a daemon's requests there; this replaces what it said before.

        Parameters
        ----------
        ended, refused : int
            Requests that were answered, and that the endpoint did not run, since its
            last word.
        """
        self._count(now_s)
        for pace in (self._spell, self._usual):
            pace.ended += ended
        if refused:
            self._refused_s = now_s
        if calls > 0:
            self._told[daemon] = _Told(calls, now_s)
        else:
            self._told.pop(daemon, None)

    def _count(self, now_s: float) -> None:
        """Add the time since the last count, which requests spent running."""
        if self._counted_s > -math.inf:
            running = self._running_besides("")
            for pace in (self._spell, self._usual):
                pace.add(now_s - self._counted_s, running)
        self._counted_s = now_s

    def _running_besides(self, daemon: str) -> int:
        return sum(told.calls for name, told in self._told.items() if name != daemon)

    def remove_missing(self, daemons: Container[str]) -> None:
        """Forget the requests of daemons that are not listed any more."""
        for name in list(self._told):
            if name not in daemons:
                del self._told[name]

    def _forget_silent(self, now_s: float) -> None:
        for name, told in list(self._told.items()):
            if now_s - told.told_s > TOLD_LIFE_S:
                del self._told[name]

    def state(self, now_s: float, asker: str = "") -> PlainState:
        """Return what is known of the endpoint.

        Parameters
        ----------
        asker : str
            Daemon whose own requests are left out: it knows them best.
        """
        self._forget_silent(now_s)
        self._count(now_s)
        running = self._running_besides(asker)
        if now_s - self._refused_s < REFUSED_LIFE_S:
            # Requests that were not counted run there too.
            running = max(running, self.slots)
        typical_s = self._usual_s
        return PlainState(running, self._work_s(typical_s), typical_s)

    @property
    def _usual_s(self) -> float:
        if self._usual.ended < LEAST_ENDED:
            return 0.0
        return self._usual.spent_s / self._usual.ended

    def _work_s(self, typical_s: float) -> float:
        if not typical_s:
            return 0.0
        spent_s = self._spell.spent_s + USUAL_WEIGHT * typical_s
        return spent_s / (self._spell.ended + USUAL_WEIGHT)
