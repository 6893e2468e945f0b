"""What the administration API tells of a daemon, as JSON values."""

from collections.abc import Iterator
from dataclasses import dataclass
from importlib.metadata import version
from itertools import islice
from typing import Any

from knapweedbridge_core import AdapterVersion, Bridge
from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.timeline import EventFilter, TimelineEvent
from knapweedbridge_daemon.access import Caller
from knapweedbridge_daemon.driver import Driver

VERSION = version("knapweedbridge-daemon")


def status(driver: Driver) -> dict[str, Any]:
    """Tell of this daemon and its peers."""
    bridge = driver.bridge
    addresses = bridge.operators.administration
    peers = {
        member.name: {
            "data_centre": member.data_centre,
            "linked": member.is_alive,
            "draining": member.draining,
            "generation": member.generation,
            "administration": addresses.get(member.name, ""),
        }
        for member in bridge.members.known()
    }
    return {
        "host": bridge.host,
        "version": VERSION,
        "data_centre": bridge.data_centre,
        "administration": bridge.operators.administration_address,
        "generation": bridge.configuration.generation,
        "configuration": bridge.distribution.status(),
        "draining": bridge.members.draining,
        "isolated": bridge.members.is_stale,
        "owned": sorted(bridge.ledgers),
        "requests": driver.following,
        "peers": peers,
    }


@dataclass(slots=True, frozen=True)
class AdapterFilter:
    """Which adapters are wanted.

    Parameters
    ----------
    prefix : str
        Beginning of the name.
    after : str
        Name of the last adapter of the page before, or empty.
    team : str
        Team that owns it, or empty for all.
    loaded : str
        ``yes`` or ``no``: whether any version is loaded anywhere; empty: both.
    limit : int
        Longest page.
    """

    prefix: str
    after: str
    team: str
    loaded: str
    limit: int


def adapters(bridge: Bridge, wanted: AdapterFilter) -> dict[str, Any]:
    """Return one page of the catalogue with where each version is loaded."""
    holders = _holders(bridge)
    versions = _versions(bridge)
    found = _matching(bridge, wanted, versions, holders)
    page = list(islice(found, wanted.limit + 1))
    more = len(page) > wanted.limit
    page = page[: wanted.limit]
    listed = [
        {
            "name": name,
            "team": bridge.configuration.adapters[name].team,
            "base_model": bridge.configuration.adapters[name].base_model,
            "versions": {
                model.version: sorted(holders.get(model, []))
                for model in versions[name]
            },
        }
        for name in page
    ]
    return {"adapters": listed, "next": page[-1] if more and page else ""}


def _matching(
    bridge: Bridge,
    wanted: AdapterFilter,
    versions: dict[str, list[AdapterVersion]],
    holders: dict[AdapterVersion, list[str]],
) -> Iterator[str]:
    for name in sorted(versions):
        if name <= wanted.after or not name.startswith(wanted.prefix):
            continue
        if wanted.team not in ("", bridge.configuration.adapters[name].team):
            continue
        loaded = any(model in holders for model in versions[name])
        if wanted.loaded and (wanted.loaded == "yes") != loaded:
            continue
        yield name


def _versions(bridge: Bridge) -> dict[str, list[AdapterVersion]]:
    found: dict[str, list[AdapterVersion]] = {
        name: [] for name in bridge.configuration.adapters
    }
    for model in sorted(bridge.configuration.versions):
        found[model.adapter].append(model)
    return found


def _holders(bridge: Bridge) -> dict[AdapterVersion, list[str]]:
    holders: dict[AdapterVersion, list[str]] = {}
    for name, view in bridge.view.endpoints.items():
        for model in view.loaded:
            holders.setdefault(model, []).append(name)
    return holders


def endpoints(bridge: Bridge, caller: Caller) -> dict[str, Any]:
    """Tell of every endpoint that the configuration names."""
    return {
        name: {
            "kind": entry.kind,
            "address": entry.address,
            "data_centre": entry.data_centre,
            "serves": entry.base_model or entry.service,
            "leaving": name in bridge.leaving,
            **_slots(bridge, entry, caller),
        }
        for name, entry in sorted(bridge.configuration.endpoints.items())
    }


def _slots(bridge: Bridge, entry: EndpointEntry, caller: Caller) -> dict[str, Any]:
    view = bridge.view.endpoints.get(entry.name)
    if view is None:
        return {"owner": "", "number": 0, "loaded": [], "running": 0}
    loaded = [
        str(model)
        for model in sorted(view.loaded)
        if caller.administrator or _team(bridge, model) == caller.team
    ]
    return {
        "owner": view.owner,
        "number": view.number,
        "loaded": loaded,
        "running": view.running,
    }


def _team(bridge: Bridge, model: AdapterVersion) -> str:
    adapter = bridge.configuration.adapters.get(model.adapter)
    return adapter.team if adapter else ""


def timeline(driver: Driver, wanted: EventFilter) -> dict[str, Any]:
    """Return this daemon's newest events that fit, the oldest first."""
    found = driver.select_timeline(wanted)
    return {
        "host": driver.bridge.host,
        "truncated": len(found) > wanted.limit,
        "events": [_event(event) for event in found[-wanted.limit :]],
    }


def _event(event: TimelineEvent) -> dict[str, Any]:
    return {
        "wall_us": event.stamp.wall_us,
        "count": event.stamp.count,
        "host": event.host,
        "kind": event.kind,
        "fields": event.fields,
    }


__all__ = [
    "AdapterFilter",
    "EventFilter",
    "adapters",
    "endpoints",
    "status",
    "timeline",
]
