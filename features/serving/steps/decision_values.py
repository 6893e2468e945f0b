"""Values that the steps of decisions share."""

from knapweedbridge_core.serving import (
    CallKind,
    EndpointRecord,
    ModelRef,
    Route,
    WeightedService,
)

NOW_S = 100.0


def record(name, **fields):
    values = {
        "service": "llm",
        "address": "127.0.0.1:1",
        "data_centre": "d1",
        "slots": 64,
        "leaving": False,
        "bases": ("m",),
    }
    return EndpointRecord(endpoint=name, **{**values, **fields})


def adapter(name):
    return ModelRef("m", name)


KINDS = {
    "idempotent": (CallKind.IDEMPOTENT, False),
    "non-idempotent": (CallKind.NON_IDEMPOTENT, False),
    "resumable": (CallKind.STREAM, True),
    "unresumable": (CallKind.STREAM, False),
}


def make_route(kind="idempotent", most=2, **fields):
    call_kind, resumable = KINDS[kind]
    values = {
        "name": "r",
        "host": "h",
        "path_prefix": "/",
        "services": (WeightedService("s", 1),),
        "timeout_s": 5.0,
        "objective_s": 0.5,
    }
    return Route(
        kind=call_kind,
        resumable=resumable,
        max_attempts=most,
        **{**values, **fields},
    )
