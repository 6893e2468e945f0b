"""The binary ``knapweedbridge``."""

import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from knapweedbridge_cli.administration import AdministrationClient, read_folder
from knapweedbridge_cli.errors import FAULTS_FOUND, NOT_IN_FORCE, CommandError
from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.folder import merge_folder

Url = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env("KNAPWEEDBRIDGE_URL"),
        help="URL of a daemon's administration API.",
    ),
]
OperatorKey = Annotated[
    str,
    cappa.Arg(
        long="--key", default=cappa.Env("KNAPWEEDBRIDGE_KEY"), help="Operator's key."
    ),
]
Json = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
WAIT_S = 30.0


@cappa.command(name="check")
@dataclass
class Check:
    """Check a folder and print every fault.

    Example: knapweedbridge check ./folder
    """

    folder: Path

    def run(self) -> None:
        """Check without calling anything."""
        try:
            sections = merge_folder(read_folder(self.folder).items())
        except CheckError as error:
            raise CommandError(str(error), FAULTS_FOUND) from None
        print(f"{len(sections)} sections, no fault")


@cappa.command(name="apply")
@dataclass
class Apply:
    """Apply a folder as the next generation.

    Example: knapweedbridge apply ./folder --wait
    """

    folder: Path
    url: Url
    key: OperatorKey
    wait: Annotated[bool, cappa.Arg(long=True, help="Wait until in force.")] = False

    def run(self) -> None:
        """Write the generation, and wait for it if asked."""
        client = AdministrationClient(self.url, self.key)
        based_on = client.call("GET", "/v1/configuration")["generation"]
        body = {"based_on": based_on, "files": read_folder(self.folder)}
        generation = client.call("POST", "/v1/configuration", body)["generation"]
        print(f"generation {generation} accepted")
        if self.wait:
            self._wait(client, generation)

    @staticmethod
    def _wait(client: AdministrationClient, generation: int) -> None:
        ends_s = time.monotonic() + WAIT_S
        while time.monotonic() < ends_s:
            if generation <= _lowest_generation(client):
                print(f"generation {generation} in force on every host")
                return
            time.sleep(0.1)
        raise CommandError("not in force on every host yet", NOT_IN_FORCE)


def _lowest_generation(client: AdministrationClient) -> int:
    try:
        status = client.call("GET", "/v1/status")
    except CommandError:
        return -1
    peers = [peer["generation"] for peer in status["peers"].values()]
    return min([status["generation"], *peers])


@cappa.command(name="status")
@dataclass
class Status:
    """Show a daemon and its peers.

    Example: knapweedbridge status --json
    """

    url: Url
    key: OperatorKey
    as_json: Json = False

    def run(self) -> None:
        """Print the status."""
        _show(AdministrationClient(self.url, self.key).call("GET", "/v1/status"))


@cappa.command(name="endpoints")
@dataclass
class Endpoints:
    """Show endpoints, their owners and what they hold.

    Example: knapweedbridge endpoints --json
    """

    url: Url
    key: OperatorKey
    as_json: Json = False

    def run(self) -> None:
        """Print the endpoints."""
        _show(AdministrationClient(self.url, self.key).call("GET", "/v1/endpoints"))


@cappa.command(name="timeline")
@dataclass
class ShowTimeline:
    """Show a daemon's events of one request.

    Example: knapweedbridge timeline --request 5f0c
    """

    url: Url
    key: OperatorKey
    request: Annotated[str, cappa.Arg(long=True, help="Request id.")] = ""
    as_json: Json = False

    def run(self) -> None:
        """Print the events."""
        query = {"request": self.request} if self.request else {}
        client = AdministrationClient(self.url, self.key)
        _show(client.call("GET", "/v1/timeline", None, **query))


def _show(found: Any) -> None:
    print(json.dumps(found, indent=2))


@cappa.command(name="knapweedbridge")
@dataclass
class Knapweedbridge:
    """Operate knapweedbridge."""

    chosen: cappa.Subcommands[Check | Apply | Status | Endpoints | ShowTimeline]

    def __call__(self) -> None:
        """Run the chosen command."""
        try:
            self.chosen.run()
        except CommandError as error:
            print(error, file=sys.stderr)
            sys.exit(error.exit_code)


def main() -> None:
    """Run the command."""
    cappa.parse(Knapweedbridge)()
