"""Slopes for the capacity page that no other benchmark gives.

Cores of one pool are driven in virtual time (bench/pool.py); memory and idle
processor time are those of real daemons before a stand-in platform.
"""

import gc
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from deployment import Deployment
from pool import Pool, make_configuration

from knapweedbridge_core.changes import change
from knapweedbridge_core.configuration import build_parts
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_standins.example import Example

BASE_PORT = 27400
POOLS = ((2, 10), (8, 38), (24, 113), (70, 330))
QUIET_S = 10.0
REQUESTS = 1000
ADAPTERS = (0, 7000, 28000)
IDLE_S = 10.0
RESULTS = Path(__file__).parent / "results"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def measure_quiet(daemons: int, endpoints: int) -> dict[str, object]:
    """Measure a pool in which nothing happens."""
    pool = Pool(daemons, make_configuration(100, endpoints))
    pool.run(10.0)
    pool.costs.__init__()
    pool.run(QUIET_S)
    costs = pool.costs
    per_s = daemons * QUIET_S
    sent = {kind: round(count / per_s, 2) for kind, count in costs.sent.items()}
    sent_bytes = {
        kind: round(size / per_s, 1) for kind, size in costs.sent_bytes.items()
    }
    return {
        "daemons": daemons,
        "endpoints": endpoints,
        "sent_per_s": sent,
        "sent_bytes_per_s": sent_bytes,
        "core_share": round(sum(costs.spent_s.values()) / per_s, 6),
        "core_share_by_event": {
            kind: round(spent_s / per_s, 6) for kind, spent_s in costs.spent_s.items()
        },
        "store_per_s": {
            kind: round(count / per_s, 4) for kind, count in costs.store.items()
        },
    }


def measure_requests(daemons: int, endpoints: int) -> dict[str, object]:
    """Measure requests for one loaded adapter, each by another daemon in turn."""
    pool = Pool(daemons, make_configuration(100, endpoints))
    pool.run(10.0)
    model = AdapterVersion("refill-0", "1")
    pool.ask("host-0", 0, model)
    pool.run(10.0)
    pool.costs.__init__()
    started_s = time.perf_counter()
    for number in range(1, REQUESTS + 1):
        pool.ask(f"host-{number % daemons}", number, model)
    spent_s = time.perf_counter() - started_s
    costs = pool.costs
    return {
        "daemons": daemons,
        "endpoints": endpoints,
        "handled_us_per_request": round(
            sum(costs.spent_s.values()) / REQUESTS * 1e6, 1
        ),
        "with_encoding_us_per_request": round(spent_s / REQUESTS * 1e6, 1),
        "messages_per_request": {
            kind: round(count / REQUESTS, 2) for kind, count in costs.sent.items()
        },
        "bytes_per_request": round(sum(costs.sent_bytes.values()) / REQUESTS, 1),
        "us_per_event": {
            kind: round(costs.spent_s[kind] / count * 1e6, 1)
            for kind, count in costs.handled.items()
        },
    }


def measure_configuration(adapters: int) -> dict[str, object]:
    """Measure building a generation whole and from one change, and its size."""
    configuration = make_configuration(adapters, 330)
    parts = configuration.parts
    started_s = time.perf_counter()
    build_parts(2, "", parts)
    built_s = time.perf_counter()
    changes = {"team optics": {"share": "2"}}
    newer = change(configuration, 2, "", parts.changed(changes), changes)
    changed_s = time.perf_counter()
    assert newer.generation == 2
    return {
        "adapters": adapters,
        "build_s": round(built_s - started_s, 3),
        "change_s": round(changed_s - built_s, 4),
        "kept_bytes": parts.size_bytes,
        "stored_bytes": sum(len(parts.content(at)) for at in range(64)),
    }


def measure_state(adapters: int) -> dict[str, object]:
    """Measure the memory of one core's state in this process."""
    gc.collect()
    before = _resident_bytes(os.getpid())
    configuration = make_configuration(adapters, 330)
    gc.collect()
    held = _resident_bytes(os.getpid()) - before
    del configuration
    return {"adapters": adapters, "held_bytes": held}


def measure_daemon(place: int, adapters: int) -> dict[str, object]:
    """Measure memory and idle processor time of real daemons."""
    example = Example(BASE_PORT + 150 * place, daemons=2, engines=2)
    example.adapters = max(12, adapters)
    with Deployment(example) as deployment:
        time.sleep(2)
        ids = [deployment.processes[f"host-{host}"].pid for host in range(2)]
        before_s = [_processor_s(process) for process in ids]
        time.sleep(IDLE_S)
        after_s = [_processor_s(process) for process in ids]
        resident = [_resident_bytes(process) for process in ids]
    spent_s = sum(after_s) - sum(before_s)
    return {
        "adapters": adapters,
        "resident_mb": round(resident[1] / 1e6, 1),
        "resident_where_applied_mb": round(resident[0] / 1e6, 1),
        "idle_core_share": round(spent_s / IDLE_S / 2, 5),
    }


def _processor_s(process: int) -> float:
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _resident_bytes(process: int) -> int:
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * PAGE_BYTES


def _try(measure: Callable[..., dict[str, object]], *values: int) -> dict[str, object]:
    """Run one measurement; a failure is a result and is written as such."""
    try:
        found = measure(*values)
    except (RuntimeError, OSError, subprocess.TimeoutExpired) as error:
        found = {"values": values, "failed": repr(error)[:200]}
    print(measure.__name__, json.dumps(found))
    return found


def main() -> int:
    """Measure, print and write."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    figures = {
        "commit": commit,
        "command": "make slopes",
        "state": [_try(measure_state, adapters) for adapters in ADAPTERS],
        "configuration": [_try(measure_configuration, held) for held in ADAPTERS],
        "quiet": [_try(measure_quiet, *pool) for pool in POOLS],
        "requests": [_try(measure_requests, *pool) for pool in POOLS],
        "daemon": [
            _try(measure_daemon, place, adapters)
            for place, adapters in enumerate(ADAPTERS)
        ],
    }
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "slopes.json").write_text(json.dumps(figures, indent=2) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
