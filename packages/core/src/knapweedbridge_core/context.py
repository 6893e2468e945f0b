"""State, dispatch and actions that the sides of one daemon's core share."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from knapweedbridge_core.actions import Action, Record, SendPeer
from knapweedbridge_core.configuration import Configuration, EndpointEntry
from knapweedbridge_core.fencing import FencingNumbers
from knapweedbridge_core.leaving import Leaving
from knapweedbridge_core.members import Members
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.suspects import SuspectTable
from knapweedbridge_core.view import View

Handler = Callable[[Any], None]
SendListener = Callable[[str, Any], None]


@dataclass(slots=True, frozen=True)
class Timing:
    """Settings of the pool and of failure detection.

    Parameters
    ----------
    silence_s : float
        Time without a message from a neighbour after which it is suspected.
    whole_deployment : bool
        Whether the pool spans all data centres or only the daemon's own.
    """

    silence_s: float = 2.0
    whole_deployment: bool = True


class Context:
    """Hold the state that the sides share, and dispatch events and actions.

    Parameters
    ----------
    host, data_centre : str
        Name of this host and the data centre that it is in.
    incarnation : int
        Number that rises with each start of the host.
    timing : Timing
        Settings of the pool and of failure detection.
    """

    def __init__(
        self, host: str, data_centre: str, incarnation: int, timing: Timing
    ) -> None:
        self.host = host
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.configuration = Configuration()
        self.members = Members(host, data_centre, timing.whole_deployment)
        self.silence_s = timing.silence_s
        self.isolated = False
        self.view = View()
        self.fencing_numbers = FencingNumbers()
        self.leaving = Leaving()
        self.suspects = SuspectTable()
        self.now_s = 0.0
        self.sender = host
        self._actions: list[Action] = []
        self._handlers: dict[type, list[Handler]] = {}
        self._send_listeners: dict[type, list[SendListener]] = {}

    def register(self, side: "Side") -> None:
        """Register the handlers of a side."""
        for kind, handler in side.handlers().items():
            self._handlers.setdefault(kind, []).append(handler)

    def handle(self, event: Any, now_s: float) -> list[Action]:
        """Handle an event and return the actions to perform."""
        self.now_s = now_s
        self._actions = []
        self.dispatch(event)
        return self._actions

    def dispatch(self, event: Any) -> None:
        """Call every handler of an event or a message, in order of registration."""
        for handler in self._handlers.get(type(event), []):
            handler(event)

    def receive(self, sender: str, message: Any) -> None:
        """Dispatch a message from a peer, or from this daemon to itself."""
        outer, self.sender = self.sender, sender
        self.dispatch(message)
        self.sender = outer

    def emit(self, action: Action) -> None:
        """Add an action for the shell to perform."""
        self._actions.append(action)

    def watch(self, kind: type, listener: SendListener) -> None:
        """Call a listener with each message of a class that this daemon sends."""
        self._send_listeners.setdefault(kind, []).append(listener)

    def send(self, host: str, message: Any) -> None:
        """Send a message to a daemon, which may be this one."""
        for listener in self._send_listeners.get(type(message), []):
            listener(host, message)
        if host == self.host:
            self.receive(self.host, message)
        else:
            self.emit(SendPeer(host, message))

    def broadcast(self, message: Any) -> None:
        """Send a message to every member that is alive."""
        for peer in self.members.peers():
            self.emit(SendPeer(peer.name, message))

    def record(self, kind: str, **fields: Any) -> None:
        """Add an event to the timeline."""
        self.emit(Record(kind, fields))

    def engines(self) -> list[EndpointEntry]:
        """Return the model engines that are not leaving."""
        return [
            entry
            for entry in self.configuration.endpoints.values()
            if entry.kind == "engine" and entry.name not in self.leaving
        ]

    def holders(self, model: AdapterVersion) -> list[str]:
        """Return the endpoints that have an adapter version loaded and may serve it."""
        return [
            name
            for name in self.view.holders(model)
            if name not in self.leaving and name in self.configuration.endpoints
        ]


class Side(ABC):
    """Handle the events and messages of one role of a daemon.

    Parameters
    ----------
    context : Context
        State shared with the other sides.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    @abstractmethod
    def handlers(self) -> dict[type, Handler]:
        """Return the handler of each class of event and message."""
