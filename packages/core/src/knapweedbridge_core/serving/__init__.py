"""The serving layer's decisions: routing, placement, orders of owners and retries.

A daemon sends a call straight to an endpoint that it believes to hold the model. This
is safe because the endpoint itself checks the instance and version of each call, which
makes a mistake harmless.
"""

from knapweedbridge_core.serving.accounts import (
    Accounts,
    ClientAccount,
    Quota,
    QuotaUnit,
)
from knapweedbridge_core.serving.attempts import (
    AttemptEnd,
    CallProgress,
    first_byte_timeout_s,
    max_first_event_wait_s,
    may_retry,
    resumes,
)
from knapweedbridge_core.serving.backpressure import Backpressure
from knapweedbridge_core.serving.body_intake import BodyIntake, IncompleteBody
from knapweedbridge_core.serving.caller_wait import PendingRequest, UsualDeadlines
from knapweedbridge_core.serving.cluster_state import ClusterState, StoreEvent
from knapweedbridge_core.serving.crashes import CrashLedger
from knapweedbridge_core.serving.decode_turns import DecodeTurns
from knapweedbridge_core.serving.deployment import (
    BaseModel,
    CallKind,
    Deployment,
    EngineLimits,
    RequestLimits,
    Route,
    Service,
    WeightedService,
)
from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.endpoint_paths import EndpointPaths
from knapweedbridge_core.serving.endpoint_records import EndpointRecord, EndpointStart
from knapweedbridge_core.serving.engine_controller import EngineController
from knapweedbridge_core.serving.engine_orders import (
    EngineReport,
    Order,
    OrderAnswer,
    OrderKind,
)
from knapweedbridge_core.serving.engine_rates import EngineRates, LearnedRates
from knapweedbridge_core.serving.engine_speed import EngineSpeed
from knapweedbridge_core.serving.engine_updates import AddressedUpdate, EngineUpdates
from knapweedbridge_core.serving.fingerprinting import (
    fingerprint,
    refusal_publishers,
    request_digest,
)
from knapweedbridge_core.serving.fleet import Fleet
from knapweedbridge_core.serving.forwarders import Forwarders
from knapweedbridge_core.serving.incomplete_calls import LossEvidence, loss_id
from knapweedbridge_core.serving.late_admission import LateAdmission
from knapweedbridge_core.serving.load_times import LoadTimes
from knapweedbridge_core.serving.memory_budget import HeldKind, MemoryBudget
from knapweedbridge_core.serving.model_ref import ModelRef, parse_model
from knapweedbridge_core.serving.named_versions import NamedVersions, ServableVersions
from knapweedbridge_core.serving.overload import (
    Admit,
    AdmitAll,
    OverdueLast,
    OverloadPolicy,
    Reject,
    Verdict,
    Wait,
    has_spare,
)
from knapweedbridge_core.serving.ownership import (
    DaemonRecord,
    LeaseClock,
    OwnerRecord,
    claim_due_s,
    claimants,
    may_claim,
)
from knapweedbridge_core.serving.part_ledger import PartLedger
from knapweedbridge_core.serving.permits import (
    PermitBucket,
    exclude_limited,
    permit_coordinator,
)
from knapweedbridge_core.serving.placement import EnginePlacement, LeastCostPlacement
from knapweedbridge_core.serving.placement_choices import (
    LoadOn,
    NoEngine,
    PlacementRequest,
    SendTo,
    TooLate,
    WaitFor,
)
from knapweedbridge_core.serving.plain_choice import (
    PlainAsk,
    choose_counted,
    choose_plain,
    is_clearly_best,
)
from knapweedbridge_core.serving.plain_load import PlainCounter, PlainState
from knapweedbridge_core.serving.pool import is_small, ranked, relays, subscribers
from knapweedbridge_core.serving.prompt_pacing import (
    NoPacing,
    PromptPacer,
    PromptTurn,
    WindowPacing,
)
from knapweedbridge_core.serving.prompt_parts import shared_parts
from knapweedbridge_core.serving.protocols import PROTOCOL, understands
from knapweedbridge_core.serving.quota_balance import QuotaBalance, nearest_first
from knapweedbridge_core.serving.quotas import (
    QuotaBucket,
    QuotaGrant,
    QuotaPart,
    QuotaTolerance,
    coordinators,
    split,
)
from knapweedbridge_core.serving.rejection_budget import RejectionBudget
from knapweedbridge_core.serving.response_attribution import (
    Attribution,
    NamedResponses,
    OrderedResponses,
    ResponseAttribution,
)
from knapweedbridge_core.serving.retry_budget import RetryBudget
from knapweedbridge_core.serving.retry_reservations import RecordedService, RetryRecord
from knapweedbridge_core.serving.retry_window import RetryGrant
from knapweedbridge_core.serving.software_versions import SoftwareVersions
from knapweedbridge_core.serving.speed_reports import SpeedReports
from knapweedbridge_core.serving.store_age import StoreAge, SubscriberMarks
from knapweedbridge_core.serving.store_eras import (
    MAX_ERA,
    MAX_REVISION,
    era_of,
    revision_of,
    stamp,
)
from knapweedbridge_core.serving.store_outage import StoreOutage
from knapweedbridge_core.serving.stream_origins import (
    OriginQuery,
    OriginTable,
    StreamOrigin,
    VersionView,
    origin_coordinators,
)
from knapweedbridge_core.serving.succession import Succession, Takeover
from knapweedbridge_core.serving.suspect_parts import LostCall, refusal_key
from knapweedbridge_core.serving.tickets import make_tickets

__all__ = [
    "MAX_ERA",
    "MAX_REVISION",
    "Accounts",
    "Admit",
    "AdmitAll",
    "AttemptEnd",
    "Attribution",
    "Backpressure",
    "BaseModel",
    "BodyIntake",
    "NamedResponses",
    "OrderedResponses",
    "ResponseAttribution",
    "StoreEvent",
    "ClusterState",
    "CallKind",
    "CallProgress",
    "PendingRequest",
    "ClientAccount",
    "CrashLedger",
    "DaemonRecord",
    "DecodeTurns",
    "Deployment",
    "Endpoint",
    "EndpointPaths",
    "EndpointRecord",
    "EndpointStart",
    "EngineController",
    "EngineLimits",
    "EnginePlacement",
    "EngineRates",
    "EngineReport",
    "EngineSpeed",
    "EngineUpdates",
    "RequestLimits",
    "Fleet",
    "Forwarders",
    "QuotaGrant",
    "SubscriberMarks",
    "HeldKind",
    "IncompleteBody",
    "LateAdmission",
    "LearnedRates",
    "LeaseClock",
    "LoadOn",
    "LoadTimes",
    "LossEvidence",
    "LostCall",
    "MemoryBudget",
    "ModelRef",
    "NamedVersions",
    "NoEngine",
    "NoPacing",
    "Order",
    "OrderAnswer",
    "OrderKind",
    "OriginQuery",
    "OriginTable",
    "OverdueLast",
    "OverloadPolicy",
    "OwnerRecord",
    "PROTOCOL",
    "QuotaBucket",
    "PermitBucket",
    "PartLedger",
    "PlacementRequest",
    "PlainAsk",
    "PlainCounter",
    "PlainState",
    "LeastCostPlacement",
    "PromptPacer",
    "PromptTurn",
    "Quota",
    "QuotaPart",
    "QuotaBalance",
    "QuotaTolerance",
    "QuotaUnit",
    "RecordedService",
    "Reject",
    "RejectionBudget",
    "RetryBudget",
    "RetryGrant",
    "RetryRecord",
    "Route",
    "SendTo",
    "Service",
    "SoftwareVersions",
    "SpeedReports",
    "StoreAge",
    "StoreOutage",
    "StreamOrigin",
    "Succession",
    "Takeover",
    "AddressedUpdate",
    "TooLate",
    "UsualDeadlines",
    "Verdict",
    "VersionView",
    "ServableVersions",
    "Wait",
    "WaitFor",
    "WeightedService",
    "WindowPacing",
    "make_tickets",
    "request_digest",
    "choose_counted",
    "choose_plain",
    "claim_due_s",
    "claimants",
    "era_of",
    "fingerprint",
    "first_byte_timeout_s",
    "max_first_event_wait_s",
    "has_spare",
    "subscribers",
    "is_small",
    "coordinators",
    "loss_id",
    "may_claim",
    "may_retry",
    "nearest_first",
    "origin_coordinators",
    "parse_model",
    "permit_coordinator",
    "ranked",
    "refusal_publishers",
    "refusal_key",
    "relays",
    "resumes",
    "shared_parts",
    "revision_of",
    "split",
    "stamp",
    "is_clearly_best",
    "understands",
    "exclude_limited",
]
