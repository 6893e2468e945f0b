"""Recorded histories of whole runs and the rules that they must keep."""

from knapweedbridge_standins.runs.history import History, read_history
from knapweedbridge_standins.runs.records import (
    Accepted,
    Answer,
    EngineStarted,
    EvictedWhileRunning,
    Fault,
    GenerationSeen,
    Leaving,
    OrderSeen,
    Outcome,
    Record,
    RequestEnded,
    RunSeen,
    Stopped,
)
from knapweedbridge_standins.runs.rules import RULES, Rule, Violation, check

__all__ = [
    "RULES",
    "Accepted",
    "Answer",
    "EngineStarted",
    "EvictedWhileRunning",
    "Fault",
    "GenerationSeen",
    "History",
    "Leaving",
    "OrderSeen",
    "Outcome",
    "Record",
    "RequestEnded",
    "Rule",
    "RunSeen",
    "Stopped",
    "Violation",
    "check",
    "read_history",
]
