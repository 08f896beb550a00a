"""Run history of the workers of a fleet, read from their files."""

import collections
import dataclasses
import json
import pathlib

END_EVENTS = frozenset({'finished', 'failed', 'stopped', 'checkpointed'})


@dataclasses.dataclass(frozen=True)
class Run:
    """One attempt as its worker recorded it, on the monotonic clock.

    ``ended`` is infinity while it runs. ``event`` is the way it ended and
    ``resumed`` the checkpoint it was started from, or ''.
    """

    worker: str
    data_centre: str
    owner: str
    index: int
    number: int
    started: float
    ended: float
    event: str
    resumed: str
    checkpoint: str

    @property
    def task(self) -> tuple[str, int]:
        """Identity of the task."""
        return (self.owner, self.index)


def read_runs(
    path: pathlib.Path, worker: str, data_centre: str
) -> tuple[Run, ...]:
    """Read the runs from a worker's history file.

    :param path: history file; a missing file is treated as empty.
    :param worker: name of the worker.
    :param data_centre: data centre of the worker.
    :returns: the runs ordered by start time.
    """
    open_runs: dict[tuple[str, int, int], Run] = {}
    runs: list[Run] = []
    lines = path.read_text().splitlines() if path.exists() else []
    for line in lines:
        if not line.endswith('}'):
            continue  # truncated: the worker was killed during the write
        record = json.loads(line)
        attempt = record['attempt']
        key = (
            attempt['task']['owner'],
            attempt['task']['index'],
            attempt['number'],
        )
        match record['event']:
            case 'start':
                open_runs[key] = Run(
                    worker,
                    data_centre,
                    *key,
                    record['at'],
                    float('inf'),
                    'running',
                    record.get('detail', ''),
                    '',
                )
            case event if event in END_EVENTS and key in open_runs:
                runs.append(
                    dataclasses.replace(
                        open_runs.pop(key),
                        ended=record['at'],
                        event=event,
                        checkpoint=record.get('checkpoint', ''),
                    )
                )
    runs.extend(open_runs.values())
    return tuple(sorted(runs, key=lambda run: run.started))


def overlapping(
    runs: tuple[Run, ...],
) -> tuple[tuple[Run, Run], ...]:
    """Return pairs of runs of one task that ran at the same time."""
    by_task: dict[tuple[str, int], list[Run]] = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started):
        by_task[run.task].append(run)
    return tuple(
        (earlier, later)
        for ordered in by_task.values()
        for earlier, later in zip(ordered, ordered[1:])
        if later.started < earlier.ended
    )


def resumed_twice(runs: tuple[Run, ...]) -> tuple[str, ...]:
    """Return the checkpoints from which more than one run resumed."""
    counts = collections.Counter(run.resumed for run in runs if run.resumed)
    return tuple(token for token, count in counts.items() if count > 1)


def finished(runs: tuple[Run, ...], owner: str) -> dict[int, int]:
    """Return how often each task of a job finished.

    :param runs: all runs.
    :param owner: the job.
    :returns: the number of finished runs by task index.
    """
    counts: collections.Counter[int] = collections.Counter(
        run.index
        for run in runs
        if run.owner == owner and run.event == 'finished'
    )
    return dict(counts)


def started_in(
    runs: tuple[Run, ...], data_centre: str, since: float, until: float
) -> tuple[Run, ...]:
    """Return the runs started in a data centre within a time interval."""
    return tuple(
        run
        for run in runs
        if run.data_centre == data_centre and since < run.started < until
    )
