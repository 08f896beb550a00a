"""Sending what a committed change of a shard allows."""

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

SEND_TIMEOUT_S = 1.0  # a peer that takes nothing for so long is left out


@dataclasses.dataclass(frozen=True)
class Reserved:
    """An attempt for which resources were set aside before the commit."""

    attempt: specs.AttemptId
    node: identifiers.NodeId
    amount: resources.Resources


class Dispatch:
    """Sends starts, stops, queries and acknowledgements of one shard.

    :param owned: the range that this process owns.
    :param context: what shards share.
    :param followup: notes what has to be asked for later.
    """

    def __init__(
        self,
        owned: _ownership.Ownership,
        context: _context.Context,
        followup: _followup.Followup,
    ) -> None:
        self._owned = owned
        self._context = context
        self._followup = followup

    def reserve(
        self,
        state: _shard_state.ShardState,
        assignments: tuple[_attempt_changes.Assignment, ...],
    ) -> tuple[Reserved, ...]:
        """Set resources aside so that no other shard gives them out.

        :param state: the shard before the change.
        :param assignments: tasks about to be assigned.
        :returns: what was set aside.
        """
        now = trio.current_time()
        made = []
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
            made.append(Reserved(attempt, item.node, amount))
        return tuple(made)

    def unreserve(self, reserved: tuple[Reserved, ...]) -> None:
        """Give resources back."""
        for item in reserved:
            self._context.reservations.release(item.node, item.attempt)

    def note_started(
        self,
        attempt: specs.AttemptId,
        live: _shard_state.Live,
        before: _shard_state.ShardState,
    ) -> None:
        """Take in that an agent confirmed a start."""
        now = trio.current_time()
        self._context.reservations.confirm(live.node, attempt, now)
        self._followup.started(attempt, now)
        known = _attempt_changes.find_live(before, attempt)
        if known is not None and not known.confirmed:
            _metrics.START_DELAY_SECONDS.observe(
                max(0.0, self._context.wall_clock() - known.since)
            )
            observability.emit(
                catalogue.ATTEMPT_STARTED, attempt=attempt, node=live.node
            )

    def note_ended(
        self, item: _inbox.Ended, before: _shard_state.ShardState
    ) -> None:
        """Take in that an attempt ended or was refused."""
        now = trio.current_time()
        change = item.change
        self._context.reservations.release(item.node, change.attempt)
        _metrics.ATTEMPTS.labels(change.state).inc()
        if change.checkpoint_lost:
            observability.emit(
                catalogue.CHECKPOINT_LOST,
                attempt=change.attempt,
                node=item.node,
            )
            return
        if change.state == 'refused':
            self._context.reservations.cool(item.node, now)
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
        reserved: tuple[Reserved, ...],
        reading: _inbox.Reading,
        throttles: tuple[_policies.Throttle, ...],
    ) -> list[_attempt_changes.AttemptEnd]:
        """Send everything that follows from a committed change.

        :param state: the committed shard.
        :param reserved: attempts that were to be assigned.
        :param reading: messages that were taken in.
        :param throttles: limits on running attempts.
        :returns: attempts that were certainly not started.
        """
        outgoing: dict[identifiers.NodeId, list[object]] = {}
        failed = self._starts(state, reserved, outgoing)
        if self._owned.deadline > trio.current_time():
            self._answers(reading, outgoing)
            for item in self._followup.due(state, trio.current_time()):
                outgoing.setdefault(item.node, []).append(item.message)
            self._throttles(state, throttles, outgoing)
        async with trio.open_nursery() as nursery:
            for node, batch in outgoing.items():
                nursery.start_soon(self._send, node, batch, failed)
        self._give_back(reserved, failed)
        return failed

    def _give_back(
        self,
        reserved: tuple[Reserved, ...],
        failed: list[_attempt_changes.AttemptEnd],
    ) -> None:
        """Free what was set aside for starts that were not sent."""
        attempts = {end.attempt for end in failed}
        for item in reserved:
            if item.attempt in attempts:
                self.unreserve((item,))
                self._context.reservations.cool(item.node, trio.current_time())

    def _starts(
        self,
        state: _shard_state.ShardState,
        reserved: tuple[Reserved, ...],
        outgoing: dict[identifiers.NodeId, list[object]],
    ) -> list[_attempt_changes.AttemptEnd]:
        now = trio.current_time()
        start_before = min(
            now + self._context.limits.start_window_s,
            self._owned.deadline,
            self._context.settings_fresh_until(),
        )
        failed: list[_attempt_changes.AttemptEnd] = []
        for item in reserved:
            live = _attempt_changes.find_live(state, item.attempt)
            if live is None or live.node != item.node:
                self.unreserve((item,))  # cancelled meanwhile
                continue
            self._followup.sent(item.attempt, start_before)
            if live.state is not _shard_state.LiveState.ASSIGNED:
                failed.append(_not_sent(item, 'stopped before it was sent'))
                continue
            start = self._start_message(state, item, live, start_before)
            if start is None or start_before <= now:
                failed.append(_not_sent(item, 'agent can not be reached'))
                continue
            self._context.policies.health.started(item.node, item.attempt, now)
            outgoing.setdefault(item.node, []).append(start)
        return failed

    def _start_message(
        self,
        state: _shard_state.ShardState,
        item: Reserved,
        live: _shard_state.Live,
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

    def _answers(
        self,
        reading: _inbox.Reading,
        outgoing: dict[identifiers.NodeId, list[object]],
    ) -> None:
        acks: dict[identifiers.NodeId, list[specs.AttemptId]] = {}
        for node, attempt in reading.acknowledge:
            acks.setdefault(node, []).append(attempt)
        for node, attempts in acks.items():
            outgoing.setdefault(node, []).append(
                messages.TaskReportAck(tuple(attempts))
            )
        for node, attempt in reading.unknown:
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

    def _throttles(
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
        failed: list[_attempt_changes.AttemptEnd],
    ) -> None:
        """Send one agent its messages in order.

        A start that was cut off by the time limit may have been handed over;
        it is asked for later, like one whose reply is missing.
        """
        with trio.move_on_after(SEND_TIMEOUT_S):
            for message in batch:
                try:
                    await self._context.hub.send(node, message)
                except errors.PeerUnreachable:
                    failed.extend(_unsent(message, node))
                    continue
                if isinstance(message, messages.StartTask):
                    observability.emit(
                        catalogue.ATTEMPT_SENT,
                        attempt=message.attempt,
                        node=node,
                    )


def _not_sent(item: Reserved, reason: str) -> _attempt_changes.AttemptEnd:
    return _attempt_changes.AttemptEnd(item.attempt, 'refused', reason=reason)


def _unsent(
    message: object, node: identifiers.NodeId
) -> collections.abc.Iterator[_attempt_changes.AttemptEnd]:
    if isinstance(message, messages.StartTask):
        yield _attempt_changes.AttemptEnd(
            message.attempt, 'refused', reason=f'{node} is not connected'
        )
