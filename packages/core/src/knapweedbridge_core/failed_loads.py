"""Failed loads of adapter versions: backoff, suspension and endpoints to avoid."""

from dataclasses import dataclass, field

from knapweedbridge_core.names import AdapterVersion

FIRST_BACKOFF_S = 0.25
MAX_FAILURES = 3
FIRST_SUSPENSION_S = 10.0
MAX_SUSPENSION_S = 300.0
FORGET_AFTER_S = 900.0


@dataclass(slots=True)
class _Failures:
    count: int = 0
    suspensions: int = 0
    last_s: float = 0.0
    not_before_s: float = 0.0
    endpoints: set[str] = field(default_factory=set)


class FailedLoads:
    """Keeps a version that always fails to load from blocking the others."""

    def __init__(self) -> None:
        self._failures: dict[AdapterVersion, _Failures] = {}

    def failed(self, model: AdapterVersion, endpoint: str, now_s: float) -> None:
        """Record a failure: back off, and suspend the version after several."""
        failures = self._failures.setdefault(model, _Failures())
        failures.count += 1
        failures.last_s = now_s
        failures.endpoints.add(endpoint)
        if failures.count < MAX_FAILURES:
            pause_s = FIRST_BACKOFF_S * 2 ** (failures.count - 1)
        else:
            pause_s = min(
                MAX_SUSPENSION_S, FIRST_SUSPENSION_S * 2**failures.suspensions
            )
            failures.suspensions += 1
            failures.count = MAX_FAILURES - 1
            failures.endpoints.clear()
        failures.not_before_s = now_s + pause_s

    def record_success(self, model: AdapterVersion) -> None:
        """Remove the failures of a version that loaded."""
        self._failures.pop(model, None)

    def wait_s(self, model: AdapterVersion, now_s: float) -> float:
        """Return the seconds until a version may be loaded again."""
        failures = self._failures.get(model)
        return max(0.0, failures.not_before_s - now_s) if failures else 0.0

    def is_suspended(self, model: AdapterVersion, now_s: float) -> bool:
        """Return whether requests that wait for a version are to be refused."""
        failures = self._failures.get(model)
        return bool(failures and failures.suspensions) and self.wait_s(model, now_s) > 0

    def suspended(self, now_s: float) -> list[AdapterVersion]:
        """Return the suspended versions."""
        return [model for model in self._failures if self.is_suspended(model, now_s)]

    def failed_endpoints(self, model: AdapterVersion) -> set[str]:
        """Return the endpoints where a version failed recently."""
        failures = self._failures.get(model)
        return failures.endpoints if failures else set()

    def forget_old(self, now_s: float) -> None:
        """Remove failures older than ``FORGET_AFTER_S``."""
        for model, failures in list(self._failures.items()):
            if now_s - failures.last_s > FORGET_AFTER_S:
                del self._failures[model]
