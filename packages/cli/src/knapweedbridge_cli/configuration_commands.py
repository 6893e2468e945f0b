"""Commands on the folder and the configuration in force."""

import time
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

import cappa

from knapweedbridge_cli.administration import AdministrationClient
from knapweedbridge_cli.differences import read_changes, show_changes
from knapweedbridge_cli.errors import CommandError, ExitCode
from knapweedbridge_cli.folders import read_folder
from knapweedbridge_cli.hosts import HostStatus, ask_hosts
from knapweedbridge_cli.options import Daemon, Json
from knapweedbridge_cli.output import show, table
from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.folder import merge_folder

WAIT_S = 30.0
WAIT_PAUSE_S = 0.1
HISTORY_HEADS = ("generation", "key", "team", "accepted")

Wait = Annotated[bool, cappa.Arg(long=True, help="Wait until in force on every host.")]
WaitS = Annotated[float, cappa.Arg(long="--wait-s", help="Longest wait, in seconds.")]
BasedOn = Annotated[
    int | None,
    cappa.Arg(
        long=True,
        help="Generation that the change refines; without it, the one in force.",
    ),
]


@cappa.command(name="check")
@dataclass
class Check:
    """Check a folder and name every fault, without calling anything.

    Example: knapweedbridge check ./folder
    """

    folder: Path
    as_json: Json = False

    def run(self) -> None:
        """Check the folder."""
        try:
            sections = merge_folder(read_folder(self.folder).items())
        except CheckError as error:
            listed = [
                {
                    "file": fault.file,
                    "section": fault.section,
                    "key": fault.key,
                    "message": fault.message,
                }
                for fault in error.faults
            ]
            details = {"faults": listed}
            raise CommandError(str(error), ExitCode.FAULTS, details) from None
        found = {"sections": len(sections), "faults": []}
        show(found, [f"{len(sections)} sections, no fault"], self.as_json)


@cappa.command(name="diff")
@dataclass
class Diff:
    """Show what a folder would change; ends with 1 if it would change anything.

    Example: knapweedbridge diff ./folder
    """

    folder: Path
    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    as_json: Json = False

    def run(self) -> None:
        """Show the differences."""
        with self.daemon.open() as client:
            body = {"files": read_folder(self.folder)}
            found = client.call("POST", "/v1/diff", body)
        changes = read_changes(found["changes"])
        lines = [f"against generation {found['generation']}:", show_changes(changes)]
        show(found, lines, self.as_json)
        if changes:
            raise cappa.Exit(code=ExitCode.DIFFERENT)


@cappa.command(name="apply")
@dataclass
class Apply:
    """Put a folder in force as the next generation, whole or not at all.

    Example: knapweedbridge apply ./folder --wait
    """

    folder: Path
    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    based_on: BasedOn = None
    wait: Wait = False
    wait_s: WaitS = WAIT_S
    as_json: Json = False

    def run(self) -> None:
        """Write the generation, and wait for it if asked."""
        body = {"based_on": self.based_on, "files": read_folder(self.folder)}
        with self.daemon.open() as client:
            found = client.call("POST", "/v1/configuration", body)
            _finish(client, found, self)


@cappa.command(name="rollback")
@dataclass
class Rollback:
    """Put an earlier generation in force again, as a new generation.

    Example: knapweedbridge rollback 41 --wait
    """

    generation: int
    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    based_on: BasedOn = None
    wait: Wait = False
    wait_s: WaitS = WAIT_S
    as_json: Json = False

    def run(self) -> None:
        """Write the generation, and wait for it if asked."""
        body = {"based_on": self.based_on, "generation": self.generation}
        with self.daemon.open() as client:
            found = client.call("POST", "/v1/rollback", body)
            _finish(client, found, self)


@cappa.command(name="generations")
@dataclass
class Generations:
    """List the generations that are kept for rollback.

    Example: knapweedbridge generations
    """

    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    as_json: Json = field(default=False)

    def run(self) -> None:
        """List the generations."""
        with self.daemon.open() as client:
            found = client.call("GET", "/v1/generations")
        rows = [
            (
                line["generation"],
                line["key"],
                line["team"],
                _clock(line["accepted_us"]),
            )
            for line in found["generations"]
        ]
        show(found, table(HISTORY_HEADS, rows), self.as_json)


def _clock(wall_us: int) -> str:
    return datetime.fromtimestamp(wall_us / 1e6, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def _finish(
    client: AdministrationClient, found: dict[str, Any], command: Apply | Rollback
) -> None:
    generation = found["generation"]
    lines = [
        f"generation {generation} accepted:",
        show_changes(read_changes(found["changes"])),
    ]
    if command.wait:
        hosts = _wait(client, generation, command.wait_s)
        found["hosts"] = [host.name for host in hosts]
        lines.append(f"generation {generation} in force on {len(hosts)} hosts")
    show(found, lines, command.as_json)


def _wait(
    client: AdministrationClient, generation: int, wait_s: float
) -> list[HostStatus]:
    ends_s = time.monotonic() + wait_s
    while True:
        hosts = ask_hosts(client)
        lagging = [host for host in hosts if host.generation < generation]
        if not lagging:
            return hosts
        if time.monotonic() > ends_s:
            raise _lags(generation, hosts, lagging)
        time.sleep(WAIT_PAUSE_S)


def _lags(
    generation: int, hosts: list[HostStatus], lagging: list[HostStatus]
) -> CommandError:
    lines = [
        f"generation {generation} accepted; in force on "
        f"{len(hosts) - len(lagging)} of {len(hosts)} hosts; lagging:"
    ]
    for host in lagging:
        held = f"generation {host.generation}" if host.status else host.error
        lines.append(f"  {host.name}: {held}")
    details = {"generation": generation, "lagging": [host.name for host in lagging]}
    return CommandError("\n".join(lines), ExitCode.NOT_IN_FORCE, details)
