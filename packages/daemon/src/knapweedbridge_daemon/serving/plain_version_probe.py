"""Tells daemons that count plain requests from those of an older version.

A message of an unknown class ends the stream of a daemon that does not know it. So a
daemon is greeted first, by a message that older ones take and ignore: the answer to a
question for a permit that was never asked.
"""

from typing import TypeGuard

from knapweedbridge_core.serving.permit_messages import PermitResponse
from knapweedbridge_core.serving.plain_messages import (
    PlainLoadReport,
    PlainLoadRequest,
    PlainLoadResponse,
)

NO_TICKET = 0
"""Questions for permits are numbered from 1."""

VERSION_PROBE = PermitResponse("", NO_TICKET, 0.0)

VERSION_PROBE_ANSWER = PlainLoadResponse("", NO_TICKET, 0, 0.0, 0.0)
"""Answer to the greeting."""

PlainMessage = PlainLoadRequest | PlainLoadResponse | PlainLoadReport | PermitResponse


def is_plain_message(message: object) -> TypeGuard[PlainMessage]:
    """Tell whether a message is about plain requests, or a greeting."""
    is_new = isinstance(message, PlainLoadRequest | PlainLoadResponse | PlainLoadReport)
    return is_new or message == VERSION_PROBE
