"""Sends commands to other entries and waits for their replies."""

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
# How often a waiting command looks whether its peer is still connected.
CHECK_PEER_S = 0.5


@dataclasses.dataclass
class _Waiter:
    answered: trio.Event = dataclasses.field(default_factory=trio.Event)
    reply: messages.CommandReply | None = None


class Forwarder:
    """Asks other entries to carry out commands.

    :param hub: connections to the peers.
    :param wall_clock: gives Unix time in seconds.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        wall_clock: collections.abc.Callable[[], float],
    ) -> None:
        self._hub = hub
        self._wall_clock = wall_clock
        self._waiters: dict[
            tuple[identifiers.NodeId, identifiers.CommandId], list[_Waiter]
        ] = collections.defaultdict(list)
        hub.subscribe(messages.CommandReply, self._on_reply)

    async def ask(
        self,
        peer: identifiers.NodeId,
        command_id: identifiers.CommandId,
        text: str,
        deadline: float,
    ) -> messages.CommandReply:
        """Have another entry carry out a command on what it owns.

        :param peer: the other entry.
        :param command_id: identity of the command, equal for its retries.
        :param text: the command in its usual form.
        :param deadline: local time after which the peer refuses it.
        :returns: the peer's reply.
        :raises citronrail.errors.PeerUnreachable: if nothing was sent.
        :raises citronrail.errors.PeerTimeout: if no reply came; the peer
            may have carried the command out.
        """
        boot_id = self._boot_of(peer)
        message = messages.ForwardCommand(
            command_id,
            text,
            self._wall_clock(),
            self._hub.to_peer_clock(peer, deadline),
        )
        waiter = _Waiter()
        key = (peer, command_id)
        self._waiters[key].append(waiter)
        try:
            observability.emit(
                events.COMMAND_FORWARDED,
                cause=command_id,
                command_id=command_id,
                peer=peer,
            )
            await self._hub.send(peer, message)
            return await self._wait(peer, boot_id, waiter, deadline)
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
            self._waiters[key].remove(waiter)
            if not self._waiters[key]:
                del self._waiters[key]

    async def _wait(
        self,
        peer: identifiers.NodeId,
        boot_id: identifiers.BootId | None,
        waiter: _Waiter,
        deadline: float,
    ) -> messages.CommandReply:
        while waiter.reply is None:
            now = trio.current_time()
            if now >= deadline:
                raise errors.PeerTimeout(
                    'no reply before the deadline', step=_STEP, peer=peer
                )
            if self._boot_of(peer) != boot_id:
                raise errors.PeerTimeout(
                    'the connection was lost', step=_STEP, peer=peer
                )
            with trio.move_on_at(min(deadline, now + CHECK_PEER_S)):
                await waiter.answered.wait()
        _metrics.FORWARDS.labels('answered').inc()
        return waiter.reply

    def _boot_of(self, peer: identifiers.NodeId) -> identifiers.BootId | None:
        for known in self._hub.peers('entry'):
            if known.node_id == peer:
                return known.boot_id
        return None

    async def _on_reply(
        self, peer: ports.Peer, reply: messages.CommandReply, _payload: bytes
    ) -> None:
        key = (peer.node_id, reply.command_id)
        for waiter in self._waiters.get(key, ()):
            waiter.reply = reply
            waiter.answered.set()
