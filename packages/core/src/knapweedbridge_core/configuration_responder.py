"""What a daemon tells the peers that are behind its configuration."""

from collections import deque
from dataclasses import dataclass

from knapweedbridge_core import messages
from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.context import Context
from knapweedbridge_core.parts import Changes, Root, part_of

KEPT_STEPS = 32
MAX_DELTA_SECTIONS = 500
MAX_PARTS_PER_REQUEST = 4


@dataclass(slots=True, frozen=True)
class _Step:
    base_token: str
    changes: Changes


def root_of(configuration: Configuration) -> Root:
    """Return the root that names a configuration's parts."""
    return Root(
        configuration.generation, configuration.token, configuration.parts.digests
    )


class ConfigurationResponder:
    """Answers peers with changes while it keeps them, else with parts.

    Parameters
    ----------
    context : Context
        What the sides of this daemon share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._steps: deque[_Step] = deque(maxlen=KEPT_STEPS)

    def record_delta(self, base_token: str, changes: Changes) -> None:
        """Keep the changes that lead on from the configuration of a token."""
        self._steps.append(_Step(base_token, changes))

    def clear_deltas(self) -> None:
        """Forget all changes, as none lead to what comes into force now."""
        self._steps.clear()

    def send_changes(self, message: messages.ConfigurationRequest) -> None:
        """Answer with what changed since the asker's generation, or with the root."""
        held = root_of(self._context.configuration)
        if held.generation <= message.generation:
            return
        changes = self._changes_since(message.token)
        if changes is None:
            self._tell_root()
            return
        digests = {place: held.digests[place] for place in map(part_of, changes)}
        told = messages.ConfigurationDelta(
            message.token, held.generation, held.token, digests, changes
        )
        self._context.send(self._context.sender, told)

    def _changes_since(self, token: str) -> Changes | None:
        deltas = list(self._steps)
        tokens = [step.base_token for step in deltas]
        if not token or token not in tokens:
            return None
        changes: Changes = {}
        for step in deltas[tokens.index(token) :]:
            changes.update(step.changes)
        return changes if len(changes) <= MAX_DELTA_SECTIONS else None

    def _tell_root(self) -> None:
        held = root_of(self._context.configuration)
        told = messages.ConfigurationRoot(
            held.generation, held.token, list(held.digests)
        )
        self._context.send(self._context.sender, told)

    def send_parts(self, message: messages.PartsRequest) -> None:
        """Answer with parts, or with the root where the asker's is another."""
        held = self._context.configuration
        if message.token != held.token:
            self._tell_root()
            return
        for place in message.places[:MAX_PARTS_PER_REQUEST]:
            told = messages.PartResponse(held.token, place, held.parts.content(place))
            self._context.send(self._context.sender, told)
