"""Changes of a job shard that concern services, as plain functions."""

import collections
import collections.abc

import msgspec

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _job_changes
from citronrail.scheduling import _shard_state

structs = msgspec.structs


def owner_name(service: identifiers.ServiceName) -> str:
    """Return the owner in the task ids of a service's replicas."""
    return f'{_shard_state.SERVICE_PREFIX}{service}'


def adjust_service(
    state: _shard_state.ShardState,
    spec: specs.ServiceSpec,
    wanted: int,
    now: float,
) -> _shard_state.ShardState:
    """Bring the replicas of a service to the wanted number.

    Replacements of replicas that still run don't count.

    :param state: the shard.
    :param spec: the service as configured.
    :param wanted: number of replicas; 0 for a removed service.
    :param now: Unix time in seconds.
    :returns: the changed shard, or the same one.
    """
    owner = owner_name(spec.name)
    group = state.groups.get(owner)
    if group is None:
        if wanted == 0:
            return state
        group = _shard_state.Group(
            owner=owner,
            job=None,
            service=spec,
            command_id=identifiers.CommandId(''),
            submitted_at=now,
        )
    target = structs.replace(
        group,
        service=spec,
        generation=group.generation + _needs_new_replicas(group, spec),
    )
    members = _members(target)
    next_replica = state.next_replica
    if len(members) < wanted:
        added = range(next_replica, next_replica + wanted - len(members))
        next_replica = added.stop
        target = _add(target, added)
    elif len(members) > wanted:
        target = _remove(target, members[wanted:], now)
    if not target.live and not target.waiting and wanted == 0:
        groups = {k: v for k, v in state.groups.items() if k != owner}
        return structs.replace(state, groups=groups)
    if target == state.groups.get(owner):
        return state
    return structs.replace(
        _job_changes.put_group(state, target), next_replica=next_replica
    )


def _needs_new_replicas(
    group: _shard_state.Group, spec: specs.ServiceSpec
) -> bool:
    """Tell whether running replicas don't fit the changed service."""
    return (group.resources, group.work_class, group.data_centres) != (
        spec.resources,
        spec.work_class,
        spec.data_centres,
    )


def outdated_replica(group: _shard_state.Group) -> int | None:
    """Return the replica to replace next after the service changed.

    One at a time: there is none while another replica starts, stops or is
    being replaced.

    :param group: group of a service.
    :returns: the index of a running replica, or None.
    """
    if not _is_steady(group):
        return None
    return min(
        (
            index
            for index, live in group.live.items()
            if live.generation != group.generation
        ),
        default=None,
    )


def crowded_replica(
    group: _shard_state.Group,
    roomy: collections.abc.Collection[identifiers.NodeId],
    settled_before: float,
) -> int | None:
    """Return a replica to replace because it shares its worker.

    Replicas share a worker when no other was known or had room at their
    start. One at a time moves, as for :func:`outdated_replica`.

    :param group: group of a service.
    :param roomy: workers with room for one more replica.
    :param settled_before: Unix time; replicas that started later stay, which
        bounds how often one moves.
    :returns: the index of a running replica, or None.
    """
    counts = collections.Counter(live.node for live in group.live.values())
    if not _is_steady(group) or all(node in counts for node in roomy):
        return None
    return max(
        (
            index
            for index, live in group.live.items()
            if counts[live.node] > 1 and live.since < settled_before
        ),
        key=lambda index: (counts[group.live[index].node], index),
        default=None,
    )


def _is_steady(group: _shard_state.Group) -> bool:
    """Tell whether no replica of a service starts, stops or moves."""
    running = _shard_state.LiveState.RUNNING
    if group.service is None or group.service.draining or group.waiting:
        return False
    return all(
        live.state is running and live.replaces < 0
        for live in group.live.values()
    )


def _members(group: _shard_state.Group) -> list[int]:
    """Return replicas in order of worth: confirmed ones first."""
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


def _add(group: _shard_state.Group, added: range) -> _shard_state.Group:
    return structs.replace(
        group,
        waiting={
            **group.waiting,
            **{index: _shard_state.Waiting(index, 0) for index in added},
        },
    )


def _remove(
    group: _shard_state.Group, surplus: list[int], now: float
) -> _shard_state.Group:
    for index in surplus:
        successor = _attempt_changes.replacement_of(group, index)
        if successor is not None:
            group = _drop(group, successor, 'no longer wanted', now)
        group = _drop(group, index, 'no longer wanted', now)
    return group


def _drop(
    group: _shard_state.Group, index: int, reason: str, now: float
) -> _shard_state.Group:
    waiting = {k: v for k, v in group.waiting.items() if k != index}
    live = dict(group.live)
    if index in live:
        live[index] = _job_changes.stopping(live[index], reason, now)
    return structs.replace(group, waiting=waiting, live=live)


def replace_replica(
    state: _shard_state.ShardState, owner: str, index: int, reason: str
) -> _shard_state.ShardState:
    """Ask for a replica that takes the place of a running one.

    The running one is stopped by :func:`retire_replaced` only once the new
    one answers.

    :param state: the shard.
    :param owner: group of the service.
    :param index: the running replica.
    :param reason: kept with the replica that is replaced.
    :returns: the changed shard, or the same one if it is being replaced.
    """
    group = state.groups.get(owner)
    if group is None or not may_replace(group, index):
        return state
    live = group.live[index]
    new = state.next_replica
    entry = _shard_state.Waiting(new, 0, avoid=(live.node,), replaces=index)
    marked = structs.replace(live, reason=_shard_state.cut(reason))
    changed = structs.replace(
        group,
        waiting={**group.waiting, new: entry},
        live={**group.live, index: marked},
    )
    return structs.replace(
        _job_changes.put_group(state, changed), next_replica=new + 1
    )


def may_replace(group: _shard_state.Group, index: int) -> bool:
    """Tell whether a replacement may be asked for.

    :param group: group of the service.
    :param index: the replica.
    :returns: False if it ends, is being replaced or is a replacement itself.
    """
    live = group.live.get(index)
    if live is None or live.replaces >= 0:
        return False
    if live.state is _shard_state.LiveState.STOPPING:
        return False
    return _attempt_changes.replacement_of(group, index) is None


def retire_replaced(
    state: _shard_state.ShardState, owner: str, index: int, now: float
) -> _shard_state.ShardState:
    """Stop the replica that a running replacement took the place of.

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
    group = _drop(group, live.replaces, 'replaced', now)
    return _job_changes.put_group(
        state, _attempt_changes.without_replaces(group, index)
    )
