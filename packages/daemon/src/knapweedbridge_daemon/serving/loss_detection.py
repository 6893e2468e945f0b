"""Detects that an endpoint is gone."""

from knapweedbridge_core.serving import Endpoint
from knapweedbridge_daemon.serving.http_client import Destination
from knapweedbridge_daemon.serving.hub import Hub


async def detect_loss(hub: Hub, endpoint: Endpoint) -> str:
    """Return how the loss of an endpoint was detected; empty: it was not."""
    record, pressure = endpoint.record, endpoint.pressure
    destination = Destination(record.address, endpoint.name)
    deployment = hub.cluster.deployment
    service = deployment.services.get(record.service) if deployment else None
    if service is None or pressure.is_limited or pressure.is_brittle:
        # A health check would use up the endpoint's limit, which calls need.
        stream = await hub.pool.connector.connect(destination)
        hub.pool.adopt(stream, record.address)
        return ""
    dialect = hub.dialects.endpoints
    request = dialect.health(record.address, endpoint.name, service.health_path)
    async with hub.pool.connection(destination) as connection:
        head, _ = await connection.call(request)
    answer = dialect.read_response(head)
    is_other = answer.wrong_endpoint and answer.endpoint != endpoint.name
    return "replaced" if is_other else ""
