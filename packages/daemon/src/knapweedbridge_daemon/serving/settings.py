"""Settings of a daemon that serves by a platform's dialect: one INI file."""

from dataclasses import dataclass
from typing import Any

from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.schema import (
    Address,
    Choice,
    Key,
    Name,
    Number,
    Section,
    Text,
    read_sections,
)

SECTIONS: dict[str, Section] = {
    "host": Section(
        "Who this daemon is.",
        {
            "name": Key(Name(), None, "Name of the host."),
            "data_centre": Key(Name(), None, "Data centre the host stands in."),
        },
    ),
    "listen": Section(
        "The addresses this daemon listens on.",
        {
            "callers": Key(Address(), None, "Address of the callers' face."),
            "ready": Key(Address(), None, "Address that the balancer asks."),
            "peers": Key(Address(), None, "Address for streams from other daemons."),
            "metrics": Key(Address(), None, "Address that counters are read from."),
        },
    ),
    "serving": Section(
        "How callers, endpoints and the store are spoken to.",
        {
            "dialect": Key(Name(), None, "Package of the platform's dialect."),
        },
    ),
    "store": Section(
        "The platform's store.",
        {
            "address": Key(Address(), None, "IP number and port of the store."),
            "timeout_s": Key(Number(0.05, 60), "1.0", "Bound on one call, seconds."),
            "lease_ms": Key(
                Number(500, 600_000),
                "10000",
                "Life of a daemon's lease, ms. Engines are ordered through an outage "
                "of the store that is 1.8 s shorter; one whose owner is gone for good "
                "gets no orders for as long.",
            ),
            "settle_ms": Key(
                Number(100, 600_000),
                "3000",
                "Disturbance of the store counts on for this, ms.",
            ),
        },
    ),
    "limits": Section(
        "Bounds on repeats, on the use of client accounts and on stopping.",
        {
            "retry_ratio": Key(Number(0, 10), "0.2", "Repeats allowed a request."),
            "retry_slack": Key(
                Number(0, 100_000), "50", "Repeats allowed besides, over all daemons."
            ),
            "retry_window_s": Key(
                Number(0.1, 600), "10", "Window that repeats are counted in, seconds."
            ),
            "quota_window_s": Key(
                Number(0.1, 3600),
                "8",
                "Window that the use of client accounts is counted in, seconds.",
            ),
            "quota_over": Key(
                Number(0, 10),
                "0.1",
                "Share beyond an account's quota that is accepted in a window.",
            ),
            "quota_slack": Key(
                Number(0, 1_000_000_000),
                "0",
                "Units beyond an account's quota that are accepted besides.",
            ),
            "held_mb": Key(
                Number(0, 1_000_000),
                "0",
                "Most that is held for callers before requests with bodies are "
                "refused, MB; 0: any amount.",
            ),
            "tunnels": Key(
                Number(0, 100_000),
                "400",
                "Connections to endpoints that this host carries at once for hosts "
                "that have lost their links.",
            ),
            "grace_s": Key(
                Number(0.5, 600), "8", "Time from a stop signal to the end, seconds."
            ),
        },
    ),
    "engines": Section(
        "What is learnt of engines, and which versions of adapters they may serve.",
        {
            "older_version_ms": Key(
                Number(0, 600_000),
                "5000",
                "How long after a version of an adapter was acknowledged work may "
                "begin on an older one, ms.",
            ),
            "learn_speeds": Key(
                Choice("yes", "no"),
                "yes",
                "yes: owners learn how fast each engine is in times of its service's "
                "usual one; no: all engines of a service are taken to be alike.",
            ),
        },
    ),
    "admission": Section(
        "Which calls engines take while they cannot answer all in time.",
        {
            "overdue_calls": Key(
                Choice("as_others", "last"),
                "as_others",
                "Calls whose response is late whatever is done compete with all others "
                "(as_others), or get the capacity that others leave (last).",
            ),
        },
    ),
    "logs": Section(
        "Logs.",
        {
            "level": Key(
                Choice("error", "info", "debug"),
                "info",
                "error: failures; info: also decisions; debug: every step.",
            ),
            "lines_per_s": Key(
                Number(1, 100_000),
                "200",
                "Lines a second of one kind; more are counted.",
            ),
            "format": Key(Text(), "json", "Only json."),
        },
    ),
}


@dataclass(slots=True)
class ServingSettings:
    """Checked settings, a value a section and key."""

    values: dict[str, dict[str, Any]]

    def get(self, section: str, key: str) -> Any:
        """Return one checked value."""
        return self.values[section][key]


def is_serving_settings(text: str) -> bool:
    """Tell whether a settings file is of this kind."""
    return "[serving]" in text


def read_serving_settings(file: str, text: str) -> ServingSettings:
    """Check the text of a settings file.

    Raises
    ------
    CheckError
        With every fault, each naming file, section and key.
    """
    values, faults = read_sections(file, text, SECTIONS)
    if faults:
        raise CheckError(faults)
    return ServingSettings(values)
