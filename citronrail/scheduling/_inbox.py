"""Queue of agents' messages to a shard, and the changes that they imply."""

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

MAX_QUEUED_MESSAGES = 20_000  # the oldest are dropped; agents repeat reports
MAX_MESSAGES_PER_STEP = 500  # bounds the time one commit takes to prepare


@dataclasses.dataclass(frozen=True)
class AgentMessage:
    """A message of an agent about attempts of the shard."""

    node: identifiers.NodeId
    message: (
        messages.StartReply
        | messages.TaskReport
        | messages.TaskQueryReply
        | messages.Hello
    )


@dataclasses.dataclass(frozen=True)
class EndedAttempt:
    """The end of a live attempt, with measurements for the observers."""

    change: _attempt_changes.AttemptEnd
    node: identifiers.NodeId
    run_s: float = 0.0
    usage: resources.Resources = resources.Resources()


@dataclasses.dataclass(frozen=True)
class InboxChanges:
    """Changes and answers that follow from a number of messages.

    ``acknowledge`` holds the reports, by agent, to acknowledge once the
    changes are committed. ``unknown`` holds attempts that run on an agent but
    are not in the shard, ``unconfirmed`` live attempts that an agent did not
    list or whose start was answered inconclusively, ``stale`` attempts that
    were reported but are not live, and ``throttled`` attempts that run with a
    limited share of their processors.
    """

    started: tuple[specs.AttemptId, ...] = ()
    ended: tuple[EndedAttempt, ...] = ()
    acknowledge: tuple[tuple[identifiers.NodeId, specs.AttemptId], ...] = ()
    unknown: tuple[tuple[identifiers.NodeId, specs.AttemptId], ...] = ()
    unconfirmed: tuple[specs.AttemptId, ...] = ()
    stale: tuple[specs.AttemptId, ...] = ()
    throttled: tuple[specs.AttemptId, ...] = ()


class Inbox:
    """Messages to be processed by the next steps of the shard."""

    def __init__(self) -> None:
        self._messages: collections.deque[AgentMessage] = collections.deque(
            maxlen=MAX_QUEUED_MESSAGES
        )

    def __len__(self) -> int:
        return len(self._messages)

    def add(self, item: AgentMessage) -> None:
        """Queue a message, dropping the oldest one if the queue is full."""
        self._messages.append(item)

    def take(self) -> tuple[AgentMessage, ...]:
        """Remove and return the messages of the next step."""
        count = min(len(self._messages), MAX_MESSAGES_PER_STEP)
        return tuple(self._messages.popleft() for _ in range(count))

    def put_back(self, agent_messages: tuple[AgentMessage, ...]) -> None:
        """Return messages whose changes could not be committed."""
        self._messages.extendleft(reversed(agent_messages))


def interpret(
    state: _shard_state.ShardState, agent_messages: tuple[AgentMessage, ...]
) -> InboxChanges:
    """Derive the changes and answers that messages imply.

    :param state: the committed shard.
    :param agent_messages: messages in the order of arrival.
    :returns: the changes and answers.
    """
    interpreter = _MessageInterpreter(state)
    for item in agent_messages:
        interpreter.interpret(item)
    return InboxChanges(
        tuple(interpreter.started),
        tuple(interpreter.ended.values()),
        tuple(interpreter.acknowledge),
        tuple(interpreter.unknown),
        tuple(interpreter.unconfirmed),
        tuple(interpreter.stale),
        tuple(interpreter.throttled),
    )


class _MessageInterpreter:
    def __init__(self, state: _shard_state.ShardState) -> None:
        self._state = state
        self.started: list[specs.AttemptId] = []
        self.ended: dict[specs.AttemptId, EndedAttempt] = {}
        self.acknowledge: list[tuple[identifiers.NodeId, specs.AttemptId]] = []
        self.unknown: list[tuple[identifiers.NodeId, specs.AttemptId]] = []
        self.unconfirmed: list[specs.AttemptId] = []
        self.stale: list[specs.AttemptId] = []
        self.throttled: list[specs.AttemptId] = []

    def interpret(self, item: AgentMessage) -> None:
        """Add the changes and answers that one message implies."""
        match item.message:
            case messages.StartReply() as reply:
                self._on_start_reply(item.node, reply)
            case messages.TaskReport() as report:
                self._on_report(item.node, report)
            case messages.TaskQueryReply() as reply:
                self._on_query_reply(item.node, reply)
            case messages.Hello() as hello:
                self._on_hello(item.node, hello)

    def _find_live_on(
        self, node: identifiers.NodeId, attempt: specs.AttemptId
    ) -> _shard_state.LiveAttempt | None:
        live = _attempt_changes.find_live(self._state, attempt)
        if live is None or live.node != node:
            return None
        return live

    def _on_start_reply(
        self, node: identifiers.NodeId, reply: messages.StartReply
    ) -> None:
        live = self._find_live_on(node, reply.attempt)
        if live is None:
            return
        match reply.outcome:
            case outcomes.Outcome.DONE:
                self.started.append(reply.attempt)
            case outcomes.Outcome.NOT_RUN if not live.confirmed:
                self._add_end(
                    node,
                    reply.attempt,
                    'refused',
                    reply.reason,
                    reply.checkpoint_lost and bool(live.checkpoint),
                )
            case _:
                self.unconfirmed.append(reply.attempt)

    def _add_end(
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
        recorded = self.ended.get(attempt)
        # A query reply "absent" gives no cause, so a later start reply that
        # reports a lost checkpoint overrides it.
        refused_before = (
            recorded is not None and recorded.change.state == 'refused'
        )
        if recorded is None or (checkpoint_lost and refused_before):
            self.ended[attempt] = EndedAttempt(change, node)

    def _on_report(
        self, node: identifiers.NodeId, report: messages.TaskReport
    ) -> None:
        # Reports of attempts that aren't live are acknowledged as well: this
        # owner's state is current, so the report isn't needed any more.
        self.acknowledge.append((node, report.attempt))
        if self._find_live_on(node, report.attempt) is None:
            self.stale.append(report.attempt)
            return
        change = _attempt_changes.AttemptEnd(
            report.attempt,
            report.state,
            report.result,
            report.checkpoint,
            report.reason,
        )
        ended = EndedAttempt(change, node, report.run_s, report.usage)
        recorded = self.ended.get(report.attempt)
        if recorded is None or recorded.change.state in ('lost', 'refused'):
            self.ended[report.attempt] = ended

    def _on_query_reply(
        self, node: identifiers.NodeId, reply: messages.TaskQueryReply
    ) -> None:
        for attempt in reply.running:
            if self._find_live_on(node, attempt) is not None:
                self.started.append(attempt)
        self.throttled.extend(reply.throttled)
        for attempt in reply.absent:
            live = self._find_live_on(node, attempt)
            if live is not None:
                state = 'lost' if live.confirmed else 'refused'
                self._add_end(node, attempt, state, 'not on its host')

    def _on_hello(
        self, node: identifiers.NodeId, hello: messages.Hello
    ) -> None:
        listed = set()
        for task in hello.tasks:
            listed.add(task.attempt)
            if task.state == 'ended':
                continue
            if self._find_live_on(node, task.attempt) is None:
                self.unknown.append((node, task.attempt))
            elif task.state != 'starting':
                self.started.append(task.attempt)
        for attempt, live in _followup.live_attempts(self._state):
            if live.node == node and attempt not in listed:
                self.unconfirmed.append(attempt)
