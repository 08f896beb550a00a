"""Cancels single tasks of jobs, selected by a predicate on their rows."""

import collections.abc
import dataclasses
import itertools

import msgspec
import trio

from citronrail.model import identifiers
from citronrail.model import rows as rows_model
from citronrail.scheduling import _index_intervals
from citronrail.scheduling import _job_changes
from citronrail.scheduling import _rows
from citronrail.scheduling import _shard_state

structs = msgspec.structs
TaskPredicate = collections.abc.Callable[[rows_model.TaskRow], bool]
# Testing this many rows takes well under 1 ms, so that the selection doesn't
# delay requests in the same process.
ROWS_PER_CHECKPOINT = 200


@dataclasses.dataclass(frozen=True)
class Selection:
    """Tasks that matched a predicate when it was evaluated.

    ``chosen`` holds task indexes by job id. ``predicate`` is evaluated again
    for tasks whose state may have changed since.
    """

    chosen: collections.abc.Mapping[str, _index_intervals.Intervals]
    predicate: TaskPredicate
    blocked: collections.abc.Mapping[str, str]


async def select_tasks(
    state: _shard_state.ShardState,
    predicate: TaskPredicate,
    blocked: collections.abc.Mapping[str, str],
) -> Selection:
    """Select matching tasks, yielding to other tasks of the process.

    :param state: the shard.
    :param predicate: evaluated for each task of a job that has not ended.
    :param blocked: reasons why jobs fit no known worker, by job id.
    :returns: the tasks that match.
    """
    chosen = {}
    for owner, group in state.groups.items():
        if group.job is None:
            continue
        selected: list[_index_intervals.Interval] = []
        remaining = _indexed_rows(group, blocked.get(owner, ''))
        while chunk := tuple(itertools.islice(remaining, ROWS_PER_CHECKPOINT)):
            for index, row in chunk:
                if predicate(row):
                    _append_index(selected, index)
            await trio.lowlevel.checkpoint()
        if selected:
            chosen[owner] = _index_intervals.union((), selected)
    return Selection(chosen, predicate, blocked)


def _append_index(
    selected: list[_index_intervals.Interval], index: int
) -> None:
    if selected and selected[-1][1] == index:
        selected[-1] = (selected[-1][0], index + 1)
    else:
        selected.append((index, index + 1))


def _indexed_rows(
    group: _shard_state.TaskGroup, blocked: str
) -> collections.abc.Iterator[tuple[int, rows_model.TaskRow]]:
    return itertools.chain(
        _rows_with_attempts(group, blocked),
        zip(
            _index_intervals.indexes(group.pending),
            _rows.pending_rows(group, blocked),
        ),
    )


def _rows_with_attempts(
    group: _shard_state.TaskGroup, blocked: str
) -> collections.abc.Iterator[tuple[int, rows_model.TaskRow]]:
    """Iterate over tasks that have or had an attempt and have not ended."""
    stopping = _shard_state.LiveState.STOPPING
    for (index, live), row in zip(group.live.items(), _rows.live_rows(group)):
        if live.state is not stopping:
            yield index, row
    yield from zip(group.waiting, _rows.waiting_rows(group, blocked))
    yield from zip(
        _index_intervals.indexes(group.parked), _rows.parked_rows(group)
    )


def cancel_selected(
    state: _shard_state.ShardState,
    selection: Selection,
    command_id: identifiers.CommandId,
    reason: str,
    now: float,
) -> _shard_state.ShardState:
    """Cancel the selected tasks that have not ended, in one change.

    Tasks without a live attempt end at once. Live attempts are stopped; a
    task whose attempt finishes before it is stopped counts as finished.

    :param state: the shard, which may have changed since the selection.
    :param selection: the tasks.
    :param command_id: identity of the command, which makes it idempotent.
    :param reason: stored with the attempts.
    :param now: Unix time in seconds.
    :returns: the changed shard.
    """
    if _job_changes.affected_tasks(state, command_id) is not None:
        return state
    groups = dict(state.groups)
    affected = 0
    for owner, chosen in selection.chosen.items():
        group = groups.get(owner)
        if group is None or group.job is None:
            continue
        matching = _still_matching(group, chosen, selection)
        affected += _index_intervals.size(matching)
        groups[owner] = _cancel_tasks(group, matching, reason, now)
    return _job_changes.record_command(
        state, groups, command_id, affected, now
    )


def _still_matching(
    group: _shard_state.TaskGroup,
    chosen: _index_intervals.Intervals,
    selection: Selection,
) -> _index_intervals.Intervals:
    """Return the chosen tasks that still match.

    A task that never had an attempt is unchanged since it was chosen. For
    others the predicate is evaluated again: a task that was chosen as pending
    may be running now.
    """
    blocked = selection.blocked.get(group.owner, '')
    with_attempts = (
        (index, index + 1)
        for index, row in _rows_with_attempts(group, blocked)
        if _index_intervals.contains(chosen, index)
        and selection.predicate(row)
    )
    return _index_intervals.union(
        _index_intervals.intersect(chosen, group.pending), with_attempts
    )


def _cancel_tasks(
    group: _shard_state.TaskGroup,
    cancelled: _index_intervals.Intervals,
    reason: str,
    now: float,
) -> _shard_state.TaskGroup:
    ended = _index_intervals.subtract(
        cancelled,
        _index_intervals.union(
            (), ((index, index + 1) for index in group.live)
        ),
    )
    live = dict(group.live)
    for index, attempt in group.live.items():
        if _index_intervals.contains(cancelled, index):
            live[index] = _job_changes.mark_stopping(attempt, reason, now)
    return structs.replace(
        group,
        pending=_index_intervals.subtract(group.pending, ended),
        parked=_index_intervals.subtract(group.parked, ended),
        parked_numbers={
            index: number
            for index, number in group.parked_numbers.items()
            if not _index_intervals.contains(ended, index)
        },
        waiting={
            index: entry
            for index, entry in group.waiting.items()
            if not _index_intervals.contains(ended, index)
        },
        cancelled=_index_intervals.union(group.cancelled, ended),
        live=live,
    )
