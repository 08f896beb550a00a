"""Sends the messages that result from a committed change of a shard."""

import collections.abc
import dataclasses

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _context
from citronrail.scheduling import _followup
from citronrail.scheduling import _inbox
from citronrail.scheduling import _metrics
from citronrail.scheduling import _ownership
from citronrail.scheduling import _pending
from citronrail.scheduling import _policies
from citronrail.scheduling import _shard_state

SEND_TIMEOUT_S = 1.0  # for all messages of one step to an agent


@dataclasses.dataclass(frozen=True)
class ReservedStart:
    """An attempt whose resources are reserved before its commit."""

    attempt: specs.AttemptId
    node: identifiers.NodeId
    amount: resources.Resources


class Dispatcher:
    """Sends starts, stops, queries and acknowledgements of one shard.

    :param owned: this process's ownership of the range.
    :param context: dependencies shared by all shards.
    :param followup: schedule of repeated stops and queries.
    """

    def __init__(
        self,
        owned: _ownership.Ownership,
        context: _context.Context,
        followup: _followup.FollowupSchedule,
    ) -> None:
        self._owned = owned
        self._context = context
        self._followup = followup

    def reserve(
        self,
        state: _shard_state.ShardState,
        assignments: tuple[_attempt_changes.Assignment, ...],
    ) -> tuple[ReservedStart, ...]:
        """Reserve resources so that other shards don't assign them.

        :param state: the shard before the change.
        :param assignments: tasks about to be assigned.
        :returns: the reserved starts.
        """
        now = trio.current_time()
        reserved_starts = []
        for item in assignments:
            group = state.groups[item.task.owner]
            waiting = group.waiting.get(item.task.index)
            number = waiting.number + 1 if waiting else 1
            amount = _pending.reservation(
                group, self._context.policies.estimator
            )
            attempt = specs.AttemptId(item.task, number)
            self._context.reservations.add(
                item.node, attempt, amount, group.team, now
            )
            reserved_starts.append(ReservedStart(attempt, item.node, amount))
        return tuple(reserved_starts)

    def release_reserved(self, reserved: tuple[ReservedStart, ...]) -> None:
        """Release the resources of starts that were not committed or sent."""
        for item in reserved:
            self._context.reservations.release(item.node, item.attempt)

    def record_started(
        self,
        attempt: specs.AttemptId,
        live: _shard_state.LiveAttempt,
        before: _shard_state.ShardState,
    ) -> None:
        """Record that an agent confirmed a start."""
        now = trio.current_time()
        self._context.reservations.confirm(live.node, attempt, now)
        self._followup.start_confirmed(attempt, now)
        live_before = _attempt_changes.find_live(before, attempt)
        if live_before is not None and not live_before.confirmed:
            _metrics.START_DELAY_SECONDS.observe(
                max(0.0, self._context.wall_clock() - live_before.since)
            )
            observability.emit(
                catalogue.ATTEMPT_STARTED, attempt=attempt, node=live.node
            )

    def record_ended(
        self, item: _inbox.EndedAttempt, before: _shard_state.ShardState
    ) -> None:
        """Record that an attempt ended or was refused."""
        now = trio.current_time()
        change = item.change
        self._context.reservations.release(item.node, change.attempt)
        _metrics.ATTEMPTS_ENDED.labels(change.state).inc()
        if change.checkpoint_lost:
            observability.emit(
                catalogue.CHECKPOINT_LOST,
                attempt=change.attempt,
                node=item.node,
            )
            return
        if change.state == 'refused':
            self._context.reservations.start_cooldown(item.node, now)
            observability.emit(
                catalogue.ATTEMPT_REFUSED,
                attempt=change.attempt,
                node=item.node,
                reason=change.reason,
            )
            return
        observability.emit(
            catalogue.ATTEMPT_ENDED,
            attempt=change.attempt,
            node=item.node,
            state=change.state,
            reason=change.reason,
        )
        live = _attempt_changes.find_live(before, change.attempt)
        group = before.groups.get(change.attempt.task.owner)
        if live is None or group is None:
            return
        spec = _pending.task_spec(group, live, group.resources)
        for observer in self._context.policies.observers:
            observer.observe_end(
                spec, change.state, item.run_s, item.usage, now
            )

    async def send_all(
        self,
        state: _shard_state.ShardState,
        reserved: tuple[ReservedStart, ...],
        inbox_changes: _inbox.InboxChanges,
        throttles: tuple[_policies.Throttle, ...],
    ) -> list[_attempt_changes.AttemptEnd]:
        """Send all messages that result from a committed change.

        :param state: the committed shard.
        :param reserved: attempts whose assignment was part of the change.
        :param inbox_changes: changes and answers derived from messages.
        :param throttles: processor limits of running attempts.
        :returns: ends of the attempts whose start was certainly not sent.
        """
        outgoing: dict[identifiers.NodeId, list[object]] = {}
        unsent = self._collect_starts(state, reserved, outgoing)
        if self._owned.deadline > trio.current_time():
            self._collect_answers(inbox_changes, outgoing)
            for item in self._followup.take_due(state, trio.current_time()):
                outgoing.setdefault(item.node, []).append(item.message)
            self._collect_throttles(state, throttles, outgoing)
        async with trio.open_nursery() as nursery:
            for node, batch in outgoing.items():
                nursery.start_soon(self._send, node, batch, unsent)
        self._release_unsent(reserved, unsent)
        return unsent

    def _release_unsent(
        self,
        reserved: tuple[ReservedStart, ...],
        unsent: list[_attempt_changes.AttemptEnd],
    ) -> None:
        """Release the resources of starts that were not sent."""
        attempts = {end.attempt for end in unsent}
        for item in reserved:
            if item.attempt in attempts:
                self.release_reserved((item,))
                self._context.reservations.start_cooldown(
                    item.node, trio.current_time()
                )

    def _collect_starts(
        self,
        state: _shard_state.ShardState,
        reserved: tuple[ReservedStart, ...],
        outgoing: dict[identifiers.NodeId, list[object]],
    ) -> list[_attempt_changes.AttemptEnd]:
        now = trio.current_time()
        start_before = min(
            now + self._context.limits.start_window_s,
            self._owned.deadline,
            self._context.settings_fresh_until(),
        )
        unsent: list[_attempt_changes.AttemptEnd] = []
        for item in reserved:
            live = _attempt_changes.find_live(state, item.attempt)
            if live is None or live.node != item.node:
                self.release_reserved((item,))  # cancelled meanwhile
                continue
            self._followup.start_sent(item.attempt, start_before)
            if live.state is not _shard_state.LiveState.ASSIGNED:
                unsent.append(_refused_end(item, 'stopped before it was sent'))
                continue
            start = self._start_message(state, item, live, start_before)
            if start is None or start_before <= now:
                unsent.append(_refused_end(item, 'agent can not be reached'))
                continue
            self._context.policies.health.started(item.node, item.attempt, now)
            outgoing.setdefault(item.node, []).append(start)
        return unsent

    def _start_message(
        self,
        state: _shard_state.ShardState,
        item: ReservedStart,
        live: _shard_state.LiveAttempt,
        start_before: float,
    ) -> messages.StartTask | None:
        try:
            deadline = self._context.hub.to_peer_clock(item.node, start_before)
        except errors.PeerUnreachable:
            return None
        group = state.groups[item.attempt.task.owner]
        return messages.StartTask(
            item.attempt,
            self._owned.range_id,
            self._owned.fencing,
            _pending.task_spec(group, live, item.amount),
            self._context.settings.settings.version,
            deadline,
        )

    def _collect_answers(
        self,
        inbox_changes: _inbox.InboxChanges,
        outgoing: dict[identifiers.NodeId, list[object]],
    ) -> None:
        acks: dict[identifiers.NodeId, list[specs.AttemptId]] = {}
        for node, attempt in inbox_changes.acknowledge:
            acks.setdefault(node, []).append(attempt)
        for node, attempts in acks.items():
            outgoing.setdefault(node, []).append(
                messages.TaskReportAck(tuple(attempts))
            )
        for node, attempt in inbox_changes.unknown:
            observability.emit(
                catalogue.UNKNOWN_ATTEMPT, attempt=attempt, node=node
            )
            outgoing.setdefault(node, []).append(
                messages.StopTask(
                    (attempt,),
                    self._owned.range_id,
                    self._owned.fencing,
                    reason='not known to the owner of the job',
                )
            )

    def _collect_throttles(
        self,
        state: _shard_state.ShardState,
        throttles: tuple[_policies.Throttle, ...],
        outgoing: dict[identifiers.NodeId, list[object]],
    ) -> None:
        for item in throttles:
            live = _attempt_changes.find_live(state, item.attempt)
            if live is not None:
                outgoing.setdefault(live.node, []).append(
                    messages.ThrottleTask(
                        item.attempt,
                        self._owned.range_id,
                        self._owned.fencing,
                        item.share,
                    )
                )

    async def _send(
        self,
        node: identifiers.NodeId,
        batch: list[object],
        unsent: list[_attempt_changes.AttemptEnd],
    ) -> None:
        """Send an agent its messages in order.

        A start that is interrupted by the timeout may have been sent; it is
        followed by a query like a start whose reply is missing.
        """
        with trio.move_on_after(SEND_TIMEOUT_S):
            for message in batch:
                try:
                    await self._context.hub.send(node, message)
                except errors.PeerUnreachable:
                    unsent.extend(_unsent_ends(message, node))
                    continue
                if isinstance(message, messages.StartTask):
                    observability.emit(
                        catalogue.ATTEMPT_SENT,
                        attempt=message.attempt,
                        node=node,
                    )


def _refused_end(
    item: ReservedStart, reason: str
) -> _attempt_changes.AttemptEnd:
    return _attempt_changes.AttemptEnd(item.attempt, 'refused', reason=reason)


def _unsent_ends(
    message: object, node: identifiers.NodeId
) -> collections.abc.Iterator[_attempt_changes.AttemptEnd]:
    if isinstance(message, messages.StartTask):
        yield _attempt_changes.AttemptEnd(
            message.attempt, 'refused', reason=f'{node} is not connected'
        )
