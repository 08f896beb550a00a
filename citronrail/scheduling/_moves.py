"""Plans which attempts have to leave their workers, and in which order.

Batch tasks are checkpointed and continue on other workers. A replica of a
service keeps running until its replacement on another worker is ready.
"""

import collections.abc
import dataclasses

from citronrail.model import identifiers
from citronrail.model import settings as settings_model
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _batch
from citronrail.scheduling import _context
from citronrail.scheduling import _drain_order
from citronrail.scheduling import _followup
from citronrail.scheduling import _pending
from citronrail.scheduling import _policies
from citronrail.scheduling import _replica_changes
from citronrail.scheduling import _shard_state

LiveState = _shard_state.LiveState
Agents = collections.abc.Mapping[identifiers.NodeId, views.AgentView]


@dataclasses.dataclass(frozen=True)
class Moves:
    """Attempts that have to leave now; see :class:`_batch.Batch`."""

    replaced: tuple[_batch.Move, ...] = ()
    ready: tuple[specs.TaskId, ...] = ()
    moves: tuple[_batch.Move, ...] = ()


class LeavingNodes:
    """Drained nodes, with the time at which each drain began.

    These are drained workers and all workers of data centres out of service.
    The times are kept in memory only.
    """

    def __init__(self) -> None:
        self._since: dict[identifiers.NodeId, float] = {}

    def update(
        self, settings: settings_model.Settings, agents: Agents, now: float
    ) -> collections.abc.Mapping[identifiers.NodeId, tuple[str, float]]:
        """Update the drained nodes from the settings.

        :param settings: latest settings.
        :param agents: agents by node id.
        :param now: local time in seconds.
        :returns: reason and begin of the drain for each drained node.
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
        self._since = {
            node: drained_since for node, (_, drained_since) in leaving.items()
        }
        return leaving


def plan_moves(
    state: _shard_state.ShardState,
    agents: Agents,
    leaving: collections.abc.Mapping[identifiers.NodeId, tuple[str, float]],
    limits: _context.Limits,
    estimator: _policies.Estimator,
    now: float,
    unix_now: float,
) -> Moves:
    """Plan the moves of this round.

    :param state: the shard.
    :param agents: agents by node id.
    :param leaving: drained nodes, from :class:`LeavingNodes`.
    :param limits: limits such as the number of concurrent checkpoints.
    :param estimator: estimates run times.
    :param now: local time in seconds.
    :param unix_now: Unix time in seconds.
    :returns: the moves.
    """
    ready: dict[specs.TaskId, specs.TaskId] = {}
    planned: dict[specs.TaskId, tuple[_batch.Move, float]] = {}
    checkpoints_in_progress = 0
    for attempt, live in _followup.live_attempts(state):
        task = attempt.task
        group = state.groups[task.owner]
        if live.state is LiveState.MOVING:
            checkpoints_in_progress += 1
        if live.state is not LiveState.RUNNING:
            continue
        if live.replaces >= 0 and _is_replacement_ready(
            group, live, agents, limits, unix_now
        ):
            ready[specs.TaskId(task.owner, live.replaces)] = task
        if live.node in leaving:
            reason, drained_since = leaving[live.node]
            move = _batch.Move(attempt, live.node, reason)
            planned[task] = (move, now - drained_since)
    for move in _outdated_replicas(state):
        planned.setdefault(move.attempt.task, (move, 0.0))
    if not leaving:
        settled = unix_now - limits.replica_settled_s
        for move in _colocated_replicas(state, agents, settled):
            planned.setdefault(move.attempt.task, (move, 0.0))
    steps = _drain_order.drain_steps(
        [
            _drain_task(state, move, leaving_s, estimator, unix_now)
            for move, leaving_s in planned.values()
            if move.attempt.task not in ready
        ],
        checkpoints_in_progress,
        _drain_order.DrainSettings(limits.moves_a_round, limits.drain_grace_s),
    )
    by_action = {
        action: tuple(
            planned[step.task][0] for step in steps if step.action is action
        )
        for action in _drain_order.DrainAction
    }
    return Moves(
        by_action[_drain_order.DrainAction.REPLACE],
        tuple(ready.values()),
        (
            *by_action[_drain_order.DrainAction.STOP],
            *by_action[_drain_order.DrainAction.CHECKPOINT],
        ),
    )


def _drain_task(
    state: _shard_state.ShardState,
    move: _batch.Move,
    leaving_s: float,
    estimator: _policies.Estimator,
    unix_now: float,
) -> _drain_order.DrainTask:
    task = move.attempt.task
    group = state.groups[task.owner]
    run_s = max(0.0, unix_now - group.live[task.index].since)
    job = group.job
    if job is None:
        may_replace = _replica_changes.may_replace(group, task.index)
        return _drain_order.DrainTask(
            task,
            _drain_order.Replacement.NONE
            if may_replace
            else _drain_order.Replacement.STARTING,
        )
    return _drain_order.DrainTask(
        task,
        lost_s=run_s,
        remaining_s=max(
            0.0, _pending.expected_run_s(group, estimator) - run_s
        ),
        leaving_s=leaving_s,
        checkpointable=job.checkpointable,
        urgent=job.priority is specs.Priority.URGENT,
    )


def _outdated_replicas(
    state: _shard_state.ShardState,
) -> collections.abc.Iterator[_batch.Move]:
    """Iterate over replicas that don't match their changed service."""
    for owner, group in state.groups.items():
        index = _replica_changes.outdated_replica(group)
        if index is not None:
            live = group.live[index]
            attempt = specs.AttemptId(specs.TaskId(owner, index), live.number)
            yield _batch.Move(
                attempt,
                live.node,
                'the service has changed',
            )


def _colocated_replicas(
    state: _shard_state.ShardState, agents: Agents, settled_before: float
) -> collections.abc.Iterator[_batch.Move]:
    """Iterate over replicas that share a worker although others have room."""
    for owner, group in state.groups.items():
        if group.service is None:
            continue
        allowed_data_centres = group.data_centres
        feasible_nodes = [
            node
            for node, view in agents.items()
            if view.ready
            and not view.leaving
            and (
                not allowed_data_centres
                or view.data_centre in allowed_data_centres
            )
            and group.resources.fits_in(view.free)
        ]
        index = _replica_changes.colocated_replica(
            group, feasible_nodes, settled_before
        )
        if index is not None:
            live = group.live[index]
            attempt = specs.AttemptId(specs.TaskId(owner, index), live.number)
            yield _batch.Move(
                attempt,
                live.node,
                'another replica is there',
            )


def _is_replacement_ready(
    group: _shard_state.TaskGroup,
    live: _shard_state.LiveAttempt,
    agents: Agents,
    limits: _context.Limits,
    unix_now: float,
) -> bool:
    """Tell whether a replacement is assumed to serve requests.

    It is if its agent lists enough backend servers of the service, or after
    a time limit.
    """
    if group.service is None:
        return True
    view = agents.get(live.node)
    # The node may also run the replica that is replaced, so that a single
    # listed backend server would not be sufficient.
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
    is_owned: collections.abc.Callable[[identifiers.ServiceName], bool],
) -> tuple[_batch.ServiceTarget, ...]:
    """Return the target number of replicas of each service of a shard.

    A draining service keeps its replicas until they are idle.

    :param state: the shard.
    :param settings: latest settings.
    :param agents: agents by node id.
    :param is_owned: tells whether a service belongs to this shard.
    :returns: one target for each configured or removed service.
    """
    targets = []
    for spec in settings.services.values():
        if not is_owned(spec.name):
            continue
        replicas = spec.replicas
        group = state.groups.get(f'{_shard_state.SERVICE_PREFIX}{spec.name}')
        if spec.draining and (group is None or _idle(group, agents)):
            replicas = 0
        targets.append(_batch.ServiceTarget(spec, replicas))
    for group in state.groups.values():
        service = group.service
        if service is not None and service.name not in settings.services:
            targets.append(_batch.ServiceTarget(service, 0))
    return tuple(targets)


def _idle(group: _shard_state.TaskGroup, agents: Agents) -> bool:
    for live in group.live.values():
        view = agents.get(live.node)
        if view is not None and (view.load.slots_used or view.load.queued):
            return False
    return True
