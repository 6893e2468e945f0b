"""The configuration in force: adapters, versions, routes, rules, endpoints, keys."""

from dataclasses import dataclass, field
from sys import intern
from typing import Any

from knapweedbridge_core.duplicates import find_duplicates
from knapweedbridge_core.errors import NameFormatError
from knapweedbridge_core.faults import Fault
from knapweedbridge_core.names import AdapterVersion, is_name, parse_adapter_version
from knapweedbridge_core.parts import Parts, Sections
from knapweedbridge_core.policy import PLACEMENT_SECTION, PlacementPolicy
from knapweedbridge_core.schema import (
    Address,
    Choice,
    Digest,
    Flag,
    Key,
    Name,
    Number,
    Section,
    Text,
)

__all__ = ["Configuration", "Sections", "build"]

_PATH_ALLOWED = "a path that begins with /, does not end with / and is not under /v1"

SECTION_KINDS: dict[str, Section] = {
    "team": Section(
        "A team that owns adapters and routes.",
        {
            "share": Key(Number(0, 1000), "1", "Weight of the team under overload."),
            "requests_per_s": Key(Number(0, 1e6), "0", "Limit; 0: none."),
        },
    ),
    "key": Section(
        "A key that callers or operators show.",
        {
            "team": Key(Name(), None, "Team the key belongs to."),
            "role": Key(
                Choice("caller", "operator", "administrator"),
                "caller",
                "What it opens: the callers' face; also its team's configuration; all.",
            ),
            "requests_per_s": Key(Number(0, 1e6), "0", "Limit of the key; 0: none."),
            "concurrent": Key(
                Number(0, 1e6, True), "0", "Requests of the key at a time; 0: any."
            ),
            "hash": Key(Digest(), None, "SHA-256 of the key, in hexadecimal."),
        },
    ),
    "adapter": Section(
        "An adapter of a base model.",
        {
            "team": Key(Name(), None, "Team that owns the adapter."),
            "base_model": Key(Name(), None, "Base model it refines."),
        },
    ),
    "version": Section(
        "A version of an adapter, titled adapter@version.",
        {"weights": Key(Text(), "", "Name in the weight store; empty: the title.")},
    ),
    "application": Section(
        "A route from an application to an adapter version.",
        {
            "team": Key(Name(), None, "Team that owns the route."),
            "model": Key(Text(), None, "adapter@version the application runs on."),
            "priority": Key(
                Choice("interactive", "normal", "batch"), "normal", "Order of service."
            ),
            "non_idempotent": Key(Flag(), "no", "Whether a request may run only once."),
        },
    ),
    "service": Section(
        "A plain service, reached by its path.",
        {
            "path": Key(Text(), None, "Path prefix that callers use."),
            "non_idempotent": Key(Flag(), "no", "Whether a call may run only once."),
            "team": Key(Name(), None, "Team that owns the service."),
        },
    ),
    "endpoint": Section(
        "A model engine or an instance of a plain service.",
        {
            "kind": Key(Choice("engine", "service"), "engine", "What stands there."),
            "address": Key(Address(), None, "Where it listens."),
            "data_centre": Key(Name(), None, "Data centre it stands in."),
            "base_model": Key(Text(), "", "Base model of an engine."),
            "service": Key(Text(), "", "Service that a plain endpoint serves."),
            "slots": Key(Number(1, 4096, True), "8", "Adapter slots of an engine."),
            "batch": Key(Number(1, 4096, True), "16", "Requests of one engine step."),
            "checks_fencing": Key(Flag(), "no", "Whether it refuses old orders."),
        },
    ),
    "weight_store": Section(
        "The limits of the weight store.",
        {"loads_per_s": Key(Number(0.001, 1e4), "3", "Loads allowed a second.")},
    ),
    "placement": PLACEMENT_SECTION,
}


@dataclass(slots=True, frozen=True)
class Adapter:
    """An adapter and the team that owns it."""

    name: str
    team: str
    base_model: str


@dataclass(slots=True, frozen=True)
class Application:
    """A route from an application to an adapter version."""

    name: str
    team: str
    model: AdapterVersion
    priority: str
    non_idempotent: bool


@dataclass(slots=True, frozen=True)
class Service:
    """A plain service reached by path."""

    name: str
    team: str
    path: str
    non_idempotent: bool


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """What the configuration says of an endpoint."""

    name: str
    kind: str
    address: str
    data_centre: str
    base_model: str
    service: str
    slots: int
    batch: int
    checks_fencing: bool


@dataclass(slots=True, frozen=True)
class KeyEntry:
    """What a key may do."""

    name: str
    team: str
    role: str
    hash: str
    requests_per_s: float = 0.0
    concurrent: int = 0


@dataclass(slots=True, frozen=True)
class Team:
    """A team's share and limit."""

    name: str
    share: float
    requests_per_s: float


@dataclass(slots=True)
class Configuration:
    """One generation of the configuration, ready for look-ups.

    The sections stay packed in ``parts``: kept unpacked they would cost more
    memory than all else a daemon holds for control.
    """

    generation: int = 0
    token: str = ""
    parts: Parts = field(default_factory=Parts)
    teams: dict[str, Team] = field(default_factory=dict)
    keys_by_hash: dict[str, KeyEntry] = field(default_factory=dict)
    adapters: dict[str, Adapter] = field(default_factory=dict)
    versions: dict[AdapterVersion, str] = field(default_factory=dict)
    applications: dict[str, Application] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    endpoints: dict[str, EndpointEntry] = field(default_factory=dict)
    loads_per_s: float = 3.0
    placement: PlacementPolicy = field(default_factory=PlacementPolicy)

    @property
    def sections(self) -> Sections:
        """All sections, unpacked anew at each call."""
        return self.parts.sections()

    def base_model_of(self, model: AdapterVersion) -> str:
        """Name the base model that an adapter version refines."""
        return self.adapters[model.adapter].base_model


def build(generation: int, sections: Sections) -> tuple[Configuration, list[Fault]]:
    """Build a configuration from merged sections, with every fault found.

    A faulty section is left out; that others refer to it is no fault of theirs.
    """
    configuration = Configuration(generation, "", Parts.of(sections))
    faults = add_sections(configuration, sections)
    ordered = sorted(sections, key=build_order)
    faults += find_duplicates((title, sections[title]) for title in ordered)
    return configuration, faults


def build_parts(
    generation: int, token: str, parts: Parts
) -> tuple[Configuration, list[Fault]]:
    """Build a configuration from its parts, with the faults found."""
    configuration = Configuration(generation, token, parts)
    return configuration, add_sections(configuration, parts.sections())


def add_sections(into: Configuration, sections: Sections) -> list[Fault]:
    """Add sections to the look-ups, what others refer to first."""
    faults: list[Fault] = []
    for title in sorted(sections, key=build_order):
        kind, _, name = title.partition(" ")
        if kind not in SECTION_KINDS:
            allowed = ", ".join(SECTION_KINDS)
            faults.append(Fault("", title, "", f"unknown kind; allowed: {allowed}"))
            continue
        values, found = SECTION_KINDS[kind].read("", title, sections[title])
        faults += found
        if not found:
            faults += _add(into, kind, title, intern(name), values)
    # A section with a fault of its own was left out: it is there, all the same.
    present = {_missing(title) for title in sections} if faults else set()
    return [fault for fault in faults if fault.message not in present]


def _missing(title: str) -> str:
    return f"no section [{title}]"


_ORDER = {kind: place for place, kind in enumerate(SECTION_KINDS)}


# Thousands of adapters name the same few teams and models: one string each.
_SHARED_NAMES = ("team", "base_model", "data_centre", "service", "kind")


def build_order(title: str) -> tuple[int, str]:
    """Return the sorting key by which sections are added."""
    return _ORDER.get(title.partition(" ")[0], len(_ORDER)), title


def _add(
    into: Configuration, kind: str, title: str, name: str, values: dict[str, Any]
) -> list[Fault]:
    if kind == "weight_store":
        if title != kind:
            return [Fault("", title, "", "allowed: [weight_store], without a name")]
        into.loads_per_s = values["loads_per_s"]
        return []
    if kind == "placement":
        if title != kind:
            return [Fault("", title, "", "allowed: [placement], without a name")]
        into.placement = PlacementPolicy(**values)
        return []
    if kind != "version" and not is_name(name):
        return [Fault("", title, "", f"{name!r}: allowed: {Name.allowed}")]
    for key in _SHARED_NAMES:
        if key in values:
            values[key] = intern(values[key])
    team = values.get("team")
    if team is not None and team not in into.teams:
        return [Fault("", title, "team", _missing(f"team {team}"))]
    return _ADDERS[kind](into, title, name, values)


def _add_team(
    into: Configuration, title: str, name: str, values: dict[str, Any]
) -> list[Fault]:
    into.teams[name] = Team(name, **values)
    return []


def _add_key(
    into: Configuration, title: str, name: str, values: dict[str, Any]
) -> list[Fault]:
    into.keys_by_hash[values["hash"]] = KeyEntry(name, **values)
    return []


def _add_adapter(
    into: Configuration, title: str, name: str, values: dict[str, Any]
) -> list[Fault]:
    into.adapters[name] = Adapter(name, **values)
    return []


def _add_version(
    into: Configuration, title: str, name: str, values: dict[str, Any]
) -> list[Fault]:
    try:
        model = parse_adapter_version(name)
    except NameFormatError as error:
        return [Fault("", title, "", str(error))]
    if model.adapter not in into.adapters:
        return [Fault("", title, "", _missing(f"adapter {model.adapter}"))]
    into.versions[model] = values["weights"] or name
    return []


def _add_application(
    into: Configuration, title: str, name: str, values: dict[str, Any]
) -> list[Fault]:
    try:
        values["model"] = parse_adapter_version(values["model"])
    except NameFormatError as error:
        return [Fault("", title, "model", str(error))]
    if values["model"] not in into.versions:
        return [Fault("", title, "model", _missing(f"version {values['model']}"))]
    into.applications[name] = Application(name, **values)
    return []


def _add_service(
    into: Configuration, title: str, name: str, values: dict[str, Any]
) -> list[Fault]:
    path = values["path"]
    if not path.startswith("/") or path.endswith("/") or f"{path}/".startswith("/v1/"):
        return [Fault("", title, "path", f"{path!r}: allowed: {_PATH_ALLOWED}")]
    into.services[name] = Service(name, **values)
    return []


def _add_endpoint(
    into: Configuration, title: str, name: str, values: dict[str, Any]
) -> list[Fault]:
    needed = "base_model" if values["kind"] == "engine" else "service"
    if not values[needed]:
        return [Fault("", title, needed, "missing for this kind of endpoint")]
    if needed == "service" and values["service"] not in into.services:
        return [Fault("", title, needed, _missing(f"service {values['service']}"))]
    into.endpoints[name] = EndpointEntry(name, **values)
    return []


_ADDERS = {
    "team": _add_team,
    "key": _add_key,
    "adapter": _add_adapter,
    "version": _add_version,
    "application": _add_application,
    "service": _add_service,
    "endpoint": _add_endpoint,
}
