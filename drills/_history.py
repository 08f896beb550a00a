"""Invariant checks over records of callers, workers and backend servers.

The checks are pure functions over these records. Nothing that citronrail
reports about itself is used, except the outcome returned to a caller.
"""

import collections
import collections.abc
import dataclasses

from citronrail.model import resources
from drills import _records
from standins import task_history

Runs = collections.abc.Sequence[task_history.Run]
Calls = collections.abc.Sequence[_records.Call]
BackendRuns = collections.abc.Sequence[_records.BackendRun]


def end_runs_at_kill(
    runs: Runs,
    kill_times: collections.abc.Mapping[str, Runs | tuple[float, ...]],
) -> tuple[task_history.Run, ...]:
    """Mark runs as ended that were active when their worker was killed.

    :param runs: runs of all workers.
    :param kill_times: times at which workers were killed, by worker.
    :returns: the runs, each ended by the first kill after its start.
    """
    ended = []
    for run in runs:
        times = [t for t in kill_times.get(run.worker, ()) if t >= run.started]
        killed_at = min(times, default=float('inf'))
        if run.ended == float('inf') and killed_at < run.ended:
            run = dataclasses.replace(run, ended=killed_at, event='killed')
        ended.append(run)
    return tuple(ended)


@dataclasses.dataclass(frozen=True)
class PeakUsage:
    """Peak usage of all hosts; ``share`` is 1.0 at full capacity."""

    overfull: int
    share: float


def measure_peak_usage(
    runs: Runs,
    declared_resources: collections.abc.Mapping[str, resources.Resources],
    capacity: resources.Resources,
) -> PeakUsage:
    """Sum up the resources of concurrent runs on each worker.

    :param runs: runs of all workers.
    :param declared_resources: declared resources by owner of the tasks.
    :param capacity: capacity of each worker.
    :returns: the number of starts over capacity, and the highest usage.
    """
    overfull = 0
    fullest = 0.0
    by_worker = collections.defaultdict(list)
    for run in runs:
        by_worker[run.worker].append(run)
    for worker_runs in by_worker.values():
        for reference in worker_runs:
            used = resources.Resources()
            for run in worker_runs:
                if run.started <= reference.started < run.ended:
                    used = used + declared_resources[run.owner]
            overfull += not used.fits_in(capacity)
            fullest = max(fullest, _share(used, capacity))
    return PeakUsage(overfull, fullest)


def _share(used: resources.Resources, capacity: resources.Resources) -> float:
    pairs = (
        (used.millicores, capacity.millicores),
        (used.memory_mb, capacity.memory_mb),
        (used.accelerators, capacity.accelerators),
    )
    return max((a / b if b else float(a > 0)) for a, b in pairs)


def count_concurrent_task_runs(runs: Runs) -> int:
    """Count runs of a task that started while an earlier one was active."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append((run.started, run.ended))
    return sum(_count_overlaps(spans) for spans in by_task.values())


def count_concurrent_key_runs(
    runs: BackendRuns, keys: collections.abc.Collection[str]
) -> int:
    """Count runs of a key that started while an earlier one was active."""
    by_key = collections.defaultdict(list)
    for run in runs:
        if run.key in keys:
            by_key[run.key].append((run.started, run.ended))
    return sum(_count_overlaps(spans) for spans in by_key.values())


def _count_overlaps(spans: list[tuple[float, float]]) -> int:
    count = 0
    latest_end = float('-inf')
    for started, ended in sorted(spans):
        count += started < latest_end
        latest_end = max(latest_end, ended)
    return count


def count_lost_and_duplicated(
    runs: Runs, expected: collections.abc.Mapping[str, int]
) -> tuple[int, int]:
    """Count tasks that never finished or finished more than once.

    :param runs: runs of all workers.
    :param expected: number of tasks by job.
    :returns: numbers of lost and duplicated tasks.
    """
    counts = collections.Counter(
        run.task for run in runs if run.event == 'finished'
    )
    tasks = [(job, n) for job, total in expected.items() for n in range(total)]
    lost = sum(counts[task] == 0 for task in tasks)
    return lost, sum(counts[task] > 1 for task in tasks)


def count_wrong_resumes(runs: Runs) -> tuple[int, int]:
    """Count checkpoints never resumed and those resumed more than once.

    A checkpoint may be resumed again only if the resumed run was lost, that
    is, it neither finished nor wrote a checkpoint of its own.

    :param runs: runs of all workers, of jobs that have ended.
    :returns: numbers of lost and of duplicated checkpoints.
    """
    written = {run.checkpoint for run in runs if run.event == 'checkpointed'}
    resumed = collections.Counter(
        run.resumed
        for run in runs
        if run.resumed and run.event not in ('stopped', 'killed')
    )
    lost = sum(resumed[token] == 0 for token in written)
    return lost, sum(count > 1 for count in resumed.values())


def last_start_delay(
    runs: Runs,
    locations: collections.abc.Collection[str],
    accepted: float,
    until: float,
) -> float:
    """Return the delay from a drain to the last start at its location.

    :param runs: runs of all workers.
    :param locations: workers or data centres that were drained.
    :param accepted: time at which the drain command was accepted.
    :param until: time at which the location was returned to service.
    :returns: seconds since acceptance, 0 without a start.
    """
    delays = (
        run.started - accepted
        for run in runs
        if (run.data_centre in locations or run.worker in locations)
        and accepted < run.started < until
    )
    return max(delays, default=0.0)


def count_wrong_responses(calls: Calls) -> tuple[int, int]:
    """Count responses to other requests and truncated responses."""
    kinds = collections.Counter(call.answer for call in calls)
    return kinds[_records.ResponseKind.MISMATCHED], kinds[
        _records.ResponseKind.TRUNCATED
    ]


def false_not_run(calls: Calls, runs: BackendRuns) -> tuple[str, ...]:
    """Return keys reported as not run that a backend server ran."""
    ran = {run.key for run in runs}
    return tuple(
        call.key
        for call in calls
        if call.outcome == 'not run' and call.key in ran
    )


def answered_without_run(calls: Calls, runs: BackendRuns) -> tuple[str, ...]:
    """Return keys with a complete response that no backend server ran."""
    ran = {run.key for run in runs}
    return tuple(
        call.key
        for call in calls
        if call.answer is _records.ResponseKind.COMPLETE
        and call.key not in ran
    )


def keys_run_twice(
    runs: BackendRuns, keys: collections.abc.Collection[str]
) -> tuple[str, ...]:
    """Return the keys that ran more than once."""
    counts = collections.Counter(run.key for run in runs if run.key in keys)
    return tuple(key for key, count in counts.items() if count > 1)


def last_run_delay(
    runs: BackendRuns, host: str, left: float, until: float
) -> float:
    """Return the delay from leaving to a backend server's last request."""
    delays = (
        run.started - left
        for run in runs
        if run.host == host and left < run.started < until
    )
    return max(delays, default=0.0)
