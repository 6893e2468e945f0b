"""On which terms a caller's request is run: its route and its client account."""

from dataclasses import dataclass

import anyio

from knapweedbridge_core.serving import ClientAccount, Deployment, Route
from knapweedbridge_daemon.serving.dialects import CallDetails, Refusal
from knapweedbridge_daemon.serving.http_server import ReceivedRequest
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.wire import get_header

START_AFTER_S = 0.5
"""When a caller should come back to a daemon that knows no configuration yet."""

BEHIND_S = 1.9
"""Age of what is known of the store past which a route or a key may stand there that
this daemon does not know: operators of small pools count on 2 s, of large ones on 3 s.
"""

LOOK_UP_S = 0.3
"""How long a request waits for newer news: the store is asked meanwhile."""

UNKNOWN_AFTER_S = 0.5
"""When to come back after that: to another daemon, which may know."""


@dataclass(slots=True, frozen=True)
class CallTerms:
    """What the configuration says of a request.

    Parameters
    ----------
    deployment : Deployment
        The configuration in force.
    route : Route
        The route that takes it, with the rank that its account has.
    account : ClientAccount or None
        Whose call it is; None where no known key was shown.
    """

    deployment: Deployment
    route: Route
    account: ClientAccount | None


class TermsFinder:
    """Finds the terms of requests, or why there are none.

    Parameters
    ----------
    hub : Hub
        Beliefs, and how old they are.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    async def find(
        self, request: ReceivedRequest, details: CallDetails
    ) -> CallTerms | Refusal:
        """Return a request's terms, or the refusal of one that has none.

        A daemon that had not heard of the store for long refused new keys for good,
        as clients don't return after 401 and 404. While its news is old it waits for
        newer ones first, and then answers that the call was not run.
        """
        found = self._known(request, details)
        if not self._is_final(found):
            found = await self._look_up(request, details)
        return found

    async def _look_up(
        self, request: ReceivedRequest, details: CallDetails
    ) -> CallTerms | Refusal:
        until_s = anyio.current_time() + LOOK_UP_S
        while anyio.current_time() < until_s:
            await self._hub.cluster_changed.wait(until_s - anyio.current_time())
            found = self._known(request, details)
            if self._is_final(found):
                return found
        return Refusal(503, "news_too_old", UNKNOWN_AFTER_S)

    def _is_final(self, found: CallTerms | Refusal) -> bool:
        if not isinstance(found, Refusal) or found.status not in (401, 404):
            return True
        return self._hub.news_age_s < BEHIND_S

    def _known(
        self, request: ReceivedRequest, details: CallDetails
    ) -> CallTerms | Refusal:
        deployment = self._hub.cluster.deployment
        if deployment is None:
            return Refusal(503, "no_configuration", START_AFTER_S)
        route = _route_of(deployment, request)
        if route is None:
            return Refusal(404, "no_route")
        account = deployment.find_account(details.key_digest)
        if deployment.is_closed_to(route, account):
            return Refusal(401, "unknown_key" if details.key_digest else "no_key")
        return CallTerms(deployment, route.for_account(account), account)


def _route_of(deployment: Deployment, request: ReceivedRequest) -> Route | None:
    host = get_header(request.head.headers, b"host") or ""
    name = host.partition(":")[0]
    return deployment.match(name, request.head.path)
