"""Schedule of the stops and queries that an owner repeats to agents."""

import collections.abc
import dataclasses
import math

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import specs
from citronrail.scheduling import _shard_state

LiveState = _shard_state.LiveState

RESEND_INTERVAL_S = 2.0
START_REPLY_TIMEOUT_S = 1.0  # counted from start_before
AUDIT_INTERVAL_S = 120.0  # between routine queries for a running attempt
MAX_ATTEMPTS_PER_MESSAGE = 200


@dataclasses.dataclass(frozen=True)
class OutgoingMessage:
    """A message for one agent."""

    node: identifiers.NodeId
    message: messages.StopTask | messages.TaskQuery


class FollowupSchedule:
    """Times at which the stops and queries of a shard are due.

    They are kept in memory only. For a new owner all live attempts are due at
    once, since it doesn't know which messages its predecessor sent.

    :param range_id: the shard's range.
    :param fencing: token of this ownership.
    """

    def __init__(
        self,
        range_id: identifiers.RangeId,
        fencing: identifiers.FencingToken,
    ) -> None:
        self._range_id = range_id
        self._fencing = fencing
        self._query_due_at: dict[specs.AttemptId, float] = {}
        self._stop_due_at: dict[specs.AttemptId, float] = {}
        # For ``_checked_state`` no message is due before ``_next_due_at``.
        self._checked_state: _shard_state.ShardState | None = None
        self._next_due_at = 0.0

    def start_sent(
        self, attempt: specs.AttemptId, start_before: float
    ) -> None:
        """Schedule a query in case a start is not answered in time."""
        self._schedule_query(attempt, start_before + START_REPLY_TIMEOUT_S)

    def start_confirmed(self, attempt: specs.AttemptId, now: float) -> None:
        """Schedule the next routine query of an attempt that runs."""
        # Rounded up to whole seconds, so that many attempts share a query.
        self._schedule_query(attempt, float(math.ceil(now + AUDIT_INTERVAL_S)))

    def query_now(self, attempt: specs.AttemptId, now: float) -> None:
        """Make a query for an attempt due now, if none is overdue already."""
        self._schedule_query(
            attempt, min(self._query_due_at.get(attempt, now), now)
        )

    def _schedule_query(self, attempt: specs.AttemptId, at: float) -> None:
        self._query_due_at[attempt] = at
        self._next_due_at = min(self._next_due_at, at)

    def take_due(
        self, state: _shard_state.ShardState, now: float
    ) -> tuple[OutgoingMessage, ...]:
        """Return the messages to send now and schedule their repetition.

        :param state: the committed shard.
        :param now: local time in seconds.
        :returns: stops and queries, grouped by agent.
        """
        if state is self._checked_state and now < self._next_due_at:
            return ()
        stops: dict[
            tuple[identifiers.NodeId, bool, str], list[specs.AttemptId]
        ] = {}
        queries: dict[identifiers.NodeId, list[specs.AttemptId]] = {}
        known = set()
        for attempt, live in live_attempts(state):
            known.add(attempt)
            if live.state in (LiveState.STOPPING, LiveState.MOVING):
                if self._stop_due_at.get(attempt, 0.0) <= now:
                    self._stop_due_at[attempt] = now + RESEND_INTERVAL_S
                    moving = live.state is LiveState.MOVING
                    key = (live.node, moving, live.reason)
                    stops.setdefault(key, []).append(attempt)
            elif self._query_due_at.get(attempt, 0.0) <= now:
                self._query_due_at[attempt] = now + RESEND_INTERVAL_S
                queries.setdefault(live.node, []).append(attempt)
        self._query_due_at = {
            a: t for a, t in self._query_due_at.items() if a in known
        }
        self._stop_due_at = {
            a: t for a, t in self._stop_due_at.items() if a in known
        }
        times = (*self._query_due_at.values(), *self._stop_due_at.values())
        self._checked_state, self._next_due_at = (
            state,
            min(times, default=math.inf),
        )
        return tuple(self._messages(stops, queries))

    def _messages(
        self,
        stops: dict[
            tuple[identifiers.NodeId, bool, str], list[specs.AttemptId]
        ],
        queries: dict[identifiers.NodeId, list[specs.AttemptId]],
    ) -> collections.abc.Iterator[OutgoingMessage]:
        for (node, moving, reason), attempts in stops.items():
            for chunk in _chunks(attempts):
                yield OutgoingMessage(
                    node,
                    messages.StopTask(
                        chunk, self._range_id, self._fencing, moving, reason
                    ),
                )
        for node, attempts in queries.items():
            for chunk in _chunks(attempts):
                yield OutgoingMessage(
                    node,
                    messages.TaskQuery(chunk, self._range_id, self._fencing),
                )


def _chunks(
    attempts: list[specs.AttemptId],
) -> collections.abc.Iterator[tuple[specs.AttemptId, ...]]:
    for start in range(0, len(attempts), MAX_ATTEMPTS_PER_MESSAGE):
        yield tuple(attempts[start : start + MAX_ATTEMPTS_PER_MESSAGE])


def live_attempts(
    state: _shard_state.ShardState,
) -> collections.abc.Iterator[
    tuple[specs.AttemptId, _shard_state.LiveAttempt]
]:
    """Iterate over all live attempts of a shard."""
    for owner, group in state.groups.items():
        for index, live in group.live.items():
            yield (
                specs.AttemptId(specs.TaskId(owner, index), live.number),
                live,
            )
