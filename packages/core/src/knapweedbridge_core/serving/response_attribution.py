"""Decides which request of a connection a response belongs to.

A server may send a response a second time, late, where the response to a later request
on the connection is expected. What a response states holds for a request only if it
cannot belong to another one.
"""

from abc import ABC, abstractmethod
from enum import Enum

MAX_REQUESTS = 128
"""Most requests of one connection, which bounds the ids that are remembered."""


class Attribution(Enum):
    """Request that a response belongs to.

    ``CURRENT``: the latest request, and no other.
    ``OTHER``: another request; the response to the latest one may follow.
    ``UNKNOWN``: the latest request or an earlier one.
    """

    CURRENT = "current"
    OTHER = "other"
    UNKNOWN = "unknown"


class ResponseAttribution(ABC):
    """Attributes the responses on one connection to its requests."""

    @property
    @abstractmethod
    def is_exhausted(self) -> bool:
        """Whether the connection must not carry another request."""

    @abstractmethod
    def may_carry(self, request_id: str) -> bool:
        """Return whether responses to one more request can be attributed to it.

        Parameters
        ----------
        request_id : str
            Id that its response names; empty if it names none.
        """

    @abstractmethod
    def record_request(self, request_id: str) -> None:
        """Record that a request is written."""

    @abstractmethod
    def attribute(self, named_id: str | None) -> Attribution:
        """Return which request a response belongs to.

        Parameters
        ----------
        named_id : str or None
            Request id that the response names.
        """


class OrderedResponses(ResponseAttribution):
    """Attribution for servers that respond to each request once and in order."""

    is_exhausted = False

    def may_carry(self, request_id: str) -> bool:
        """See `ResponseAttribution.may_carry`."""
        return True

    def record_request(self, request_id: str) -> None:
        """See `ResponseAttribution.record_request`."""

    def attribute(self, named_id: str | None) -> Attribution:
        """See `ResponseAttribution.attribute`."""
        return Attribution.CURRENT


class NamedResponses(ResponseAttribution):
    """Attribution for servers that may send responses twice.

    A response belongs to the current request if it names its id and no earlier request
    on the connection had that id, or if there was no earlier request. A request
    without an id therefore needs a connection of its own.
    """

    __slots__ = ("_carried_ids", "_current_id")

    def __init__(self) -> None:
        self._carried_ids: set[str] = set()
        self._current_id = ""

    @property
    def is_exhausted(self) -> bool:
        """See `ResponseAttribution.is_exhausted`."""
        return "" in self._carried_ids or len(self._carried_ids) >= MAX_REQUESTS

    def may_carry(self, request_id: str) -> bool:
        """See `ResponseAttribution.may_carry`."""
        if not self._carried_ids:
            return True
        if self.is_exhausted or not request_id:
            return False
        return request_id not in self._carried_ids

    def record_request(self, request_id: str) -> None:
        """See `ResponseAttribution.record_request`."""
        self._carried_ids.add(request_id)
        self._current_id = request_id

    def attribute(self, named_id: str | None) -> Attribution:
        """See `ResponseAttribution.attribute`."""
        if not named_id or not self._current_id:
            is_only = len(self._carried_ids) == 1
            return Attribution.CURRENT if is_only else Attribution.UNKNOWN
        if named_id == self._current_id:
            return Attribution.CURRENT
        return Attribution.OTHER
