"""Pending tasks of a shard in the form that the policies take."""

import collections.abc

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _index_intervals
from citronrail.scheduling import _policies
from citronrail.scheduling import _shard_state

# A group with this many waiting tasks starts no new ones, which limits the
# size of the shard if all tasks fail.
MAX_WAITING_FOR_NEW = 500


def is_ready(entry: _shard_state.WaitingTask, now: float) -> bool:
    """Tell whether the retry delay of a task is over.

    :param entry: the task.
    :param now: Unix time in seconds.
    :returns: True also if the wall clock was set back in the meantime.
    """
    remaining_s = entry.not_before - now
    return remaining_s <= 0.0 or remaining_s > _attempt_changes.MAX_BACKOFF_S


def pending_count(state: _shard_state.ShardState) -> int:
    """Return how many tasks of a shard wait for an attempt."""
    return sum(
        _index_intervals.size(group.pending) + len(group.waiting)
        for group in state.groups.values()
    )


def ready_count(group: _shard_state.TaskGroup, now: float) -> int:
    """Return how many tasks of a group could start.

    :param group: the group.
    :param now: Unix time in seconds.
    :returns: number of tasks, at most one for an exclusive job.
    """
    if group.phase is not _shard_state.GroupPhase.ACTIVE:
        return 0
    count = sum(1 for w in group.waiting.values() if is_ready(w, now))
    if len(group.waiting) < MAX_WAITING_FOR_NEW:
        count += _index_intervals.size(group.pending)
    if group.job is not None and group.job.exclusive:
        return 0 if group.live else min(1, count)
    return count


def ready_tasks(
    group: _shard_state.TaskGroup, count: int, now: float
) -> tuple[_shard_state.WaitingTask, ...]:
    """Return the next tasks of a group, waiting ones before new ones.

    :param group: the group.
    :param count: maximum number of tasks.
    :param now: Unix time in seconds.
    :returns: the tasks; new ones have attempt number 0.
    """
    ready = [w for w in group.waiting.values() if is_ready(w, now)]
    ready.sort(key=lambda entry: entry.index)
    new_count = max(0, count - len(ready))
    if len(group.waiting) >= MAX_WAITING_FOR_NEW:
        new_count = 0
    return tuple(ready[:count]) + tuple(
        _shard_state.WaitingTask(index, 0)
        for index in _index_intervals.first_indexes(group.pending, new_count)
    )


def priority(group: _shard_state.TaskGroup) -> specs.Priority:
    """Return the priority of a group's tasks."""
    return group.job.priority if group.job else specs.Priority.NORMAL


def declared_run_s(group: _shard_state.TaskGroup) -> float:
    """Return the declared run time in seconds, infinite for replicas."""
    return group.job.declared_run_s if group.job else float('inf')


def expected_run_s(
    group: _shard_state.TaskGroup, estimator: _policies.Estimator
) -> float:
    """Return the estimated run time of a task in seconds."""
    if group.job is None:
        return float('inf')
    return estimator.run_s(
        group.team, group.work_class, group.job.declared_run_s
    )


def reservation(
    group: _shard_state.TaskGroup, estimator: _policies.Estimator
) -> resources.Resources:
    """Return the resources that one task of a group reserves."""
    return estimator.reservation(group.team, group.work_class, group.resources)


def pending_groups(
    state: _shard_state.ShardState,
    estimator: _policies.Estimator,
    now: float,
) -> tuple[_policies.PendingGroup, ...]:
    """Return the groups with tasks that could start.

    :param state: the shard.
    :param estimator: estimates size and run time.
    :param now: Unix time in seconds.
    :returns: one item for each group.
    """
    ready_groups = []
    for group in state.groups.values():
        count = ready_count(group, now)
        if not count:
            continue
        ready_groups.append(
            _policies.PendingGroup(
                owner=group.owner,
                team=group.team,
                work_class=group.work_class,
                priority=priority(group),
                resources=reservation(group, estimator),
                count=count,
                pending_since=group.submitted_at,
                expected_run_s=expected_run_s(group, estimator),
                finish_before=group.job.finish_before if group.job else None,
                service=group.service.name if group.service else None,
            )
        )
    return tuple(ready_groups)


def placement_request(
    group: _shard_state.TaskGroup,
    task: _shard_state.WaitingTask,
    pending_group: _policies.PendingGroup,
    agents: collections.abc.Mapping[identifiers.NodeId, views.AgentView],
    placed: collections.abc.Sequence[identifiers.NodeId],
) -> _policies.PlacementRequest:
    """Describe one task to the placement policy.

    :param group: its group.
    :param task: the task.
    :param pending_group: the group as passed to the quota policy.
    :param agents: agents by node id.
    :param placed: nodes chosen for this group earlier in the round.
    :returns: the request.
    """
    siblings: tuple[identifiers.NodeId, ...] = ()
    if group.service is not None:
        siblings = (*placed, *_replica_nodes(group))
    sibling_locations = tuple(
        (agents[node].data_centre, agents[node].rack)
        for node in siblings
        if node in agents
    )
    return _policies.PlacementRequest(
        task=specs.TaskId(group.owner, task.index),
        team=group.team,
        work_class=group.work_class,
        resources=pending_group.resources,
        expected_run_s=pending_group.expected_run_s,
        priority=pending_group.priority,
        service=pending_group.service,
        exclusive=group.job is not None and group.job.exclusive,
        checkpointable=group.job is not None and group.job.checkpointable,
        deadline=pending_group.finish_before,
        avoid=task.avoid,
        siblings=siblings,
        sibling_places=sibling_locations,
    )


def _replica_nodes(
    group: _shard_state.TaskGroup,
) -> tuple[identifiers.NodeId, ...]:
    stopping = _shard_state.LiveState.STOPPING
    return tuple(
        live.node for live in group.live.values() if live.state is not stopping
    )


def task_spec(
    group: _shard_state.TaskGroup,
    live: _shard_state.LiveAttempt,
    amount: resources.Resources,
) -> specs.TaskSpec:
    """Return the specification with which a worker runs an attempt.

    :param group: the group of the task.
    :param live: the attempt.
    :param amount: the resources that it reserves.
    :returns: the specification.
    """
    job = group.job
    return specs.TaskSpec(
        team=group.team,
        work_class=group.work_class,
        resources=amount,
        declared_run_s=job.declared_run_s if job else 0.0,
        priority=priority(group),
        service=group.service.name if group.service else None,
        exclusive=job is not None and job.exclusive,
        checkpointable=job is not None and job.checkpointable,
        checkpoint=live.checkpoint,
        argument=job.argument if job else '',
    )
