"""Re-introduces faults on purpose, and tells which the histories catch, how soon.

Each fault replaces one guard of the core while its histories run; nothing of the
core is written for it. A fault is caught when the checker finds a broken promise.
Faults of the configuration meet the hypothesis machine of its feature.
"""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from math import inf
from pathlib import Path
from typing import Any

from mutants_configuration import CONFIGURATION_MUTANTS, HARMLESS
from mutants_serving import SERVING_MUTANTS

from knapweedbridge_core import order_side, owner_side
from knapweedbridge_core.grant_side import GrantSide
from knapweedbridge_core.leases import DaemonLease
from knapweedbridge_core.ledger import Ledger
from knapweedbridge_core.owner_side import OwnerSide
from knapweedbridge_core.owners import Owners, Stage
from knapweedbridge_core.request_side import RequestSide
from knapweedbridge_core.takeover import Takeover
from knapweedbridge_standins.configuration_runs import run_configuration, run_overtaken
from knapweedbridge_standins.history.faults import random_history
from knapweedbridge_standins.history.scripts import SCRIPTS
from knapweedbridge_standins.serving_histories import HISTORIES

SEEDS = 4
SERVING_SEEDS = 60
CONFIGURATION_SEED = 1
CONFIGURATION_HISTORIES = 200
RESULT = Path(__file__).parent / "results" / "mutants.json"

Patch = tuple[Any, str, Any]


@dataclass
class Found:
    """Whether and how soon a fault was caught."""

    fault: str
    caught: bool
    by: str
    virtual_s: float
    wall_s: float
    promise: str
    harmless_since: str = ""


def _no_report_time(apply_report: Callable[..., None]) -> Callable[..., None]:
    def any_report(
        self: Ledger, loaded: Any, running: Any, taken_s: float, now_s: float
    ) -> None:
        apply_report(self, loaded, running, inf, now_s)

    return any_report


def _forget_orphans(self: Ledger, holder: str, now_s: float) -> None:
    for slot in self._slots.values():
        slot.grants = {
            key: grant for key, grant in slot.grants.items() if grant.holder != holder
        }


def _evict_granted(self: Ledger, model: Any) -> bool:
    slot = self._slots.get(model)
    return slot is not None and slot.state.value == "loaded"


def _claim_again(
    self: Owners, endpoint: str, claim: Any, reply: Any, now_s: float
) -> Any:
    if not reply.known and claim.written is not None:
        claim.stage = Stage.CLAIMING
        again = type(claim.written)(claim.written.token, {}, claim.written.puts)
        return [again], []
    if reply.known and reply.applied:
        return self._won(endpoint, claim)
    claim.stage = Stage.IDLE
    return [], []


def _never_lapses(self: DaemonLease, now_s: float) -> bool:
    return self.epoch > 0


MUTANTS: dict[str, list[Patch]] = {
    "grants forgotten at hand-over": [(Ledger, "grants", lambda self: [])],
    "no wait at take-over": [(owner_side, "wait_s", lambda clean, checks: 0.0)],
    "grants not collected at take-over": [
        (OwnerSide, "_possible_holders", lambda self: set()),
        (GrantSide, "_grants_held", lambda self, message: None),
    ],
    "no lease check after a pause": [
        (DaemonLease, "is_valid", _never_lapses),
        (DaemonLease, "valid_until_s", inf),
    ],
    "eviction with a grant out": [(Ledger, "may_evict", _evict_granted)],
    "claim with its reply lost is written again without comparing": [
        (Owners, "_claimed", _claim_again)
    ],
    "report older than the event accepted": [
        (Ledger, "apply_report", _no_report_time(Ledger.apply_report))
    ],
    "dead holder's grants dropped without a report": [
        (Ledger, "orphan", _forget_orphans)
    ],
    "late grant used": [(RequestSide, "_is_usable", lambda self, live, message: True)],
    "eviction without a witness": [
        (order_side.OrderSide, "_witnesses", lambda self, endpoint: []),
        (Takeover, "quarantine", lambda self, models, now_s: None),
    ],
}


FIRST = {
    "grants forgotten at hand-over": "handed_over",
    "no wait at take-over": "order_in_transit",
    "grants not collected at take-over": "owner_paused_in_order",
    "no lease check after a pause": "owner_isolated",
    "eviction with a grant out": "owner_killed",
    "claim with its reply lost is written again without comparing": "claims_lost",
    "report older than the event accepted": "reports_lag",
    "dead holder's grants dropped without a report": "holder_killed",
    "late grant used": "holder_paused",
    "eviction without a witness": "owner_paused_in_order",
}


@contextmanager
def mutated(patches: list[Patch]) -> Iterator[None]:
    """Replace parts of the core for a while."""
    before = [(owner, name, owner.__dict__[name]) for owner, name, _ in patches]
    try:
        for owner, name, value in patches:
            setattr(owner, name, value)
        yield
    finally:
        for owner, name, value in before:
            setattr(owner, name, value)


def histories(first: str) -> Iterator[tuple[str, Callable[[], Any]]]:
    """Yield the script written for a fault, the others, then histories by chance."""
    for name in sorted(SCRIPTS, key=lambda name: name != first):
        script = SCRIPTS[name]
        for checks in (False, True):
            label = f"{name}, {'checking' if checks else 'ignoring'}"
            yield label, lambda script=script, checks=checks: script(1, checks)
    for seed in range(SEEDS):
        for checks in (False, True):
            label = f"seed {seed}, {'checking' if checks else 'ignoring'}"
            yield label, lambda seed=seed, checks=checks: random_history(seed, checks)


def hunt(fault: str, patches: list[Patch]) -> Found:
    """Run histories with a fault until one breaks a promise."""
    began_s = time.perf_counter()
    virtual_s = 0.0
    with mutated(patches):
        for label, history in histories(FIRST.get(fault, "")):
            world = history()
            broken = world.checker.violations
            if broken:
                first = broken[0]
                wall_s = time.perf_counter() - began_s
                virtual_s += first.at_s
                return Found(fault, True, label, virtual_s, wall_s, first.promise)
            virtual_s += world.now_s
    return Found(fault, False, "", virtual_s, time.perf_counter() - began_s, "")


def hunt_configuration(fault: str, patches: list[Patch]) -> Found:
    """Run histories of the configuration with a fault until one breaks a promise."""
    began_s = time.perf_counter()
    with mutated(patches):
        ran = run_overtaken()
        by = "configuration, delta overtaken"
        if not ran.broken:
            ran = run_configuration(CONFIGURATION_SEED, CONFIGURATION_HISTORIES)
            by = f"configuration, history {ran.histories}"
    wall_s = time.perf_counter() - began_s
    return Found(
        fault,
        bool(ran.broken),
        by if ran.broken else "",
        ran.virtual_s,
        wall_s,
        ran.broken,
        "" if ran.broken else HARMLESS.get(fault, ""),
    )


def hunt_serving(fault: str, mechanism: str, patches: list[Patch]) -> Found:
    """Run a mechanism's histories with a fault until one breaks a promise."""
    began_s = time.perf_counter()
    with mutated(patches):
        for seed in range(SERVING_SEEDS):
            broken = HISTORIES[mechanism](seed)
            if broken:
                wall_s = time.perf_counter() - began_s
                label = f"{mechanism}, seed {seed}"
                return Found(fault, True, label, 0.0, wall_s, broken[0])
    return Found(fault, False, "", 0.0, time.perf_counter() - began_s, "")


def show(seen: Found) -> None:
    """Print what became of a fault."""
    print(
        f"{seen.fault:62} {'caught' if seen.caught else 'NOT CAUGHT':10} "
        f"{seen.virtual_s:7.1f} s virtual {seen.wall_s:6.1f} s wall  "
        f"{seen.by}: {seen.promise}{seen.harmless_since}",
        flush=True,
    )


def main() -> int:
    """Print which faults were caught; 1 if one was not."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    found = [hunt("none", [])]
    print(f"{'no fault':62} caught: {found[0].caught} {found[0].by}", flush=True)
    clean = [found[0], hunt_configuration("none, configuration", [])]
    found.append(clean[1])
    show(clean[1])
    for fault, patches in MUTANTS.items():
        if wanted in fault:
            found.append(hunt(fault, patches))
            show(found[-1])
    for fault, patches in CONFIGURATION_MUTANTS.items():
        if wanted in fault:
            found.append(hunt_configuration(fault, patches))
            show(found[-1])
    for fault, (mechanism, patches) in SERVING_MUTANTS.items():
        if wanted in fault:
            found.append(hunt_serving(fault, mechanism, patches))
            show(found[-1])
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    RESULT.parent.mkdir(exist_ok=True)
    result = {"command": "make mutants", "commit": commit}
    result["found"] = [asdict(each) for each in found]  # type: ignore[assignment]
    if not wanted:
        RESULT.write_text(json.dumps(result, indent=1) + "\n")
    faults = found[len(clean) :]
    missed = [each for each in faults if not each.caught and not each.harmless_since]
    return 1 if missed or any(each.caught for each in clean) else 0


if __name__ == "__main__":
    sys.exit(main())
