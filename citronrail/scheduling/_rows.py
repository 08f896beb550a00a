"""Tables of jobs, tasks and services for operators' queries."""

import collections.abc
import dataclasses

from citronrail.scheduling import _followup
from citronrail.scheduling import _index_runs
from citronrail.scheduling import _pending
from citronrail.scheduling import _shard_state


@dataclasses.dataclass(frozen=True)
class JobRow:
    """A job; times are Unix time in seconds."""

    job: str
    team: str
    work_class: str
    priority: str
    state: str
    tasks: int
    pending: int
    running: int
    finished: int
    cancelled: int
    parked: int
    failures: int
    submitted_at: float | None
    finish_before: float | None
    reason: str


@dataclasses.dataclass(frozen=True)
class TaskRow:
    """An attempt that may be running."""

    task: str
    attempt: int
    owner: str
    team: str
    work_class: str
    node: str
    state: str
    since: float
    checkpoint: str
    reason: str


@dataclasses.dataclass(frozen=True)
class ServiceRow:
    """A service and its replicas."""

    service: str
    team: str
    work_class: str
    replicas: int
    running: int
    waiting: int
    draining: bool


Row = JobRow | TaskRow | ServiceRow


def rows(
    state: _shard_state.ShardState,
    kind: str,
    blocked: collections.abc.Mapping[str, str],
) -> tuple[Row, ...]:
    """Return a table of a shard.

    :param state: the shard.
    :param kind: ``jobs``, ``tasks`` or ``services``.
    :param blocked: reasons why jobs fit no known worker.
    :returns: rows, jobs that ended last.
    :raises ValueError: if there is no such table.
    """
    match kind:
        case 'jobs':
            return (
                *(
                    _job_row(group, blocked.get(group.owner, ''))
                    for group in state.groups.values()
                    if group.job is not None
                ),
                *(_ended_row(job) for job in state.ended),
            )
        case 'tasks':
            return tuple(_task_rows(state))
        case 'services':
            return tuple(
                _service_row(group)
                for group in state.groups.values()
                if group.service is not None
            )
        case _:
            raise ValueError(f'there is no table {kind!r}')


def _job_row(group: _shard_state.Group, blocked: str) -> JobRow:
    job = group.job
    return JobRow(
        job=group.owner,
        team=group.team,
        work_class=group.work_class,
        priority=_pending.priority(group).value,
        state=group.phase.value,
        tasks=job.task_count if job else 0,
        pending=_index_runs.size(group.pending) + len(group.waiting),
        running=len(group.live),
        finished=_index_runs.size(group.finished),
        cancelled=_index_runs.size(group.cancelled),
        parked=_index_runs.size(group.parked),
        failures=group.failures,
        submitted_at=group.submitted_at,
        finish_before=job.finish_before if job else None,
        reason=group.reason or blocked,
    )


def _ended_row(job: _shard_state.EndedJob) -> JobRow:
    return JobRow(
        job=job.job_id,
        team=job.team,
        work_class='',
        priority='',
        state=job.outcome,
        tasks=job.finished + job.cancelled,
        pending=0,
        running=0,
        finished=job.finished,
        cancelled=job.cancelled,
        parked=0,
        failures=job.failures,
        submitted_at=None,
        finish_before=None,
        reason=job.reason,
    )


def _task_rows(
    state: _shard_state.ShardState,
) -> collections.abc.Iterator[TaskRow]:
    for attempt, live in _followup.live_attempts(state):
        group = state.groups[attempt.task.owner]
        yield TaskRow(
            task=str(attempt.task),
            attempt=attempt.number,
            owner=group.owner,
            team=group.team,
            work_class=group.work_class,
            node=live.node,
            state=live.state.name.lower(),
            since=live.since,
            checkpoint=live.checkpoint,
            reason=live.reason,
        )


def _service_row(group: _shard_state.Group) -> ServiceRow:
    service = group.service
    running = _shard_state.LiveState.RUNNING
    return ServiceRow(
        service=service.name if service else '',
        team=group.team,
        work_class=group.work_class,
        replicas=service.replicas if service else 0,
        running=sum(1 for a in group.live.values() if a.state is running),
        waiting=len(group.waiting),
        draining=service.draining if service else False,
    )
