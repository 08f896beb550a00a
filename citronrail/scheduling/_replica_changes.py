"""Pure functions that change the services in a job shard."""

import collections
import collections.abc

import msgspec

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _job_changes
from citronrail.scheduling import _shard_state

structs = msgspec.structs


def service_owner(service: identifiers.ServiceName) -> str:
    """Return the owner part of the task ids of a service's replicas."""
    return f'{_shard_state.SERVICE_PREFIX}{service}'


def adjust_service(
    state: _shard_state.ShardState,
    spec: specs.ServiceSpec,
    desired: int,
    now: float,
) -> _shard_state.ShardState:
    """Adjust the replicas of a service to the desired number.

    Replacements of replicas that still run are not counted.

    :param state: the shard.
    :param spec: the service as configured.
    :param desired: number of replicas; 0 for a removed service.
    :param now: Unix time in seconds.
    :returns: the changed shard, or the same one.
    """
    owner = service_owner(spec.name)
    group = state.groups.get(owner)
    if group is None:
        if desired == 0:
            return state
        group = _shard_state.TaskGroup(
            owner=owner,
            job=None,
            service=spec,
            command_id=identifiers.CommandId(''),
            submitted_at=now,
        )
    target = structs.replace(
        group,
        service=spec,
        generation=group.generation + _requires_new_replicas(group, spec),
    )
    replicas = _replicas_by_priority(target)
    next_replica = state.next_replica
    if len(replicas) < desired:
        added = range(next_replica, next_replica + desired - len(replicas))
        next_replica = added.stop
        target = _add_replicas(target, added)
    elif len(replicas) > desired:
        target = _remove_replicas(target, replicas[desired:], now)
    if not target.live and not target.waiting and desired == 0:
        groups = {k: v for k, v in state.groups.items() if k != owner}
        return structs.replace(state, groups=groups)
    if target == state.groups.get(owner):
        return state
    return structs.replace(
        _job_changes.put_group(state, target), next_replica=next_replica
    )


def _requires_new_replicas(
    group: _shard_state.TaskGroup, spec: specs.ServiceSpec
) -> bool:
    """Tell whether a changed service requires its replicas to be replaced."""
    return (group.resources, group.work_class, group.data_centres) != (
        spec.resources,
        spec.work_class,
        spec.data_centres,
    )


def outdated_replica(group: _shard_state.TaskGroup) -> int | None:
    """Return the replica to replace next after the service changed.

    Replicas are replaced one at a time: the result is None while another one
    starts, stops or is being replaced.

    :param group: group of a service.
    :returns: the index of a running replica, or None.
    """
    if not _is_stable(group):
        return None
    return min(
        (
            index
            for index, live in group.live.items()
            if live.generation != group.generation
        ),
        default=None,
    )


def colocated_replica(
    group: _shard_state.TaskGroup,
    nodes_with_capacity: collections.abc.Collection[identifiers.NodeId],
    started_before: float,
) -> int | None:
    """Return a replica to move because it shares its worker with another one.

    Replicas share a worker if no other one was known or had free resources
    when they started. They are moved one at a time, as in
    :func:`outdated_replica`.

    :param group: group of a service.
    :param nodes_with_capacity: workers with resources for one more replica.
    :param started_before: Unix time in seconds; replicas that started later
        stay, which limits how often a replica moves.
    :returns: the index of a running replica, or None.
    """
    counts = collections.Counter(live.node for live in group.live.values())
    if not _is_stable(group) or all(
        node in counts for node in nodes_with_capacity
    ):
        return None
    return max(
        (
            index
            for index, live in group.live.items()
            if counts[live.node] > 1 and live.since < started_before
        ),
        key=lambda index: (counts[group.live[index].node], index),
        default=None,
    )


def _is_stable(group: _shard_state.TaskGroup) -> bool:
    """Tell whether no replica of a service is starting, stopping or moving."""
    running = _shard_state.LiveState.RUNNING
    if group.service is None or group.service.draining or group.waiting:
        return False
    return all(
        live.state is running and live.replaces < 0
        for live in group.live.values()
    )


def _replicas_by_priority(group: _shard_state.TaskGroup) -> list[int]:
    """Return the replicas in the order in which to keep them.

    Confirmed live ones come first, waiting ones last.
    """
    stopping = _shard_state.LiveState.STOPPING
    live = [
        index
        for index, attempt in group.live.items()
        if attempt.state is not stopping and attempt.replaces < 0
    ]
    live.sort(key=lambda index: (not group.live[index].confirmed, index))
    waiting = sorted(
        index for index, entry in group.waiting.items() if entry.replaces < 0
    )
    return live + waiting


def _add_replicas(
    group: _shard_state.TaskGroup, added: range
) -> _shard_state.TaskGroup:
    return structs.replace(
        group,
        waiting={
            **group.waiting,
            **{index: _shard_state.WaitingTask(index, 0) for index in added},
        },
    )


def _remove_replicas(
    group: _shard_state.TaskGroup, surplus: list[int], now: float
) -> _shard_state.TaskGroup:
    for index in surplus:
        successor = _attempt_changes.replacement_of(group, index)
        if successor is not None:
            group = _stop_replica(group, successor, 'no longer wanted', now)
        group = _stop_replica(group, index, 'no longer wanted', now)
    return group


def _stop_replica(
    group: _shard_state.TaskGroup, index: int, reason: str, now: float
) -> _shard_state.TaskGroup:
    waiting = {k: v for k, v in group.waiting.items() if k != index}
    live = dict(group.live)
    if index in live:
        live[index] = _job_changes.mark_stopping(live[index], reason, now)
    return structs.replace(group, waiting=waiting, live=live)


def replace_replica(
    state: _shard_state.ShardState, owner: str, index: int, reason: str
) -> _shard_state.ShardState:
    """Add a replacement for a running replica.

    The running one is stopped by :func:`stop_replaced_replica` only after the
    replacement has become ready.

    :param state: the shard.
    :param owner: group of the service.
    :param index: the running replica.
    :param reason: stored with the replica that is replaced.
    :returns: the changed shard, or the same one if it can't be replaced now.
    """
    group = state.groups.get(owner)
    if group is None or not may_replace(group, index):
        return state
    live = group.live[index]
    new_index = state.next_replica
    entry = _shard_state.WaitingTask(
        new_index, 0, avoid=(live.node,), replaces=index
    )
    with_reason = structs.replace(live, reason=_shard_state.truncate(reason))
    changed = structs.replace(
        group,
        waiting={**group.waiting, new_index: entry},
        live={**group.live, index: with_reason},
    )
    return structs.replace(
        _job_changes.put_group(state, changed), next_replica=new_index + 1
    )


def may_replace(group: _shard_state.TaskGroup, index: int) -> bool:
    """Tell whether a replica may be replaced.

    :param group: group of the service.
    :param index: the replica.
    :returns: False if it is not live, is stopping, is being replaced or is a
        replacement itself.
    """
    live = group.live.get(index)
    if live is None or live.replaces >= 0:
        return False
    if live.state is _shard_state.LiveState.STOPPING:
        return False
    return _attempt_changes.replacement_of(group, index) is None


def stop_replaced_replica(
    state: _shard_state.ShardState, owner: str, index: int, now: float
) -> _shard_state.ShardState:
    """Stop a replica once its replacement is running.

    :param state: the shard.
    :param owner: group of the service.
    :param index: the replacement.
    :param now: Unix time in seconds.
    :returns: the changed shard, or the same one.
    """
    group = state.groups.get(owner)
    live = group.live.get(index) if group is not None else None
    if group is None or live is None or live.replaces < 0:
        return state
    if live.state is not _shard_state.LiveState.RUNNING:
        return state
    group = _stop_replica(group, live.replaces, 'replaced', now)
    return _job_changes.put_group(
        state, _attempt_changes.clear_replaces(group, index)
    )
