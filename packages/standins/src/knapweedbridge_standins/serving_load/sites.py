"""Sizes of the deployments that are modelled."""

from dataclasses import dataclass, replace


@dataclass(slots=True, frozen=True)
class CallMix:
    """One kind of call.

    Parameters
    ----------
    per_s : float
        Calls in a second, over all callers.
    prompt_tokens, output_tokens : float
        Means; both are spread like a log-normal.
    objective_s, deadline_s : float
        To the first event, and to the answer's end.
    prompt_spread : float
        Spread of the prompts' lengths, as the log-normal's sigma.
    longest_prompt : int
        Longest prompt, in tokens.
    shared_tokens : int
        Tokens that every prompt has besides.
    """

    name: str
    per_s: float
    prompt_tokens: float
    output_tokens: float
    objective_s: float
    deadline_s: float
    urgency: int
    prompt_spread: float = 0.6
    longest_prompt: int = 8000
    shared_tokens: int = 0


@dataclass(slots=True, frozen=True)
class LoadSite:
    """One deployment.

    Parameters
    ----------
    slots : int
        Calls that an engine runs at once.
    places : int
        Adapters that an engine holds.
    step_s, slot_step_s : float
        Time of a step that makes one token for each call, and what each call adds.
    read_tokens_per_s : float
        Tokens of prompts that an engine reads.
    event_tokens : int
        Tokens of one event.
    load_s : float
        Time of an adapter's load from the weight store.
    loads_at_once : int
        Loads that the weight store serves at full speed.
    chunk_tokens : int
        Most tokens of prompts that one step reads.
    gap_s : float
        Longest pause between two events that callers accept.
    clump : float
        Calls that come together, in the mean.
    speeds : tuple of float
        Times that the engines' steps and reading take in times of the usual, in turn.
    slow_share : float
        Part of its time that each engine is slower by `slow_factor`.
    slow_factor, slow_period_s : float
        By how much, and the length of each such period.
    """

    name: str
    daemons: int
    data_centres: int
    engines: int
    slots: int
    places: int
    adapters: int
    mixes: tuple[CallMix, ...]
    step_s: float
    slot_step_s: float
    read_tokens_per_s: float
    event_tokens: int
    load_s: float = 0.25
    loads_at_once: int = 8
    chunk_tokens: int = 1024
    gap_s: float = 0.25
    clump: float = 1.0
    adapter_share: float = 0.95
    skew: float = 1.2
    speeds: tuple[float, ...] = (1.0,)
    slow_share: float = 0.0
    slow_factor: float = 2.5
    slow_period_s: float = 0.6


Amounts = tuple[float, float, float, float]
"""Calls a second, tokens made, objective and deadline."""


def _mixes(refill: Amounts, history: Amounts, note: Amounts) -> tuple[CallMix, ...]:
    return (
        CallMix("refill", refill[0], 1460, refill[1], refill[2], refill[3], 1),
        CallMix("history", history[0], 1460, history[1], history[2], history[3], 2),
        CallMix("note", note[0], 646, note[1], note[2], note[3], 0),
    )


_OKAVANGO = LoadSite(
    "okavango",
    daemons=7,
    data_centres=3,
    engines=6,
    slots=64,
    places=20,
    adapters=3000,
    mixes=_mixes((27, 172, 0.6, 15), (3.8, 172, 1.0, 25), (17, 69, 1.0, 8)),
    step_s=0.0082,
    slot_step_s=1.8e-5,
    read_tokens_per_s=25800,
    event_tokens=3,
)

_CHAOPHRAYA = LoadSite(
    "chaophraya",
    daemons=9,
    data_centres=3,
    engines=9,
    slots=64,
    places=18,
    adapters=3000,
    mixes=_mixes((32, 172, 0.8, 15), (4.5, 172, 1.0, 20), (20, 69, 1.0, 8)),
    step_s=0.00947,
    slot_step_s=1.8e-5,
    read_tokens_per_s=19200,
    event_tokens=3,
)

_SCHOOLS = LoadSite(
    "schools",
    daemons=9,
    data_centres=3,
    engines=6,
    slots=64,
    places=29,
    adapters=3000,
    mixes=(
        CallMix("callout", 48, 630, 290, 0.6, 12, 1, 0.7, 3400),
        CallMix("roster", 6.7, 630, 290, 1.0, 15, 0, 0.7, 3400),
        CallMix("brief", 8.9, 1800, 24, 0.8, 3, 2, 0.9, 6900),
    ),
    step_s=0.00473,
    slot_step_s=1.4e-5,
    read_tokens_per_s=38400,
    event_tokens=6,
    loads_at_once=16,
    chunk_tokens=2048,
    clump=3.0,
)

_OKAVANGO_GROWN = replace(
    _OKAVANGO,
    name="okavango-grown",
    daemons=79,
    engines=70,
    slots=12,
    places=8,
    adapters=10_000,
    mixes=_mixes((168, 172, 0.6, 12), (23, 172, 1.0, 20), (104, 69, 1.0, 6)),
    event_tokens=5,
    load_s=0.288,
    loads_at_once=72,
)

_CHAOPHRAYA_GROWN = replace(
    _CHAOPHRAYA,
    name="chaophraya-grown",
    daemons=79,
    data_centres=4,
    engines=30,
    slots=48,
    places=14,
    adapters=10_000,
    mixes=_mixes((110, 172, 0.8, 15), (15, 172, 1.0, 20), (68, 69, 1.0, 8)),
    load_s=0.288,
    loads_at_once=40,
)

_OKAVANGO_SHIFTED = replace(
    _OKAVANGO_GROWN,
    name="okavango-shifted",
    daemons=64,
    mixes=_mixes((126, 172, 0.608, 12), (30.3, 172, 1.008, 15), (78.5, 69, 1.006, 6)),
    gap_s=0.3,
    clump=2.0,
)


def _uneven_mix(
    name: str, per_s: float, output_tokens: float, objective_s: float, urgency: int
) -> CallMix:
    return CallMix(
        name,
        per_s,
        1110,
        output_tokens,
        objective_s,
        12,
        urgency,
        prompt_spread=1.0,
        shared_tokens=350,
    )


# The rates are in proportion to the calls of a peak day, by rank.
_UNEVEN = replace(
    _OKAVANGO_GROWN,
    name="uneven",
    daemons=71,
    data_centres=4,
    mixes=(
        _uneven_mix("refill", 84, 172, 0.8, 1),
        _uneven_mix("note", 51, 172, 0.8, 0),
        _uneven_mix("history", 15, 68, 1.0, 2),
    ),
    step_s=0.0101,
    read_tokens_per_s=20_400,
    event_tokens=4,
    chunk_tokens=2048,
    gap_s=0.3,
    speeds=(0.6, 1.0, 1.6),
    slow_share=0.15,
)

SITES = {
    site.name: site
    for site in (
        _OKAVANGO,
        _CHAOPHRAYA,
        _SCHOOLS,
        _OKAVANGO_GROWN,
        _CHAOPHRAYA_GROWN,
        _OKAVANGO_SHIFTED,
        _UNEVEN,
    )
}
