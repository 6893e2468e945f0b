"""Loads that failed: when to try again, where not, and when to give up."""

from dataclasses import dataclass, field

from knapweedbridge_core.names import AdapterVersion

FIRST_BACKOFF_S = 0.25
MOST_FAILURES = 3
FIRST_REST_S = 10.0
LONGEST_REST_S = 300.0
FORGET_AFTER_S = 900.0


@dataclass(slots=True)
class _Failures:
    count: int = 0
    is_suspended: int = 0
    last_s: float = 0.0
    not_before_s: float = 0.0
    endpoints: set[str] = field(default_factory=set)


class FailedLoads:
    """Keeps a version that always fails from blocking the others."""

    def __init__(self) -> None:
        self._failures: dict[AdapterVersion, _Failures] = {}

    def failed(self, model: AdapterVersion, endpoint: str, now_s: float) -> None:
        """Note a failure: back off, and rest longer after several."""
        failures = self._failures.setdefault(model, _Failures())
        failures.count += 1
        failures.last_s = now_s
        failures.endpoints.add(endpoint)
        if failures.count < MOST_FAILURES:
            pause_s = FIRST_BACKOFF_S * 2 ** (failures.count - 1)
        else:
            pause_s = min(LONGEST_REST_S, FIRST_REST_S * 2**failures.is_suspended)
            failures.is_suspended += 1
            failures.count = MOST_FAILURES - 1
            failures.endpoints.clear()
        failures.not_before_s = now_s + pause_s

    def record_success(self, model: AdapterVersion) -> None:
        """Forget the failures of a version that loaded."""
        self._failures.pop(model, None)

    def wait_s(self, model: AdapterVersion, now_s: float) -> float:
        """Return how long the version may not be loaded, in seconds."""
        failures = self._failures.get(model)
        return max(0.0, failures.not_before_s - now_s) if failures else 0.0

    def is_suspended(self, model: AdapterVersion, now_s: float) -> bool:
        """Tell whether its waiters are to be refused."""
        failures = self._failures.get(model)
        return (
            bool(failures and failures.is_suspended) and self.wait_s(model, now_s) > 0
        )

    def suspended(self, now_s: float) -> list[AdapterVersion]:
        """Return the versions whose waiters are to be refused."""
        return [model for model in self._failures if self.is_suspended(model, now_s)]

    def failed_endpoints(self, model: AdapterVersion) -> set[str]:
        """Name the endpoints where it failed lately."""
        failures = self._failures.get(model)
        return failures.endpoints if failures else set()

    def forget_old(self, now_s: float) -> None:
        """Drop failures of long ago."""
        for model, failures in list(self._failures.items()):
            if now_s - failures.last_s > FORGET_AFTER_S:
                del self._failures[model]
