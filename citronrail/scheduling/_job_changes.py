"""Pure functions that change whole jobs in a job shard."""

import collections.abc

import msgspec

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _index_intervals
from citronrail.scheduling import _shard_state

structs = msgspec.structs

JobPredicate = collections.abc.Callable[[specs.JobSpec], bool]


def put_group(
    state: _shard_state.ShardState, group: _shard_state.TaskGroup
) -> _shard_state.ShardState:
    """Return the shard with one group added or replaced."""
    return structs.replace(state, groups={**state.groups, group.owner: group})


def submit_job(
    state: _shard_state.ShardState,
    spec: specs.JobSpec,
    command_id: identifiers.CommandId,
    now: float,
) -> _shard_state.ShardState:
    """Add a job, unless the same command has added it already.

    :param state: the shard.
    :param spec: the job.
    :param command_id: identity of the command that submits it.
    :param now: Unix time in seconds.
    :returns: the shard with the job.
    :raises citronrail.errors.CommandRefused: if the job is not accepted.
    """
    if _submitting_command(state, spec.job_id) == command_id:
        return state
    _validate_submission(state, spec)
    group = _shard_state.TaskGroup(
        owner=spec.job_id,
        job=spec,
        service=None,
        command_id=command_id,
        submitted_at=now,
        pending=_index_intervals.from_zero(spec.task_count),
    )
    changed = put_group(state, group)
    if len(_shard_state.encode(changed)) > _shard_state.MAX_ENCODED_BYTES:
        raise _refusal('the shard of this job is full; retry later')
    return changed


def _submitting_command(
    state: _shard_state.ShardState, job_id: identifiers.JobId
) -> identifiers.CommandId | None:
    group = state.groups.get(job_id)
    if group is not None:
        return group.command_id
    for ended in state.ended:
        if ended.job_id == job_id:
            return ended.command_id
    return None


def _validate_submission(
    state: _shard_state.ShardState, spec: specs.JobSpec
) -> None:
    if _submitting_command(state, spec.job_id) is not None:
        raise _refusal(f'job {spec.job_id} exists already')
    if spec.job_id.startswith(_shard_state.SERVICE_PREFIX) or not spec.job_id:
        raise _refusal(f'{spec.job_id!r} is no valid job id')
    if spec.task_count < 1:
        raise _refusal('a job needs at least one task')
    size_per_task = spec.resources
    if (
        min(
            size_per_task.millicores,
            size_per_task.memory_mb,
            size_per_task.accelerators,
        )
        < 0
    ):
        raise _refusal('a task cannot need a negative amount')
    if len(spec.argument.encode()) > _shard_state.MAX_JOB_ARGUMENT_BYTES:
        raise _refusal(
            f'the argument exceeds {_shard_state.MAX_JOB_ARGUMENT_BYTES} bytes'
        )
    if len(state.groups) >= _shard_state.MAX_GROUPS:
        raise _refusal('the shard of this job is full; retry later')


def _refusal(message: str) -> errors.CommandRefused:
    return errors.CommandRefused(message, step='scheduling.submit')


def cancel_jobs(
    state: _shard_state.ShardState,
    predicate: JobPredicate,
    command_id: identifiers.CommandId,
    reason: str,
    now: float,
) -> _shard_state.ShardState:
    """Cancel every task of the matching jobs that has not ended.

    Tasks without a live attempt end at once. Live attempts are stopped; a
    task whose attempt finishes before it is stopped counts as finished.

    :param state: the shard.
    :param predicate: selects the jobs to cancel.
    :param command_id: identity of the command, which makes it idempotent.
    :param reason: shown with the job.
    :param now: Unix time in seconds.
    :returns: the changed shard.
    """
    if affected_tasks(state, command_id) is not None:
        return state
    groups = dict(state.groups)
    affected = 0
    for group in state.groups.values():
        if group.job is None or not predicate(group.job):
            continue
        affected += _unfinished_count(group)
        groups[group.owner] = cancel_group(group, reason, now)
    return record_command(state, groups, command_id, affected, now)


def record_command(
    state: _shard_state.ShardState,
    groups: dict[str, _shard_state.TaskGroup],
    command_id: identifiers.CommandId,
    affected: int,
    now: float,
) -> _shard_state.ShardState:
    """Store the groups changed by a command, and the command itself.

    :param state: the shard.
    :param groups: all groups.
    :param command_id: identity of the command.
    :param affected: number of tasks that it changed.
    :param now: Unix time in seconds.
    :returns: the changed shard, with ended jobs archived.
    """
    command = _shard_state.ShardCommand(command_id, affected)
    return archive_ended_jobs(
        structs.replace(
            state,
            groups=groups,
            commands=(*state.commands, command)[
                -_shard_state.MAX_KEPT_COMMANDS :
            ],
        ),
        now,
    )


def affected_tasks(
    state: _shard_state.ShardState, command_id: identifiers.CommandId
) -> int | None:
    """Return how many tasks a command changed, None if it is unknown."""
    for command in state.commands:
        if command.command_id == command_id:
            return command.affected
    return None


def _unfinished_count(group: _shard_state.TaskGroup) -> int:
    stopping = _shard_state.LiveState.STOPPING
    running = sum(1 for a in group.live.values() if a.state is not stopping)
    runs = _index_intervals.size(group.pending) + _index_intervals.size(
        group.parked
    )
    return runs + len(group.waiting) + running


def cancel_group(
    group: _shard_state.TaskGroup, reason: str, now: float
) -> _shard_state.TaskGroup:
    """Cancel tasks without a live attempt and mark the others as stopping.

    :param group: the group.
    :param reason: stored with the group.
    :param now: Unix time in seconds.
    :returns: the changed group.
    """
    ended = [*group.pending, *group.parked]
    ended.extend((index, index + 1) for index in group.waiting)
    return structs.replace(
        group,
        phase=_shard_state.GroupPhase.CANCELLED,
        reason=_shard_state.truncate(reason),
        pending=(),
        parked=(),
        waiting={},
        cancelled=_index_intervals.union(group.cancelled, ended),
        live={
            index: mark_stopping(live, reason, now)
            for index, live in group.live.items()
        },
    )


def mark_stopping(
    live: _shard_state.LiveAttempt, reason: str, now: float
) -> _shard_state.LiveAttempt:
    """Mark an attempt as stopping, after which its task is not run again."""
    if live.state is _shard_state.LiveState.STOPPING:
        return live
    return structs.replace(
        live,
        state=_shard_state.LiveState.STOPPING,
        since=now,
        reason=_shard_state.truncate(reason),
    )


def park_job(
    state: _shard_state.ShardState, owner: str, reason: str
) -> _shard_state.ShardState:
    """Start no more tasks of a job until an operator resumes it.

    :param state: the shard.
    :param owner: job id.
    :param reason: shown with the job.
    :returns: the changed shard.
    """
    group = state.groups.get(owner)
    if group is None or group.phase is not _shard_state.GroupPhase.ACTIVE:
        return state
    return put_group(
        state,
        structs.replace(
            group,
            phase=_shard_state.GroupPhase.PARKED,
            reason=_shard_state.truncate(reason),
        ),
    )


def resume_job(
    state: _shard_state.ShardState, owner: str
) -> _shard_state.ShardState:
    """Allow a parked job and its parked tasks to start again.

    :param state: the shard.
    :param owner: job id.
    :returns: the changed shard.
    """
    group = state.groups.get(owner)
    if group is None or group.phase is _shard_state.GroupPhase.CANCELLED:
        return state
    waiting = dict(group.waiting)
    for index, entry in waiting.items():
        waiting[index] = structs.replace(entry, failures=0, avoid=())
    return put_group(
        state,
        structs.replace(
            group,
            phase=_shard_state.GroupPhase.ACTIVE,
            reason='',
            failed_on=(),
            parked=(),
            waiting={
                **waiting,
                **{
                    index: _shard_state.WaitingTask(
                        index, group.parked_numbers.get(index, 0)
                    )
                    for index in _index_intervals.indexes(group.parked)
                },
            },
            parked_numbers={},
        ),
    )


def archive_ended_jobs(
    state: _shard_state.ShardState, now: float
) -> _shard_state.ShardState:
    """Reduce jobs whose tasks have all ended to counts and a few results.

    :param state: the shard.
    :param now: Unix time in seconds.
    :returns: the changed shard, or the same one if no job has ended.
    """
    ended_groups = [
        group for group in state.groups.values() if all_tasks_ended(group)
    ]
    if not ended_groups:
        return state
    ended = (*state.ended, *(_ended_job(group, now) for group in ended_groups))
    ended_owners = {group.owner for group in ended_groups}
    return structs.replace(
        state,
        groups={
            k: v for k, v in state.groups.items() if k not in ended_owners
        },
        ended=ended[-_shard_state.MAX_KEPT_ENDED_JOBS :],
    )


def all_tasks_ended(group: _shard_state.TaskGroup) -> bool:
    """Tell whether a group is a job without tasks that could still run."""
    if group.job is None:
        return False
    return not (group.pending or group.waiting or group.live or group.parked)


def _ended_job(
    group: _shard_state.TaskGroup, now: float
) -> _shard_state.EndedJob:
    cancelled = _index_intervals.size(group.cancelled)
    return _shard_state.EndedJob(
        job_id=identifiers.JobId(group.owner),
        team=group.team,
        command_id=group.command_id,
        outcome='cancelled' if _counts_as_cancelled(group) else 'finished',
        reason=group.reason,
        finished=_index_intervals.size(group.finished),
        cancelled=cancelled,
        failures=group.failures,
        ended_at=now,
        results=group.results[-_shard_state.MAX_RESULTS_PER_ENDED_JOB :],
    )


def _counts_as_cancelled(group: _shard_state.TaskGroup) -> bool:
    """Tell whether the outcome of a job is ``cancelled``."""
    if not group.cancelled:
        return False
    job_cancelled = group.phase is _shard_state.GroupPhase.CANCELLED
    return job_cancelled or not group.finished
