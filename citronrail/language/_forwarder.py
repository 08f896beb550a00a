"""Forwards commands to other entries and waits for their replies."""

import collections
import collections.abc
import dataclasses

import trio

from citronrail import errors
from citronrail.language import _metrics
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import language as events
from citronrail import ports

_STEP = 'language.forward'
# Interval at which a waiting command checks that its peer is still connected.
PEER_CHECK_INTERVAL_S = 0.5


@dataclasses.dataclass
class _PendingReply:
    received: trio.Event = dataclasses.field(default_factory=trio.Event)
    reply: messages.CommandReply | None = None


class Forwarder:
    """Forwards commands to other entries.

    :param hub: connections to the peers.
    :param wall_clock: returns Unix time in seconds.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        wall_clock: collections.abc.Callable[[], float],
    ) -> None:
        self._hub = hub
        self._wall_clock = wall_clock
        self._pending: dict[
            tuple[identifiers.NodeId, identifiers.CommandId],
            list[_PendingReply],
        ] = collections.defaultdict(list)
        hub.subscribe(messages.CommandReply, self._on_reply)

    async def forward(
        self,
        peer: identifiers.NodeId,
        command_id: identifiers.CommandId,
        text: str,
        deadline: float,
    ) -> messages.CommandReply:
        """Forward a command to the entry that executes it.

        :param peer: node id of the other entry.
        :param command_id: id of the command, the same for all its retries.
        :param text: the command in canonical form.
        :param deadline: local time after which the peer refuses it.
        :returns: the peer's reply.
        :raises citronrail.errors.PeerUnreachable: if nothing was sent.
        :raises citronrail.errors.PeerTimeout: if there was no reply; the
            peer may have executed the command.
        """
        boot_id = self._boot_id_of(peer)
        message = messages.ForwardCommand(
            command_id,
            text,
            self._wall_clock(),
            self._hub.to_peer_clock(peer, deadline),
        )
        pending = _PendingReply()
        key = (peer, command_id)
        self._pending[key].append(pending)
        try:
            observability.emit(
                events.COMMAND_FORWARDED,
                cause=command_id,
                command_id=command_id,
                peer=peer,
            )
            await self._hub.send(peer, message)
            return await self._wait(peer, boot_id, pending, deadline)
        except errors.CitronrailError as exc:
            _metrics.FORWARDS.labels(type(exc).__name__).inc()
            observability.emit(
                events.FORWARD_UNANSWERED,
                cause=command_id,
                command_id=command_id,
                peer=peer,
                reason=exc.message,
            )
            raise
        finally:
            self._pending[key].remove(pending)
            if not self._pending[key]:
                del self._pending[key]

    async def _wait(
        self,
        peer: identifiers.NodeId,
        boot_id: identifiers.BootId | None,
        pending: _PendingReply,
        deadline: float,
    ) -> messages.CommandReply:
        while pending.reply is None:
            now = trio.current_time()
            if now >= deadline:
                raise errors.PeerTimeout(
                    'no reply before the deadline', step=_STEP, peer=peer
                )
            if self._boot_id_of(peer) != boot_id:
                raise errors.PeerTimeout(
                    'the connection was lost', step=_STEP, peer=peer
                )
            with trio.move_on_at(min(deadline, now + PEER_CHECK_INTERVAL_S)):
                await pending.received.wait()
        _metrics.FORWARDS.labels('answered').inc()
        return pending.reply

    def _boot_id_of(
        self, peer: identifiers.NodeId
    ) -> identifiers.BootId | None:
        for connected in self._hub.peers('entry'):
            if connected.node_id == peer:
                return connected.boot_id
        return None

    async def _on_reply(
        self, peer: ports.Peer, reply: messages.CommandReply, _payload: bytes
    ) -> None:
        key = (peer.node_id, reply.command_id)
        for pending in self._pending.get(key, ()):
            pending.reply = reply
            pending.received.set()
