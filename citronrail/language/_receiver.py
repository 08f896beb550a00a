"""Carries out commands that other entries forward to this one."""

import trio

from citronrail import errors
from citronrail.language import _facts
from citronrail.language import _nodes
from citronrail.language import _parser
from citronrail.language import _results
from citronrail.language import _shard_commands
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import language as events
from citronrail import ports

# Every other entry may have its full number of commands in progress here.
MAX_AT_ONCE = 256
_RECEIVED = tuple[ports.Peer, messages.ForwardCommand]


class Receiver:
    """Answers :class:`~citronrail.model.messages.ForwardCommand`.

    A repeated command id gives the earlier result; see
    :class:`~citronrail.language._results.Results`.

    :param hub: connections to the peers.
    :param own: carries out commands on what this entry owns.
    :param facts: gives the names known at the moment.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        own: _shard_commands.ShardCommands,
        facts: _facts.FactsSource,
    ) -> None:
        self._hub = hub
        self._own = own
        self._facts = facts
        self._results = _results.Results()
        self._sender, self._waiting = trio.open_memory_channel[_RECEIVED](
            MAX_AT_ONCE
        )
        self._in_progress = 0
        self._draining = False
        self._idle = trio.Event()
        hub.subscribe(messages.ForwardCommand, self._on_forward)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Carry out forwarded commands until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            async for peer, msg in self._waiting:
                nursery.start_soon(self._answer, peer, msg)

    async def drain(self) -> None:
        """Refuse new commands and wait for those in progress."""
        self._draining = True
        while self._in_progress:
            self._idle = trio.Event()
            await self._idle.wait()

    async def _on_forward(
        self, peer: ports.Peer, msg: messages.ForwardCommand, _payload: bytes
    ) -> None:
        observability.emit(
            events.FORWARD_RECEIVED,
            cause=msg.command_id,
            command_id=msg.command_id,
            peer=peer.node_id,
        )
        if self._draining:
            # Without a reason: the sender looks for the next owner.
            await self._refuse(peer, msg, '')
        elif self._in_progress >= MAX_AT_ONCE:
            await self._refuse(
                peer, msg, f'{self._hub.node_id} has too many commands'
            )
        else:
            self._in_progress += 1
            self._sender.send_nowait((peer, msg))

    async def _answer(
        self, peer: ports.Peer, msg: messages.ForwardCommand
    ) -> None:
        try:
            reply = await self._reply(msg)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()
        if reply.outcome is outcomes.Outcome.NOT_RUN:
            await self._refuse(peer, msg, reply.message)
        else:
            await self._send(peer, reply)

    async def _reply(
        self, msg: messages.ForwardCommand
    ) -> messages.CommandReply:
        if trio.current_time() >= msg.deadline:
            return _refusal(msg, 'it came after its deadline')
        try:
            command = _parser.parse(msg.text)
            if isinstance(command, _nodes.Show):
                return await self._own.answer(
                    command, msg.command_id, self._facts()
                )
            return await self._results.once(
                msg.command_id,
                msg.text,
                msg.deadline,
                lambda: self._carry_out(msg, command),
            )
        except (_shard_commands.NotOwner, errors.Fenced):
            return _refusal(msg, '')
        except errors.CitronrailError as exc:
            return messages.CommandReply(msg.command_id, exc.outcome, str(exc))

    async def _carry_out(
        self, msg: messages.ForwardCommand, command: _nodes.Command
    ) -> messages.CommandReply:
        match command:
            case _nodes.StartJob() | _nodes.StopJob() | _nodes.Cancel():
                pass
            case _:
                return _refusal(msg, 'only commands on jobs are forwarded')
        with trio.move_on_at(msg.deadline):
            try:
                return await self._own.carry_out(command, msg.command_id)
            except (_shard_commands.NotOwner, errors.Fenced):
                raise
            except errors.CitronrailError as exc:
                # A returned refusal is kept and meets late copies.
                return messages.CommandReply(
                    msg.command_id, exc.outcome, exc.message
                )
        return messages.CommandReply(
            msg.command_id,
            outcomes.Outcome.UNKNOWN,
            'not committed before the deadline',
        )

    async def _refuse(
        self, peer: ports.Peer, msg: messages.ForwardCommand, reason: str
    ) -> None:
        observability.emit(
            events.FORWARD_REFUSED,
            cause=msg.command_id,
            command_id=msg.command_id,
            peer=peer.node_id,
            reason=reason or 'not the owner',
        )
        await self._send(peer, _refusal(msg, reason))

    async def _send(
        self, peer: ports.Peer, reply: messages.CommandReply
    ) -> None:
        try:
            await self._hub.send(peer.node_id, reply)
        except errors.PeerUnreachable:
            # The sender asks again with the same id if it still wants it.
            return


def _refusal(
    msg: messages.ForwardCommand, reason: str
) -> messages.CommandReply:
    return messages.CommandReply(
        msg.command_id, outcomes.Outcome.NOT_RUN, reason
    )
