"""Tells daemons that count plain requests from those of an older version.

A daemon closes a stream on which it receives a message of an unknown class. It is
therefore probed first with a message that older versions know and ignore: the response
to a request for a permit that it never sent.
"""

from typing import TypeGuard

from knapweedbridge_core.serving.permit_messages import PermitResponse
from knapweedbridge_core.serving.plain_messages import (
    PlainLoadReport,
    PlainLoadRequest,
    PlainLoadResponse,
)

NO_TICKET = 0
"""Ticket of no request; those of requests for permits begin at 1."""

VERSION_PROBE = PermitResponse("", NO_TICKET, 0.0)

VERSION_PROBE_RESPONSE = PlainLoadResponse("", NO_TICKET, 0, 0.0, 0.0)
"""Response to the probe."""

PlainMessage = PlainLoadRequest | PlainLoadResponse | PlainLoadReport | PermitResponse


def is_plain_message(message: object) -> TypeGuard[PlainMessage]:
    """Return whether a message is about plain requests, or is the version probe."""
    is_new = isinstance(message, PlainLoadRequest | PlainLoadResponse | PlainLoadReport)
    return is_new or message == VERSION_PROBE
