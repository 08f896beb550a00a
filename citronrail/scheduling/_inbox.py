"""What agents told the owner of a shard, until it is committed."""

import collections
import dataclasses

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _followup
from citronrail.scheduling import _shard_state

MAX_ITEMS = 20_000  # agents repeat reports, so the oldest may be dropped
MAX_ITEMS_A_STEP = 500  # bounds the time one commit takes to prepare


@dataclasses.dataclass(frozen=True)
class FromAgent:
    """A message of an agent about attempts of the shard."""

    node: identifiers.NodeId
    message: (
        messages.StartReply
        | messages.TaskReport
        | messages.TaskQueryReply
        | messages.Hello
    )


@dataclasses.dataclass(frozen=True)
class Ended:
    """The end of a live attempt, with what observers learn from it."""

    change: _attempt_changes.AttemptEnd
    node: identifiers.NodeId
    run_s: float = 0.0
    usage: resources.Resources = resources.Resources()


@dataclasses.dataclass(frozen=True)
class Reading:
    """What a number of messages mean for the shard.

    ``acknowledge`` names reports by agent that may be forgotten once the
    changes are committed. ``unknown`` are attempts that run on an agent but
    aren't in the shard; ``doubtful`` attempts that an agent did not list;
    ``throttled`` those that run with a share of their processors.
    """

    started: tuple[specs.AttemptId, ...] = ()
    ended: tuple[Ended, ...] = ()
    acknowledge: tuple[tuple[identifiers.NodeId, specs.AttemptId], ...] = ()
    unknown: tuple[tuple[identifiers.NodeId, specs.AttemptId], ...] = ()
    doubtful: tuple[specs.AttemptId, ...] = ()
    stale: tuple[specs.AttemptId, ...] = ()
    throttled: tuple[specs.AttemptId, ...] = ()


class Inbox:
    """Messages that wait for the next step of the shard."""

    def __init__(self) -> None:
        self._items: collections.deque[FromAgent] = collections.deque(
            maxlen=MAX_ITEMS
        )

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: FromAgent) -> None:
        """Keep a message; the oldest is dropped when there are too many."""
        self._items.append(item)

    def take(self) -> tuple[FromAgent, ...]:
        """Take out the messages of the next step."""
        count = min(len(self._items), MAX_ITEMS_A_STEP)
        return tuple(self._items.popleft() for _ in range(count))

    def put_back(self, items: tuple[FromAgent, ...]) -> None:
        """Return messages whose changes could not be committed."""
        self._items.extendleft(reversed(items))


def read(
    state: _shard_state.ShardState, items: tuple[FromAgent, ...]
) -> Reading:
    """Work out what messages mean for the shard.

    :param state: the committed shard.
    :param items: messages in the order of arrival.
    :returns: the changes and answers that follow.
    """
    reader = _Reader(state)
    for item in items:
        reader.read(item)
    return Reading(
        tuple(reader.started),
        tuple(reader.ended.values()),
        tuple(reader.acknowledge),
        tuple(reader.unknown),
        tuple(reader.doubtful),
        tuple(reader.stale),
        tuple(reader.throttled),
    )


class _Reader:
    def __init__(self, state: _shard_state.ShardState) -> None:
        self._state = state
        self.started: list[specs.AttemptId] = []
        self.ended: dict[specs.AttemptId, Ended] = {}
        self.acknowledge: list[tuple[identifiers.NodeId, specs.AttemptId]] = []
        self.unknown: list[tuple[identifiers.NodeId, specs.AttemptId]] = []
        self.doubtful: list[specs.AttemptId] = []
        self.stale: list[specs.AttemptId] = []
        self.throttled: list[specs.AttemptId] = []

    def read(self, item: FromAgent) -> None:
        """Take in one message."""
        match item.message:
            case messages.StartReply() as reply:
                self._start_reply(item.node, reply)
            case messages.TaskReport() as report:
                self._report(item.node, report)
            case messages.TaskQueryReply() as reply:
                self._query_reply(item.node, reply)
            case messages.Hello() as hello:
                self._hello(item.node, hello)

    def _live_on(
        self, node: identifiers.NodeId, attempt: specs.AttemptId
    ) -> _shard_state.Live | None:
        live = _attempt_changes.find_live(self._state, attempt)
        if live is None or live.node != node:
            return None
        return live

    def _start_reply(
        self, node: identifiers.NodeId, reply: messages.StartReply
    ) -> None:
        live = self._live_on(node, reply.attempt)
        if live is None:
            return
        match reply.outcome:
            case outcomes.Outcome.DONE:
                self.started.append(reply.attempt)
            case outcomes.Outcome.NOT_RUN if not live.confirmed:
                self._end(
                    node,
                    reply.attempt,
                    'refused',
                    reply.reason,
                    reply.checkpoint_lost and bool(live.checkpoint),
                )
            case _:
                self.doubtful.append(reply.attempt)

    def _end(
        self,
        node: identifiers.NodeId,
        attempt: specs.AttemptId,
        state: str,
        reason: str,
        checkpoint_lost: bool = False,
    ) -> None:
        change = _attempt_changes.AttemptEnd(
            attempt, state, reason=reason, checkpoint_lost=checkpoint_lost
        )
        known = self.ended.get(attempt)
        # A query answered "absent" doesn't tell why the start was refused.
        unexplained = known is not None and known.change.state == 'refused'
        if known is None or (checkpoint_lost and unexplained):
            self.ended[attempt] = Ended(change, node)

    def _report(
        self, node: identifiers.NodeId, report: messages.TaskReport
    ) -> None:
        # A report of an attempt that isn't live is acknowledged as well: the
        # owner's state is current, so nobody needs that report any more.
        self.acknowledge.append((node, report.attempt))
        if self._live_on(node, report.attempt) is None:
            self.stale.append(report.attempt)
            return
        change = _attempt_changes.AttemptEnd(
            report.attempt,
            report.state,
            report.result,
            report.checkpoint,
            report.reason,
        )
        ended = Ended(change, node, report.run_s, report.usage)
        known = self.ended.get(report.attempt)
        if known is None or known.change.state in ('lost', 'refused'):
            self.ended[report.attempt] = ended

    def _query_reply(
        self, node: identifiers.NodeId, reply: messages.TaskQueryReply
    ) -> None:
        for attempt in reply.running:
            if self._live_on(node, attempt) is not None:
                self.started.append(attempt)
        self.throttled.extend(reply.throttled)
        for attempt in reply.absent:
            live = self._live_on(node, attempt)
            if live is not None:
                state = 'lost' if live.confirmed else 'refused'
                self._end(node, attempt, state, 'not on its host')

    def _hello(self, node: identifiers.NodeId, hello: messages.Hello) -> None:
        listed = set()
        for task in hello.tasks:
            listed.add(task.attempt)
            if task.state == 'ended':
                continue
            if self._live_on(node, task.attempt) is None:
                self.unknown.append((node, task.attempt))
            elif task.state != 'starting':
                self.started.append(task.attempt)
        for attempt, live in _followup.live_attempts(self._state):
            if live.node == node and attempt not in listed:
                self.doubtful.append(attempt)
