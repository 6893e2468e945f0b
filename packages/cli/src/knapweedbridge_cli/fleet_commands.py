"""Commands on hosts, adapters and endpoints."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from importlib.metadata import version
from typing import Annotated, Any
from urllib.parse import quote

import cappa

from knapweedbridge_cli.errors import CommandError, ExitCode
from knapweedbridge_cli.hosts import HostStatus, ask_hosts, client_of
from knapweedbridge_cli.options import Daemon, Json
from knapweedbridge_cli.output import show, table

PAGE = 100
MAX_LOADED_SHOWN = 6


@cappa.command(name="status")
@dataclass
class Status:
    """Show every host, the generation in force on it and which lag.

    Example: knapweedbridge status --json
    """

    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    as_json: Json = field(default=False)

    def run(self) -> None:
        """Ask every host."""
        with self.daemon.open() as client:
            hosts = ask_hosts(client)
        newest = max(host.generation for host in hosts)
        found = {
            "generation": newest,
            "lagging": [host.name for host in hosts if host.generation < newest],
            "hosts": [host.to_json() for host in hosts],
        }
        show(found, _status_lines(hosts, newest), self.as_json)


def _status_lines(hosts: list[HostStatus], newest: int) -> Iterator[str]:
    heads = ("host", "data centre", "generation", "state", "requests", "owned", "peers")
    rows = [_status_row(host, newest) for host in hosts]
    yield from table(heads, rows)
    held = Counter(host.generation for host in hosts if host.status)
    yield f"generation {newest} in force on {held[newest]} of {len(hosts)} hosts"


def _status_row(host: HostStatus, newest: int) -> tuple[Any, ...]:
    status = host.status
    if status is None:
        return (host.name, "", "", f"no answer: {host.error}", "", "", "")
    state = "draining" if status["draining"] else "serving"
    if host.generation < newest:
        state += ", lags"
    peers = status["peers"].values()
    linked = sum(1 for peer in peers if peer["linked"])
    return (
        host.name,
        status["data_centre"],
        host.generation,
        state,
        status["requests"],
        len(status["owned"]),
        f"{linked}/{len(peers)}",
    )


@cappa.command(name="adapters")
@dataclass
class Adapters:
    """Show a page of the adapters and where each version is loaded.

    Example: knapweedbridge adapters --prefix refill --loaded yes
    """

    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    prefix: Annotated[str, cappa.Arg(long=True, help="Beginning of the name.")] = ""
    team: Annotated[str, cappa.Arg(long=True, help="Team that owns it.")] = ""
    loaded: Annotated[
        str, cappa.Arg(long=True, help="yes or no: whether it is loaded anywhere.")
    ] = ""
    after: Annotated[
        str, cappa.Arg(long=True, help="Last name of the page before.")
    ] = ""
    limit: Annotated[int, cappa.Arg(long=True, help="Adapters a page.")] = PAGE
    as_json: Json = False

    def run(self) -> None:
        """Show one page."""
        with self.daemon.open() as client:
            found = client.call(
                "GET",
                "/v1/adapters",
                prefix=self.prefix,
                team=self.team,
                loaded=self.loaded,
                after=self.after,
                limit=self.limit,
            )
        show(found, self._lines(found), self.as_json)

    @staticmethod
    def _lines(found: dict[str, Any]) -> Iterator[str]:
        rows = [
            (
                f"{adapter['name']}@{name}",
                adapter["team"],
                adapter["base_model"],
                ", ".join(endpoints) or "-",
            )
            for adapter in found["adapters"]
            for name, endpoints in adapter["versions"].items()
        ]
        yield from table(("adapter", "team", "base model", "loaded on"), rows)
        if found["next"]:
            yield f"more: --after {found['next']}"


@cappa.command(name="endpoints")
@dataclass
class Endpoints:
    """Show endpoints, their owners and what they hold.

    Example: knapweedbridge endpoints --json
    """

    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    as_json: Json = field(default=False)

    def run(self) -> None:
        """Show the endpoints."""
        with self.daemon.open() as client:
            found = client.call("GET", "/v1/endpoints")
        show(found, self._lines(found), self.as_json)

    @staticmethod
    def _lines(found: dict[str, Any]) -> list[str]:
        names = "endpoint,kind,serves,data centre,state,owner,fence,running,loaded"
        rows = [
            (
                name,
                endpoint["kind"],
                endpoint["serves"],
                endpoint["data_centre"],
                "leaving" if endpoint["leaving"] else "serving",
                endpoint["owner"] or "-",
                endpoint["number"] or "-",
                endpoint["running"],
                _short(endpoint["loaded"]),
            )
            for name, endpoint in found.items()
        ]
        return table(names.split(","), rows)


def _short(names: list[str]) -> str:
    shown = ", ".join(names[:MAX_LOADED_SHOWN]) or "-"
    left = len(names) - MAX_LOADED_SHOWN
    return f"{shown} and {left} more" if left > 0 else shown


@cappa.command(name="drain")
@dataclass
class Drain:
    """Take a host or an endpoint out of work: nothing new is taken, nothing is cut.

    The daemon of a drained host ends. An endpoint gets no new work until --undo.

    Example: knapweedbridge drain host-3

    Example: knapweedbridge drain --endpoint draft-0
    """

    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    host: Annotated[str, cappa.Arg(help="Host whose daemon is to end.")] = ""
    endpoint: Annotated[
        str, cappa.Arg(long=True, help="Endpoint that is to get no new work.")
    ] = ""
    undo: Annotated[
        bool, cappa.Arg(long=True, help="Take back the order for the endpoint.")
    ] = False
    as_json: Json = False

    def run(self) -> None:
        """Drain the host or the endpoint."""
        if bool(self.host) == bool(self.endpoint):
            message = "name either a host or --endpoint NAME"
            raise CommandError(message, ExitCode.USAGE)
        if self.undo and self.host:
            message = "--undo: of an endpoint only; start the host's daemon again"
            raise CommandError(message, ExitCode.USAGE)
        if self.endpoint:
            self._order_endpoint()
        else:
            self._drain_host()

    def _order_endpoint(self) -> None:
        path = f"/v1/endpoints/{quote(self.endpoint, safe='')}/drain"
        with self.daemon.open() as client:
            found = client.call("DELETE" if self.undo else "POST", path)
        order = "is no longer ordered" if self.undo else "is ordered"
        show(found, [f"{self.endpoint} {order} to leave"], self.as_json)

    def _drain_host(self) -> None:
        with self.daemon.open() as client:
            hosts = {host.name: host for host in ask_hosts(client)}
            wanted = hosts.get(self.host)
            if wanted is None:
                message = f"no host {self.host}; there are: {', '.join(sorted(hosts))}"
                raise CommandError(message, ExitCode.NOT_FOUND)
            if wanted.status is None:
                message = f"{self.host}: {wanted.error}"
                raise CommandError(message, ExitCode.UNREACHABLE)
            with client_of(client, wanted.administration) as own:
                found = own.call("POST", "/v1/drain", {"host": self.host})
        show(found, [f"{self.host} is draining"], self.as_json)


@cappa.command(name="version")
@dataclass
class Version:
    """Show the version of this command.

    Example: knapweedbridge version
    """

    as_json: Json = field(default=False)

    def run(self) -> None:
        """Show the version."""
        own = version("knapweedbridge-cli")
        show({"version": own}, [own], self.as_json)
