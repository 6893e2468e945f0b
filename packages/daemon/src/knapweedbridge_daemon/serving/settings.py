"""Settings of a daemon that serves by a platform's dialect, from one INI file."""

from dataclasses import dataclass
from typing import Any

from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.machine_settings import HOLDING_KEYS, MACHINE_KEYS
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
        "Identity of this daemon.",
        {
            "name": Key(Name(), None, "Name of the host."),
            "data_centre": Key(Name(), None, "Data centre of the host."),
            **MACHINE_KEYS,
        },
    ),
    "listen": Section(
        "Addresses this daemon listens on.",
        {
            "callers": Key(Address(), None, "Address for callers."),
            "ready": Key(
                Address(), None, "Address for the load balancer's health checks."
            ),
            "peers": Key(Address(), None, "Address for connections of other daemons."),
            "metrics": Key(Address(), None, "Address for reading metrics."),
        },
    ),
    "serving": Section(
        "Protocols of callers, endpoints and the store.",
        {
            "dialect": Key(Name(), None, "Package of the platform's dialect."),
        },
    ),
    "store": Section(
        "Store of the platform.",
        {
            "address": Key(Address(), None, "IP address and port of the store."),
            "timeout_s": Key(Number(0.05, 60), "1.0", "Timeout of a call, seconds."),
            "lease_ms": Key(
                Number(500, 600_000),
                "10000",
                "Duration of a daemon's lease, ms. Engines get orders through outages "
                "of the store that are 1.8 s shorter; an engine whose owner has failed "
                "gets none for as long as the lease.",
            ),
            "settle_ms": Key(
                Number(100, 600_000),
                "3000",
                "How long an outage of the store counts after its end, ms.",
            ),
        },
    ),
    "limits": Section(
        "Limits on retries, on the use of client accounts and on shutdown.",
        {
            "retry_ratio": Key(Number(0, 10), "0.2", "Retries allowed per request."),
            "retry_slack": Key(
                Number(0, 100_000), "50", "Further retries allowed, over all daemons."
            ),
            "retry_window_s": Key(
                Number(0.1, 600), "10", "Window in which retries are counted, seconds."
            ),
            "quota_window_s": Key(
                Number(0.1, 3600),
                "8",
                "Window in which the use of client accounts is counted, seconds.",
            ),
            "quota_over": Key(
                Number(0, 10),
                "0.1",
                "Share over an account's quota that is accepted in a window.",
            ),
            "quota_slack": Key(
                Number(0, 1_000_000_000),
                "0",
                "Further units over an account's quota that are accepted.",
            ),
            **HOLDING_KEYS,
            "tunnels": Key(
                Number(0, 100_000),
                "400",
                "Concurrent connections to endpoints that this host tunnels for hosts "
                "that have lost their links.",
            ),
            "grace_s": Key(
                Number(0.5, 600), "8", "Time from a stop signal to the exit, seconds."
            ),
        },
    ),
    "engines": Section(
        "Owners and speeds of engines, and versions of adapters that they may serve.",
        {
            "turn_ms": Key(
                Number(0, 600_000),
                "3000",
                "How long after its last order a host must not return as an engine's "
                "owner if another one has owned it meanwhile, ms.",
            ),
            "older_version_ms": Key(
                Number(0, 600_000),
                "5000",
                "How long calls may start on an older version of an adapter after "
                "a newer one was acknowledged, ms.",
            ),
            "learn_speeds": Key(
                Choice("yes", "no"),
                "yes",
                "yes: owners learn the speed of each engine, relative to the usual one "
                "of its service; no: all engines of a service count as equally fast.",
            ),
        },
    ),
    "admission": Section(
        "Admission of calls while engines cannot answer all in time.",
        {
            "overdue_calls": Key(
                Choice("as_others", "last"),
                "as_others",
                "Calls whose response will be late in any case compete with all others "
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
                "Lines per second of one kind; further ones are only counted.",
            ),
            "format": Key(Text(), "json", "Format of log lines; only json."),
        },
    ),
}


@dataclass(slots=True)
class ServingSettings:
    """Checked settings, by section and key."""

    values: dict[str, dict[str, Any]]

    def get(self, section: str, key: str) -> Any:
        """Return one checked value."""
        return self.values[section][key]


def is_serving_settings(text: str) -> bool:
    """Return whether a settings file is for a daemon of this kind."""
    return "[serving]" in text


def read_serving_settings(file: str, text: str) -> ServingSettings:
    """Check the text of a settings file.

    Raises
    ------
    CheckError
        With all errors, each with its file, section and key.
    """
    values, errors = read_sections(file, text, SECTIONS)
    if errors:
        raise CheckError(errors)
    return ServingSettings(values)
