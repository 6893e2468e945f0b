"""Who calls the administration API, and what the key may do."""

import hmac
from collections.abc import Mapping
from dataclasses import dataclass

from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.key_digests import digest_key
from knapweedbridge_daemon.api_errors import ApiError, ErrorCode
from knapweedbridge_daemon.keys import bearer_key

FIRST_KEY_NAME = "first_key"


@dataclass(slots=True, frozen=True)
class Caller:
    """The key that was shown.

    Parameters
    ----------
    name, team : str
        Name of the key and the team it belongs to.
    administrator : bool
        Whether it sees and changes everything.
    """

    name: str
    team: str
    administrator: bool


def identify(
    headers: Mapping[str, str], configuration: Configuration, first_key_hash: str
) -> Caller:
    """Return who calls.

    Parameters
    ----------
    first_key_hash : str
        Hash of the key that is an administrator's while no configuration is in
        force; empty: none is.

    Raises
    ------
    ApiError
        If no operator's key was shown.
    """
    key = bearer_key(headers, configuration)
    if key is not None:
        if key.role not in ("operator", "administrator"):
            message = f"key {key.name} is a caller's, not an operator's"
            raise ApiError(ErrorCode.FORBIDDEN, message)
        return Caller(key.name, key.team, key.role == "administrator")
    shown = headers.get("authorization", "").partition(" ")[2].strip()
    first = bool(first_key_hash) and configuration.generation == 0
    if first and hmac.compare_digest(digest_key(shown), first_key_hash):
        return Caller(FIRST_KEY_NAME, "", administrator=True)
    raise ApiError(ErrorCode.UNAUTHENTICATED, "no such key")


def require_administrator(caller: Caller) -> None:
    """Raise ApiError for a key that is not an administrator's."""
    if not caller.administrator:
        message = f"key {caller.name} is an operator's; this needs an administrator's"
        raise ApiError(ErrorCode.FORBIDDEN, message)
