"""Numbers by which the response of another daemon is matched to its request."""

import itertools
import random
from collections.abc import Iterator

TICKET_BITS = 48


def make_tickets() -> Iterator[int]:
    """Return ticket numbers that a previous process of this host did not use.

    Responses are sent to a host by its name, so that those to a process that has ended
    reach its successor.
    """
    return itertools.count(random.SystemRandom().randrange(1, 1 << TICKET_BITS))
