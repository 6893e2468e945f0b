"""Addresses of the peers' administration APIs.

Each daemon sends its own address to a peer once per link. The operators' command can
then query every host itself, which keeps that load off the daemons.
"""

from knapweedbridge_core import events, messages
from knapweedbridge_core.context import Context, Handler, Side


class OperatorSide(Side):
    """Keeps the administration address of each peer.

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
            events.PeerConnected: self._peer_connected,
            events.HostsListed: self._hosts_listed,
            messages.Introduction: self._introduced,
        }

    def _peer_connected(self, event: events.PeerConnected) -> None:
        introduction = messages.Introduction(self.administration_address)
        self._context.send(event.host, introduction)

    def _introduced(self, message: messages.Introduction) -> None:
        self.administration[self._context.sender] = message.administration

    def _hosts_listed(self, event: events.HostsListed) -> None:
        # Hosts are added and removed without end, so unlisted ones must be dropped.
        known = {member.name for member in self._context.members.known()}
        for name in self.administration.keys() - known:
            del self.administration[name]
