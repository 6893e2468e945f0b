"""Measures how long a call's placement, and a look for engines to claim, take.

    make bench-choice [ENGINES=62,600,6000] [DAEMONS=195]

Each engine holds ten of 24,000 adapters; calls ask for the popular ones most. Prints a
line a size; the figures stand in docs/deciding.md.
"""

import os
import random
import time

from knapweedbridge_core.serving import (
    DaemonRecord,
    EndpointRecord,
    Fleet,
    LateAdmission,
    LeastCostPlacement,
    ModelRef,
    PlacementRequest,
    may_claim,
)

ADAPTERS = 24_000
PLACES = 10
CENTRES = 5
CALLS = 200
OBJECTIVE_S = 0.6
FREE_FOR_S = 0.6


def make_fleet(engines: int, luck: random.Random) -> Fleet:
    """Make a fleet whose engines are all heard of."""
    fleet = Fleet()
    for n in range(engines):
        held = {ModelRef("m", f"a{luck.randrange(ADAPTERS)}"): 1 for _ in range(PLACES)}
        record = EndpointRecord(
            f"i-{n:06x}",
            "llm",
            "10.0.0.1:1",
            f"d{n % CENTRES}",
            12,
            False,
            ("m",),
            held,
        )
        endpoint = fleet.listed(record, 0.0)
        endpoint.owner, endpoint.heard_s, endpoint.places_free = "h0", 0.0, 2
        endpoint.others_calls = luck.randrange(10)
    return fleet


def placement_ms(engines: int, daemons: int) -> float:
    """Return the mean time of a call's placement, in milliseconds."""
    luck = random.Random(1)
    fleet = make_fleet(engines, luck)
    admission = LateAdmission(LeastCostPlacement())
    began_s = time.perf_counter()
    for n in range(CALLS):
        now_s = 0.001 * n
        model = ModelRef("m", f"a{int(ADAPTERS * luck.random() ** 3)}")
        reachable = fleet.reachable("llm", now_s)
        fleet.estimate_load(reachable, daemons, False, now_s)
        ask = PlacementRequest(model, None, "d1", frozenset(), 900, OBJECTIVE_S)
        admission.choose(ask, reachable, OBJECTIVE_S, True, now_s)
    return (time.perf_counter() - began_s) / CALLS * 1000


def claims_ms(engines: int, daemons: int) -> float:
    """Return the time of one look at free engines, in milliseconds."""
    listed = [DaemonRecord(f"h{n}", 1, "", f"d{n % CENTRES}") for n in range(daemons)]
    began_s = time.perf_counter()
    for n in range(engines):
        may_claim(listed[1], f"i-{n:06x}", f"d{n % CENTRES}", listed, FREE_FOR_S)
    return (time.perf_counter() - began_s) * 1000


def main() -> None:
    """Print a line a size."""
    daemons = int(os.environ.get("DAEMONS", "195"))
    for engines in map(int, os.environ.get("ENGINES", "62,600,6000").split(",")):
        placed_ms = placement_ms(engines, daemons)
        looked_ms = claims_ms(engines, daemons)
        print(
            f"{engines} engines, {daemons} daemons: "
            f"a placement {placed_ms:.3f} ms, a look for claims {looked_ms:.2f} ms"
        )


if __name__ == "__main__":
    main()
