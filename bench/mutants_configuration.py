"""Faults of the configuration to put back on purpose, as changes of its source."""

import inspect
import sys
import textwrap
from typing import Any

from knapweedbridge_core import configuration_side
from knapweedbridge_core.configuration_responder import ConfigurationResponder
from knapweedbridge_core.configuration_side import ConfigurationSide
from knapweedbridge_daemon import configurations
from knapweedbridge_standins import configuration_history

Patch = tuple[Any, str, Any]


def rewritten(owner: Any, name: str, *changes: tuple[str, str]) -> Patch:
    """Return a function of an owner with pieces of its source replaced."""
    function = getattr(owner, name)
    source = textwrap.dedent(inspect.getsource(function))
    for old, new in changes:
        if source.count(old) != 1:
            raise ValueError(f"{name} holds {old!r} {source.count(old)} times")
        source = source.replace(old, new)
    made: dict[str, Any] = {}
    exec(source, vars(sys.modules[function.__module__]), made)
    return owner, name, made[name]


def _unverified(digest: str, content: bytes) -> bytes:
    return content


SIDE = ConfigurationSide
LOWER_PARTS = rewritten(
    SIDE,
    "_apply_parts",
    ("root.generation <= held.generation", "root.generation == held.generation"),
)
LOWER_CHANGES = rewritten(
    SIDE,
    "_apply_delta",
    ("message.generation > held.generation", "message.generation != held.generation"),
)
NO_WHOLE_CHECK = rewritten(
    SIDE, "_apply_parts", (" or parts.digests != root.digests", "")
)
UNVERIFIED = [
    (configuration_side, "verify", _unverified),
    (configurations, "verify", _unverified),
]
NO_BASE = (" or message.base_token != held.token", "")
GIVER = ConfigurationResponder
LAST_DELTA = ("deltas[tokens.index(token) :]", "deltas[-1:]")
NO_RESULT = ("if any(parts.digests", "if False and any(parts.digests")


def _writing(*changes: tuple[str, str]) -> list[Patch]:
    patch = rewritten(configurations, "write_parts", *changes)
    return [patch, (configuration_history, "write_parts", patch[2])]


CONFIGURATION_MUTANTS: dict[str, list[Patch]] = {
    "generation compared with `!=`": [LOWER_PARTS, LOWER_CHANGES],
    "generation compared with `!=`, parts alone": [LOWER_PARTS],
    "generation compared with `!=`, changes alone": [LOWER_CHANGES],
    "lost reply of a root write taken as not written": [
        rewritten(configurations, "_write_once", ("unknown = True", "return False"))
    ],
    "root written without its comparison": [
        rewritten(configurations, "_prepare", ("{ROOT_KEY: stored.revision}", "{}"))
    ],
    "generation not raised above the highest known": _writing(
        ("Root(highest + 1", "Root(stored.generation + 1")
    ),
    "part not verified by its hash": UNVERIFIED,
    "part not verified, nor the whole against its root": [*UNVERIFIED, NO_WHOLE_CHECK],
    "gap in deltas not noticed: base": [rewritten(SIDE, "_apply_delta", NO_BASE)],
    "gap in deltas not noticed: result": [rewritten(SIDE, "_apply_delta", NO_RESULT)],
    "gap in deltas not noticed: base and result": [
        rewritten(SIDE, "_apply_delta", NO_BASE, NO_RESULT)
    ],
    "only the last delta sent, and the result not compared": [
        rewritten(GIVER, "_changes_since", LAST_DELTA),
        rewritten(SIDE, "_apply_delta", NO_RESULT),
    ],
    "only the last delta sent": [
        rewritten(
            GIVER, "_changes_since", ("deltas[tokens.index(token) :]", "deltas[-1:]")
        )
    ],
}

# Faults that break no promise, since another guard holds. They are listed as not
# caught, with the reason; a fault not caught that is not named here fails the run.
HARMLESS = {
    "generation compared with `!=`, changes alone": (
        "a peer answers only with changes above the generation asked for, and their "
        "base must be the one held"
    ),
    "part not verified by its hash": (
        "the names of all parts are made anew and compared with the root"
    ),
    "gap in deltas not noticed: result": (
        "changes on the base held give what the sender holds, unless it is damaged"
    ),
}
