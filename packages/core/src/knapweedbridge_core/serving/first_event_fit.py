"""Least-squares fit of the time to a first event.

The time is modelled as a base, a part for each token of the prompt, and a part for each
token that the engine had yet to read. A fit with exponential decay estimates the three.
The priors weigh as much as ten calls, which a daemon sees within two seconds of usual
traffic.
"""

from dataclasses import dataclass, field

BASE_PRIOR_S = 0.05
"""Time to the first event of a short prompt on an idle engine: one step, the network
round trip and the work of both hosts. 0.048 s was fitted for one model of engine."""

PROMPT_PRIOR_S = 5e-5
"""Time to read one token of a call's own prompt; 2.6e-5 to 5.2e-5 s for three models of
engine."""

UNREAD_PRIOR_S = 5e-5
"""Wait for one token that was unread when the call was sent, as long as its reading.
Part of it has been read by then, so the fit gives a third to a half of that."""

DECAY = 0.97
"""Weight that earlier calls keep with each new one: the last 33 calls count most, five
seconds of a daemon's share of the usual load."""

PRIOR_WEIGHT = 0.3
"""Weight of the priors, added again with each call: a third of a call's, which keeps
the fit stable in directions in which calls don't differ."""

OUTLIER_RATIO = 3.0
"""Ratio to the forecast at which a time is capped: a lost packet or a frozen host would
otherwise look like a slow engine."""

TOKEN_SCALE = 1000.0


@dataclass(slots=True)
class FirstEventFit:
    """Least-squares fit of the time to a first event, with exponential decay.

    Attributes
    ----------
    base_s, prompt_s, unread_s : float
        The current estimates: the base, and the times per prompt and unread token.
    calls : int
        Number of calls recorded.
    """

    base_s: float = BASE_PRIOR_S
    prompt_s: float = PROMPT_PRIOR_S
    unread_s: float = UNREAD_PRIOR_S
    calls: int = 0
    _products: list[list[float]] = field(init=False)
    _targets: list[float] = field(init=False)

    def __post_init__(self) -> None:
        # The priors start at their steady weight, so the first call changes little.
        steady = PRIOR_WEIGHT / (1 - DECAY)
        self._products = [[steady * (i == j) for j in range(3)] for i in range(3)]
        self._targets = [steady * prior for prior in _PRIORS]

    def forecast_s(self, prompt_tokens: float, unread_tokens: float) -> float:
        """Return the expected time to the first event, in seconds."""
        own_s = self.prompt_s * prompt_tokens
        return self.base_s + own_s + self.unread_s * unread_tokens

    def add_call(self, prompt_tokens: int, unread_tokens: int, took_s: float) -> None:
        """Add the time of one call."""
        self.calls += 1
        took_s = min(
            took_s, OUTLIER_RATIO * self.forecast_s(prompt_tokens, unread_tokens)
        )
        row = (1.0, prompt_tokens / TOKEN_SCALE, unread_tokens / TOKEN_SCALE)
        for i in range(3):
            prior = PRIOR_WEIGHT * _PRIORS[i]
            self._targets[i] = DECAY * self._targets[i] + row[i] * took_s + prior
            for j in range(3):
                product = DECAY * self._products[i][j] + row[i] * row[j]
                self._products[i][j] = product + PRIOR_WEIGHT * (i == j)
        base_s, prompt_s, unread_s = _solve(self._products, self._targets)
        self.base_s = max(MIN_BASE_S, base_s)
        self.prompt_s = max(MIN_TOKEN_S, prompt_s / TOKEN_SCALE)
        self.unread_s = max(MIN_TOKEN_S, unread_s / TOKEN_SCALE)


_PRIORS = (BASE_PRIOR_S, PROMPT_PRIOR_S * TOKEN_SCALE, UNREAD_PRIOR_S * TOKEN_SCALE)

MIN_BASE_S = 0.002
"""Lower bound of the base: a network round trip."""

MIN_TOKEN_S = 1e-6
"""Lower bound of the time per token, a tenth of that of any known engine."""


def _solve(products: list[list[float]], targets: list[float]) -> list[float]:
    """Solve a symmetric, positive definite system by Gaussian elimination."""
    rows = [[*row, target] for row, target in zip(products, targets, strict=True)]
    size = len(rows)
    for i in range(size):
        for k in range(i + 1, size):
            factor = rows[k][i] / rows[i][i]
            rows[k] = [a - factor * b for a, b in zip(rows[k], rows[i], strict=True)]
    solution = [0.0] * size
    for i in reversed(range(size)):
        known = sum(rows[i][j] * solution[j] for j in range(i + 1, size))
        solution[i] = (rows[i][size] - known) / rows[i][i]
    return solution
