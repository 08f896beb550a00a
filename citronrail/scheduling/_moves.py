"""Which attempts have to leave where they run, and in which order.

Batch tasks are checkpointed and go on elsewhere. A replica of a service
keeps running until another one, started elsewhere, answers.
"""

import collections.abc
import dataclasses

from citronrail.model import identifiers
from citronrail.model import settings as settings_model
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _batch
from citronrail.scheduling import _context
from citronrail.scheduling import _followup
from citronrail.scheduling import _replica_changes
from citronrail.scheduling import _shard_state

LiveState = _shard_state.LiveState
Agents = collections.abc.Mapping[identifiers.NodeId, views.AgentView]


@dataclasses.dataclass(frozen=True)
class Moves:
    """What has to leave now; see :class:`_batch.Batch`."""

    replaced: tuple[_batch.Move, ...] = ()
    ready: tuple[specs.TaskId, ...] = ()
    moves: tuple[_batch.Move, ...] = ()


class LeavingNodes:
    """Nodes from which work has to leave, and since when; in memory."""

    def __init__(self) -> None:
        self._since: dict[identifiers.NodeId, float] = {}

    def update(
        self, settings: settings_model.Settings, agents: Agents, now: float
    ) -> collections.abc.Mapping[identifiers.NodeId, tuple[str, float]]:
        """Take in the settings.

        :param settings: latest settings.
        :param agents: agents by node id.
        :param now: local time in seconds.
        :returns: reason and begin for each node that work has to leave.
        """
        leaving = {}
        for node, view in agents.items():
            if not settings.data_centre_in_service(view.data_centre):
                reason = f'data centre {view.data_centre} is taken out'
            elif node in settings.drained_workers:
                reason = 'worker is drained'
            else:
                continue
            leaving[node] = (reason, self._since.get(node, now))
        self._since = {node: since for node, (_, since) in leaving.items()}
        return leaving


def plan_moves(
    state: _shard_state.ShardState,
    agents: Agents,
    leaving: collections.abc.Mapping[identifiers.NodeId, tuple[str, float]],
    limits: _context.Limits,
    now: float,
    unix_now: float,
) -> Moves:
    """Decide what leaves now.

    :param state: the shard.
    :param agents: agents by node id.
    :param leaving: nodes to leave, from :class:`LeavingNodes`.
    :param limits: how many checkpoints are under way at once.
    :param now: local time in seconds.
    :param unix_now: Unix time in seconds.
    :returns: the moves.
    """
    replaced: list[_batch.Move] = []
    ready: list[specs.TaskId] = []
    moves: list[_batch.Move] = []
    under_way = 0
    for attempt, live in _followup.live_attempts(state):
        group = state.groups[attempt.task.owner]
        if live.state is LiveState.MOVING:
            under_way += 1
        if live.state is not LiveState.RUNNING:
            continue
        if live.replaces >= 0 and _answers(
            group, live, agents, limits, unix_now
        ):
            ready.append(attempt.task)
        if live.node not in leaving:
            continue
        reason, since = leaving[live.node]
        move = _batch.Move(attempt, live.node, reason)
        if group.service is not None:
            replaced.append(move)
        elif _may_move(group, now - since, limits):
            moves.append(move)
    replaced.extend(_outdated(state))
    room = max(0, limits.moves_a_round - under_way)
    moves.sort(key=lambda move: _order(state, move))
    return Moves(tuple(replaced), tuple(ready), tuple(moves[:room]))


def _outdated(
    state: _shard_state.ShardState,
) -> collections.abc.Iterator[_batch.Move]:
    """Iterate over replicas that don't fit their changed service."""
    for owner, group in state.groups.items():
        index = _replica_changes.outdated_replica(group)
        if index is not None:
            live = group.live[index]
            attempt = specs.AttemptId(specs.TaskId(owner, index), live.number)
            yield _batch.Move(attempt, live.node, 'the service has changed')


def _may_move(
    group: _shard_state.Group, leaving_s: float, limits: _context.Limits
) -> bool:
    """Let tasks without checkpoints finish within the grace time."""
    job = group.job
    return (
        job is None or job.checkpointable or leaving_s >= limits.drain_grace_s
    )


def _order(
    state: _shard_state.ShardState, move: _batch.Move
) -> tuple[bool, float, specs.AttemptId]:
    """Urgent work first, then what ran longest and has most to lose."""
    group = state.groups[move.attempt.task.owner]
    urgent = (
        group.job is not None and group.job.priority is specs.Priority.URGENT
    )
    live = group.live[move.attempt.task.index]
    return (not urgent, live.since, move.attempt)


def _answers(
    group: _shard_state.Group,
    live: _shard_state.Live,
    agents: Agents,
    limits: _context.Limits,
    unix_now: float,
) -> bool:
    """Tell whether a replacement serves requests, as far as is known."""
    if group.service is None:
        return True
    view = agents.get(live.node)
    # The replica that it replaces may run on the same node.
    replicas = sum(
        other.node == live.node and other.state is LiveState.RUNNING
        for other in group.live.values()
    )
    if view is not None and replicas <= sum(
        backend.service == group.service.name and not backend.leaving
        for backend in view.backends
    ):
        return True
    return unix_now - live.since >= limits.replica_ready_s


def service_targets(
    state: _shard_state.ShardState,
    settings: settings_model.Settings,
    agents: Agents,
    mine: collections.abc.Callable[[identifiers.ServiceName], bool],
) -> tuple[_batch.ServiceTarget, ...]:
    """Return how many replicas each service of a shard should have.

    A draining service keeps its replicas until they are idle.

    :param state: the shard.
    :param settings: latest settings.
    :param agents: agents by node id.
    :param mine: tells whether a service belongs to this shard.
    :returns: one target for each configured or removed service.
    """
    targets = []
    for spec in settings.services.values():
        if not mine(spec.name):
            continue
        wanted = spec.replicas
        group = state.groups.get(f'{_shard_state.SERVICE_PREFIX}{spec.name}')
        if spec.draining and (group is None or _idle(group, agents)):
            wanted = 0
        targets.append(_batch.ServiceTarget(spec, wanted))
    for group in state.groups.values():
        service = group.service
        if service is not None and service.name not in settings.services:
            targets.append(_batch.ServiceTarget(service, 0))
    return tuple(targets)


def _idle(group: _shard_state.Group, agents: Agents) -> bool:
    for live in group.live.values():
        view = agents.get(live.node)
        if view is not None and (view.load.slots_used or view.load.queued):
            return False
    return True
