"""What the sides of one daemon's core share."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from knapweedbridge_core.actions import Action, Record, SendPeer
from knapweedbridge_core.blame import Blame
from knapweedbridge_core.configuration import Configuration, EndpointEntry
from knapweedbridge_core.fencing import FencingNumbers
from knapweedbridge_core.leaving import Leaving
from knapweedbridge_core.members import Members
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.view import View

Handler = Callable[[Any], None]
Watcher = Callable[[str, Any], None]


@dataclass(slots=True, frozen=True)
class Timing:
    """What the settings say of the pool.

    Parameters
    ----------
    silence_s : float
        Silence of a neighbour after which it is suspected.
    whole_deployment : bool
        Whether the pool is all data centres or only the daemon's own.
    """

    silence_s: float = 2.0
    whole_deployment: bool = True


class Context:
    """State that several sides read, and the way to act.

    Parameters
    ----------
    host, data_centre : str
        Who this daemon is and where it stands.
    incarnation : int
        Number that rises with each start of the host.
    timing : Timing
        Bounds that the settings give.
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
        self.blame = Blame()
        self.now_s = 0.0
        self.sender = host
        self._actions: list[Action] = []
        self._handlers: dict[type, list[Handler]] = {}
        self._watchers: dict[type, list[Watcher]] = {}

    def take(self, side: "Side") -> None:
        """Let a side handle its events and messages."""
        for kind, handler in side.handlers().items():
            self._handlers.setdefault(kind, []).append(handler)

    def handle(self, event: Any, now_s: float) -> list[Action]:
        """Take one event at one time and return what is to be done."""
        self.now_s = now_s
        self._actions = []
        self.dispatch(event)
        return self._actions

    def dispatch(self, event: Any) -> None:
        """Hand an event or a message to the sides that take it."""
        for handler in self._handlers.get(type(event), []):
            handler(event)

    def receive(self, sender: str, message: Any) -> None:
        """Take a peer's message, or one of this daemon's own."""
        outer, self.sender = self.sender, sender
        self.dispatch(message)
        self.sender = outer

    def emit(self, action: Action) -> None:
        """Ask the shell for an action."""
        self._actions.append(action)

    def watch(self, kind: type, watcher: Watcher) -> None:
        """Let a side see the messages of a kind that this daemon sends."""
        self._watchers.setdefault(kind, []).append(watcher)

    def send(self, host: str, message: Any) -> None:
        """Send a message to a daemon, which may be this one."""
        for watcher in self._watchers.get(type(message), []):
            watcher(host, message)
        if host == self.host:
            self.receive(self.host, message)
        else:
            self.emit(SendPeer(host, message))

    def broadcast(self, message: Any) -> None:
        """Send a message to every peer with a stream."""
        for peer in self.members.peers():
            self.emit(SendPeer(peer.name, message))

    def record(self, kind: str, **fields: Any) -> None:
        """Add an event to the time line."""
        self.emit(Record(kind, fields))

    def engines(self) -> list[EndpointEntry]:
        """Return the model engines that are not leaving."""
        return [
            entry
            for entry in self.configuration.endpoints.values()
            if entry.kind == "engine" and entry.name not in self.leaving
        ]

    def holders(self, model: AdapterVersion) -> list[str]:
        """Name the endpoints that hold an adapter version and may serve it."""
        return [
            name
            for name in self.view.holders(model)
            if name not in self.leaving and name in self.configuration.endpoints
        ]


class Side(ABC):
    """One role of a daemon.

    Parameters
    ----------
    context : Context
        What it shares with the other sides.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    @abstractmethod
    def handlers(self) -> dict[type, Handler]:
        """Return the events and messages this side takes."""
