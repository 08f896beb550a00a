"""Port to the other processes of citronrail."""

import collections.abc
import dataclasses
import typing

from citronrail.model import identifiers
from citronrail.model import resources


@dataclasses.dataclass(frozen=True)
class Peer:
    """A connected process, as described by its Hello."""

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId
    role: str  # 'entry' or 'agent'
    data_centre: identifiers.DataCentreName
    rack: str = ''
    capacity: resources.Resources = resources.Resources()
    address: str = ''


Handler = collections.abc.Callable[
    [Peer, typing.Any, bytes], collections.abc.Awaitable[None]
]

Listener = collections.abc.Callable[[Peer], None]


class PeerHub(typing.Protocol):
    """Connections to all peers of this process.

    One task for each peer reads its messages and awaits the handlers in the
    order of arrival, so a handler must not wait for a later message of the
    same peer.
    """

    @property
    def node_id(self) -> identifiers.NodeId:
        """Node id of this process."""
        ...

    @property
    def boot_id(self) -> identifiers.BootId:
        """Boot id of this process."""
        ...

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Call ``handler(peer, message, payload)`` for each ``kind``.

        :param kind: a registered message class.
        :param handler: awaited in the peer's own task; ``payload`` is frame
            1 or b''.
        """
        ...

    def listen(self, on_connect: Listener, on_disconnect: Listener) -> None:
        """Call functions when peers connect and disconnect.

        :param on_connect: called with the peer; called at once for peers
            that are already connected.
        :param on_disconnect: called with the peer after its last connection
            is lost.
        """
        ...

    async def send(
        self,
        peer: identifiers.NodeId,
        message: object,
        payload: bytes | None = None,
    ) -> None:
        """Queue a message on the peer's socket.

        :param peer: node id of the receiver.
        :param message: an instance of a registered message.
        :param payload: raw bytes for frame 1.
        :raises citronrail.errors.PeerUnreachable: if the message was not
            queued.
        """
        ...

    def peers(self, role: str) -> tuple[Peer, ...]:
        """Return the connected peers of a role."""
        ...

    def find_peer(self, node_id: identifiers.NodeId) -> Peer | None:
        """Return a connected peer, None if it is not connected."""
        ...

    def to_peer_clock(
        self, peer: identifiers.NodeId, deadline: float
    ) -> float:
        """Express a local deadline on the peer's clock.

        :param peer: node id of the receiver.
        :param deadline: time in seconds on this process's clock.
        :returns: a time on the peer's clock that is never later.
        :raises citronrail.errors.PeerUnreachable: if no clock reading of the
            peer's current boot is known.
        """
        ...
