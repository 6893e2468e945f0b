"""Settings of a daemon: one INI file, validated as a whole at startup."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.faults import Fault
from knapweedbridge_core.machine_settings import HOLDING_KEYS, MACHINE_KEYS
from knapweedbridge_core.schema import (
    Address,
    Choice,
    Digest,
    FilePath,
    Flag,
    Key,
    Name,
    Number,
    Section,
    Text,
    Url,
    read_sections,
)

HEARTBEATS_BEFORE_SILENCE = 2

SECTIONS: dict[str, Section] = {
    "host": Section(
        "Identity of this daemon.",
        {
            "name": Key(Name(), None, "Name of the host in the platform's list."),
            "data_centre": Key(Name(), None, "Data centre of the host."),
            **MACHINE_KEYS,
        },
    ),
    "listen": Section(
        "The addresses this daemon listens on.",
        {
            "callers": Key(Address(), None, "Address of the callers' API."),
            "administration": Key(Address(), None, "Address of the operators' API."),
            "peers": Key(Address(), None, "Address for connections of other daemons."),
            "first_key_hash": Key(
                Digest(), "", "SHA-256 of the operators' key until one is configured."
            ),
            "certificate_file": Key(FilePath(), "", "PEM certificate; empty: no TLS."),
            "key_file": Key(FilePath(), "", "PEM private key of the certificate."),
            "certificate_poll_s": Key(
                Number(0.01, 86400),
                "10",
                "Pause between checks for new files, seconds.",
            ),
        },
    ),
    "platform": Section(
        "The services of the platform.",
        {
            "key_value": Key(Url(), None, "URL of the key-value service."),
            "host_list": Key(Url(), None, "URL of the list of hosts."),
            "timeout_s": Key(Number(0.01, 60), "2", "Timeout of one call, seconds."),
            "poll_s": Key(Number(0.05, 600), "2", "Pause between reads, seconds."),
            "watch": Key(Flag(), "yes", "Whether this daemon may watch the service."),
        },
    ),
    "peers": Section(
        "Connections between daemons.",
        {
            "secret_file": Key(
                FilePath(), "", "File with the secret that all peers share."
            ),
            "heartbeat_s": Key(Number(0.05, 60), "0.5", "Heartbeat period, seconds."),
            "silence_s": Key(Number(0.1, 600), "2", "Silence before closing, seconds."),
            "pool": Key(
                Choice("deployment", "data_centre"),
                "deployment",
                "Whether the pool spans all data centres.",
            ),
        },
    ),
    "requests": Section(
        "Handling of requests.",
        {
            "deadline_s": Key(
                Number(0.1, 3600), "60", "Default deadline of a request, seconds."
            ),
            "connect_timeout_s": Key(
                Number(0.01, 60), "1", "Timeout of connecting to an endpoint, seconds."
            ),
            "first_token_timeout_s": Key(
                Number(0.1, 600), "20", "Timeout of the first token, seconds."
            ),
            "token_gap_timeout_s": Key(
                Number(0.05, 600), "5", "Timeout between two tokens, seconds."
            ),
            "connection_idle_s": Key(
                Number(0, 600), "2", "Idle timeout of a pooled connection, seconds."
            ),
            "connection_age_s": Key(
                Number(0.1, 86400), "60", "Maximum age of the pool, seconds."
            ),
            "keepalive_s": Key(
                Number(1, 600), "5", "Idle time before TCP keep-alive probes, seconds."
            ),
            "join_wait_s": Key(
                Number(0, 0.05),
                "0.02",
                "Longest wait to join tokens into one write, seconds; 0: none.",
            ),
            "stream_client": Key(
                Choice("aiohttp", "httpx"), "aiohttp", "HTTP client for streams."
            ),
            "max_body_bytes": Key(
                Number(1024, 1 << 30, whole=True),
                "4194304",
                "Largest body of a request, bytes.",
            ),
            **HOLDING_KEYS,
            "drain_grace_s": Key(
                Number(0, 600),
                "5",
                "How long a stopping daemon still accepts requests, seconds.",
            ),
            "drain_timeout_s": Key(
                Number(0, 86400), "600", "Longest wait for streams at exit, seconds."
            ),
        },
    ),
    "blame": Section(
        "Detection of requests that crash endpoints.",
        {
            "lapse_s": Key(
                Number(1, 86400), "600", "Time after which suspicion expires, seconds."
            ),
            "suspects": Key(
                Number(10, 100_000, whole=True),
                "1000",
                "Maximum number of suspected requests.",
            ),
        },
    ),
    "logs": Section(
        "Logs and metrics.",
        {
            "level": Key(
                Choice("error", "info", "debug"),
                "info",
                "error: failures; info: also state changes; debug: every event.",
            ),
            "destination": Key(
                Text(), "stderr", "stderr, stdout or the path of a file."
            ),
            "statsd": Key(Address(), "", "Address of statsd over UDP; empty: none."),
            "timeline_events": Key(
                Number(100, 1_000_000, whole=True), "10000", "Events kept in memory."
            ),
        },
    ),
}


@dataclass(slots=True)
class Settings:
    """Validated settings, by section and key."""

    values: dict[str, dict[str, Any]]

    def get(self, section: str, key: str) -> Any:
        """Return the value of a key."""
        return self.values[section][key]

    @property
    def host(self) -> str:
        """Name of this host."""
        return self.values["host"]["name"]

    @property
    def data_centre(self) -> str:
        """Data centre of this host."""
        return self.values["host"]["data_centre"]


def read_settings(file: str, text: str) -> Settings:
    """Parse and validate the text of a settings file.

    Raises
    ------
    CheckError
        With all faults; each names its file, section and key.
    """
    settings, faults = inspect_settings(file, text)
    if faults:
        raise CheckError(faults)
    return settings


def inspect_settings(file: str, text: str) -> tuple[Settings, list[Fault]]:
    """Parse as much of a settings file as possible and return all faults found."""
    values, faults = read_sections(file, text, SECTIONS)
    faults += [Fault(file, *fault) for fault in _inconsistent(values)]
    return Settings(values), faults


def _inconsistent(values: dict[str, dict[str, Any]]) -> Iterator[tuple[str, str, str]]:
    """Yield section, key and message of each value that contradicts another."""
    listen, peers = values["listen"], values["peers"]
    first: dict[str, str] = {}
    for key in ("callers", "administration", "peers"):
        if key not in listen or listen[key].endswith(":0"):
            continue
        earlier = first.setdefault(listen[key], key)
        if earlier != key:
            yield "listen", key, f"{listen[key]!r} is the address of {earlier} already"
    if bool(listen.get("certificate_file")) != bool(listen.get("key_file")):
        yield (
            "listen",
            "key_file",
            "allowed: both certificate_file and key_file, or none",
        )
    if {"heartbeat_s", "silence_s"} <= peers.keys():
        shortest_s = HEARTBEATS_BEFORE_SILENCE * peers["heartbeat_s"]
        if peers["silence_s"] < shortest_s:
            yield (
                "peers",
                "silence_s",
                f"allowed: from twice heartbeat_s, {shortest_s:g}",
            )
