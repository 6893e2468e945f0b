"""Sends the active configuration to peers that hold an older generation."""

from collections import deque
from dataclasses import dataclass

from knapweedbridge_core import messages
from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.context import Context
from knapweedbridge_core.parts import Changes, Root, part_of

MAX_DELTAS = 32
MAX_DELTA_SECTIONS = 500
MAX_PARTS_PER_REQUEST = 4


@dataclass(slots=True, frozen=True)
class _Delta:
    """The changes that lead on from the configuration with a token."""

    base_token: str
    changes: Changes


def root_of(configuration: Configuration) -> Root:
    """Return the root of a configuration: its generation, token and part digests."""
    return Root(
        configuration.generation, configuration.token, configuration.parts.digests
    )


class ConfigurationResponder:
    """Answers peers' requests for the configuration.

    A peer gets a delta if the deltas kept reach back to its generation, and
    otherwise the root, from which it requests the parts that differ.

    Parameters
    ----------
    context : Context
        State shared by the components of this daemon.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._deltas: deque[_Delta] = deque(maxlen=MAX_DELTAS)

    def record_delta(self, base_token: str, changes: Changes) -> None:
        """Record the changes that lead on from the configuration with a token."""
        self._deltas.append(_Delta(base_token, changes))

    def clear_deltas(self) -> None:
        """Discard all deltas: none leads to the next active configuration."""
        self._deltas.clear()

    def send_changes(self, message: messages.ConfigurationRequest) -> None:
        """Send the changes since the requester's generation, or the root."""
        held = root_of(self._context.configuration)
        if held.generation <= message.generation:
            return
        changes = self._changes_since(message.token)
        if changes is None:
            self._send_root()
            return
        digests = {index: held.digests[index] for index in map(part_of, changes)}
        response = messages.ConfigurationDelta(
            message.token, held.generation, held.token, digests, changes
        )
        self._context.send(self._context.sender, response)

    def _changes_since(self, token: str) -> Changes | None:
        deltas = list(self._deltas)
        tokens = [delta.base_token for delta in deltas]
        if not token or token not in tokens:
            return None
        changes: Changes = {}
        for delta in deltas[tokens.index(token) :]:
            changes.update(delta.changes)
        return changes if len(changes) <= MAX_DELTA_SECTIONS else None

    def _send_root(self) -> None:
        held = root_of(self._context.configuration)
        response = messages.ConfigurationRoot(
            held.generation, held.token, list(held.digests)
        )
        self._context.send(self._context.sender, response)

    def send_parts(self, message: messages.PartsRequest) -> None:
        """Send the requested parts, or the root if the request names another root."""
        held = self._context.configuration
        if message.token != held.token:
            self._send_root()
            return
        for index in message.indices[:MAX_PARTS_PER_REQUEST]:
            response = messages.PartResponse(
                held.token, index, held.parts.content(index)
            )
            self._context.send(self._context.sender, response)
