"""Executes commands that other entries forward to this one."""

import trio

from citronrail import errors
from citronrail.language import _local_executor
from citronrail.language import _nodes
from citronrail.language import _parser
from citronrail.language import _result_cache
from citronrail.language import _validation
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import language as events
from citronrail import ports

# Leaves room for every other entry to have its maximum number of commands in
# progress here.
MAX_CONCURRENT_COMMANDS = 256
_Received = tuple[ports.Peer, messages.ForwardCommand]


class ForwardedCommandReceiver:
    """Handles :class:`~citronrail.model.messages.ForwardCommand` messages.

    A repeated command id returns the cached result; see
    :class:`~citronrail.language._result_cache.ResultCache`.

    :param hub: connections to the peers.
    :param executor: executes commands on the ranges that this entry owns.
    :param get_context: returns the current validation context.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        executor: _local_executor.LocalExecutor,
        get_context: _validation.ContextSource,
    ) -> None:
        self._hub = hub
        self._executor = executor
        self._get_context = get_context
        self._result_cache = _result_cache.ResultCache()
        self._sender, self._incoming = trio.open_memory_channel[_Received](
            MAX_CONCURRENT_COMMANDS
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
        """Execute forwarded commands until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            async for peer, msg in self._incoming:
                nursery.start_soon(self._handle, peer, msg)

    async def drain(self) -> None:
        """Refuse new commands and wait until those in progress have ended."""
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
            # An empty reason makes the sender look for the next owner.
            await self._send_refusal(peer, msg, '')
        elif self._in_progress >= MAX_CONCURRENT_COMMANDS:
            await self._send_refusal(
                peer,
                msg,
                f'{self._hub.node_id} has too many commands',
            )
        else:
            self._in_progress += 1
            self._sender.send_nowait((peer, msg))

    async def _handle(
        self, peer: ports.Peer, msg: messages.ForwardCommand
    ) -> None:
        try:
            reply = await self._make_reply(msg)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()
        if reply.outcome is outcomes.Outcome.NOT_RUN:
            await self._send_refusal(peer, msg, reply.message)
        else:
            await self._send(peer, reply)

    async def _make_reply(
        self, msg: messages.ForwardCommand
    ) -> messages.CommandReply:
        if trio.current_time() >= msg.deadline:
            return _refusal(msg, 'it came after its deadline')
        try:
            command = _parser.parse(msg.text)
            if isinstance(command, _nodes.Show):
                return await self._executor.run_query(
                    command, msg.command_id, self._get_context()
                )
            return await self._result_cache.run_once(
                msg.command_id,
                msg.text,
                msg.deadline,
                lambda: self._execute(msg, command),
            )
        except (_local_executor.NotOwner, errors.Fenced):
            return _refusal(msg, '')
        except errors.CitronrailError as exc:
            return messages.CommandReply(msg.command_id, exc.outcome, str(exc))

    async def _execute(
        self, msg: messages.ForwardCommand, command: _nodes.Command
    ) -> messages.CommandReply:
        match command:
            case _nodes.StartJob() | _nodes.StopJob() | _nodes.Cancel():
                pass
            case _:
                return _refusal(msg, 'only commands on jobs are forwarded')
        with trio.move_on_at(msg.deadline):
            try:
                return await self._executor.run_command(
                    command, msg.command_id
                )
            except (_local_executor.NotOwner, errors.Fenced):
                raise
            except errors.CitronrailError as exc:
                # Returning the refusal caches it, so that it also applies to
                # late duplicates.
                return messages.CommandReply(
                    msg.command_id, exc.outcome, exc.message
                )
        return messages.CommandReply(
            msg.command_id,
            outcomes.Outcome.UNKNOWN,
            'not committed before the deadline',
        )

    async def _send_refusal(
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
            # The sender retries with the same id if it still needs the reply.
            return


def _refusal(
    msg: messages.ForwardCommand, reason: str
) -> messages.CommandReply:
    return messages.CommandReply(
        msg.command_id, outcomes.Outcome.NOT_RUN, reason
    )
