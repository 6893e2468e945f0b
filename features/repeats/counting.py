"""Endpoints that count the arrivals of each request."""

import anyio
from standins import Endpoint, Engine, header
from whole_path import WholePath


class Arrivals:
    """Counts the arrivals of each request at an endpoint, also of rejected ones."""

    path = None

    async def handle(self, request, responder):
        call_id = header(request, "Request-Id")
        if call_id is not None:
            self.path.record_arrival(call_id)
        await super().handle(request, responder)


class CountingEndpoint(Arrivals, Endpoint):
    """A plain endpoint that counts arrivals."""


class CountingEngine(Arrivals, Engine):
    """An engine that counts arrivals."""


class CountingPath(WholePath):
    """The whole path, with endpoints that count arrivals."""

    plain_kind = CountingEndpoint
    engine_kind = CountingEngine

    def __init__(self, stack, tasks):
        super().__init__(stack, tasks)
        self.repeats_s = []
        self._seen = set()
        for endpoint in self.endpoints:
            endpoint.path = self

    def record_arrival(self, call_id):
        """Record when an arrival that is not the first of its request comes."""
        if call_id in self._seen:
            self.repeats_s.append(anyio.current_time())
        self._seen.add(call_id)

    def count_repeats(self):
        """Return how many arrivals were not the first of their request."""
        return len(self.repeats_s)
