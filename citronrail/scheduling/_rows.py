"""Rows of the job and task tables that operators query."""

import collections.abc
import dataclasses

from citronrail.model import rows as rows_model
from citronrail.model import specs
from citronrail.scheduling import _index_intervals
from citronrail.scheduling import _pending
from citronrail.scheduling import _shard_state

Row = rows_model.JobRow | rows_model.TaskRow
BlockedReasons = collections.abc.Mapping[str, str]
TaskRows = collections.abc.Iterator[rows_model.TaskRow]


def rows(
    state: _shard_state.ShardState, kind: str, blocked: BlockedReasons
) -> collections.abc.Iterator[Row]:
    """Iterate over a table of a shard, creating its rows one at a time.

    :param state: the shard.
    :param kind: ``jobs`` or ``tasks``.
    :param blocked: reasons why jobs fit no known worker, by job id.
    :returns: the rows; jobs and tasks that have ended come last.
    :raises ValueError: if there is no such table.
    """
    match kind:
        case 'jobs':
            return _job_rows(state, blocked)
        case 'tasks':
            return _task_rows(state, blocked)
        case _:
            raise ValueError(f'there is no table {kind!r}')


def _job_rows(
    state: _shard_state.ShardState, blocked: BlockedReasons
) -> collections.abc.Iterator[Row]:
    for group in state.groups.values():
        if group.job is not None:
            yield _job_row(group, group.job, blocked.get(group.owner, ''))
    for job in state.ended:
        yield _ended_row(job)


def _job_row(
    group: _shard_state.TaskGroup, job: specs.JobSpec, blocked: str
) -> rows_model.JobRow:
    return rows_model.JobRow(
        job=group.owner,
        team=group.team,
        work_class=group.work_class,
        priority=_pending.priority(group).value,
        state=group.phase.value,
        tasks=job.task_count,
        pending=_index_intervals.size(group.pending) + len(group.waiting),
        running=len(group.live),
        finished=_index_intervals.size(group.finished),
        cancelled=_index_intervals.size(group.cancelled),
        parked=_index_intervals.size(group.parked),
        failures=group.failures,
        submitted_at=group.submitted_at,
        finish_before=job.finish_before,
        reason=group.reason or blocked,
    )


def _ended_row(job: _shard_state.EndedJob) -> rows_model.JobRow:
    return rows_model.JobRow(
        job=job.job_id,
        team=job.team,
        work_class='',
        priority='',
        state=job.outcome,
        tasks=job.finished + job.cancelled,
        finished=job.finished,
        cancelled=job.cancelled,
        failures=job.failures,
        reason=job.reason,
    )


def _task_rows(
    state: _shard_state.ShardState, blocked: BlockedReasons
) -> collections.abc.Iterator[Row]:
    for group in state.groups.values():
        yield from live_rows(group)
    for group in state.groups.values():
        reason = blocked.get(group.owner, '')
        yield from waiting_rows(group, reason)
        yield from parked_rows(group)
        yield from pending_rows(group, reason)
    for group in state.groups.values():
        yield from _ended_task_rows(group)
    for job in state.ended:
        for result in job.results:
            yield rows_model.TaskRow(
                task=str(specs.TaskId(job.job_id, result.index)),
                job=job.job_id,
                team=job.team,
                work_class='',
                state='finished',
                attempt=result.number,
            )


def _row(
    group: _shard_state.TaskGroup, index: int, state: str
) -> rows_model.TaskRow:
    return rows_model.TaskRow(
        task=str(specs.TaskId(group.owner, index)),
        job=group.owner,
        team=group.team,
        work_class=group.work_class,
        state=state,
    )


def live_rows(group: _shard_state.TaskGroup) -> TaskRows:
    """Iterate over the rows of tasks with a live attempt."""
    for index, live in group.live.items():
        yield dataclasses.replace(
            _row(group, index, live.state.name.lower()),
            attempt=live.number,
            worker=live.node,
            since_at=live.since,
            checkpoint=live.checkpoint,
            reason=live.reason,
        )


def waiting_rows(group: _shard_state.TaskGroup, blocked: str) -> TaskRows:
    """Iterate over the rows of tasks to retry and of replicas to start.

    :param group: the group.
    :param blocked: why the group fits no known worker, or empty.
    """
    for index, entry in group.waiting.items():
        yield dataclasses.replace(
            _row(group, index, 'pending'),
            attempt=entry.number,
            checkpoint=entry.checkpoint,
            reason=group.reason or blocked,
        )


def parked_rows(group: _shard_state.TaskGroup) -> TaskRows:
    """Iterate over the rows of parked tasks."""
    for index in _index_intervals.indexes(group.parked):
        yield dataclasses.replace(
            _row(group, index, 'parked'),
            attempt=group.parked_numbers.get(index, 0),
            reason=group.reason,
        )


def pending_rows(group: _shard_state.TaskGroup, blocked: str) -> TaskRows:
    """Iterate over the rows of tasks that never had an attempt.

    :param group: the group.
    :param blocked: why the group fits no known worker, or empty.
    """
    for index in _index_intervals.indexes(group.pending):
        yield dataclasses.replace(
            _row(group, index, 'pending'),
            since_at=group.submitted_at,
            reason=group.reason or blocked,
        )


def _ended_task_rows(group: _shard_state.TaskGroup) -> TaskRows:
    numbers = {result.index: result.number for result in group.results}
    for index in _index_intervals.indexes(group.finished):
        yield dataclasses.replace(
            _row(group, index, 'finished'), attempt=numbers.get(index, 0)
        )
    for index in _index_intervals.indexes(group.cancelled):
        yield _row(group, index, 'cancelled')
