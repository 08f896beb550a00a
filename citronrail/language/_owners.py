"""Brings commands and queries to the entries that own the jobs."""

import collections.abc
import dataclasses

import trio

from citronrail import errors
from citronrail.language import _format
from citronrail.language import _forwarder
from citronrail.language import _nodes
from citronrail.language import _ports
from citronrail.language import _shard_commands
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import ranges
from citronrail import ports

_STEP = 'language.owners'
# A range without owner is taken over within about 7 s (lease and margin).
RETRY_S = 0.25
# One try; a lost reply is asked for again with the same command id.
TRY_S = 3.0
ALL_RANGES = frozenset(
    identifiers.RangeId(number) for number in range(ranges.RANGE_COUNT)
)
Local = collections.abc.Callable[
    [], collections.abc.Awaitable[messages.CommandReply]
]


@dataclasses.dataclass
class _Tries:
    """What is known of a command after some tries.

    ``unresolved`` names the entries that may have carried it out.
    """

    unresolved: set[identifiers.NodeId] = dataclasses.field(
        default_factory=set
    )
    problem: str = ''


class Owners:
    """Finds the owners of ranges and asks them.

    :param hub: connections to the peers.
    :param forwarder: asks other entries.
    :param directory: tells which entry owns which range.
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

    async def at_owner(
        self,
        range_id: identifiers.RangeId,
        command: _nodes.JobCommand,
        command_id: identifiers.CommandId,
        deadline: float,
        local: Local,
    ) -> messages.CommandReply:
        """Carry out a command at the owner of one range.

        Tries again, with the same command id, while the range changes its
        owner or replies are lost.

        :param range_id: the range of the job.
        :param command: the command.
        :param command_id: identity of the command.
        :param deadline: local time at which to give up.
        :param local: carries it out here, if this entry is the owner.
        :returns: the owner's reply, or the outcome at the deadline.
        """
        tries = _Tries(problem=f'range {range_id} has no owner at present')
        while trio.current_time() < deadline:
            owner = self._directory.owner_of(range_id)
            reply = None
            if owner is not None:
                reply = await self._try(
                    owner, command, command_id, deadline, local, tries
                )
            if reply is not None and (
                reply.outcome is outcomes.Outcome.DONE
                or _is_final(reply, owner, tries)
            ):
                return reply
            await trio.sleep(
                max(0.0, min(RETRY_S, deadline - trio.current_time()))
            )
        return _at_deadline(command_id, tries)

    async def at_all(
        self,
        command: _nodes.Cancel,
        command_id: identifiers.CommandId,
        deadline: float,
        local: Local,
    ) -> messages.CommandReply:
        """Carry out a command at the owners of all ranges.

        :param command: the command.
        :param command_id: identity of the command.
        :param deadline: local time at which to give up.
        :param local: carries it out on what this entry owns.
        :returns: ``done`` once every range is covered; ``unknown`` if some
            are not but others are, or may be.
        """
        tries = _Tries(problem='some ranges have no owner at present')
        missing = set(ALL_RANGES)
        counts: dict[identifiers.NodeId, int] = {}
        while missing and trio.current_time() < deadline:
            replies = await self._ask_owners(
                missing, command, command_id, deadline, local, tries
            )
            for owner, reply in replies.items():
                if reply.outcome is outcomes.Outcome.DONE:
                    counts[owner] = max(counts.get(owner, 0), reply.count)
                    missing -= set(reply.ranges)
                elif not counts and _is_final(reply, owner, tries):
                    return reply
                else:
                    tries.problem = reply.message
            if missing:
                await trio.sleep(
                    max(0.0, min(RETRY_S, deadline - trio.current_time()))
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
            return _at_deadline(command_id, tries)
        numbers = ', '.join(str(number) for number in sorted(missing))
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.UNKNOWN,
            f'{total} tasks cancelled so far; ranges '
            f'{numbers} are not confirmed ({tries.problem}); repeat the '
            f'command with the same id',
            count=total,
        )

    async def gather(
        self,
        show: _nodes.Show,
        command_id: identifiers.CommandId,
        deadline: float,
        local: Local,
    ) -> tuple[tuple[messages.CommandReply, ...], str]:
        """Ask every entry that has rows of a query.

        :param show: the query.
        :param command_id: identity of the query.
        :param deadline: local time at which to give up.
        :param local: answers it from what this entry has.
        :returns: the replies, and a note on what is missing, or ''.
        """
        tries = _Tries()
        asked = self._entries_with(show.table)
        replies = await self._ask_each(
            asked, show, command_id, deadline, local, tries
        )
        silent = sorted(set(asked) - set(replies))
        notes = [f'no answer of {", ".join(silent)}'] if silent else []
        notes += [
            f'{owner}: {reply.message}'
            for owner, reply in sorted(replies.items())
            if reply.outcome is not outcomes.Outcome.DONE
        ]
        if show.table in _IN_SHARDS:
            covered = {n for reply in replies.values() for n in reply.ranges}
            missing = sorted(ALL_RANGES - covered)
            if missing:
                numbers = ', '.join(str(number) for number in missing)
                notes.append(f'jobs of ranges {numbers} are missing')
        return tuple(replies.values()), '; '.join(notes)

    def _entries_with(
        self, table: _nodes.TableName
    ) -> tuple[identifiers.NodeId, ...]:
        if table is _nodes.TableName.REQUESTS:
            others = {peer.node_id for peer in self._hub.peers('entry')}
            return (self._hub.node_id, *sorted(others - {self._hub.node_id}))
        owners = {self._directory.owner_of(number) for number in ALL_RANGES}
        return tuple(sorted(owner for owner in owners if owner is not None))

    async def _ask_owners(
        self,
        missing: collections.abc.Iterable[identifiers.RangeId],
        command: _nodes.Cancel,
        command_id: identifiers.CommandId,
        deadline: float,
        local: Local,
        tries: _Tries,
    ) -> dict[identifiers.NodeId, messages.CommandReply]:
        owners = {self._directory.owner_of(number) for number in missing}
        known = tuple(owner for owner in owners if owner is not None)
        return await self._ask_each(
            known, command, command_id, deadline, local, tries
        )

    async def _ask_each(
        self,
        owners: collections.abc.Iterable[identifiers.NodeId],
        command: _nodes.Cancel | _nodes.Show,
        command_id: identifiers.CommandId,
        deadline: float,
        local: Local,
        tries: _Tries,
    ) -> dict[identifiers.NodeId, messages.CommandReply]:
        replies: dict[identifiers.NodeId, messages.CommandReply] = {}

        async def ask(owner: identifiers.NodeId) -> None:
            reply = await self._try(
                owner, command, command_id, deadline, local, tries
            )
            if reply is not None:
                replies[owner] = reply

        async with trio.open_nursery() as nursery:
            for owner in owners:
                nursery.start_soon(ask, owner)
        return replies

    async def _try(
        self,
        owner: identifiers.NodeId,
        command: _nodes.JobCommand | _nodes.Show,
        command_id: identifiers.CommandId,
        deadline: float,
        local: Local,
        tries: _Tries,
    ) -> messages.CommandReply | None:
        """Ask one owner once; None if it gave no reply."""
        if owner == self._hub.node_id:
            return await self._try_here(local, command_id, deadline, tries)
        try:
            reply = await self._forwarder.ask(
                owner,
                command_id,
                _format.format(command),
                min(deadline, trio.current_time() + TRY_S),
            )
        except errors.PeerUnreachable as exc:
            tries.problem = str(exc)
            return None
        except errors.PeerTimeout as exc:
            tries.problem = str(exc)
            tries.unresolved.add(owner)
            return None
        return _note(reply, owner, tries)

    async def _try_here(
        self,
        local: Local,
        command_id: identifiers.CommandId,
        deadline: float,
        tries: _Tries,
    ) -> messages.CommandReply | None:
        here = self._hub.node_id
        with trio.move_on_at(deadline):
            try:
                return _note(await local(), here, tries)
            except (_shard_commands.NotOwner, errors.Fenced) as exc:
                tries.problem = exc.message
                return None
            except errors.CitronrailError as exc:
                reply = messages.CommandReply(
                    command_id, exc.outcome, str(exc)
                )
                return _note(reply, here, tries)
        tries.problem = 'not committed before the deadline'
        tries.unresolved.add(here)
        return None


_IN_SHARDS = frozenset({_nodes.TableName.TASKS, _nodes.TableName.JOBS})


def _note(
    reply: messages.CommandReply, owner: identifiers.NodeId, tries: _Tries
) -> messages.CommandReply | None:
    """Take note of a reply; None stands for an unknown outcome."""
    if reply.outcome is outcomes.Outcome.UNKNOWN:
        tries.unresolved.add(owner)
        tries.problem = reply.message
        return None
    return reply


def _is_final(
    reply: messages.CommandReply,
    owner: identifiers.NodeId | None,
    tries: _Tries,
) -> bool:
    """Tell whether a refusal settles the command.

    An entry keeps its refusal until the deadline, so a copy that is still on
    its way there is refused as well. A copy sent to another entry may have
    been carried out. A refusal that names no reason comes from an entry that
    doesn't own the range.
    """
    if reply.outcome is not outcomes.Outcome.NOT_RUN or not reply.message:
        return False
    return not tries.unresolved - {owner}


def _at_deadline(
    command_id: identifiers.CommandId, tries: _Tries
) -> messages.CommandReply:
    if tries.unresolved:
        names = ', '.join(sorted(tries.unresolved))
        return messages.CommandReply(
            command_id,
            outcomes.Outcome.UNKNOWN,
            f'{names} may have carried the command out: {tries.problem}; '
            f'repeat it with the same id',
        )
    return messages.CommandReply(
        command_id, outcomes.Outcome.NOT_RUN, tries.problem
    )
