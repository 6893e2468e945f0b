"""Daemons, owners and engines of one deployment under load."""

import bisect
import itertools
import random

from knapweedbridge_core.serving import (
    CallKind,
    EndpointRecord,
    EnginePlacement,
    EngineRates,
    LearnedRates,
    LeastCostPlacement,
    ModelRef,
    NoPacing,
    PromptPacer,
    Route,
    WindowPacing,
    claimants,
    is_small,
)
from knapweedbridge_core.serving.messages import EngineDelta, EngineSnapshot
from knapweedbridge_core.serving.overload import OVERLOAD_RETRY_AFTER_S
from knapweedbridge_core.serving.ownership import DaemonRecord
from knapweedbridge_standins.serving_load.call import WAY_S, LoadCall
from knapweedbridge_standins.serving_load.daemon import ModelledDaemon
from knapweedbridge_standins.serving_load.engine import (
    ModelledEngine,
    WeightStore,
)
from knapweedbridge_standins.serving_load.figures import Figures
from knapweedbridge_standins.serving_load.owner import ModelledOwner
from knapweedbridge_standins.serving_load.relay import RELAY, ModelledRelay
from knapweedbridge_standins.serving_load.sites import CallMix, LoadSite
from knapweedbridge_standins.virtual_pool import VirtualClock

LIST_S = 1.5
"""Age of what the platform lists of an engine, at most."""


class ModelledPool:
    """All of one deployment."""

    engine_class = ModelledEngine

    def __init__(
        self,
        site: LoadSite,
        policy: EnginePlacement,
        load: float,
        seed: int,
        paced: bool = True,
        relayed: bool = True,
        learn_speeds: bool | None = None,
    ) -> None:
        self.site = site
        self.policy = policy
        self._paced = paced
        self.learn_speeds = bool(learn_speeds)
        self._own_rates = learn_speeds is not None
        self._counted_from_s = 0.0
        self.rates = getattr(policy, "rates", None) or LearnedRates()
        if paced:
            self.rates.set_accepted_gaps({"llm": site.gap_s})
        self.clock = VirtualClock()
        self.figures = Figures()
        self._load = load
        self._luck = random.Random(seed)
        self._centres = [f"d{n}" for n in range(site.data_centres)]
        self.store = WeightStore(site)
        self.engines = {
            f"e{n}": self._make_engine(n, seed) for n in range(site.engines)
        }
        self.daemons = {
            f"h{n}": self._make_daemon(f"h{n}", self._centre(n))
            for n in range(site.daemons)
        }
        listed = [
            DaemonRecord(each.name, 1, "", each.data_centre)
            for each in self.daemons.values()
        ]
        self.small = is_small(listed)
        self._relay = ModelledRelay(self)
        self.subscribers = list(self.daemons) if self.small else [RELAY] * relayed
        self.owners = {
            name: ModelledOwner(self, name, claimants(name, self._centre(n), listed)[0])
            for n, name in enumerate(self.engines)
        }
        self.routes = {
            mix.name: Route(
                mix.name,
                "",
                "/",
                CallKind.STREAM,
                (),
                mix.deadline_s,
                mix.objective_s,
                urgency=mix.urgency,
            )
            for mix in site.mixes
        }
        ranks = range(1, site.adapters + 1)
        self._popularity = list(itertools.accumulate(r**-site.skew for r in ranks))

    def _make_engine(self, number: int, seed: int) -> ModelledEngine:
        speed = self.site.speeds[number % len(self.site.speeds)]
        luck = random.Random(f"{seed} {number}")
        return self.engine_class(self.clock, self.site, self.store, speed, luck)

    def _make_daemon(self, name: str, data_centre: str) -> ModelledDaemon:
        return ModelledDaemon(self, name, data_centre)

    def _centre(self, number: int) -> str:
        return self._centres[number % len(self._centres)]

    def make_policy(self) -> tuple[EnginePlacement, EngineRates]:
        """Return the policy of one daemon, and what it learns of engines."""
        if not self._own_rates:
            return self.policy, self.rates
        rates = LearnedRates()
        if self._paced:
            rates.set_accepted_gaps({"llm": self.site.gap_s})
        return LeastCostPlacement(rates), rates

    def make_pacer(self, rates: EngineRates) -> PromptPacer:
        """Make what gives the prompts for one engine their turns."""
        if not self._paced:
            return NoPacing()
        return WindowPacing(self.site.gap_s, rates.token_s("llm"))

    def records(self) -> list[EndpointRecord]:
        """Return what the platform lists of the engines."""
        now_s = self.clock.now_s
        return [
            EndpointRecord(
                name,
                "llm",
                "",
                self._centre(n),
                self.site.slots,
                False,
                ("m",),
                {m: 1 for m, ready_s in engine.held.items() if ready_s <= now_s},
            )
            for n, (name, engine) in enumerate(self.engines.items())
        ]

    def tell(
        self, daemon: str, owner: str, message: EngineSnapshot | EngineDelta
    ) -> None:
        """Bring an owner's telling to a daemon."""
        told = self._relay.told if daemon == RELAY else self.daemons[daemon].told
        self.clock.after(WAY_S, lambda: told(owner, message))

    def run(self, for_s: float, warm_s: float = 0.0) -> Figures:
        """Play the load, and return what callers got."""
        self._counted_from_s = self.clock.now_s + warm_s
        self._list()
        for owner in self.owners.values():
            owner.work()
        for mix in self.site.mixes:
            self._arrive_later(mix, self.clock.now_s + for_s)
        self.clock.run(for_s + 10.0)
        self.figures.fetched = self.store.fetched
        return self.figures

    def _list(self) -> None:
        for daemon in self.daemons.values():
            daemon.list_engines()
        self.clock.after(LIST_S, self._list)

    def _arrive_later(self, mix: CallMix, ends_s: float) -> None:
        clump = self.site.clump
        pause_s = self._luck.expovariate(mix.per_s * self._load / clump)

        def arrive() -> None:
            if self.clock.now_s < ends_s:
                for _ in range(self._clump_size(clump)):
                    self._arrive(mix)
                self._arrive_later(mix, ends_s)

        self.clock.after(pause_s, arrive)

    def _clump_size(self, mean: float) -> int:
        size = 1
        while self._luck.random() > 1 / mean:
            size += 1
        return size

    def _arrive(self, mix: CallMix) -> None:
        prompt = self._spread(mix.prompt_tokens, mix.prompt_spread)
        prompt = min(prompt + mix.shared_tokens, mix.longest_prompt)
        call = LoadCall(
            mix,
            self._model(),
            prompt,
            self._spread(mix.output_tokens),
            self.clock.now_s,
            prompt > 2 * mix.prompt_tokens,
            self.clock.now_s,
        )
        self._any_daemon().place(call)

    def _any_daemon(self) -> ModelledDaemon:
        return self.daemons[f"h{self._luck.randrange(self.site.daemons)}"]

    def _spread(self, mean: float, sigma: float = 0.6) -> int:
        factor = self._luck.lognormvariate(-sigma * sigma / 2, sigma)
        return max(4, int(mean * factor))

    def _model(self) -> ModelRef:
        if self._luck.random() > self.site.adapter_share:
            return ModelRef("m")
        point = self._luck.random() * self._popularity[-1]
        return ModelRef("m", f"a{bisect.bisect(self._popularity, point)}")

    def first(self, call: LoadCall) -> None:
        """Take a call's first event."""
        call.first_s = self.clock.now_s - call.arrived_s
        self.figures.first_s.append(call.first_s)

    def ended(self, call: LoadCall) -> None:
        """Take a call's end: it is late by its first event or by a pause."""
        if call.arrived_s < self._counted_from_s:
            return
        figures = self.figures
        begun_in_time = call.first_s <= call.mix.objective_s
        smooth = call.longest_pause_s <= self.site.gap_s
        in_time = begun_in_time and smooth
        figures.count(figures.in_time if in_time else figures.late, call.mix.name)
        figures.paused += begun_in_time and not smooth
        figures.big += call.big
        figures.big_in_time += call.big and in_time

    def refused(self, call: LoadCall, over_s: float) -> None:
        """Take that a call was refused; its caller comes back once."""
        self.figures.refusals += 1
        back_s = self._luck.uniform(*OVERLOAD_RETRY_AFTER_S) + over_s
        if call.returned:
            if call.arrived_s < self._counted_from_s:
                return
            self.figures.count(self.figures.refused, call.mix.name)
            self.figures.big += call.big
            return
        call.returned = True
        call.refused.clear()
        call.accepted = False
        call.questions = 0

        def come_back() -> None:
            call.began_s = self.clock.now_s
            self._any_daemon().place(call)

        self.clock.after(back_s, come_back)


def play(
    site: LoadSite,
    policy: EnginePlacement,
    load: float = 1.0,
    for_s: float = 20.0,
    seed: int = 1,
    paced: bool = True,
    relayed: bool = True,
    learn_speeds: bool | None = None,
    warm_s: float = 0.0,
) -> Figures:
    """Play a load on a pool in virtual time.

    Parameters
    ----------
    load : float
        Times the site's usual load.
    for_s : float
        How long calls arrive, in virtual seconds.
    paced : bool
        Whether owners give prompts their turns.
    relayed : bool
        Whether a large pool has relays; if not, its daemons know of engines what the
        platform lists and what owners answer.
    learn_speeds : bool, optional
        Whether owners learn the speeds of engines. Where it is given, each daemon has a
        priced placement of its own and learns by its own calls alone, as real ones do.
    warm_s : float
        Requests that arrive before this are not counted by how they ended.
    """
    pool = ModelledPool(site, policy, load, seed, paced, relayed, learn_speeds)
    return pool.run(for_s, warm_s)
