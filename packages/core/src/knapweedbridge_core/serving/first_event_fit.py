"""The time to a first event, as a sum that is fitted to what calls showed.

It is taken to be a base, a part for each token of the prompt, and a part for each token
that the engine had yet to read. Least squares with a decay fit the three. They begin at
priors that weigh as much as ten calls, which a daemon sees within two seconds of usual
traffic.
"""

from dataclasses import dataclass, field

BASE_PRIOR_S = 0.05
"""Time to the first event of a short prompt on an idle engine: one step, the ways
between the hosts and what both ends do; 0.048 s fitted on one make of engines."""

PROMPT_PRIOR_S = 5e-5
"""Reading of one token of a call's own prompt; 2.6e-5 to 5.2e-5 s on three makes."""

UNREAD_PRIOR_S = 5e-5
"""Wait for one token that was unread when the call was sent, as long as its reading.
Part of it has been read by then, so a third to a half of that is learnt."""

KEPT = 0.97
"""Weight that earlier calls keep with each new one: the last 33 calls count most, five
seconds of a daemon's share of the usual load."""

PRIOR_WEIGHT = 0.3
"""Weight of the priors, renewed with each call: a third of what a call weighs, so that
a direction in which calls do not differ stays sane."""

OUTLIER_RATIO = 3.0
"""Times its forecast from which on a time counts no further: a lost packet or a frozen
host would else be taken for a slow engine."""

THOUSAND = 1000.0


@dataclass(slots=True)
class FirstEventFit:
    """Least squares of the time to a first event, with a decay.

    Attributes
    ----------
    base_s, prompt_s, unread_s : float
        The three parts as they are fitted now: a base, and for a token each.
    calls : int
        Calls that were seen.
    """

    base_s: float = BASE_PRIOR_S
    prompt_s: float = PROMPT_PRIOR_S
    unread_s: float = UNREAD_PRIOR_S
    calls: int = 0
    _products: list[list[float]] = field(init=False)
    _targets: list[float] = field(init=False)

    def __post_init__(self) -> None:
        # As if many calls had shown the priors, so that the first one moves little.
        steady = PRIOR_WEIGHT / (1 - KEPT)
        self._products = [[steady * (i == j) for j in range(3)] for i in range(3)]
        self._targets = [steady * prior for prior in _PRIORS]

    def forecast_s(self, prompt_tokens: float, unread_tokens: float) -> float:
        """Return the expected time to the first event, in seconds."""
        own_s = self.prompt_s * prompt_tokens
        return self.base_s + own_s + self.unread_s * unread_tokens

    def add_call(self, prompt_tokens: int, unread_tokens: int, took_s: float) -> None:
        """Take one call's time."""
        self.calls += 1
        took_s = min(
            took_s, OUTLIER_RATIO * self.forecast_s(prompt_tokens, unread_tokens)
        )
        row = (1.0, prompt_tokens / THOUSAND, unread_tokens / THOUSAND)
        for i in range(3):
            prior = PRIOR_WEIGHT * _PRIORS[i]
            self._targets[i] = KEPT * self._targets[i] + row[i] * took_s + prior
            for j in range(3):
                kept = KEPT * self._products[i][j] + row[i] * row[j]
                self._products[i][j] = kept + PRIOR_WEIGHT * (i == j)
        base_s, prompt_s, unread_s = _solve(self._products, self._targets)
        self.base_s = max(LEAST_BASE_S, base_s)
        self.prompt_s = max(LEAST_TOKEN_S, prompt_s / THOUSAND)
        self.unread_s = max(LEAST_TOKEN_S, unread_s / THOUSAND)


_PRIORS = (BASE_PRIOR_S, PROMPT_PRIOR_S * THOUSAND, UNREAD_PRIOR_S * THOUSAND)

LEAST_BASE_S = 0.002
"""Shortest base that is believed: a way there and back."""

LEAST_TOKEN_S = 1e-6
"""Fastest reading that is believed, ten times as fast as any engine known."""


def _solve(products: list[list[float]], targets: list[float]) -> list[float]:
    """Solve a symmetric, positive system by elimination."""
    rows = [[*row, target] for row, target in zip(products, targets, strict=True)]
    size = len(rows)
    for i in range(size):
        for k in range(i + 1, size):
            factor = rows[k][i] / rows[i][i]
            rows[k] = [a - factor * b for a, b in zip(rows[k], rows[i], strict=True)]
    found = [0.0] * size
    for i in reversed(range(size)):
        known = sum(rows[i][j] * found[j] for j in range(i + 1, size))
        found[i] = (rows[i][size] - known) / rows[i][i]
    return found
