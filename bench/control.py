"""What control costs a daemon: membership, configuration, calls to the service.

Pools of cores in virtual time give bytes, messages and a core's processor time;
real daemons on loopback give a process's time and memory, and what they call.
"""

import argparse
import json
import os
import resource
import subprocess
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path

import httpx
from deployment import Deployment

from knapweedbridge_core.changes import change
from knapweedbridge_core.configuration import build_parts
from knapweedbridge_core.folder import merge_folder
from knapweedbridge_core.parts import Parts
from knapweedbridge_standins.example import ADMINISTRATOR_KEY, Example
from knapweedbridge_standins.pool import Pool

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "bench" / "results" / "control.json"
POOLS = (8, 16, 32, 64, 128, 256)
PROCESSES = (8, 16, 24)
REST_S = 10.0
SETTLE_S = 45.0
BASE_PORT = 24000
ADAPTERS = 28_000
CHANGES = 5
PLANNED_DAEMONS = 2_100
PLANNED_DATA_CENTRES = 31
EXAMPLE_DATA_CENTRES = 2
HEADERS = {"authorization": f"Bearer {ADMINISTRATOR_KEY}"}


class RestingExample(Example):
    """The example with the settings' own periods, not those of quick tests."""

    def settings(self, place: int, secret_file: str) -> str:
        """Return the settings of a daemon as INI text."""
        text = super().settings(place, secret_file)
        return text.replace("poll_s = 0.5\n", "").replace("heartbeat_s = 0.2\n", "")


@dataclass(slots=True)
class PoolRow:
    """One pool of cores at rest, and a change that crosses it."""

    daemons: int
    sent_bytes_s: float
    most_sent_bytes_s: float
    messages_s: float
    core_percent: float
    apply_to_in_force_s: float
    service_reads_a_change: int
    agreed_on_death_s: float


@dataclass(slots=True)
class ProcessRow:
    """Real daemons at rest, and changes that reach all of them."""

    daemons: int
    process_percent: float
    most_process_percent: float
    resident_mb: float
    reads_s: float
    writes_s: float
    watches_s: float
    apply_to_in_force_s: list[float]


@dataclass(slots=True)
class ConfigurationRow:
    """What 28,000 adapters cost one daemon."""

    adapters: int
    folder_mb: float
    packed_kb: float
    check_s: float
    pack_s: float
    build_s: float
    change_ms: float
    held_mb: float


def slope(points: list[tuple[float, float]]) -> float:
    """Return the least-squares slope of y over x."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return above / sum((x - mean_x) ** 2 for x, _ in points)


def measure_pool(daemons: int) -> PoolRow:
    """Measure one pool of cores in virtual time."""
    pool = Pool(daemons)
    assert pool.run_until(pool.agree, 60) is not None
    pool.run(SETTLE_S)
    pool.reset_traffic()
    began_s = time.process_time()
    pool.run(REST_S)
    core_s = (time.process_time() - began_s) / daemons / REST_S
    traffic = [node.traffic for node in pool.nodes.values()]
    sent = [each.sent_bytes / REST_S for each in traffic]
    messages_s = sum(each.messages for each in traffic) / daemons / REST_S
    sections = {"team optics": {}}
    for place in range(200):
        sections[f"adapter a{place}"] = {"team": "optics", "base_model": "m"}
    pool.apply(sections)
    pool.run(3)
    pool.service.root_reads = 0
    pool.apply_changes({"adapter a7": {"team": "optics", "base_model": "n"}})
    took_s = pool.run_until(lambda: pool.in_force(2), 20)
    reads = pool.service.root_reads
    pool.kill("host-1", refuses=False)
    death_s = pool.run_until(lambda: pool.agree({"host-1"}), 30)
    assert took_s is not None and death_s is not None
    return PoolRow(
        daemons,
        round(sum(sent) / daemons, 1),
        round(max(sent), 1),
        round(messages_s, 2),
        round(100 * core_s, 3),
        round(took_s, 2),
        reads,
        round(death_s, 2),
    )


def processor_s(pid: int) -> float:
    """Return the processor time a process used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the memory a process holds."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def measure_processes(daemons: int) -> ProcessRow:
    """Measure real daemons at rest, then apply a few changes."""
    example = RestingExample(base_port=BASE_PORT, daemons=daemons)
    with Deployment(example) as deployment:
        time.sleep(8)
        pids = [
            process.pid
            for name, process in deployment.processes.items()
            if name.startswith("host-") and name.removeprefix("host-").isdigit()
        ]
        calls = httpx.get(f"http://{example.key_value}/calls").json()
        used_s = [processor_s(pid) for pid in pids]
        time.sleep(REST_S)
        later = httpx.get(f"http://{example.key_value}/calls").json()
        shares = [
            (processor_s(pid) - before_s) / REST_S
            for pid, before_s in zip(pids, used_s, strict=True)
        ]
        resident = sum(map(resident_mb, pids)) / daemons
        took_s = [apply_one(example, place) for place in range(CHANGES)]
    rates = {kind: (later[kind] - calls.get(kind, 0)) / REST_S for kind in later}
    return ProcessRow(
        daemons,
        round(100 * sum(shares) / daemons, 2),
        round(100 * max(shares), 2),
        round(resident, 1),
        round(rates.get("read", 0), 2),
        round(rates.get("write", 0), 2),
        round(rates.get("watch", 0), 2),
        took_s,
    )


def apply_one(example: Example, place: int) -> float:
    """Apply a change and return the time until it is in force on all hosts."""
    files = dict(example.folder())
    files["90-change.ini"] = (
        f"[adapter refill-{place}]\nteam = optics\nbase_model = changed-{place}\n"
    )
    with httpx.Client(headers=HEADERS, timeout=30, trust_env=False) as client:
        url = f"http://{example.administration(0)}/v1"
        based_on = client.get(f"{url}/status").json()["generation"]
        began_s = time.monotonic()
        body = {"based_on": based_on, "files": files}
        answer = client.post(f"{url}/configuration", json=body)
        generation = answer.json()["generation"]
        waiting = set(range(example.daemons))
        while waiting and time.monotonic() - began_s < 30:
            for daemon in sorted(waiting):
                at = f"http://{example.administration(daemon)}/v1/status"
                if client.get(at).json()["generation"] >= generation:
                    waiting.discard(daemon)
        assert not waiting, waiting
    return round(time.monotonic() - began_s, 3)


def timed(work: Callable) -> tuple[float, object]:
    """Run something and return how long it took, and what it returned."""
    began_s = time.perf_counter()
    made = work()
    return time.perf_counter() - began_s, made


def measure_configuration() -> ConfigurationRow:
    """Measure a folder of 28,000 adapters."""
    lines = ["[team optics]\n"]
    for place in range(ADAPTERS):
        lines.append(
            f"[adapter refill-{place}]\nteam = optics\nbase_model = namib-7b\n"
            f"[version refill-{place}@1]\n"
        )
    text = "".join(lines)
    check_s, sections = timed(lambda: merge_folder([("all.ini", text)]))
    pack_s, parts = timed(partial(Parts.of, sections))
    tracemalloc.start()
    (held, faults) = build_parts(1, "a", parts)
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    assert not faults
    build_s, _ = timed(lambda: build_parts(1, "a", parts))
    changes = {"adapter refill-7": {"team": "optics", "base_model": "other"}}
    change_s, _ = timed(lambda: change(held, 2, "b", parts.changed(changes), changes))
    return ConfigurationRow(
        ADAPTERS,
        round(len(text) / 1e6, 2),
        round(parts.size_bytes / 1e3, 1),
        round(check_s, 2),
        round(pack_s, 2),
        round(build_s, 2),
        round(change_s * 1e3, 2),
        round(held_mb + parts.size_bytes / 1e6, 1),
    )


def print_rows(title: str, rows: list) -> None:
    """Print rows as a table."""
    print(f"\n{title}")
    names = list(asdict(rows[0]))
    print(" | ".join(names))
    for row in rows:
        print(" | ".join(str(value) for value in asdict(row).values()))


def slopes_of(rows: list, names: tuple[str, ...]) -> dict[str, float]:
    """Return the slope of each named column over the daemons."""
    return {
        name: round(slope([(row.daemons, getattr(row, name)) for row in rows]), 6)
        for name in names
    }


def plan(row: ProcessRow, slopes: dict[str, float]) -> dict[str, float]:
    """Work out the calls at the planned size.

    Watchers are a fixed number a data centre: what the example's data centres
    cause is multiplied by the planned ones, what rises a daemon by the daemons.
    """
    planned = {}
    for name in ("reads_s", "writes_s", "watches_s"):
        fixed = max(0.0, getattr(row, name) - slopes[name] * row.daemons)
        centres = fixed / EXAMPLE_DATA_CENTRES * PLANNED_DATA_CENTRES
        planned[name] = round(centres + slopes[name] * PLANNED_DAEMONS, 1)
    return planned


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="write the results")
    keep = parser.parse_args().keep
    pools = [measure_pool(daemons) for daemons in POOLS]
    print_rows("1. Membership, cores in virtual time", pools)
    pool_slopes = slopes_of(pools, ("sent_bytes_s", "messages_s", "core_percent"))
    print("slopes a member:", pool_slopes)
    processes = [measure_processes(daemons) for daemons in PROCESSES]
    print_rows("1, 3, 4. Real daemons on loopback, at rest, then changes", processes)
    names = ("process_percent", "resident_mb", "reads_s", "writes_s", "watches_s")
    process_slopes = slopes_of(processes, names)
    print("slopes a daemon:", process_slopes)
    planned = plan(processes[-1], process_slopes)
    print(f"worked out for {PLANNED_DAEMONS} daemons, at rest:", planned)
    configuration = measure_configuration()
    print_rows("3. A configuration of 28,000 adapters", [configuration])
    if keep:
        commit = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"],
            capture_output=True,
            text=True,
            cwd=ROOT,
        )
        results = {
            "command": "make bench-control",
            "commit": commit.stdout.strip(),
            "pools": [asdict(row) for row in pools],
            "pool_slopes": pool_slopes,
            "processes": [asdict(row) for row in processes],
            "process_slopes": process_slopes,
            "planned_calls_s": planned,
            "configuration": asdict(configuration),
        }
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
