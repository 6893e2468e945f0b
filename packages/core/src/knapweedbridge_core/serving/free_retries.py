"""Retries that a process may send without a reservation."""

MAX_CAP_SHARE = 0.5
"""Largest share of the tokens of a window that a bucket holds."""


class FreeRetries:
    """Token bucket that starts empty, whatever the previous process has spent.

    Tokens that a process has not spent are lost with it. However often it starts
    again, the tokens that are spent in a window are therefore those that accrued in
    it, and at most one full bucket from before.

    Parameters
    ----------
    since_s : float or None
        When the process started; None: tokens accrue from the first use on.
    """

    __slots__ = ("_tokens", "_updated_s")

    def __init__(self, since_s: float | None = None) -> None:
        self._tokens = 0.0
        self._updated_s = since_s

    @property
    def has_token(self) -> bool:
        """Whether one more retry may be sent."""
        return self._tokens >= 1

    def accrue(self, retries: float, per_window: float) -> None:
        """Add the tokens for retries that have become allowed, less what is held back.

        Parameters
        ----------
        retries : float
            Retries that have become allowed.
        per_window : float
            Retries that may be spent in a window, a full bucket from before included.
        """
        if not per_window:
            return
        if per_window < 1:
            self._tokens = 0.0
            return
        cap = max(1.0, MAX_CAP_SHARE * per_window)
        self._tokens = min(cap, self._tokens + retries * (1 - cap / per_window))

    def elapsed_s(self, now_s: float) -> float:
        """Return the time since the previous call or the start, in seconds."""
        before_s = now_s if self._updated_s is None else self._updated_s
        self._updated_s = now_s
        return max(0.0, now_s - before_s)

    def take(self) -> None:
        """Spend one token."""
        self._tokens -= 1

    def give_back(self) -> None:
        """Return the token of a retry that is not sent."""
        self._tokens += 1
