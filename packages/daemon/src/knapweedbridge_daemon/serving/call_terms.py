"""Resolves a request to its route and client account."""

from dataclasses import dataclass

import anyio

from knapweedbridge_core.serving import ClientAccount, Deployment, Route
from knapweedbridge_daemon.serving.dialects import CallDetails, Refusal
from knapweedbridge_daemon.serving.http_server import ReceivedRequest
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.wire import get_header

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
"""Retry-After of a daemon that has no configuration yet."""

MAX_STATE_AGE_S = 1.9
"""Age of the cluster state past which the store may hold a route or a key that this
daemon does not know: operators of small pools count on 2 s, of large ones on 3 s.
"""

REFRESH_TIMEOUT_S = 0.3
"""How long a request waits for a newer cluster state."""

STALE_RETRY_AFTER_S = 0.5
"""Retry-After where no newer state came in that time: another daemon may have it."""


@dataclass(slots=True, frozen=True)
class CallTerms:
    """The route and the client account of a request.

    Parameters
    ----------
    deployment : Deployment
        The configuration in force.
    route : Route
        The matching route, with the priority of the client account.
    account : ClientAccount or None
        Client account of the request; None where it has no known key.
    """

    deployment: Deployment
    route: Route
    account: ClientAccount | None


class TermsFinder:
    """Finds the terms of requests.

    Parameters
    ----------
    hub : Hub
        The daemon's cluster state and its age.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    async def find(
        self, request: ReceivedRequest, details: CallDetails
    ) -> CallTerms | Refusal:
        """Return the terms of a request, or its refusal.

        Clients don't retry after 401 and 404, so a daemon with an outdated cluster
        state must not refuse new keys and routes with these. It waits for a newer state
        first, and then answers 503, which says that the call was not run.
        """
        found = self._resolve(request, details)
        if not self._is_final(found):
            found = await self._wait_for_terms(request, details)
        return found

    async def _wait_for_terms(
        self, request: ReceivedRequest, details: CallDetails
    ) -> CallTerms | Refusal:
        until_s = anyio.current_time() + REFRESH_TIMEOUT_S
        while anyio.current_time() < until_s:
            await self._hub.cluster_changed.wait(until_s - anyio.current_time())
            found = self._resolve(request, details)
            if self._is_final(found):
                return found
        return Refusal(503, "news_too_old", STALE_RETRY_AFTER_S)

    def _is_final(self, found: CallTerms | Refusal) -> bool:
        if not isinstance(found, Refusal) or found.status not in (401, 404):
            return True
        return self._hub.news_age_s < MAX_STATE_AGE_S

    def _resolve(
        self, request: ReceivedRequest, details: CallDetails
    ) -> CallTerms | Refusal:
        deployment = self._hub.cluster.deployment
        if deployment is None:
            return Refusal(503, "no_configuration", NO_CONFIGURATION_RETRY_AFTER_S)
        route = _match_route(deployment, request)
        if route is None:
            return Refusal(404, "no_route")
        account = deployment.find_account(details.key_digest)
        if deployment.is_closed_to(route, account):
            return Refusal(401, "unknown_key" if details.key_digest else "no_key")
        return CallTerms(deployment, route.for_account(account), account)


def _match_route(deployment: Deployment, request: ReceivedRequest) -> Route | None:
    host = get_header(request.head.headers, b"host") or ""
    name = host.partition(":")[0]
    return deployment.match(name, request.head.path)
