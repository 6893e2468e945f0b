"""Bytes that daemons and stores of earlier releases hold, written and read again."""

import importlib
import pkgutil

import anyio
import msgpack
from behave import given, then, when

import knapweedbridge_core
from knapweedbridge_core import claims, leases, owner_records, parts
from knapweedbridge_core.codec import decode, encode, unpacker
from knapweedbridge_core.outcomes import Recorded
from knapweedbridge_core.serving import DaemonRecord, StreamOrigin
from knapweedbridge_core.serving.software_versions import VersionRecord
from knapweedbridge_core.timeline import HybridClock
from knapweedbridge_daemon import configurations
from knapweedbridge_daemon.serving import own_records
from knapweedbridge_daemon.serving.dialects import DaemonKeys
from knapweedbridge_daemon.stamps import PeerClock
from knapweedbridge_standins.memory_store import MemoryStore

CLAIM = claims.ClaimRecord(
    "token-1", "host-0", "f" * 8, "complete", Recorded(200, "text/plain", b"answer")
)
OWNER = owner_records.OwnerRecord("host-0", 3, 17)
SECTIONS = {"team optics": {"share": "2"}, "adapter refill": {"team": "optics"}}
DAEMON = DaemonRecord("host-0", 4, "127.0.0.1:7380", "hall-a", True)
VERSIONS = VersionRecord(frozenset({"2.0", "1.9"}), 3)
ORIGIN = StreamOrigin("writer", "1.9", 25.0)
KEYS = DaemonKeys()


def written_configuration():
    """Return all that accepting one generation writes, in the order of the keys."""
    store = MemoryStore()
    note = {"by": "operator", "at": "noon"}
    write = configurations.write_parts(
        store, 0, parts.Parts.of(SECTIONS), "token-1", 0, note
    )

    async def run():
        await write

    anyio.run(run)
    return {key: value for key, (value, _) in sorted(store.values.items())}


def configuration_value(prefix):
    return next(
        value for key, value in written_configuration().items() if prefix in key
    )


def read_configuration(value):
    root = configurations.decode_root(value)
    return [root.generation, root.token, *filter(None, root.digests)]


WRITERS = {
    "claim": CLAIM.pack,
    "owner": OWNER.pack,
    "life": lambda: leases.DaemonLease("host-0", 9)._value,
    "part": lambda: parts.pack_part(SECTIONS),
    "root": lambda: configuration_value(configurations.ROOT_KEY),
    "generation": lambda: configuration_value(configurations.GENERATION_KEY),
    "stamp": lambda: PeerClock(HybridClock(), lambda: 1_700_000_000_000_000).pack(),
    "serving daemon": lambda: own_records.pack_daemon(DAEMON),
    "serving owner": lambda: own_records.pack_owner("host-0", 4),
    "serving protocol": lambda: own_records.pack_protocol(4, 12),
    "serving links": lambda: own_records.pack_links_lost(4),
    "serving versions": lambda: own_records.pack_versions(VERSIONS),
    "serving origins": lambda: own_records.pack_origins({"s": ORIGIN}, 10.0),
    "serving refused": lambda: own_records.pack_refused(30.0),
    "configuration keys": lambda: "\n".join(written_configuration()).encode(),
    "claim keys": lambda: claims.CLAIM_KEY.encode(),
    "owner keys": lambda: owner_records.OWNER_KEY.encode(),
    "life keys": lambda: leases.DaemonLease("host-0", 9).key.encode(),
    "serving keys": lambda: "\n".join(
        [
            KEYS.daemon("a"),
            KEYS.owner("a"),
            KEYS.protocol("a"),
            KEYS.versions("a"),
            KEYS.links("a"),
            KEYS.refused_call("a"),
            KEYS.secret,
            KEYS.origins("a", 31),
        ]
    ).encode(),
}


def read_own(key):
    return lambda value: own_records.read_own(KEYS, key, value, 5)


READERS = {
    "claim": lambda value: claims.unpack_record(value) == CLAIM,
    "owner": lambda value: owner_records.OwnerRecord.unpack(value) == OWNER,
    "life": lambda value: leases.unpack_incarnation(value) == 9,
    "part": lambda value: parts.unpack_part(value) == SECTIONS,
    "root": lambda value: read_configuration(value)[:2] == [1, "token-1"],
    "generation": lambda value: (
        configurations.GenerationRecord(
            *msgpack.unpackb(value, strict_map_key=False)
        ).note["by"]
        == "operator"
    ),
    "serving daemon": lambda value: read_own(KEYS.daemon("host-0"))(value) is not None,
    "serving owner": lambda value: read_own(KEYS.owner("engine-0"))(value) is not None,
    "serving protocol": lambda value: (
        read_own(KEYS.protocol("host-0"))(value).protocol == 12
    ),
    "serving links": lambda value: (
        read_own(KEYS.links("host-0"))(value).incarnation == 4
    ),
    "serving software": lambda value: (
        read_own(f"{KEYS.prefix}software/writer")(value).versions == ("1.9", "2.0")
    ),
    "serving versions": lambda value: (
        read_own(KEYS.versions("writer"))(value).record == VERSIONS
    ),
    "serving origins": lambda value: (
        read_own(KEYS.origins("host-0", 31))(value).origins
        == (("s", "writer", "1.9", 15.0),)
    ),
    "serving refused": lambda value: (
        read_own(KEYS.refused_call("m"))(value).for_s == 30.0
    ),
}


def load_all_modules():
    for module in pkgutil.walk_packages(
        knapweedbridge_core.__path__, "knapweedbridge_core."
    ):
        importlib.import_module(module.name)


@given("all modules of the core are loaded")
def loaded(context):
    load_all_modules()


@when("the message {packed} of an earlier release is read")
def message_read(context, packed):
    context.packed = bytes.fromhex(packed)
    reader = unpacker()
    reader.feed(context.packed)
    context.message = decode(next(reader))


@then("it is written again in the same bytes")
def message_written(context):
    assert encode(context.message) == context.packed, context.message


@when("a record of the kind {kind} is written")
def record_written(context, kind):
    context.kind, context.written = kind, WRITERS[kind]()


@then("its bytes are {packed}, and they can be read")
def record_read(context, packed):
    expected = bytes.fromhex(packed)
    assert context.written == expected, (context.written, expected)
    reads = READERS.get(context.kind)
    assert reads is None or reads(expected), context.kind


@then("the record {packed} of the kind {kind}, which is written no more, can be read")
def former_record_read(context, packed, kind):
    assert kind not in WRITERS
    assert READERS[kind](bytes.fromhex(packed)), kind


@then("the messages of this release are {tags}")
def all_tags(context, tags):
    load_all_modules()
    from knapweedbridge_core import codec

    assert sorted(codec._CLASSES) == sorted(tags.split()), set(codec._CLASSES) ^ set(
        tags.split()
    )
