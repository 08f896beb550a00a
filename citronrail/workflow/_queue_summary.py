"""Summarises where the time of each queue's unfinished steps goes.

Answers logs in which late jobs can't be told apart: their tasks may wait for
room or for a rule of placement, run at a low pace, or be stopped or lost
again and again.
"""

import collections
import collections.abc
import dataclasses

from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _placement
from citronrail.workflow import _wait_reason

INTERVAL_S = 1.0
# Steps of a queue whose reason is looked for, as that visits all workers; the
# others count with the reason of the last one.
MAX_EXAMINED_STEPS = 4

Workers = collections.abc.Mapping[str, list[_placement.WorkerCapacity]]
ServiceOf = collections.abc.Callable[[_job.Job], str]


@dataclasses.dataclass(frozen=True)
class QueueSummary:
    """Unfinished work of a queue at a moment.

    :param queue: name of the queue.
    :param jobs: unfinished jobs with a step whose turn has come.
    :param waiting: tasks without a run, by what keeps them from starting.
    :param longest: name of the step that has waited longest, '' for none.
    :param waiting_s: for how long it has waited, in seconds.
    :param longest_reason: what keeps its tasks from starting, '' for none.
    :param unlisted: runs that no worker has listed yet.
    :param running: listed runs.
    :param pace: mean pace of the listed runs in percent.
    :param held: listed runs with pace 0.
    """

    queue: str
    jobs: int
    waiting: collections.abc.Mapping[_wait_reason.Reason, int]
    longest: str
    waiting_s: float
    longest_reason: str
    unlisted: int
    running: int
    pace: int
    held: int


class QueueSummaries:
    """Logs a summary of each queue once a second.

    :param stopped: numbers of runs that were stopped or discarded since the
        last summary, by queue and reason; the summaries clear it.
    """

    def __init__(self, stopped: collections.Counter[tuple[str, str]]) -> None:
        self._stopped = stopped
        self._next_at = 0.0

    def due(self, now: float) -> bool:
        """Whether the next summaries are due.

        :param now: local time in seconds.
        """
        return now >= self._next_at

    def log(
        self,
        jobs: collections.abc.Iterable[_job.Job],
        service_of: ServiceOf,
        by_service: Workers,
        factors: _interference.PairFactors,
        now: float,
        unix_now: float,
    ) -> None:
        """Log a summary of each queue with unfinished steps.

        :param jobs: all jobs.
        :param service_of: returns the service whose workers run a job.
        :param by_service: remaining capacity of the usable workers.
        :param factors: learned interference factors.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        """
        self._next_at = now + INTERVAL_S
        ready: dict[str, list[_job.Stage]] = {}
        for job in jobs:
            if job.open:
                stages = ready.setdefault(job.record.queue, [])
                stages.extend(job.ready_stages(unix_now))
        for queue, stages in ready.items():
            if stages:
                summary = summarise(
                    queue, stages, service_of, by_service, factors, now
                )
                self._emit(summary)
        self._stopped.clear()

    def _emit(self, summary: QueueSummary) -> None:
        for reason, count in summary.waiting.items():
            metrics.WAITING_TASK_SECONDS.labels(reason.value).inc(
                count * INTERVAL_S
            )
        stopped = {
            reason: count
            for (queue, reason), count in self._stopped.items()
            if queue == summary.queue
        }
        observability.emit(
            events.QUEUE_SUMMARY,
            queue=summary.queue,
            jobs=summary.jobs,
            waiting=sum(summary.waiting.values()),
            longest=summary.longest or 'none',
            seconds=round(summary.waiting_s, 1),
            reason=summary.longest_reason or 'none',
            reasons=_format_counts(
                {key.value: n for key, n in summary.waiting.items()}
            ),
            unlisted=summary.unlisted,
            running=summary.running,
            pace=summary.pace,
            held=summary.held,
            stopped=_format_counts(stopped),
        )


def summarise(
    queue: str,
    stages: collections.abc.Collection[_job.Stage],
    service_of: ServiceOf,
    by_service: Workers,
    factors: _interference.PairFactors,
    now: float,
) -> QueueSummary:
    """Return the summary of a queue.

    :param queue: name of the queue.
    :param stages: its unfinished steps whose turn has come.

    The other parameters are those of :meth:`QueueSummaries.log`.
    """
    waiting: collections.Counter[_wait_reason.Reason] = collections.Counter()
    reason = _wait_reason.Reason.NO_ROOM
    longest = longest_reason = ''
    since = now
    # Steps that have not been tried yet are the last.
    by_age = sorted(stages, key=lambda stage: stage.ready_since or now)
    examined = 0
    for stage in by_age:
        if not stage.has_waiting:
            continue
        if examined < MAX_EXAMINED_STEPS:
            examined += 1
            candidates = by_service.get(service_of(stage.job), [])
            first = next(stage.waiting_tasks())
            reason = _wait_reason.of_task(first, candidates, factors, now)
        if not longest:
            longest, longest_reason = stage.name, reason.value
            since = stage.ready_since or now
        waiting[reason] += stage.waiting_count
    runs = [
        attempt
        for stage in stages
        for task in stage.known_tasks()
        for attempt in task.attempts
    ]
    listed = [attempt for attempt in runs if attempt.listed_at]
    return QueueSummary(
        queue,
        jobs=len({stage.job.job_id for stage in stages}),
        waiting=waiting,
        longest=longest,
        waiting_s=now - since,
        longest_reason=longest_reason,
        unlisted=len(runs) - len(listed),
        running=len(listed),
        pace=sum(run.pace for run in listed) // max(1, len(listed)),
        held=sum(run.pace == 0 for run in listed),
    )


def _format_counts(counts: collections.abc.Mapping[str, int]) -> str:
    rows = [f'{count} {name}' for name, count in sorted(counts.items())]
    return ', '.join(rows) or 'none'
