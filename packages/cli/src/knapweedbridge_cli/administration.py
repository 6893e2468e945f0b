"""Speaks to the administration API of a daemon."""

import ssl
from collections.abc import Callable
from functools import cache
from typing import Any

import httpx

from knapweedbridge_cli.differences import read_changes, show_changes
from knapweedbridge_cli.errors import CommandError, ExitCode
from knapweedbridge_core.faults import Fault

TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 3.0


def make_client(url: str, key: str, ca_file: str) -> httpx.Client:
    """Open the connections of one command."""
    return httpx.Client(
        base_url=url,
        headers={"authorization": f"Bearer {key}"},
        timeout=httpx.Timeout(TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
        verify=_authorities(ca_file) if url.startswith("https:") else False,
        trust_env=False,
    )


@cache
def _authorities(ca_file: str) -> ssl.SSLContext:
    # Reading the system's authorities takes tens of milliseconds, and a command
    # opens a client a host.
    try:
        return ssl.create_default_context(cafile=ca_file or None)
    except (OSError, ssl.SSLError) as error:
        raise CommandError(f"{ca_file}: {error}", ExitCode.USAGE) from None


class AdministrationClient:
    """One daemon's administration API.

    Parameters
    ----------
    url : str
        Base URL of the operators' face; of several, separated by commas, the
        first that can be reached is asked.
    key : str
        The operator's key.
    ca_file : str
        PEM file of the authorities that certificates are checked against;
        empty: the system's.
    """

    def __init__(self, url: str, key: str, ca_file: str = "") -> None:
        self.urls = [part.strip() for part in url.split(",") if part.strip()]
        self.key = key
        self.ca_file = ca_file
        try:
            self._clients = [make_client(url, key, ca_file) for url in self.urls]
        except (httpx.InvalidURL, UnicodeError) as error:
            raise CommandError(f"{url}: {error}", ExitCode.USAGE) from None
        if not self._clients:
            raise CommandError("--url: names no URL", ExitCode.USAGE)

    def __enter__(self) -> "AdministrationClient":
        """Keep the connections open."""
        return self

    def __exit__(self, *error: object) -> None:
        """Close the connections."""
        for client in self._clients:
            client.close()

    def call(self, method: str, path: str, body: Any = None, **query: Any) -> Any:
        """Call the API and return the JSON it answers.

        Raises
        ------
        CommandError
            With the exit code that fits the answer.
        """
        wanted = {name: value for name, value in query.items() if value != ""}
        unreached: list[str] = []
        for url, client in zip(self.urls, self._clients, strict=True):
            try:
                response = client.request(method, path, json=body, params=wanted)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                # Nothing was sent, so the next one may be asked the same.
                unreached.append(f"{url}: {self._why(error)}")
                continue
            except (httpx.HTTPError, httpx.InvalidURL) as error:
                what = str(error) or type(error).__name__
                raise CommandError(f"{url}: {what}", ExitCode.UNREACHABLE) from None
            return _read(url, response)
        raise CommandError("\n".join(unreached), ExitCode.UNREACHABLE)

    def _why(self, error: BaseException) -> str:
        mistrust = _mistrust(error)
        if mistrust is None:
            return str(error) or type(error).__name__
        against = self.ca_file or "the system's authorities"
        hint = "" if self.ca_file else "; name the authority's file with --ca"
        return (
            f"its certificate does not verify against {against}: "
            f"{mistrust.verify_message}{hint}"
        )


def _mistrust(error: BaseException | None) -> ssl.SSLCertVerificationError | None:
    # The HTTP client wraps it twice.
    while error is not None:
        if isinstance(error, ssl.SSLCertVerificationError):
            return error
        error = error.__cause__ or error.__context__
    return None


def _read(url: str, response: httpx.Response) -> Any:
    try:
        found = response.json()
    except ValueError:
        message = f"{url}: {response.status_code}: no administration API answers there"
        raise CommandError(message, ExitCode.UNREACHABLE) from None
    if response.status_code == httpx.codes.OK:
        return found
    error = found.get("error", {}) if isinstance(found, dict) else {}
    make = _ERRORS.get(error.get("code"), _rejected)
    raise make(error.get("message", response.text), found)


def _faults(message: str, body: Any) -> CommandError:
    faults = [Fault(**fault) for fault in body["faults"]]
    text = "\n".join(str(fault) for fault in faults)
    return CommandError(text, ExitCode.FAULTS, {"faults": body["faults"]})


def _conflict(message: str, body: Any) -> CommandError:
    base = f"generation {body['based_on']}"
    mine = show_changes(read_changes(body["mine"]))
    theirs = show_changes(read_changes(body["theirs"]))
    lines = [f"conflict: {message}; nothing was changed"]
    if body["base_kept"]:
        lines += [f"theirs, against {base}:", theirs]
        lines += [f"yours, against {base}:", mine]
    else:
        lines += [f"{base} is no longer kept; yours, against what is in force:", mine]
    lines.append(f"to go on: apply --based-on {body['generation']}")
    return CommandError("\n".join(lines), ExitCode.CONFLICT, body)


def _rejected(message: str, body: Any) -> CommandError:
    return CommandError(message, ExitCode.REJECTED)


def _refused(message: str, body: Any) -> CommandError:
    return CommandError(message, ExitCode.REFUSED)


def _not_found(message: str, body: Any) -> CommandError:
    return CommandError(message, ExitCode.NOT_FOUND)


def _unreachable(message: str, body: Any) -> CommandError:
    return CommandError(message, ExitCode.UNREACHABLE)


_ERRORS: dict[Any, Callable[[str, Any], CommandError]] = {
    "faults": _faults,
    "conflict": _conflict,
    "unauthenticated": _refused,
    "forbidden": _refused,
    "not_found": _not_found,
    "store_down": _unreachable,
}
