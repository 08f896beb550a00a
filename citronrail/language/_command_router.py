"""Routes commands and queries to the entries that own the job ranges."""

import collections.abc
import dataclasses

import trio

from citronrail import errors
from citronrail.language import _format
from citronrail.language import _forwarder
from citronrail.language import _local_executor
from citronrail.language import _nodes
from citronrail.language import _ports
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import ranges
from citronrail import ports

_STEP = 'language.owners'
# A range without an owner is taken over within about 7 s (lease plus margin).
RETRY_INTERVAL_S = 0.25
# Timeout of one attempt; after a lost reply the command is sent again with the
# same command id.
ATTEMPT_TIMEOUT_S = 3.0
ALL_RANGES = frozenset(
    identifiers.RangeId(number) for number in range(ranges.RANGE_COUNT)
)
RunLocally = collections.abc.Callable[
    [], collections.abc.Awaitable[messages.CommandReply]
]


@dataclasses.dataclass
class _RetryState:
    """State of a command over several attempts.

    ``unresolved`` contains the entries that may have executed the command,
    ``last_problem`` describes the last failure.
    """

    unresolved: set[identifiers.NodeId] = dataclasses.field(
        default_factory=set
    )
    last_problem: str = ''


class CommandRouter:
    """Sends commands and queries to the owners of ranges.

    :param hub: connections to the peers.
    :param forwarder: sends commands to other entries.
    :param directory: maps ranges to the entries that own them.
    """

    def __init__(
        self,
        hub: ports.PeerHub,
        forwarder: _forwarder.Forwarder,
        directory: _ports.RangeDirectory,
    ) -> None:
        self._hub = hub
        self._forwarder = forwarder
        self._directory = directory

    async def run_at_owner(
        self,
        range_id: identifiers.RangeId,
        command: _nodes.JobCommand,
        command_id: identifiers.CommandId,
        deadline: float,
        run_locally: RunLocally,
    ) -> messages.CommandReply:
        """Execute a command at the owner of one range.

        Retries with the same command id while the range changes its owner or
        replies are lost.

        :param range_id: the range of the job.
        :param command: the command.
        :param command_id: id of the command.
        :param deadline: local time at which to give up.
        :param run_locally: executes the command if this entry is the owner.
        :returns: the owner's reply, or the outcome at the deadline.
        """
        retry_state = _RetryState(
            last_problem=f'range {range_id} has no owner at present'
        )
        while trio.current_time() < deadline:
            owner = self._directory.owner_of(range_id)
            reply = None
            if owner is not None:
                reply = await self._attempt(
                    owner,
                    command,
                    command_id,
                    deadline,
                    run_locally,
                    retry_state,
                )
            if reply is not None and (
                reply.outcome is outcomes.Outcome.DONE
                or _is_final(reply, owner, retry_state)
            ):
                return reply
            await trio.sleep(
                max(0.0, min(RETRY_INTERVAL_S, deadline - trio.current_time()))
            )
        return _reply_at_deadline(command_id, retry_state)

    async def run_at_all_owners(
        self,
        command: _nodes.Cancel,
        command_id: identifiers.CommandId,
        deadline: float,
        run_locally: RunLocally,
    ) -> messages.CommandReply:
        """Execute a command at the owners of all ranges.

        :param command: the command.
        :param command_id: id of the command.
        :param deadline: local time at which to give up.
        :param run_locally: executes the command on the ranges of this entry.
        :returns: ``done`` once every range has confirmed; ``unknown`` if only
            some have confirmed or may have executed the command.
        """
        retry_state = _RetryState(
            last_problem='some ranges have no owner at present'
        )
        missing = set(ALL_RANGES)
        counts: dict[identifiers.NodeId, int] = {}
        while missing and trio.current_time() < deadline:
            replies = await self._run_at_owners(
                missing,
                command,
                command_id,
                deadline,
                run_locally,
                retry_state,
            )
            for owner, reply in replies.items():
                if reply.outcome is outcomes.Outcome.DONE:
                    counts[owner] = max(counts.get(owner, 0), reply.count)
                    missing -= set(reply.ranges)
                elif not counts and _is_final(reply, owner, retry_state):
                    return reply
                else:
                    retry_state.last_problem = reply.message
            if missing:
                await trio.sleep(
                    max(
                        0.0,
                        min(RETRY_INTERVAL_S, deadline - trio.current_time()),
                    )
                )
        total = sum(counts.values())
        if not missing:
            return messages.CommandReply(
                command_id,
                outcomes.Outcome.DONE,
                f'{total} tasks cancelled',
                count=total,
            )
        if not counts:
            return _reply_at_deadline(command_id, retry_state)
        numbers = ', '.join(str(number) for number in sorted(missing))
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.UNKNOWN,
            f'{total} tasks cancelled so far; ranges {numbers} are not '
            f'confirmed ({retry_state.last_problem}); repeat the command '
            f'with the same id',
            count=total,
        )

    async def query_entries(
        self,
        show: _nodes.Show,
        command_id: identifiers.CommandId,
        deadline: float,
        run_locally: RunLocally,
    ) -> tuple[tuple[messages.CommandReply, ...], str]:
        """Send a query to every entry that holds rows of its table.

        :param show: the query.
        :param command_id: id of the query.
        :param deadline: local time at which to give up.
        :param run_locally: evaluates the query on the rows of this entry.
        :returns: the replies, and a description of missing parts, or ''.
        """
        retry_state = _RetryState()
        targets = self._entries_holding(show.table)
        replies = await self._run_at_each(
            targets, show, command_id, deadline, run_locally, retry_state
        )
        unanswered = sorted(set(targets) - set(replies))
        notes = [f'no answer of {", ".join(unanswered)}'] if unanswered else []
        notes += [
            f'{owner}: {reply.message}'
            for owner, reply in sorted(replies.items())
            if reply.outcome is not outcomes.Outcome.DONE
        ]
        if show.table in _SHARD_TABLES:
            covered = {n for reply in replies.values() for n in reply.ranges}
            missing = sorted(ALL_RANGES - covered)
            if missing:
                numbers = ', '.join(str(number) for number in missing)
                notes.append(f'jobs of ranges {numbers} are missing')
        return tuple(replies.values()), '; '.join(notes)

    def _entries_holding(
        self, table: _nodes.TableName
    ) -> tuple[identifiers.NodeId, ...]:
        if table is _nodes.TableName.REQUESTS:
            others = {peer.node_id for peer in self._hub.peers('entry')}
            return (self._hub.node_id, *sorted(others - {self._hub.node_id}))
        owners = {self._directory.owner_of(number) for number in ALL_RANGES}
        return tuple(sorted(owner for owner in owners if owner is not None))

    async def _run_at_owners(
        self,
        missing: collections.abc.Iterable[identifiers.RangeId],
        command: _nodes.Cancel,
        command_id: identifiers.CommandId,
        deadline: float,
        run_locally: RunLocally,
        retry_state: _RetryState,
    ) -> dict[identifiers.NodeId, messages.CommandReply]:
        owners = {self._directory.owner_of(number) for number in missing}
        known = tuple(owner for owner in owners if owner is not None)
        return await self._run_at_each(
            known, command, command_id, deadline, run_locally, retry_state
        )

    async def _run_at_each(
        self,
        owners: collections.abc.Iterable[identifiers.NodeId],
        command: _nodes.Cancel | _nodes.Show,
        command_id: identifiers.CommandId,
        deadline: float,
        run_locally: RunLocally,
        retry_state: _RetryState,
    ) -> dict[identifiers.NodeId, messages.CommandReply]:
        replies: dict[identifiers.NodeId, messages.CommandReply] = {}

        async def attempt(owner: identifiers.NodeId) -> None:
            reply = await self._attempt(
                owner, command, command_id, deadline, run_locally, retry_state
            )
            if reply is not None:
                replies[owner] = reply

        async with trio.open_nursery() as nursery:
            for owner in owners:
                nursery.start_soon(attempt, owner)
        return replies

    async def _attempt(
        self,
        owner: identifiers.NodeId,
        command: _nodes.JobCommand | _nodes.Show,
        command_id: identifiers.CommandId,
        deadline: float,
        run_locally: RunLocally,
        retry_state: _RetryState,
    ) -> messages.CommandReply | None:
        """Make one attempt at one owner; None if it has no definite result."""
        if owner == self._hub.node_id:
            return await self._attempt_locally(
                run_locally, command_id, deadline, retry_state
            )
        try:
            reply = await self._forwarder.forward(
                owner,
                command_id,
                _format.format(command),
                min(deadline, trio.current_time() + ATTEMPT_TIMEOUT_S),
            )
        except errors.PeerUnreachable as exc:
            retry_state.last_problem = str(exc)
            return None
        except errors.PeerTimeout as exc:
            retry_state.last_problem = str(exc)
            retry_state.unresolved.add(owner)
            return None
        return _record_reply(reply, owner, retry_state)

    async def _attempt_locally(
        self,
        run_locally: RunLocally,
        command_id: identifiers.CommandId,
        deadline: float,
        retry_state: _RetryState,
    ) -> messages.CommandReply | None:
        own_id = self._hub.node_id
        with trio.move_on_at(deadline):
            try:
                return _record_reply(await run_locally(), own_id, retry_state)
            except (_local_executor.NotOwner, errors.Fenced) as exc:
                retry_state.last_problem = exc.message
                return None
            except errors.CitronrailError as exc:
                reply = messages.CommandReply(
                    command_id, exc.outcome, str(exc)
                )
                return _record_reply(reply, own_id, retry_state)
        retry_state.last_problem = 'not committed before the deadline'
        retry_state.unresolved.add(own_id)
        return None


_SHARD_TABLES = frozenset({_nodes.TableName.TASKS, _nodes.TableName.JOBS})


def _record_reply(
    reply: messages.CommandReply,
    owner: identifiers.NodeId,
    retry_state: _RetryState,
) -> messages.CommandReply | None:
    """Record a reply; None if its outcome is unknown."""
    if reply.outcome is outcomes.Outcome.UNKNOWN:
        retry_state.unresolved.add(owner)
        retry_state.last_problem = reply.message
        return None
    return reply


def _is_final(
    reply: messages.CommandReply,
    owner: identifiers.NodeId | None,
    retry_state: _RetryState,
) -> bool:
    """Return whether a refusal is the final result of the command.

    An entry caches its refusal until the deadline, so a duplicate still in
    transit to it is refused as well. A duplicate sent to another entry may
    have been executed. A refusal without a reason means that the entry
    doesn't own the range.
    """
    if reply.outcome is not outcomes.Outcome.NOT_RUN or not reply.message:
        return False
    return not retry_state.unresolved - {owner}


def _reply_at_deadline(
    command_id: identifiers.CommandId, retry_state: _RetryState
) -> messages.CommandReply:
    if retry_state.unresolved:
        names = ', '.join(sorted(retry_state.unresolved))
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.UNKNOWN,
            f'{names} may have carried the command out: '
            f'{retry_state.last_problem}; repeat it with the same id',
        )
    return messages.CommandReply(
        command_id, outcomes.Outcome.NOT_RUN, retry_state.last_problem
    )
