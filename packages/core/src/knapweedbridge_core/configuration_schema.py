"""The kinds of section that a configuration may hold, with their keys."""

from knapweedbridge_core.policy import PLACEMENT_SECTION
from knapweedbridge_core.rules import WithoutKey
from knapweedbridge_core.schema import (
    Address,
    Choice,
    Digest,
    Flag,
    Key,
    Methods,
    Name,
    Number,
    Section,
    Text,
)

SECTION_KINDS: dict[str, Section] = {
    "team": Section(
        "A team that owns adapters and routes.",
        {
            "share": Key(Number(0, 1000), "1", "Weight of the team under overload."),
            "requests_per_s": Key(Number(0, 1e6), "0", "Request limit; 0: none."),
        },
    ),
    "key": Section(
        "An API key of a caller or an operator.",
        {
            "team": Key(Name(), None, "Team the key belongs to."),
            "role": Key(
                Choice("caller", "operator", "administrator"),
                "caller",
                "Access: the callers' API; also its team's configuration; everything.",
            ),
            "requests_per_s": Key(Number(0, 1e6), "0", "Limit of the key; 0: none."),
            "concurrent": Key(
                Number(0, 1e6, True), "0", "Concurrent requests; 0: no limit."
            ),
            "hash": Key(Digest(), None, "SHA-256 of the key, in hexadecimal."),
        },
    ),
    "adapter": Section(
        "An adapter of a base model.",
        {
            "team": Key(Name(), None, "Team that owns the adapter."),
            "base_model": Key(Name(), None, "Base model of the adapter."),
        },
    ),
    "version": Section(
        "A version of an adapter, titled adapter@version.",
        {"weights": Key(Text(), "", "Name in the weight store; empty: the title.")},
    ),
    "application": Section(
        "A route from an application to an adapter version.",
        {
            "team": Key(Name(), None, "Team that owns the route."),
            "model": Key(Text(), None, "adapter@version the application runs on."),
            "priority": Key(
                Choice("interactive", "normal", "batch"), "normal", "Queue priority."
            ),
            "non_idempotent": Key(Flag(), "no", "Whether a request may run only once."),
        },
    ),
    "service": Section(
        "A plain HTTP service, addressed by a path prefix.",
        {
            "path": Key(Text(), None, "Path prefix that callers use."),
            "non_idempotent": Key(Flag(), "no", "Whether a call may run only once."),
            "team": Key(Name(), None, "Team that owns the service."),
        },
    ),
    "rule": Section(
        "A rule about requests that may never be repeated. The most specific wins: "
        "one that names a service or application, then the longer path, then one "
        "that names methods, then one that names a team.",
        {
            "team": Key(
                Text(),
                "",
                "Team that owns the rule; empty: all teams, administrators only.",
            ),
            "service": Key(Text(), "", "Service it applies to; empty: all."),
            "application": Key(Text(), "", "Application it applies to; empty: all."),
            "methods": Key(Methods(), "", "Methods; empty: all but GET and HEAD."),
            "path": Key(Text(), "", "Path prefix within the service; empty: all."),
            "non_idempotent": Key(
                Flag(), "", "Whether a request may run only once; empty: the target's."
            ),
            "without_key": Key(
                Choice(*WithoutKey),
                WithoutKey.RUN,
                "Action for a non-idempotent request without an idempotency key.",
            ),
        },
    ),
    "endpoint": Section(
        "A model engine or an instance of a plain service.",
        {
            "kind": Key(Choice("engine", "service"), "engine", "Kind of endpoint."),
            "address": Key(Address(), None, "Address it listens on."),
            "data_centre": Key(Name(), None, "Data centre of the endpoint."),
            "base_model": Key(Text(), "", "Base model of an engine."),
            "service": Key(Text(), "", "Service of a plain endpoint."),
            "slots": Key(Number(1, 4096, True), "8", "Adapter slots of an engine."),
            "batch": Key(Number(1, 4096, True), "16", "Requests in one batch."),
            "checks_fencing": Key(Flag(), "no", "Whether it rejects outdated orders."),
        },
    ),
    "weight_store": Section(
        "The limits of the weight store.",
        {"loads_per_s": Key(Number(0.001, 1e4), "3", "Adapter loads per second.")},
    ),
    "placement": PLACEMENT_SECTION,
}
