"""Checks of what callers, workers and backend servers recorded.

Plain functions over records; nothing that citronrail reports of itself is
read, but for the outcome that a caller got with its answer.
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


def end_at_death(
    runs: Runs, deaths: collections.abc.Mapping[str, Runs | tuple[float, ...]]
) -> tuple[task_history.Run, ...]:
    """End the runs that were open when their worker was killed.

    :param runs: runs of all workers.
    :param deaths: times at which workers were killed, by worker.
    :returns: the runs, each ended at the first death after its start.
    """
    ended = []
    for run in runs:
        times = [t for t in deaths.get(run.worker, ()) if t >= run.started]
        died = min(times, default=float('inf'))
        if run.ended == float('inf') and died < run.ended:
            run = dataclasses.replace(run, ended=died, event='killed')
        ended.append(run)
    return tuple(ended)


@dataclasses.dataclass(frozen=True)
class Fullness:
    """The fullest that hosts ever were; ``share`` 1.0 is full."""

    overfull: int
    share: float


def fullness(
    runs: Runs,
    sizes: collections.abc.Mapping[str, resources.Resources],
    capacity: resources.Resources,
) -> Fullness:
    """Add up what ran at the same time on each worker.

    :param runs: runs of all workers.
    :param sizes: declared resources by owner of the tasks.
    :param capacity: capacity of each worker.
    :returns: the number of starts that overfilled a host, and the fullest.
    """
    overfull = 0
    fullest = 0.0
    by_worker = collections.defaultdict(list)
    for run in runs:
        by_worker[run.worker].append(run)
    for own in by_worker.values():
        for moment in own:
            held = resources.Resources()
            for run in own:
                if run.started <= moment.started < run.ended:
                    held = held + sizes[run.owner]
            overfull += not held.fits_in(capacity)
            fullest = max(fullest, _share(held, capacity))
    return Fullness(overfull, fullest)


def _share(held: resources.Resources, capacity: resources.Resources) -> float:
    pairs = (
        (held.millicores, capacity.millicores),
        (held.memory_mb, capacity.memory_mb),
        (held.accelerators, capacity.accelerators),
    )
    return max((a / b if b else float(a > 0)) for a, b in pairs)


def tasks_in_two_places(runs: Runs) -> int:
    """Count starts of a task while an earlier run of it went on."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append((run.started, run.ended))
    return sum(_overlaps(spans) for spans in by_task.values())


def keys_in_two_places(
    runs: BackendRuns, keys: collections.abc.Collection[str]
) -> int:
    """Count runs of a key that began while an earlier one went on."""
    by_key = collections.defaultdict(list)
    for run in runs:
        if run.key in keys:
            by_key[run.key].append((run.started, run.ended))
    return sum(_overlaps(spans) for spans in by_key.values())


def _overlaps(spans: list[tuple[float, float]]) -> int:
    count = 0
    latest_end = float('-inf')
    for started, ended in sorted(spans):
        count += started < latest_end
        latest_end = max(latest_end, ended)
    return count


def not_finished_once(
    runs: Runs, wanted: collections.abc.Mapping[str, int]
) -> tuple[int, int]:
    """Count tasks that never finished and those that did more than once.

    :param runs: runs of all workers.
    :param wanted: number of tasks by job.
    :returns: lost and doubled tasks.
    """
    counts = collections.Counter(
        run.task for run in runs if run.event == 'finished'
    )
    tasks = [(job, n) for job, total in wanted.items() for n in range(total)]
    lost = sum(counts[task] == 0 for task in tasks)
    return lost, sum(counts[task] > 1 for task in tasks)


def wrong_resumes(runs: Runs) -> tuple[int, int]:
    """Count checkpoints never resumed and those resumed more than once.

    A checkpoint may be resumed again only after the resumed run was lost,
    that is, it neither finished nor wrote a checkpoint of its own.

    :param runs: runs of all workers, of jobs that went to their end.
    :returns: lost and doubled checkpoints.
    """
    written = {run.checkpoint for run in runs if run.event == 'checkpointed'}
    resumed = collections.Counter(
        run.resumed
        for run in runs
        if run.resumed and run.event not in ('stopped', 'killed')
    )
    lost = sum(resumed[token] == 0 for token in written)
    return lost, sum(count > 1 for count in resumed.values())


def latest_start(
    runs: Runs,
    places: collections.abc.Collection[str],
    accepted: float,
    until: float,
) -> float:
    """Return how long after its drain a place had its last start.

    :param runs: runs of all workers.
    :param places: workers or data centres that were taken out.
    :param accepted: when the command was accepted.
    :param until: when the place was given back.
    :returns: seconds after acceptance, 0 without a start.
    """
    late = (
        run.started - accepted
        for run in runs
        if (run.data_centre in places or run.worker in places)
        and accepted < run.started < until
    )
    return max(late, default=0.0)


def wrong_answers(calls: Calls) -> tuple[int, int]:
    """Count answers of other requests and truncated ones."""
    kinds = collections.Counter(call.answer for call in calls)
    return kinds[_records.Answer.MIXED], kinds[_records.Answer.CUT]


def false_not_run(calls: Calls, runs: BackendRuns) -> tuple[str, ...]:
    """Return keys reported as not run that a backend server did run."""
    ran = {run.key for run in runs}
    return tuple(
        call.key
        for call in calls
        if call.outcome == 'not run' and call.key in ran
    )


def invented(calls: Calls, runs: BackendRuns) -> tuple[str, ...]:
    """Return keys with a whole answer that no backend server ran."""
    ran = {run.key for run in runs}
    return tuple(
        call.key
        for call in calls
        if call.answer is _records.Answer.WHOLE and call.key not in ran
    )


def run_twice(
    runs: BackendRuns, keys: collections.abc.Collection[str]
) -> tuple[str, ...]:
    """Return those of the keys that ran more than once."""
    counts = collections.Counter(run.key for run in runs if run.key in keys)
    return tuple(key for key, count in counts.items() if count > 1)


def latest_run(
    runs: BackendRuns, host: str, left: float, until: float
) -> float:
    """Return how long after it left a backend server got its last request."""
    late = (
        run.started - left
        for run in runs
        if run.host == host and left < run.started < until
    )
    return max(late, default=0.0)
