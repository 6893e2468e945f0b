"""Histories of several daemon cores in one thread, in virtual time, from a seed."""

from knapweedbridge_standins.history.checker import Checker, Violation
from knapweedbridge_standins.history.engine import FakeEngine
from knapweedbridge_standins.history.store import FakeStore
from knapweedbridge_standins.history.world import Node, World

__all__ = ["Checker", "FakeEngine", "FakeStore", "Node", "Violation", "World"]
