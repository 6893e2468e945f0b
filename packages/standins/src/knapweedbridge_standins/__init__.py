"""Stand-ins for the outside systems, for tests, measurements and the quick start."""

from knapweedbridge_standins.engine import EngineStandIn
from knapweedbridge_standins.key_value import KeyValueStandIn
from knapweedbridge_standins.oracle import answer
from knapweedbridge_standins.plain import PlainStandIn
from knapweedbridge_standins.platform import HostListStandIn, WeightStoreStandIn

__all__ = [
    "EngineStandIn",
    "HostListStandIn",
    "KeyValueStandIn",
    "PlainStandIn",
    "WeightStoreStandIn",
    "answer",
]
