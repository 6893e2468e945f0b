"""Recomputes the tables of docs/CAPACITY.md from the measured slopes.

``python bench/capacity.py`` writes them between the markers of the page;
``--check`` only tells whether the page agrees with bench/results.
"""

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "bench" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin {name}: written by make capacity -->"
END = "<!-- end {name} -->"

USED = ("slopes", "relay", "soak")
DAY_S = 86400
US = 1e-6


@dataclass(frozen=True)
class Plan:
    """The planned size."""

    daemons: int = 2100
    servers: int = 10_000
    accelerators: int = 80_000
    adapters: int = 28_000
    data_centres: int = 31
    regions: int = 10
    requests_per_s: float = 35_000
    tokens_per_s: float = 17e6
    changes_per_day: int = 51_000
    waking_share_per_h: float = 0.48
    failed_hosts_per_day: int = 190
    replaced_hosts_per_day: int = 870
    core_share: float = 0.012
    memory_mb: float = 64
    control_bytes_per_s: float = 3000
    first_token_s: float = 0.33
    token_gap_s: float = 0.069
    in_force_s: float = 6.0
    store_writes_per_s: float = 400
    store_reads_per_s: float = 2000

    @property
    def daemons_a_pool(self) -> float:
        """Daemons of a data centre."""
        return self.daemons / self.data_centres

    @property
    def servers_a_pool(self) -> float:
        """Servers of a data centre."""
        return self.servers / self.data_centres

    @property
    def requests_a_daemon(self) -> float:
        """Requests a second of one daemon at the peak."""
        return self.requests_per_s / self.daemons

    @property
    def changes_per_s(self) -> float:
        """Changes of configuration a second."""
        return self.changes_per_day / DAY_S

    @property
    def wakes_per_s(self) -> float:
        """Adapters that wake up or fall idle a second, over all pools."""
        return self.waking_share_per_h * self.adapters / 3600


PLAN = Plan()


def read(name: str) -> dict[str, Any]:
    """Read a benchmark's results."""
    return json.loads((RESULTS / f"{name}.json").read_text())


def verdict(value: float, limit: float) -> str:
    """Say whether a limit holds, or by what factor it is missed."""
    if value <= limit:
        return "holds"
    return f"**missed {value / limit:.1f}-fold**"


def table(heads: list[str], rows: list[list[str]]) -> str:
    """Format a table."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def sizes() -> str:
    """Write what the plan means for one pool and one daemon."""
    plan = PLAN
    rows = [
        ["daemons of a pool (data centre)", f"{plan.daemons_a_pool:.0f}"],
        ["servers of a pool", f"{plan.servers_a_pool:.0f}"],
        ["servers owned by a daemon", f"{plan.servers / plan.daemons:.1f}"],
        ["requests a second of a daemon", f"{plan.requests_a_daemon:.1f}"],
        ["tokens a second of a daemon", f"{plan.tokens_per_s / plan.daemons:.0f}"],
        ["changes of configuration a second", f"{plan.changes_per_s:.2f}"],
        ["adapters that change state a second", f"{plan.wakes_per_s:.1f}"],
    ]
    return table(["size", "figure"], rows)


def slopes() -> str:
    """Write the measured slopes that the rows below use."""
    measured = read("slopes")
    rows = []
    for quiet, busy in zip(measured["quiet"], measured["requests"], strict=True):
        sent_bytes = quiet["sent_bytes_per_s"]
        rows.append(
            [
                str(quiet["daemons"]),
                str(quiet["endpoints"]),
                f"{quiet['core_share'] * 100:.2f}%",
                f"{sent_bytes.get('Heartbeat', 0):.0f}",
                f"{sum(sent_bytes.values()) - sent_bytes.get('Heartbeat', 0):.0f}",
                f"{busy['handled_us_per_request']:.0f}",
                f"{busy['bytes_per_request']:.0f}",
            ]
        )
    heads = ["daemons", "endpoints", "core, quiet", "heartbeats B/s", "other B/s"]
    heads += ["µs a request", "control bytes a request"]
    return table(heads, rows)


def memory() -> str:
    """Write the memory and idle cost of real daemons."""
    rows = []
    for held in read("slopes")["daemon"]:
        if "failed" in held:
            rows.append([str(held["values"][-1]), "not run: it failed", "", ""])
            continue
        missing = verdict(held["resident_mb"], PLAN.memory_mb)
        idle = f"{held['idle_core_share'] * 100:.1f}%"
        cost = f"{idle} ({verdict(held['idle_core_share'], PLAN.core_share)})"
        row = [str(held["adapters"]), f"{held['resident_mb']:.0f} MB", missing, cost]
        rows.append(row)
    return table(["adapters", "resident", f"limit {PLAN.memory_mb} MB", "idle"], rows)


def _sum(found: dict[str, float], *kinds: str) -> float:
    return sum(found.get(kind, 0.0) for kind in kinds)


def roles() -> str:
    """Write state, messages, processor time and memory of each role."""
    measured = read("slopes")
    quiet, busy = measured["quiet"][-1], measured["requests"][-1]
    built = measured["configuration"][-1]
    held = measured["state"][-1]
    plan, events = PLAN, busy["us_per_event"]
    rate = plan.requests_a_daemon
    caller_core = (
        rate * US * _sum(events, "RequestArrived", "GrantGiven", "AttemptEnded")
    )
    owner_core = rate * US * _sum(events, "GrantAsk", "GrantReturned")
    sent = quiet["sent_bytes_per_s"]
    slots = sent.get("SlotsChanged", 0.0)
    beats = sent.get("Heartbeat", 0.0)
    changes_core = plan.changes_per_s * built["change_s"]
    rows = [
        [
            "callers' side",
            "requests under way; a view of the pool's endpoints",
            f"{rate:.0f} requests/s, {rate * busy['bytes_per_request']:.0f} B/s",
            f"{caller_core * 100:.2f}%",
            "in the process",
            verdict(caller_core, plan.core_share),
        ],
        [
            "owner",
            f"{plan.servers / plan.daemons:.1f} ledgers",
            f"slots told to the pool: {slots:.0f} B/s",
            f"{owner_core * 100:.2f}% for grants",
            "in the process",
            verdict(slots, plan.control_bytes_per_s),
        ],
        [
            "member",
            f"{plan.daemons_a_pool:.0f} members",
            f"heartbeats {beats:.0f} B/s",
            f"{quiet['core_share'] * 100:.2f}% with all of a quiet pool",
            "in the process",
            verdict(quiet["core_share"], plan.core_share),
        ],
        [
            "watcher",
            f"{built['kept_bytes'] / 1e6:.2f} MB packed of {plan.adapters} adapters",
            f"{plan.changes_per_s:.2f} changes/s",
            f"{changes_core * 100:.2f}% ({built['change_s'] * 1e3:.1f} ms a change)",
            f"{held['held_bytes'] / 1e6:.0f} MB with the look-ups",
            verdict(held["held_bytes"] / 1e6, plan.memory_mb / 3),
        ],
        [
            "load order (one a pool)",
            "waiting adapters, uses of each",
            f"{plan.wakes_per_s / plan.data_centres:.2f} adapters/s change state",
            "not measured alone",
            "in the process",
            "see the placement benchmark",
        ],
        [
            "operators' command",
            "none in a daemon",
            f"{plan.changes_per_day} writes a day of the root and a part",
            f"{built['build_s']:.2f} s a whole build of a folder",
            "on the operator's host",
            verdict(built["build_s"], plan.in_force_s),
        ],
    ]
    heads = ["role", "state", "messages", "processor", "memory", "against the limit"]
    return table(heads, rows)


def total() -> str:
    """Write one daemon's control against the three limits."""
    measured = read("slopes")
    quiet, busy = measured["quiet"][-1], measured["requests"][-1]
    plan = PLAN
    rate = plan.requests_a_daemon
    core = quiet["core_share"] + rate * busy["handled_us_per_request"] * US
    sent = sum(quiet["sent_bytes_per_s"].values()) + rate * busy["bytes_per_request"]
    resident = measured["daemon"][-1].get("resident_mb", float("nan"))
    rows = [
        [
            "processor for control",
            f"{core * 100:.1f}%",
            f"{plan.core_share * 100:.1f}%",
            verdict(core, plan.core_share),
        ],
        [
            "memory",
            f"{resident:.0f} MB",
            f"{plan.memory_mb:.0f} MB",
            verdict(resident, plan.memory_mb),
        ],
        [
            "control sent",
            f"{sent:.0f} B/s",
            f"{plan.control_bytes_per_s:.0f} B/s",
            verdict(sent, plan.control_bytes_per_s),
        ],
    ]
    return table(["a daemon", "worked out", "limit", ""], rows)


def store() -> str:
    """Write the calls of the key-value service."""
    plan = PLAN
    quiet = read("slopes")["quiet"][-1]["store_per_s"]
    writes = quiet.get("write", 0.0) * plan.daemons
    reads = quiet.get("read", 0.0) * plan.daemons
    rows = [
        [
            "cores of a quiet pool, all daemons",
            f"{writes:.0f}",
            f"{reads:.0f}",
            f"{verdict(writes, plan.store_writes_per_s)}; "
            f"{verdict(reads, plan.store_reads_per_s)}",
        ],
        [
            "changes of configuration (a part, the root)",
            f"{2 * plan.changes_per_s:.1f}",
            f"{3 * plan.changes_per_s:.1f}",
            "holds",
        ],
    ]
    return table(["caller of the service", "writes/s", "reads/s", "limits"], rows)


def bad_days() -> str:
    """Write what bad days bring, from the same slopes."""
    plan = PLAN
    rack = 40
    stored = read("slopes")["configuration"][-1]["stored_bytes"]
    pool_share = plan.servers_a_pool / plan.daemons_a_pool
    restarts = plan.failed_hosts_per_day + plan.replaced_hosts_per_day
    replaced_per_s = plan.daemons / DAY_S
    rows = [
        [
            "an ordinary day",
            f"{restarts} hosts fail or are replaced",
            f"one each {DAY_S / restarts:.0f} s; {pool_share:.1f} endpoints move each",
        ],
        [
            f"a rack ({rack} hosts of a pool of {plan.daemons_a_pool:.0f})",
            f"{rack * pool_share:.0f} endpoints without an owner at once",
            f"{rack * pool_share:.0f} compare-and-swaps, "
            f"{rack * pool_share / plan.store_writes_per_s:.1f} s of the rate",
        ],
        [
            "a data centre",
            f"{plan.requests_per_s / plan.data_centres:.0f} requests/s "
            "go to the others",
            f"+{100 / (plan.data_centres - 1):.1f}% for each of the others",
        ],
        [
            "an hour's cut between regions",
            f"{plan.changes_per_s * 3600:.0f} changes are missed on one side",
            "the sections changed, or at most "
            f"{stored / 1e6:.1f} MB a daemon, follow after it",
        ],
        [
            "the service down for an hour",
            "no change, no claim and no new owner",
            "what stops is on the page of outages",
        ],
        [
            "all daemons replaced in a day",
            f"one each {1 / replaced_per_s:.0f} s; {stored / 1e6:.1f} MB each from "
            "a neighbour",
            f"{replaced_per_s * pool_share:.2f} claims/s, "
            f"{replaced_per_s * stored:.0f} B/s in all",
        ],
    ]
    return table(["day", "what it brings", "cost"], rows)


def relay() -> str:
    """Write the cost of the path, where its benchmark was run."""
    path = RESULTS / "relay.json"
    if not path.exists():
        return "bench/results/relay.json is missing: not run."
    measured = read("relay")
    heads = ["way", "load", "µs a token", "core", "tokens/s", "first p95, ms"]
    heads += ["gap p95, ms", f"against {measured['target_us_a_token']:.0f} µs"]
    rows = [
        [
            held["way"],
            held["load"],
            f"{held['us_a_token']:.0f}",
            f"{held['core']:.2f}",
            f"{held['tokens_per_s']:.0f}",
            f"{held['first_p95_ms']:.0f}",
            f"{held['gap_p95_ms']:.0f}",
            # Requests of one token each: their cost is a request's, not a token's.
            "a request, no target"
            if held["load"] == "requests"
            else verdict(held["us_a_token"], measured["target_us_a_token"]),
        ]
        for held in measured["figures"]
    ]
    return table(heads, rows)


def runs() -> str:
    """Write command and commit of each result."""
    rows = []
    for name in USED:
        path = RESULTS / f"{name}.json"
        if not path.exists():
            rows.append([path.name, "not run", ""])
            continue
        held = json.loads(path.read_text())
        rows.append([path.name, f"`{held.get('command', '')}`", held.get("commit", "")])
    return table(["result", "command", "commit"], rows)


TABLES = {
    "sizes": sizes,
    "slopes": slopes,
    "memory": memory,
    "roles": roles,
    "total": total,
    "store": store,
    "bad-days": bad_days,
    "relay": relay,
    "runs": runs,
}


def fill(page: str) -> str:
    """Return the page with every table computed anew."""
    for name, write in TABLES.items():
        begin, end = BEGIN.format(name=name), END.format(name=name)
        before, found, rest = page.partition(begin)
        after = rest.partition(end)[2]
        if not found or end not in rest:
            raise ValueError(f"the page has no markers for {name}")
        page = f"{before}{begin}\n{write()}\n{end}{after}"
    return page


def main() -> int:
    """Write the page, or check it."""
    held = PAGE.read_text()
    page = fill(held)
    if "--check" in sys.argv:
        return 0 if page == held else 1
    PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
