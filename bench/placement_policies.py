"""The policies compared: the core's decisions, and simple ones beside them."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from placement_model import Arrival, NextUse, Site, TrueRate

from knapweedbridge_core import rendezvous
from knapweedbridge_core.forecast import LastUse
from knapweedbridge_core.loads import LoadOrder
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.placement import LeastLoaded, Placement, make_placement
from knapweedbridge_core.policy import PlacementPolicy
from knapweedbridge_core.slots import SlotChoice, SlotOption

BOUND_ON_LOAD = 1.25
PLAIN = PlacementPolicy(order="longest_wait", prefetch=False, copies=False)
SAME_ORDER = PlacementPolicy(prefetch=False, copies=False)


class _OneEndpoint(SlotChoice):
    """Chooses an endpoint first, then the least worth on it."""

    def choose(
        self, model: AdapterVersion, options: Iterable[SlotOption]
    ) -> SlotOption | None:
        """See `SlotChoice.choose`."""
        options = list(options)
        if not options:
            return None
        endpoint = self._endpoint(model, options)
        there = [option for option in options if option.endpoint == endpoint]
        return min(there, key=lambda option: option.worth)

    def _endpoint(self, model: AdapterVersion, options: list[SlotOption]) -> str:
        raise NotImplementedError


class RandomEndpoint(_OneEndpoint):
    """Any endpoint."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)

    def _endpoint(self, model: AdapterVersion, options: list[SlotOption]) -> str:
        return self._rng.choice(sorted({option.endpoint for option in options}))


class LeastLoadedEndpoint(_OneEndpoint):
    """The endpoint that runs least."""

    def _endpoint(self, model: AdapterVersion, options: list[SlotOption]) -> str:
        return min(options, key=lambda o: (o.running, o.endpoint)).endpoint


class BoundedRendezvous(_OneEndpoint):
    """The endpoint that hashing gives, unless it runs more than its bound."""

    def _endpoint(self, model: AdapterVersion, options: list[SlotOption]) -> str:
        running = {option.endpoint: option.running for option in options}
        bound = BOUND_ON_LOAD * (sum(running.values()) + 1) / len(running)
        ranked = sorted(
            running, key=lambda name: rendezvous.score(str(model), name), reverse=True
        )
        return next((name for name in ranked if running[name] + 1 <= bound), ranked[0])


@dataclass(slots=True)
class Policy:
    """One row of the table."""

    name: str
    order: Callable[[Site, list[Arrival], int], LoadOrder]
    join: Callable[[Site], Placement] = lambda site: LeastLoaded()


def _lru(choice: SlotChoice) -> LoadOrder:
    return LoadOrder("host-0", PLAIN, LastUse(), slot_choice=choice)


def _ours(site: Site, stream: list[Arrival], seed: int) -> LoadOrder:
    return LoadOrder("host-0", PlacementPolicy(weigh=site.weigh))


OURS = "knapweedbridge"
DECAYED = "decayed count"
BOUND = "clairvoyant"
TRUE_RATES = "true rates"

POLICIES = [
    Policy("random+LRU", lambda site, stream, seed: _lru(RandomEndpoint(seed))),
    Policy("least-loaded+LRU", lambda site, stream, seed: _lru(LeastLoadedEndpoint())),
    Policy("bounded rendezvous", lambda site, stream, seed: _lru(BoundedRendezvous())),
    Policy(
        DECAYED,
        lambda site, stream, seed: LoadOrder(
            "host-0",
            PlacementPolicy(
                forecast="decayed_count",
                order="longest_wait",
                prefetch=False,
                copies=False,
            ),
        ),
    ),
    Policy(OURS, _ours, lambda site: make_placement(site.weigh)),
    Policy(
        TRUE_RATES,
        lambda site, stream, seed: LoadOrder("host-0", SAME_ORDER, TrueRate(stream)),
    ),
    Policy(
        BOUND,
        lambda site, stream, seed: LoadOrder("host-0", SAME_ORDER, NextUse(stream)),
    ),
]
