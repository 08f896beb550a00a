"""Pure functions that change the attempts in a job shard.

A task has at most one live attempt. Attempts are created only by
:func:`assign`, for tasks without a live one, and removed from ``live`` only by
:func:`record_end`.
"""

import collections.abc
import dataclasses

import msgspec

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _index_intervals
from citronrail.scheduling import _job_changes
from citronrail.scheduling import _shard_state

structs = msgspec.structs

INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 300.0
PARK_AFTER_FAILED_WORKERS = 3  # healthy ones on which the same task failed
MAX_TASK_FAILURES = 12  # then the task is parked, whatever the workers
# Attempts in a row that were lost with their worker. A worker that a task
# crashes lists no failure.
PARK_AFTER_LOSSES = 5
# An attempt that ran for so long shows that its task doesn't crash workers.
LONG_RUN_S = 60.0


@dataclasses.dataclass(frozen=True)
class Assignment:
    """A task and the node on which its next attempt is to run.

    ``generation`` is the group's generation for which the node was chosen.
    """

    task: specs.TaskId
    node: identifiers.NodeId
    generation: int = 0


@dataclasses.dataclass(frozen=True)
class AttemptEnd:
    """How an attempt ended.

    ``state`` is a state of a :class:`citronrail.model.messages.TaskReport`,
    or ``refused`` for an attempt that was never started. A failure counts
    against the task only if the worker is ``healthy``. After
    ``checkpoint_lost`` the task starts from the beginning.
    """

    attempt: specs.AttemptId
    state: str
    result: str = ''
    checkpoint: str = ''
    reason: str = ''
    healthy: bool = True
    checkpoint_lost: bool = False


def find_live(
    state: _shard_state.ShardState, attempt: specs.AttemptId
) -> _shard_state.LiveAttempt | None:
    """Return the live attempt with exactly this number, or None."""
    group = state.groups.get(attempt.task.owner)
    if group is None:
        return None
    live = group.live.get(attempt.task.index)
    if live is None or live.number != attempt.number:
        return None
    return live


def assign(
    state: _shard_state.ShardState,
    assignments: collections.abc.Iterable[Assignment],
    now: float,
) -> _shard_state.ShardState:
    """Create attempts, skipping tasks that may no longer start.

    :param state: the shard.
    :param assignments: tasks and their nodes.
    :param now: Unix time in seconds.
    :returns: the shard with the new attempts as ``ASSIGNED``.
    """
    by_owner: dict[str, list[Assignment]] = {}
    for item in assignments:
        by_owner.setdefault(item.task.owner, []).append(item)
    groups = dict(state.groups)
    remaining = _shard_state.MAX_LIVE_ATTEMPTS - _shard_state.live_count(state)
    for owner, items in by_owner.items():
        group = groups.get(owner)
        if group is None or group.phase is not _shard_state.GroupPhase.ACTIVE:
            continue
        changed = _assign_in_group(group, items[: max(0, remaining)], now)
        remaining -= len(changed.live) - len(group.live)
        groups[owner] = changed
    return structs.replace(state, groups=groups)


def _assign_in_group(
    group: _shard_state.TaskGroup, items: list[Assignment], now: float
) -> _shard_state.TaskGroup:
    waiting = dict(group.waiting)
    live = dict(group.live)
    newly_started: set[int] = set()
    exclusive = group.job is not None and group.job.exclusive
    for item in items:
        index = item.task.index
        if index in live or (exclusive and live):
            continue
        entry = waiting.pop(index, None)
        if entry is None:
            if index in newly_started or not _index_intervals.contains(
                group.pending, index
            ):
                continue
            newly_started.add(index)
            entry = _shard_state.WaitingTask(index, 0)
        live[index] = _shard_state.LiveAttempt(
            number=entry.number + 1,
            node=item.node,
            state=_shard_state.LiveState.ASSIGNED,
            since=now,
            checkpoint=entry.checkpoint,
            failures=entry.failures,
            avoid=entry.avoid,
            replaces=entry.replaces,
            generation=item.generation,
            losses=entry.losses,
        )
    return structs.replace(
        group,
        pending=_index_intervals.difference(group.pending, newly_started),
        waiting=waiting,
        live=live,
    )


def confirm_started(
    state: _shard_state.ShardState, attempt: specs.AttemptId, now: float
) -> _shard_state.ShardState:
    """Record that the agent confirmed the start of an attempt.

    :param state: the shard.
    :param attempt: the attempt; nothing changes if it isn't live.
    :param now: Unix time in seconds.
    :returns: the changed shard.
    """
    live = find_live(state, attempt)
    if live is None or live.confirmed:
        return state
    group = state.groups[attempt.task.owner]
    if live.state is _shard_state.LiveState.ASSIGNED:
        changed = structs.replace(
            live,
            state=_shard_state.LiveState.RUNNING,
            since=now,
            confirmed=True,
        )
    else:
        changed = structs.replace(live, confirmed=True)
    return _put_live(state, group, attempt.task.index, changed)


def _put_live(
    state: _shard_state.ShardState,
    group: _shard_state.TaskGroup,
    index: int,
    live: _shard_state.LiveAttempt,
) -> _shard_state.ShardState:
    return _job_changes.put_group(
        state, structs.replace(group, live={**group.live, index: live})
    )


def move_attempts(
    state: _shard_state.ShardState,
    attempts: collections.abc.Iterable[specs.AttemptId],
    reason: str,
    now: float,
) -> _shard_state.ShardState:
    """Mark running attempts to be checkpointed and resumed elsewhere.

    :param state: the shard.
    :param attempts: the attempts; those that don't run are skipped.
    :param reason: stored with the attempts.
    :param now: Unix time in seconds.
    :returns: the changed shard.
    """
    for attempt in attempts:
        live = find_live(state, attempt)
        if live is None or live.state is not _shard_state.LiveState.RUNNING:
            continue
        changed = structs.replace(
            live,
            state=_shard_state.LiveState.MOVING,
            since=now,
            reason=_shard_state.truncate(reason),
        )
        group = state.groups[attempt.task.owner]
        state = _put_live(state, group, attempt.task.index, changed)
    return state


def record_end(
    state: _shard_state.ShardState, end: AttemptEnd, now: float
) -> _shard_state.ShardState:
    """Record the end of an attempt.

    :param state: the shard.
    :param end: how it ended; only counted if the attempt isn't live.
    :param now: Unix time in seconds.
    :returns: the changed shard.
    """
    live = find_live(state, end.attempt)
    if live is None:
        return structs.replace(
            state, refused_reports=state.refused_reports + 1
        )
    group = state.groups[end.attempt.task.owner]
    index = end.attempt.task.index
    group = structs.replace(
        group, live={k: v for k, v in group.live.items() if k != index}
    )
    if group.service is not None:
        return _job_changes.put_group(
            state, _end_replica(group, index, live, end, now)
        )
    if end.state == 'finished':
        state = structs.replace(state, finished_total=state.finished_total + 1)
        group = _finish_task(group, index, end)
    elif live.state is _shard_state.LiveState.STOPPING:
        group = structs.replace(
            group, cancelled=_index_intervals.add(group.cancelled, index)
        )
    elif end.state == 'failed':
        group = _fail_task(group, index, live, end, now)
    elif end.state == 'lost':
        group = _lose_task(group, index, live, end, now)
    else:
        group = _add_waiting(group, _retry_entry(index, live, end, now))
    return _job_changes.put_group(state, group)


def _finish_task(
    group: _shard_state.TaskGroup, index: int, end: AttemptEnd
) -> _shard_state.TaskGroup:
    result = _shard_state.TaskResult(
        index, end.attempt.number, _shard_state.truncate(end.result)
    )
    return structs.replace(
        group,
        finished=_index_intervals.add(group.finished, index),
        failed_on=(),
        results=(*group.results, result)[
            -_shard_state.MAX_RESULTS_PER_GROUP :
        ],
    )


def _retry_entry(
    index: int, live: _shard_state.LiveAttempt, end: AttemptEnd, now: float
) -> _shard_state.WaitingTask:
    """Return the waiting task with its latest checkpoint."""
    return _shard_state.WaitingTask(
        index=index,
        number=live.number,
        not_before=now,
        checkpoint=(
            '' if end.checkpoint_lost else end.checkpoint or live.checkpoint
        ),
        failures=live.failures,
        avoid=live.avoid,
        replaces=live.replaces,
        losses=live.losses,
    )


def _add_waiting(
    group: _shard_state.TaskGroup, entry: _shard_state.WaitingTask
) -> _shard_state.TaskGroup:
    return structs.replace(
        group, waiting={**group.waiting, entry.index: entry}
    )


def _with_backoff(
    entry: _shard_state.WaitingTask, node: identifiers.NodeId, now: float
) -> _shard_state.WaitingTask:
    avoid = tuple(n for n in entry.avoid if n != node) + (node,)
    return structs.replace(
        entry,
        failures=entry.failures + 1,
        avoid=avoid[-_shard_state.MAX_AVOIDED_NODES :],
        not_before=now + backoff_s(entry.failures + 1),
    )


def backoff_s(failures: int) -> float:
    """Return the retry delay in seconds after a number of failures."""
    doublings = min(max(0, failures - 1), 16)
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**doublings)


def _fail_task(
    group: _shard_state.TaskGroup,
    index: int,
    live: _shard_state.LiveAttempt,
    end: AttemptEnd,
    now: float,
) -> _shard_state.TaskGroup:
    entry = _with_backoff(_retry_entry(index, live, end, now), live.node, now)
    if not end.healthy:
        # A failure on an unhealthy worker doesn't count against the task.
        entry = structs.replace(
            entry, failures=live.failures, not_before=now + INITIAL_BACKOFF_S
        )
        return structs.replace(
            _add_waiting(group, entry), failures=group.failures + 1
        )
    failed_on = group.failed_on
    if live.node not in failed_on:
        failed_on = (*failed_on, live.node)[-_shard_state.MAX_AVOIDED_NODES :]
    group = structs.replace(
        group, failures=group.failures + 1, failed_on=failed_on
    )
    retries_exhausted = (
        entry.failures >= PARK_AFTER_FAILED_WORKERS
        and len(entry.avoid) >= PARK_AFTER_FAILED_WORKERS
    ) or entry.failures >= MAX_TASK_FAILURES
    if not retries_exhausted:
        return _add_waiting(group, entry)
    return _park_task(
        group, entry, end, f'failed on {len(entry.avoid)} workers'
    )


def _lose_task(
    group: _shard_state.TaskGroup,
    index: int,
    live: _shard_state.LiveAttempt,
    end: AttemptEnd,
    now: float,
) -> _shard_state.TaskGroup:
    entry = _with_loss(_retry_entry(index, live, end, now), live, now)
    if entry.losses < PARK_AFTER_LOSSES:
        return _add_waiting(group, entry)
    return _park_task(
        group, entry, end, f'was lost with {entry.losses} workers in a row'
    )


def _with_loss(
    entry: _shard_state.WaitingTask,
    live: _shard_state.LiveAttempt,
    now: float,
) -> _shard_state.WaitingTask:
    """Count a loss, and delay the next attempt after more than one."""
    if now - live.since >= LONG_RUN_S:
        return structs.replace(entry, losses=0)
    losses = live.losses + 1
    delay_s = backoff_s(losses - 1) if losses > 1 else 0.0
    return structs.replace(entry, losses=losses, not_before=now + delay_s)


def _park_task(
    group: _shard_state.TaskGroup,
    entry: _shard_state.WaitingTask,
    end: AttemptEnd,
    what: str,
) -> _shard_state.TaskGroup:
    """Park a task, and its job if no task ever finished or none is left."""
    reason = f'task {entry.index} {what}: {end.reason or "no reason given"}'
    group = structs.replace(
        group,
        parked=_index_intervals.add(group.parked, entry.index),
        parked_numbers={**group.parked_numbers, entry.index: entry.number},
        reason=_shard_state.truncate(reason),
    )
    never_succeeded = not group.finished and (
        len(group.failed_on) >= PARK_AFTER_FAILED_WORKERS
    )
    idle = not (group.pending or group.waiting or group.live)
    if never_succeeded or idle:
        return structs.replace(group, phase=_shard_state.GroupPhase.PARKED)
    return group


def _end_replica(
    group: _shard_state.TaskGroup,
    index: int,
    live: _shard_state.LiveAttempt,
    end: AttemptEnd,
    now: float,
) -> _shard_state.TaskGroup:
    """Start a replica again unless it was stopped or has been replaced."""
    if live.state is _shard_state.LiveState.STOPPING:
        return group
    successor = replacement_of(group, index)
    if successor is not None:
        return clear_replaces(group, successor)
    entry = _retry_entry(index, live, end, now)
    if end.state in ('failed', 'finished'):
        entry = _with_backoff(entry, live.node, now)
        group = structs.replace(group, failures=group.failures + 1)
    elif end.state == 'lost':
        entry = _with_loss(entry, live, now)
    return _add_waiting(group, entry)


def replacement_of(group: _shard_state.TaskGroup, index: int) -> int | None:
    """Return the index of the replica that is to replace another one."""
    for entry in group.waiting.values():
        if entry.replaces == index:
            return entry.index
    stopping = _shard_state.LiveState.STOPPING
    for other, live in group.live.items():
        if live.replaces == index and live.state is not stopping:
            return other
    return None


def clear_replaces(
    group: _shard_state.TaskGroup, index: int
) -> _shard_state.TaskGroup:
    """Turn a replacement into an ordinary replica."""
    if index in group.waiting:
        entry = structs.replace(group.waiting[index], replaces=-1)
        return structs.replace(group, waiting={**group.waiting, index: entry})
    live = structs.replace(group.live[index], replaces=-1)
    return structs.replace(group, live={**group.live, index: live})
