"""Asks an endpoint, on a new connection, whether it lives and stays."""

import httpx

from knapweedbridge_core.actions import ProbeEndpoint
from knapweedbridge_core.errors import NameFormatError
from knapweedbridge_core.events import EndpointProbed
from knapweedbridge_core.names import parse_adapter_version
from knapweedbridge_daemon.plain_transport import GuardedTransport

PROBE_TIMEOUT_S = 1.0

LEAVING_HEADER = "x-leaving"


def says_leaving(response: httpx.Response) -> bool:
    """Tell whether an answer carries the mark of an endpoint that leaves."""
    return response.headers.get(LEAVING_HEADER, "") == "true"


class Prober:
    """Owns the connections of probes; none is used twice.

    A pooled connection may be the silent one that a probe is to tell from a
    dead endpoint.
    """

    def __init__(self) -> None:
        limits = httpx.Limits(max_keepalive_connections=0)
        self._client = httpx.AsyncClient(
            transport=GuardedTransport(limits=limits), timeout=PROBE_TIMEOUT_S
        )

    async def probe(self, action: ProbeEndpoint) -> EndpointProbed:
        """Ask once; an endpoint that does not answer is not reached."""
        # A plain service has no report, and only OPTIONS is sure to run nothing.
        engine = action.kind == "engine"
        method, path = ("GET", "/report") if engine else ("OPTIONS", "/")
        try:
            url = f"http://{action.address}{path}"
            response = await self._client.request(method, url)
        except httpx.HTTPError:
            return EndpointProbed(action.endpoint, False, False, ())
        if not engine:
            leaving = says_leaving(response)
            return EndpointProbed(action.endpoint, True, leaving, ())
        return _read_report(action.endpoint, response)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()


def _read_report(endpoint: str, response: httpx.Response) -> EndpointProbed:
    try:
        found = response.json()
        loaded = tuple(parse_adapter_version(name) for name in found["loaded"])
        leaving = says_leaving(response) or bool(found.get("leaving", False))
    except (ValueError, KeyError, TypeError, NameFormatError):
        return EndpointProbed(endpoint, False, says_leaving(response), ())
    incarnation = str(found.get("incarnation", ""))
    return EndpointProbed(endpoint, True, leaving, loaded, incarnation)
