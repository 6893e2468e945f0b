"""The active configuration, built from its sections and indexed for look-ups."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from sys import intern
from typing import Any

from knapweedbridge_core.configuration_entries import (
    Adapter,
    Application,
    EndpointEntry,
    KeyEntry,
    Service,
    Team,
)
from knapweedbridge_core.configuration_schema import SECTION_KINDS
from knapweedbridge_core.duplicates import find_duplicates
from knapweedbridge_core.errors import NameFormatError
from knapweedbridge_core.faults import Fault
from knapweedbridge_core.names import AdapterVersion, is_name, parse_adapter_version
from knapweedbridge_core.parts import Parts, Sections
from knapweedbridge_core.policy import PlacementPolicy
from knapweedbridge_core.rules import Rule, WithoutKey, find_conflict, validate_rule
from knapweedbridge_core.schema import Name

__all__ = [
    "Adapter",
    "Application",
    "Configuration",
    "EndpointEntry",
    "KeyEntry",
    "SECTION_KINDS",
    "Sections",
    "Service",
    "Team",
    "add_sections",
    "build",
    "build_order",
    "build_parts",
]

_PATH_ALLOWED = "a path that begins with /, does not end with / and is not under /v1"


@dataclass(slots=True)
class Configuration:
    """One generation of the configuration, indexed for look-ups.

    ``parts`` keeps the sections packed: unpacked they would take more memory
    than the rest of a daemon's control state.
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
    rules: dict[str, Rule] = field(default_factory=dict)
    endpoints: dict[str, EndpointEntry] = field(default_factory=dict)
    loads_per_s: float = 3.0
    placement: PlacementPolicy = field(default_factory=PlacementPolicy)

    @property
    def sections(self) -> Sections:
        """All sections; each access unpacks them again."""
        return self.parts.sections()

    def base_model_of(self, model: AdapterVersion) -> str:
        """Return the name of the base model of an adapter version."""
        return self.adapters[model.adapter].base_model


def build(generation: int, sections: Sections) -> tuple[Configuration, list[Fault]]:
    """Build a configuration from merged sections and return all faults found.

    An invalid section is left out. References to it from other sections are not
    reported as faults.
    """
    configuration = Configuration(generation, "", Parts.of(sections))
    faults = add_sections(configuration, sections)
    ordered = sorted(sections, key=build_order)
    faults += find_duplicates((title, sections[title]) for title in ordered)
    return configuration, faults


def build_parts(
    generation: int, token: str, parts: Parts
) -> tuple[Configuration, list[Fault]]:
    """Build a configuration from its parts and return all faults found."""
    configuration = Configuration(generation, token, parts)
    return configuration, add_sections(configuration, parts.sections())


def add_sections(into: Configuration, sections: Sections) -> list[Fault]:
    """Add sections to the look-ups, those that others refer to first."""
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
    # An invalid section was left out but exists, so references to it are valid.
    present = {_missing(title) for title in sections} if faults else set()
    return [fault for fault in faults if fault.message not in present]


def _missing(title: str) -> str:
    return f"no section [{title}]"


_ORDER = {kind: index for index, kind in enumerate(SECTION_KINDS)}

# Interned, since thousands of adapters name the same few teams and models.
_SHARED_NAMES = ("team", "base_model", "data_centre", "service", "kind")


def build_order(title: str) -> tuple[int, str]:
    """Return the sort key that puts sections into the order in which they are added."""
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
    if (team or kind != "rule") and team is not None and team not in into.teams:
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


def _add_rule(
    into: Configuration, title: str, name: str, values: dict[str, Any]
) -> list[Fault]:
    faults = validate_rule(title, values)
    faults += _target_faults(title, "service", values, into.services)
    faults += _target_faults(title, "application", values, into.applications)
    if faults:
        return faults
    values["without_key"] = WithoutKey(values["without_key"])
    if values["non_idempotent"] == "":
        values["non_idempotent"] = None
    rule = Rule(name, **values)
    faults = find_conflict(title, rule, into.rules.values())
    if not faults:
        into.rules[name] = rule
    return faults


def _target_faults(
    title: str,
    key: str,
    values: dict[str, Any],
    targets: Mapping[str, Service | Application],
) -> list[Fault]:
    name, team = values[key], values["team"]
    if not name:
        return []
    if name not in targets:
        return [Fault("", title, key, _missing(f"{key} {name}"))]
    if team and targets[name].team != team:
        # Otherwise a team could relax the rules for another team's requests.
        return [Fault("", title, key, f"this {key} does not belong to {team}")]
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
    "rule": _add_rule,
    "endpoint": _add_endpoint,
}
