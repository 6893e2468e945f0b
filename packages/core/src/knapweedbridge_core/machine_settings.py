"""Settings of what a daemon may use of its machine, and of what it holds for others."""

from dataclasses import replace
from typing import Any

from knapweedbridge_core.resource_shares import MB, Machine, ResourceShares, divide
from knapweedbridge_core.schema import Key, Number, RepeatedNumber

MACHINE_KEYS = {
    "memory_mb": Key(
        RepeatedNumber(0, 100_000_000),
        "0",
        "Memory that this daemon may use, MB; 0: that of the machine.",
    ),
    "descriptors": Key(
        RepeatedNumber(0, 100_000_000, whole=True),
        "0",
        "Descriptors that this daemon may open; 0: the limit of its process.",
    ),
    "file_descriptors": Key(
        Number(0, 1_000_000, whole=True),
        "64",
        "Those of the descriptors that are set aside for files.",
    ),
}

HOLDING_KEYS = {
    "held_mb": Key(
        Number(0, 1_000_000),
        "0",
        "Memory held for callers above which requests with bodies are refused, MB; 0: "
        "0.4 of the memory that is free in calm.",
    ),
    "connections": Key(
        Number(0, 1_000_000, whole=True),
        "0",
        "Open connections of callers above which idle ones are closed and further ones "
        "refused; 0: half of the sockets, or what 0.25 of the free memory carries.",
    ),
}


def shares_of(
    host: dict[str, Any], holding: dict[str, Any], own: Machine
) -> ResourceShares:
    """Return the limits that settings state, or that follow from the machine.

    Parameters
    ----------
    host, holding : dict
        Values of `MACHINE_KEYS` and of `HOLDING_KEYS`.
    own : Machine
        What the process finds, for values that are not stated.
    """
    machine = Machine(
        round(host["memory_mb"] * MB) or own.memory_bytes,
        host["descriptors"] or own.descriptors,
        host["file_descriptors"],
    )
    shares = divide(machine)
    return replace(
        shares,
        held_bytes=round(holding["held_mb"] * MB) or shares.held_bytes,
        caller_connections=holding["connections"] or shares.caller_connections,
    )
