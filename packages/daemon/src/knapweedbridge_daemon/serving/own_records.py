"""Encoding of the records that daemons write into the store, in msgpack."""

from collections.abc import Generator, Mapping
from contextlib import contextmanager
from itertools import chain
from typing import Any

import msgpack

from knapweedbridge_core.serving import (
    DaemonRecord,
    OwnerRecord,
    RecordedService,
    RetryRecord,
)
from knapweedbridge_core.serving.cluster_state import (
    CallAllowed,
    CallRefused,
    DaemonGone,
    DaemonNamed,
    LinksBack,
    LinksLost,
    OwnerGone,
    OwnerNamed,
    ProtocolNamed,
    SecretNamed,
    SoftwareRecorded,
    SoftwareServed,
    StoreEvent,
)
from knapweedbridge_core.serving.software_versions import NO_RECORD, VersionRecord
from knapweedbridge_core.serving.store_events import EraNamed, OriginsStored
from knapweedbridge_core.serving.stream_origins import StreamOrigin
from knapweedbridge_daemon.serving.dialects import DaemonKeys, DialectError


def pack_daemon(record: DaemonRecord) -> bytes:
    """Encode a daemon's record."""
    fields = [
        record.incarnation,
        record.address,
        record.data_centre,
        record.draining,
    ]
    return msgpack.packb(fields)


def pack_owner(owner: str, incarnation: int) -> bytes:
    """Encode an owner's record; an empty owner releases the engine."""
    return msgpack.packb([owner, incarnation])


def pack_protocol(incarnation: int, protocol: int) -> bytes:
    """Encode the protocol version of a daemon's incarnation."""
    return msgpack.packb([incarnation, protocol])


def pack_links_lost(incarnation: int) -> bytes:
    """Encode that the host of a daemon's incarnation reaches no endpoint."""
    return msgpack.packb([incarnation])


def pack_versions(record: VersionRecord) -> bytes:
    """Encode the software versions on which streams of a service may begin."""
    return msgpack.packb([sorted(record.versions), record.complete_era])


def pack_origins(origins: Mapping[str, StreamOrigin], now_s: float) -> bytes:
    """Encode origins of streams.

    Parameters
    ----------
    origins : dict of str to StreamOrigin
        By stream.
    now_s : float
        Present time, by the clock of the origins.
    """
    rows: dict[tuple[str, str], list[Any]] = {}
    for stream, origin in origins.items():
        began_at = origin.service, origin.software
        row = rows.setdefault(began_at, [*began_at, 0.0, []])
        row[2] = max(row[2], origin.until_s - now_s)
        row[3].append(stream)
    return msgpack.packb(list(rows.values()))


def pack_refused(for_s: float) -> bytes:
    """Encode for how long a call is refused, in seconds."""
    return msgpack.packb([float(for_s)])


def pack_era(era: int, since_s: float) -> bytes:
    """Encode by which time of day an era of the store had begun; 0: any."""
    return msgpack.packb([era, since_s])


def read_era(value: bytes) -> tuple[int, float]:
    """Decode an era of the store, and by which time of day it had begun.

    Raises
    ------
    DialectError
        If the value is malformed.
    """
    with _decoding("no record of an era"):
        era, since_s = msgpack.unpackb(value)
        _check_type(era, int)
        _check_type(since_s, float)
        return era, since_s


def pack_retries(record: RetryRecord) -> bytes:
    """Encode the retries that a daemon has reserved."""
    services = {
        name: [each.requests, each.retries] for name, each in record.services.items()
    }
    return msgpack.packb([services, record.steady_s, record.wall_s, record.era])


def read_retries(value: bytes) -> RetryRecord:
    """Decode the retries that a daemon has reserved.

    Raises
    ------
    DialectError
        If the value is malformed.
    """
    with _decoding("no record of reserved retries"):
        packed, steady_s, wall_s, era = msgpack.unpackb(value)
        _check_type(packed, dict)
        services = {name: _read_service(name, each) for name, each in packed.items()}
        _check_type(steady_s, float)
        _check_type(wall_s, float)
        _check_type(era, int)
        return RetryRecord(services, steady_s, wall_s, era)


def _read_service(name: object, packed: Any) -> RecordedService:
    _check_type(name, str)
    requests, retries = packed
    for lasts_s, count in chain(requests, retries):
        _check_type(lasts_s, float)
        _check_type(count, int)
    return RecordedService(
        [(lasts_s, count) for lasts_s, count in requests],
        [(lasts_s, count) for lasts_s, count in retries],
    )


def read_own(
    keys: DaemonKeys, key: str, value: bytes | None, revision: int
) -> StoreEvent | None:
    """Decode an item that a daemon has written.

    Raises
    ------
    DialectError
        If the value is malformed.
    """
    kind, _, name = key.removeprefix(keys.prefix).partition("/")
    with _decoding(f"{key}: no record of ours"):
        if kind == "daemons":
            return _read_daemon(name, value)
        if kind == "owners":
            return _read_owner(name, value, revision)
        if kind == "links":
            return _read_links(name, value)
        if kind == "refused":
            return _read_refused(name, value)
        if kind == "software":
            return _read_software(name, value)
        if kind == "versions":
            return _read_versions(name, value, revision)
        return _read_lasting(kind, name, value) if value is not None else None


def _read_lasting(kind: str, name: str, value: bytes) -> StoreEvent | None:
    """Decode an item whose removal changes nothing."""
    if kind == "secret":
        return SecretNamed(value) if value else None
    if kind == "origins":
        return _read_origins(value)
    if kind == "protocols":
        return _read_protocol(name, value)
    if kind == "era":
        return EraNamed(*read_era(value))
    return None


@contextmanager
def _decoding(message: str) -> Generator[None, None, None]:
    """Raise DialectError with a message if a value is malformed."""
    try:
        yield
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise DialectError(message) from error


def _read_daemon(name: str, value: bytes | None) -> StoreEvent:
    if value is None:
        return DaemonGone(name)
    incarnation, address, data_centre, draining = msgpack.unpackb(value)
    _check_type(incarnation, int)
    _check_type(address, str)
    _check_type(data_centre, str)
    return DaemonNamed(
        DaemonRecord(name, incarnation, address, data_centre, bool(draining))
    )


def _read_owner(name: str, value: bytes | None, revision: int) -> StoreEvent:
    if value is None:
        return OwnerGone(name)
    owner, incarnation = msgpack.unpackb(value)
    _check_type(owner, str)
    _check_type(incarnation, int)
    return OwnerNamed(name, OwnerRecord(owner, incarnation, revision))


def _read_links(name: str, value: bytes | None) -> StoreEvent:
    if value is None:
        return LinksBack(name)
    (incarnation,) = msgpack.unpackb(value)
    _check_type(incarnation, int)
    return LinksLost(name, incarnation)


def _read_refused(mark: str, value: bytes | None) -> StoreEvent:
    if value is None:
        return CallAllowed(mark)
    (for_s,) = msgpack.unpackb(value)
    _check_type(for_s, float)
    return CallRefused(mark, for_s)


def _read_software(service: str, value: bytes | None) -> StoreEvent:
    versions = msgpack.unpackb(value) if value is not None else []
    _check_type(versions, list)
    for each in versions:
        _check_type(each, str)
    return SoftwareServed(service, tuple(versions))


def _read_versions(service: str, value: bytes | None, revision: int) -> StoreEvent:
    if value is None:
        return SoftwareRecorded(service, NO_RECORD)
    versions, complete_era = msgpack.unpackb(value)
    _check_type(versions, list)
    for each in versions:
        _check_type(each, str)
    if complete_era is not None:
        _check_type(complete_era, int)
    record = VersionRecord(frozenset(versions), complete_era, revision)
    return SoftwareRecorded(service, record)


def _read_origins(value: bytes) -> StoreEvent:
    found: list[tuple[str, str, str, float]] = []
    for service, software, left_s, streams in msgpack.unpackb(value):
        _check_type(service, str)
        _check_type(software, str)
        _check_type(left_s, float)
        for stream in streams:
            _check_type(stream, str)
            found.append((stream, service, software, left_s))
    return OriginsStored(tuple(found))


def _read_protocol(name: str, value: bytes) -> StoreEvent:
    incarnation, protocol = msgpack.unpackb(value)
    _check_type(incarnation, int)
    _check_type(protocol, int)
    return ProtocolNamed(name, incarnation, protocol)


def _check_type(value: object, kind: type) -> None:
    if not isinstance(value, kind):
        raise TypeError(f"{value!r:.50} is no {kind.__name__}")
