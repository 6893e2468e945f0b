"""Load stalls and batch fill of both deployments beside simple policies.

Virtual time; every policy sees the same seeded arrivals and the same admission.
"""

import argparse
import json
import subprocess
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from placement_model import (
    CHAOPHRAYA,
    DEADLINE_S,
    OKAVANGO,
    Faults,
    Result,
    Run,
    Site,
    arrivals,
)
from placement_plot import plot
from placement_policies import BOUND, DECAYED, OURS, POLICIES, TRUE_RATES

RESULTS = Path(__file__).parent / "results" / "placement.json"
BRIEF_RESULTS = RESULTS.with_name("placement-seeds.json")
PLOT = Path(__file__).parent / "results" / "placement.svg"
RUN_S = 900.0
WARM_S = 200.0
FAULT_S = 400.0
RECOVER_S = 60.0
# Of 3,000 adapters 48% change ranks within an hour, two at a time.
DRIFT_PER_S = 0.2
CHANGING = ("shift", "drift")
POINTS = (0.6, 0.8, 0.95, 1.5)
TUNING_SEED = 11
SEEDS = (101, 202)
WORKERS = 4
CASES = {
    "steady": Faults(),
    "shift": Faults(shift_s=FAULT_S),
    "cold": Faults(restart_s=FAULT_S, restarts=2),
    "failing": Faults(failing=0.1, poisoned=1),
    "drift": Faults(drift_per_s=DRIFT_PER_S),
}


@dataclass(slots=True)
class Row:
    """What one policy did in one case at one operating point, over the seeds.

    ``mean_all_s`` counts a refused request as a stall of its whole deadline.
    """

    site: str
    case: str
    point: float
    policy: str
    per_s: float
    stalled: float
    mean_s: float
    mean_all_s: float
    p50_s: float
    p95_s: float
    p99_s: float
    answered: float
    loaded_p95_s: float
    fill: float
    loads_per_s: float
    evictions_per_s: float
    after_s: list[float]


@dataclass(slots=True, frozen=True)
class Job:
    """One run."""

    site: Site
    case: str
    point: float
    policy: int
    per_s: float
    seed: int


def run_once(job: Job) -> Result:
    """Run one policy over one stream."""
    faults = CASES[job.case]
    policy = POLICIES[job.policy]
    stream = arrivals(job.site, job.per_s, RUN_S, job.seed, faults)
    order = policy.order(job.site, stream, job.seed)
    join = policy.join(job.site)
    return Run(job.site, stream, order, join, faults, WARM_S, job.seed).run()


def request_rate(site: Site, share: float) -> float:
    """Find the requests a second at which decayed counts use a share of the loads.

    Loads take no time here, so that the queue does not hide what is used.
    """
    place = [policy.name for policy in POLICIES].index(DECAYED)
    per_s = 2.0 * share * site.loads_per_s
    for _ in range(4):
        stream = arrivals(site, per_s, RUN_S, TUNING_SEED, Faults())
        order = POLICIES[place].order(site, stream, TUNING_SEED)
        join = POLICIES[place].join(site)
        run = Run(site, stream, order, join, Faults(), WARM_S, TUNING_SEED, True)
        used = run.run().loads / (RUN_S - WARM_S)
        per_s *= share * site.loads_per_s / used
    return round(per_s, 2)


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def row(job: Job, results: list[Result]) -> Row:
    """Join the seeds of one policy, case and point."""
    stalls = sorted(stall for r in results for _, stall in r.stalls)
    refused = sum(len(r.refused) for r in results)
    span_s = (RUN_S - WARM_S) * len(results)
    loaded = sorted(wait for r in results for wait in r.loaded_waits)
    return Row(
        job.site.name,
        job.case,
        job.point,
        POLICIES[job.policy].name,
        job.per_s,
        sum(stall > 0 for stall in stalls) / len(stalls),
        sum(stalls) / len(stalls),
        (sum(stalls) + refused * DEADLINE_S) / (len(stalls) + refused),
        quantile(stalls, 0.5),
        quantile(stalls, 0.95),
        quantile(stalls, 0.99),
        len(stalls) / (len(stalls) + refused),
        quantile(loaded, 0.95),
        sum(r.fill for r in results) / len(results),
        sum(r.loads for r in results) / span_s,
        sum(r.evictions for r in results) / span_s,
        after_fault(results),
    )


def after_fault(results: list[Result]) -> list[float]:
    """Return the mean stall in spans of 30 s from the fault on, refused ones too."""
    means = []
    for span in range(8):
        from_s = FAULT_S + 30.0 * span
        there = [
            stall
            for r in results
            for at_s, stall in r.stalls
            if from_s <= at_s < from_s + 30.0
        ]
        there += [
            DEADLINE_S for r in results for at_s in r.refused
            if from_s <= at_s < from_s + 30.0
        ]  # fmt: skip
        means.append(sum(there) / max(1, len(there)))
    return means


def jobs(sites: list[Site], seeds: tuple[int, ...]) -> list[Job]:
    """List all runs, those of one row beside each other."""
    listed = []
    with ProcessPoolExecutor(WORKERS) as pool:
        wanted = [(site, point) for site in sites for point in POINTS]
        rates = dict(
            zip(wanted, pool.map(request_rate, *zip(*wanted, strict=True)), strict=True)
        )
    for site in sites:
        rows = [("steady", point) for point in POINTS]
        rows += [(case, 0.8) for case in CASES if case != "steady"]
        rows += [("shift", 0.6)]
        for case, point in rows:
            for place, policy in enumerate(POLICIES):
                if policy.name == TRUE_RATES and case in CHANGING:
                    continue
                per_s = rates[site, point]
                listed += [Job(site, case, point, place, per_s, s) for s in seeds]
    return listed


def measure(listed: list[Job], seeds: int) -> list[Row]:
    """Run all and print a line a row."""
    rows: list[Row] = []
    with ProcessPoolExecutor(WORKERS) as pool:
        results: list[Result] = []
        for job, result in zip(listed, pool.map(run_once, listed), strict=True):
            results.append(result)
            if len(results) == seeds:
                rows.append(row(job, results))
                results = []
                show(rows[-1])
    return rows


def show(shown: Row) -> None:
    """Print one row."""
    after = " ".join(f"{mean:.2f}" for mean in shown.after_s[:4])
    after = f"  after fault: {after}" if shown.case in ("shift", "cold") else ""
    print(
        f"{shown.site:10} {shown.case:7} {shown.point:4.0%} {shown.policy:18}"
        f" stalled {shown.stalled:5.1%} mean {shown.mean_s:6.3f}"
        f" (all {shown.mean_all_s:6.3f}) p50 {shown.p50_s:5.2f}"
        f" p95 {shown.p95_s:5.2f} p99 {shown.p99_s:5.2f}"
        f" answered {shown.answered:6.1%} loaded p95 {shown.loaded_p95_s:5.3f}"
        f" fill {shown.fill:5.2f} loads/s {shown.loads_per_s:4.2f}"
        f" evictions/s {shown.evictions_per_s:4.2f}{after}",
        flush=True,
    )


Rows = dict[tuple[str, str, float, str], Row]


def goals(rows: list[Row]) -> list[str]:
    """Tell each goal met or not, with its figures."""
    by = {(r.site, r.case, r.point, r.policy): r for r in rows}
    return okavango_goals(by) + chaophraya_goals(by)


def okavango_goals(by: Rows) -> list[str]:
    """Tell the goals where stalls weigh more."""
    told = []
    for point in (0.6, 0.8, 0.95):
        own = by["okavango", "steady", point, OURS].mean_all_s
        bound = by["okavango", "steady", point, BOUND].mean_all_s
        true = by["okavango", "steady", point, TRUE_RATES].mean_all_s
        told.append(
            verdict(
                f"okavango {point:.0%}: mean stall / bound {own / bound:.2f}, goal 1.5"
                f" (with the true rates known {true / bound:.2f})",
                own <= 1.5 * bound,
            )
        )
    own, bound = (by["okavango", "steady", 1.5, name] for name in (OURS, BOUND))
    share = own.answered / bound.answered
    told.append(
        verdict(f"okavango 150%: answers / bound {share:.3f}, goal 0.9", share >= 0.9)
    )
    calm = by["okavango", "steady", 0.6, OURS]
    told.append(
        verdict(
            f"okavango loaded p95 at 150% {own.loaded_p95_s:.3f} s,"
            f" at 60% {calm.loaded_p95_s:.3f} s, goal 1.1 times",
            own.loaded_p95_s <= 1.1 * calm.loaded_p95_s,
        )
    )
    for point in (0.6, 0.8):
        steady = by["okavango", "steady", point, OURS].mean_all_s
        later = by["okavango", "shift", point, OURS].after_s[int(RECOVER_S / 30)]
        told.append(
            verdict(
                f"okavango shift at {point:.0%}: mean stall 60 to 90 s after"
                f" {later:.3f}, steady {steady:.3f}, goal 1.1 times",
                later <= 1.1 * steady,
            )
        )
    return told


def chaophraya_goals(by: Rows) -> list[str]:
    """Tell the goals where batches weigh more."""
    told = []
    baselines = [p.name for p in POLICIES if p.name not in (OURS, BOUND, TRUE_RATES)]
    for point in POINTS:
        own = by["chaophraya", "steady", point, OURS]
        others = [by["chaophraya", "steady", point, name] for name in baselines]
        fill = max(other.fill for other in others)
        p95_s = min(other.p95_s for other in others)
        told.append(
            verdict(
                f"chaophraya {point:.0%}: fill {own.fill:.2f}, best baseline"
                f" {fill:.2f}; p95 {own.p95_s:.2f} s, best baseline {p95_s:.2f} s",
                own.fill > fill and own.p95_s <= p95_s,
            )
        )
    return told


def verdict(text: str, met: bool) -> str:
    """Say whether a goal is met."""
    return f"{'met    ' if met else 'NOT MET'} {text}"


def weights(rate: float, seeds: tuple[int, ...]) -> list[Row]:
    """Move the one setting from stalls to batches on the same arrivals."""
    place = [policy.name for policy in POLICIES].index(OURS)
    rows = []
    with ProcessPoolExecutor(WORKERS) as pool:
        for weigh in (0.0, 0.1, 0.3, 1.0):
            site = replace(CHAOPHRAYA, weigh=weigh, name=f"weigh={weigh:g}")
            listed = [Job(site, "steady", 0.8, place, rate, seed) for seed in seeds]
            rows.append(row(listed[0], list(pool.map(run_once, listed))))
            show(rows[-1])
    return rows


def decision_cost_us(adapters: int, waiting: int) -> float:
    """Measure one decision in microseconds with many adapters and waiters."""
    from knapweedbridge_core.load_queue import DaemonDemand
    from knapweedbridge_core.names import AdapterVersion

    stream = arrivals(replace(OKAVANGO, adapters=adapters), 50.0, 1000.0, 1, Faults())
    order = POLICIES[4].order(OKAVANGO, stream, 1)
    run = Run(OKAVANGO, stream, order, POLICIES[4].join(OKAVANGO), Faults(), 0.0, 1)
    for place, engine in enumerate(run.engines.values()):
        first = place * engine.entry.slots
        for rank in range(first, first + engine.entry.slots):
            engine.loaded.add(AdapterVersion(f"a{rank:05}", "1"))
        run.publish(engine)
    for arrival in stream:
        order.used(arrival.model, 1, arrival.at_s)
    now_s = 1000.0
    for number in range(waiting):
        asker = DaemonDemand(1, now_s, now_s + 1e6, now_s + 1e6, now_s)
        order.wanted(AdapterVersion(f"w{number}", "1"), "host-0", asker, run.pool)
    spent_s = 0.0
    for turn in range(200):
        now_s += 0.4
        started_s = time.perf_counter()
        asker = DaemonDemand(1, now_s, now_s + 1e6, now_s + 1e6, now_s)
        order.wanted(AdapterVersion(f"x{turn}", "1"), "host-0", asker, run.pool)
        order.used(AdapterVersion(f"x{turn}", "1"), 1, now_s)
        placed = order.next_load(run.pool, now_s)
        spent_s += time.perf_counter() - started_s
        if placed is not None:
            order.record_declined(placed.model, 3.0, now_s)
    return spent_s / 200 * 1e6


def costs() -> dict[str, float]:
    """Measure decisions at both sizes of catalogue and of queue."""
    found = {}
    for adapters in (3000, 28000):
        for waiting in (10, 1000):
            key = f"{adapters} adapters, {waiting} waiting"
            found[key] = min(decision_cost_us(adapters, waiting) for _ in range(3))
            print(f"one decision, {key}: {found[key]:.0f} us")
    return found


def commit() -> str:
    """Name the commit measured."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True).stdout.strip()


def brief(seeds: tuple[int, ...], measured: str, given: str) -> int:
    """Measure more seeds of what the goals on Okavango ask."""
    kept = (OURS, TRUE_RATES, BOUND)
    listed = [
        job
        for job in jobs([OKAVANGO], seeds)
        if job.case in ("steady", "shift") and POLICIES[job.policy].name in kept
    ]
    rows = measure(listed, len(seeds))
    told = okavango_goals({(r.site, r.case, r.point, r.policy): r for r in rows})
    print("\n".join(told))
    found = {
        "command": f"python bench/placement.py --brief --seeds {given}",
        "commit": measured,
        "goals": told,
        "rows": [asdict(r) for r in rows],
    }
    BRIEF_RESULTS.write_text(json.dumps(found, indent=1) + "\n")
    return 0


def main() -> int:
    """Measure, print, and write the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default=",".join(map(str, SEEDS)))
    parser.add_argument(
        "--brief",
        action="store_true",
        help="Okavango alone, steady and shift, this policy beside the bound.",
    )
    arguments = parser.parse_args()
    seeds = tuple(int(seed) for seed in arguments.seeds.split(","))
    started_s = time.monotonic()
    measured = commit()
    if arguments.brief:
        return brief(seeds, measured, arguments.seeds)
    costs_us = costs()
    listed = jobs([OKAVANGO, CHAOPHRAYA], seeds)
    rows = measure(listed, len(seeds))
    rate = next(
        job.per_s
        for job in listed
        if job.site.name == "chaophraya" and job.point == 0.8
    )
    weighed = weights(rate, seeds)
    told = goals(rows)
    print("\n".join(told))
    RESULTS.parent.mkdir(exist_ok=True)
    found = {
        "command": "python bench/placement.py --seeds " + arguments.seeds,
        "commit": measured,
        "took_s": round(time.monotonic() - started_s),
        "goals": told,
        "decision_us": costs_us,
        "rows": [asdict(r) for r in rows],
        "weigh": [asdict(r) for r in weighed],
    }
    RESULTS.write_text(json.dumps(found, indent=1) + "\n")
    PLOT.write_text(plot([asdict(r) for r in rows]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
