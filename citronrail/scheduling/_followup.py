"""What an owner still has to hear about attempts, and when to ask again."""

import collections.abc
import dataclasses
import math

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import specs
from citronrail.scheduling import _shard_state

LiveState = _shard_state.LiveState

REPEAT_S = 2.0
ANSWER_S = 1.0  # time for a reply to arrive after start_before
AUDIT_S = 120.0  # how often running attempts are asked for without a reason
MAX_ATTEMPTS_A_MESSAGE = 200


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A message for one agent."""

    node: identifiers.NodeId
    message: messages.StopTask | messages.TaskQuery


class Followup:
    """Times at which stops and queries of a shard are sent; in memory.

    A new owner starts with all live attempts due, since it doesn't know what
    its predecessor sent.

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
        self._ask_at: dict[specs.AttemptId, float] = {}
        self._stop_at: dict[specs.AttemptId, float] = {}
        # Nothing is due for ``_seen`` before ``_quiet_until``.
        self._seen: _shard_state.ShardState | None = None
        self._quiet_until = 0.0

    def sent(self, attempt: specs.AttemptId, start_before: float) -> None:
        """Note a start that should be answered soon after its deadline."""
        self._ask(attempt, start_before + ANSWER_S)

    def started(self, attempt: specs.AttemptId, now: float) -> None:
        """Note that an attempt is known to run."""
        # Whole seconds, so that audits of many attempts fall due together.
        self._ask(attempt, float(math.ceil(now + AUDIT_S)))

    def doubt(self, attempt: specs.AttemptId, now: float) -> None:
        """Ask for an attempt as soon as its start can't happen any more."""
        self._ask(attempt, min(self._ask_at.get(attempt, now), now))

    def _ask(self, attempt: specs.AttemptId, at: float) -> None:
        self._ask_at[attempt] = at
        self._quiet_until = min(self._quiet_until, at)

    def due(
        self, state: _shard_state.ShardState, now: float
    ) -> tuple[Outgoing, ...]:
        """Return the messages to send now and put off the next ones.

        :param state: the committed shard.
        :param now: local time in seconds.
        :returns: one stop or query for each agent concerned.
        """
        if state is self._seen and now < self._quiet_until:
            return ()
        stops: dict[
            tuple[identifiers.NodeId, bool, str], list[specs.AttemptId]
        ] = {}
        asks: dict[identifiers.NodeId, list[specs.AttemptId]] = {}
        known = set()
        for attempt, live in live_attempts(state):
            known.add(attempt)
            if live.state in (LiveState.STOPPING, LiveState.MOVING):
                if self._stop_at.get(attempt, 0.0) <= now:
                    self._stop_at[attempt] = now + REPEAT_S
                    moving = live.state is LiveState.MOVING
                    key = (live.node, moving, live.reason)
                    stops.setdefault(key, []).append(attempt)
            elif self._ask_at.get(attempt, 0.0) <= now:
                self._ask_at[attempt] = now + REPEAT_S
                asks.setdefault(live.node, []).append(attempt)
        self._ask_at = {a: t for a, t in self._ask_at.items() if a in known}
        self._stop_at = {a: t for a, t in self._stop_at.items() if a in known}
        times = (*self._ask_at.values(), *self._stop_at.values())
        self._seen, self._quiet_until = state, min(times, default=math.inf)
        return tuple(self._messages(stops, asks))

    def _messages(
        self,
        stops: dict[
            tuple[identifiers.NodeId, bool, str], list[specs.AttemptId]
        ],
        asks: dict[identifiers.NodeId, list[specs.AttemptId]],
    ) -> collections.abc.Iterator[Outgoing]:
        for (node, moving, reason), attempts in stops.items():
            for part in _parts(attempts):
                yield Outgoing(
                    node,
                    messages.StopTask(
                        part, self._range_id, self._fencing, moving, reason
                    ),
                )
        for node, attempts in asks.items():
            for part in _parts(attempts):
                yield Outgoing(
                    node,
                    messages.TaskQuery(part, self._range_id, self._fencing),
                )


def _parts(
    attempts: list[specs.AttemptId],
) -> collections.abc.Iterator[tuple[specs.AttemptId, ...]]:
    for start in range(0, len(attempts), MAX_ATTEMPTS_A_MESSAGE):
        yield tuple(attempts[start : start + MAX_ATTEMPTS_A_MESSAGE])


def live_attempts(
    state: _shard_state.ShardState,
) -> collections.abc.Iterator[tuple[specs.AttemptId, _shard_state.Live]]:
    """Iterate over all attempts that may be running."""
    for owner, group in state.groups.items():
        for index, live in group.live.items():
            yield (
                specs.AttemptId(specs.TaskId(owner, index), live.number),
                live,
            )
