"""Collects the time lines of all hosts."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from knapweedbridge_cli.administration import AdministrationClient
from knapweedbridge_cli.errors import CommandError, ExitCode
from knapweedbridge_cli.hosts import ASKED_AT_ONCE, HostStatus, ask_hosts, client_of
from knapweedbridge_cli.timeline_events import Event, merge

LOAD_KINDS = ("load.", "evict.")


@dataclass(slots=True)
class Collected:
    """What was found.

    Parameters
    ----------
    events : list of Event
        In the order of cause and effect.
    data_centres : dict of str to str
        Data centre of each host that answered.
    missing : dict of str to str
        Hosts that did not answer, and why.
    truncated : bool
        Whether older events were left out.
    """

    events: list[Event] = field(default_factory=list)
    data_centres: dict[str, str] = field(default_factory=dict)
    missing: dict[str, str] = field(default_factory=dict)
    truncated: bool = False


def collect(
    client: AdministrationClient, query: dict[str, Any], limit: int
) -> Collected:
    """Ask every host for the events of a query.

    To the events of one request come the loads of its adapter that went on
    while it waited.
    """
    hosts = ask_hosts(client)
    collected = Collected()
    _ask_all(client, hosts, query, collected)
    if query.get("request") and collected.events:
        _add_loads(client, hosts, collected)
    events = merge(collected.events)
    collected.truncated = collected.truncated or len(events) > limit
    collected.events = events[-limit:]
    return collected


def _ask_all(
    client: AdministrationClient,
    hosts: list[HostStatus],
    query: dict[str, Any],
    into: Collected,
) -> None:
    def ask(host: HostStatus) -> Any:
        if host.status is None:
            return CommandError(host.error, ExitCode.UNREACHABLE)
        try:
            with client_of(client, host.administration) as own:
                return own.call("GET", "/v1/timeline", **query)
        except CommandError as error:
            return error

    with ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        for host, found in zip(hosts, pool.map(ask, hosts), strict=True):
            if isinstance(found, CommandError):
                into.missing[host.name] = str(found)
                continue
            assert host.status is not None
            into.data_centres[host.name] = host.status["data_centre"]
            into.truncated = into.truncated or found["truncated"]
            into.events += [Event(**event) for event in found["events"]]


def _add_loads(
    client: AdministrationClient, hosts: list[HostStatus], collected: Collected
) -> None:
    models = {str(event.fields.get("model", "")) for event in collected.events} - {""}
    times = [event.wall_us for event in collected.events]
    loads = Collected()
    for model in models:
        query = {"adapter": model, "since_us": min(times), "until_us": max(times)}
        _ask_all(client, hosts, query, loads)
    collected.events += [
        event for event in loads.events if event.kind.startswith(LOAD_KINDS)
    ]
