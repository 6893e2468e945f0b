"""Finds every daemon and asks each one itself.

A daemon knows its peers only. The command walks from the daemon it was given
to the peers that its status names, and on, so that no daemon collects the
state of others for it.
"""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from knapweedbridge_cli.administration import AdministrationClient
from knapweedbridge_cli.errors import CommandError

ASKED_AT_ONCE = 32


@dataclass(slots=True, frozen=True)
class HostStatus:
    """What one host said of itself.

    Parameters
    ----------
    name : str
        The host.
    administration : str
        Address of its administration API, or empty where no peer knows it.
    status : dict or None
        Its status; None where it did not answer.
    error : str
        Why it did not answer.
    """

    name: str
    administration: str
    status: dict[str, Any] | None
    error: str = ""

    @property
    def generation(self) -> int:
        """Generation in force there, or -1."""
        return self.status["generation"] if self.status else -1

    def to_json(self) -> dict[str, Any]:
        """Return it for ``--json``."""
        return {"name": self.name, "error": self.error, "status": self.status}


def client_of(origin: AdministrationClient, address: str) -> AdministrationClient:
    """Open a client of another daemon, with the same scheme and key."""
    scheme = urlsplit(origin.urls[0]).scheme
    return AdministrationClient(f"{scheme}://{address}", origin.key, origin.ca_file)


def ask_hosts(origin: AdministrationClient) -> list[HostStatus]:
    """Ask every host that can be found from the URLs that were given.

    Raises
    ------
    CommandError
        If no daemon of those answers.
    """
    found = _ask_first(origin)
    frontier: dict[str, str] = {}
    for host in found.values():
        if host.status is not None:
            frontier.update(_named_by(host.status, found))
    with ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        while frontier:
            asked = pool.map(lambda item: _ask(origin, *item), frontier.items())
            answers = {answer.name: answer for answer in asked}
            found.update(answers)
            frontier = {}
            for answer in answers.values():
                if answer.status is not None:
                    frontier.update(_named_by(answer.status, found))
    return [found[name] for name in sorted(found)]


def _ask_first(origin: AdministrationClient) -> dict[str, HostStatus]:
    # Daemons of a pool know each other; for several pools give a URL of each.
    found: dict[str, HostStatus] = {}
    errors: list[CommandError] = []
    for url in origin.urls:
        try:
            with AdministrationClient(url, origin.key, origin.ca_file) as client:
                first = client.call("GET", "/v1/status")
        except CommandError as error:
            errors.append(error)
            continue
        name, address = first["host"], first["administration"]
        found[name] = HostStatus(name, address, first)
    if not found:
        raise errors[0]
    return found


def _named_by(status: dict[str, Any], found: dict[str, HostStatus]) -> dict[str, str]:
    named: dict[str, str] = {}
    for name, peer in status["peers"].items():
        held = found.get(name)
        newly_known = bool(held and not held.administration and peer["administration"])
        if held is None or newly_known:
            named[name] = peer["administration"]
    return named


def _ask(origin: AdministrationClient, name: str, address: str) -> HostStatus:
    if not address:
        return HostStatus(name, "", None, "no peer of it was linked yet")
    try:
        with client_of(origin, address) as client:
            return HostStatus(name, address, client.call("GET", "/v1/status"))
    except CommandError as error:
        return HostStatus(name, address, None, str(error))
