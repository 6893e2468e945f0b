"""The operators' side: where the peers' administration APIs are found.

Each daemon tells its peers once a link where its own listens, so that the
operators' command can ask every host itself and no daemon's loop grows.
"""

from knapweedbridge_core import events, messages
from knapweedbridge_core.context import Context, Handler, Side


class OperatorSide(Side):
    """Knows the administration address of each peer.

    Parameters
    ----------
    administration_address : str
        Address of this daemon's administration API.
    """

    def __init__(self, context: Context, administration_address: str) -> None:
        super().__init__(context)
        self.administration_address = administration_address
        self.administration: dict[str, str] = {}

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.PeerConnected: self._peer_linked,
            events.HostsListed: self._hosts_listed,
            messages.Introduction: self._introduction,
        }

    def _peer_linked(self, event: events.PeerConnected) -> None:
        introduction = messages.Introduction(self.administration_address)
        self._context.send(event.host, introduction)

    def _introduction(self, message: messages.Introduction) -> None:
        self.administration[self._context.sender] = message.administration

    def _hosts_listed(self, event: events.HostsListed) -> None:
        # Hosts come and go for ever; addresses of those gone are forgotten.
        known = {member.name for member in self._context.members.known()}
        for name in self.administration.keys() - known:
            del self.administration[name]
