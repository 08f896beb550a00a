"""Keeps the order of waiting jobs by cost of delay between rounds.

Answers rounds with 2,000 waiting tasks on 60 workers: the remaining work is
counted and the deferred jobs are selected at most four times a second, and a
round in between only looks up the key of each job.
"""

import collections
import collections.abc
import dataclasses

from citronrail.model import messages
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _documents as documents
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _placement
from citronrail.workflow import _queue_order
from citronrail.workflow import _worker_view
from citronrail.workflow.overload import _cost_of_delay
from citronrail.workflow.overload import _run_times

RECOMPUTE_INTERVAL_S = 0.25
# Outcomes of earlier jobs that ageing considers, for each queue.
OUTCOME_WINDOW_S = 60.0
MAX_OUTCOMES = 256
MB_PER_GB = 1024

Ready = tuple[_job.Job, list[_job.Stage]]
ByService = collections.abc.Mapping[str, list[_placement.WorkerCapacity]]
Workers = collections.abc.Mapping[str, _worker_view.WorkerView]
QueueLookup = collections.abc.Callable[[str], workflows.Queue | None]


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Queues and workers during a round."""

    queue_named: QueueLookup
    workers: Workers
    candidates: ByService

    def service_of(self, job: _job.Job) -> str:
        """Return the service whose workers run a job."""
        queue = self.queue_named(job.record.queue)
        return queue.service if queue else job.record.service


class _Tracked:
    """A job that has waited, until its outcome is known."""

    __slots__ = (
        'job',
        'logged',
        'objective_s',
        'outcome_known',
        'since',
        'size',
    )

    def __init__(self, job: _job.Job, objective_s: float, now: float) -> None:
        self.job = job
        self.objective_s = objective_s
        self.since = now
        self.logged = False  # whether its deferral was logged
        self.outcome_known = False
        self.size = sum(
            step.task_count * step.cpu_millis * step.estimate_s / 1000
            for step in job.record.spec.steps
        )


@dataclasses.dataclass
class _Outcome:
    ended_at: float
    size: float
    served: bool


class JobOrder:
    """Order of the waiting jobs of all services.

    :param run_times: observed run times.
    :param reorders: whether crowded services are ordered by cost of delay;
        otherwise only the backlog is determined.
    """

    def __init__(
        self, run_times: _run_times.RunTimes, *, reorders: bool = True
    ) -> None:
        self._run_times = run_times
        self._reorders = reorders
        # Backlog of the crowded services, and the local time of its making.
        self.backlog: tuple[messages.ServiceBacklog, ...] = ()
        self.backlog_at = 0.0
        self._keys: dict[str, _cost_of_delay.Key] = {}
        self._next_at = 0.0
        self._crowded: set[str] = set()  # services whose waiting work exceeds
        self._tracked: dict[str, _Tracked] = {}
        self._outcomes: dict[str, collections.deque[_Outcome]] = {}

    def sort_keys(
        self, ready: list[Ready], fleet: Fleet, now: float
    ) -> list[_cost_of_delay.Key]:
        """Return the sort keys of jobs; the lowest is scheduled first.

        :param ready: jobs with tasks to place, with the stages of these.
        :param fleet: queues and workers.
        :param now: local time in seconds.
        """
        if now >= self._next_at:
            self._next_at = now + RECOMPUTE_INTERVAL_S
            self._recompute(ready, fleet, now)
        keys = []
        for job, stages in ready:
            key = self._keys.get(job.job_id)
            if key is None:
                key = self._key_of_other(job, stages, fleet, now)
            keys.append(key)
        return keys

    def clear(self, now: float) -> None:
        """Record that no task waits.

        :param now: local time in seconds.
        """
        self.backlog = ()
        self.backlog_at = now
        metrics.JOBS_DEFERRED.set(0)

    def _key_of_other(
        self, job: _job.Job, stages: list[_job.Stage], fleet: Fleet, now: float
    ) -> _cost_of_delay.Key:
        """Return the key of a newcomer, or of a job with today's order."""
        queue = fleet.queue_named(job.record.queue)
        if (
            not self._reorders
            or fleet.service_of(job) not in self._crowded
            or not (_runs_once(job) and _has_objective(queue))
        ):
            return present_key(job, stages, queue, now)
        key = _cost_of_delay.group_key(self._waiting_job(job, queue, now), now)
        self._keys[job.job_id] = key
        return key

    def _recompute(self, ready: list[Ready], fleet: Fleet, now: float) -> None:
        self._update_outcomes(now)
        self._keys = {}
        deferred: set[str] = set()
        by_service: dict[str, list[Ready]] = {}
        for item in ready:
            by_service.setdefault(fleet.service_of(item[0]), []).append(item)
        self._crowded = {
            service
            for service, members in by_service.items()
            if not _fits(members, fleet.candidates.get(service, []), now)
        }
        backlog = []
        for service in sorted(self._crowded):
            throughput = _throughput(service, fleet)
            jobs = [
                self._waiting_job(
                    job, fleet.queue_named(job.record.queue), now
                )
                for job, _ in by_service[service]
                if _runs_once(job)
            ]
            if self._reorders:
                deferred |= self._order(jobs, throughput, fleet, now)
            candidates = fleet.candidates.get(service, [])
            backlog.append(
                self._backlog_of(service, throughput, jobs, candidates, now)
            )
        self.backlog = tuple(backlog)
        self.backlog_at = now
        self._log_deferred(deferred)
        metrics.JOBS_DEFERRED.set(len(deferred))

    def _order(
        self,
        jobs: list[_cost_of_delay.WaitingJob],
        throughput: _cost_of_delay.Service,
        fleet: Fleet,
        now: float,
    ) -> frozenset[str]:
        ordered = [
            job for job in jobs if _has_objective(fleet.queue_named(job.queue))
        ]
        outcomes = {
            queue: _cost_of_delay.Outcomes(
                tuple(item.size for item in items if item.served),
                tuple(item.size for item in items if not item.served),
            )
            for queue, items in self._outcomes.items()
        }
        found = _cost_of_delay.order(ordered, throughput, outcomes, now)
        self._keys.update(found.keys)
        return found.deferred

    def _backlog_of(
        self,
        service: str,
        throughput: _cost_of_delay.Service,
        jobs: list[_cost_of_delay.WaitingJob],
        candidates: list[_placement.WorkerCapacity],
        now: float,
    ) -> messages.ServiceBacklog:
        """Return the work ahead of new jobs of each priority.

        Jobs of the same priority that can't end while of use go after it.
        """
        rows = []
        core_s = gb_s = 0.0  # of higher priorities
        for priority in sorted({job.priority for job in jobs}):
            members = [job for job in jobs if job.priority == priority]
            useful = [
                job
                for job in members
                if (
                    self._keys.get(job.job_id)
                    or _cost_of_delay.group_key(job, now)
                )[1]
                <= _cost_of_delay.LATE
            ]
            rows.append(
                messages.BacklogAhead(
                    priority,
                    core_s + sum(job.remaining_core_s for job in useful),
                    gb_s + sum(job.remaining_gb_s for job in useful),
                )
            )
            core_s += sum(job.remaining_core_s for job in members)
            gb_s += sum(job.remaining_gb_s for job in members)
        free = max(
            (
                item
                for item in candidates
                if not item.avoided and not item.reserved
            ),
            key=lambda item: item.free_memory,
            default=None,
        )
        free_cpu = min(free.free_cpu, free.idle_cpu) if free else 0
        return messages.ServiceBacklog(
            service,
            throughput.cores,
            throughput.memory_gb,
            tuple(rows),
            max(0, int(free_cpu)),
            max(0, free.free_memory) if free else 0,
        )

    def _waiting_job(
        self, job: _job.Job, queue: workflows.Queue | None, now: float
    ) -> _cost_of_delay.WaitingJob:
        tracked = self._tracked.get(job.job_id)
        objective_s = _queue_order.objective_s(queue, job.path_s())
        if tracked is None:
            tracked = _Tracked(job, objective_s, now)
            self._tracked[job.job_id] = tracked
        tracked.objective_s = objective_s
        remaining = remaining_work(job, self._run_times)
        return _cost_of_delay.WaitingJob(
            job_id=job.job_id,
            queue=job.record.queue,
            priority=_queue_order.priority(queue),
            arrived_at=job.arrived_at,
            objective_s=tracked.objective_s,
            remaining_s=remaining.path_s,
            remaining_core_s=remaining.core_s,
            remaining_gb_s=remaining.gb_s,
            size=tracked.size,
            waited_since=tracked.since,
            begun=job.begun,
        )

    def _update_outcomes(self, now: float) -> None:
        """Record jobs that have ended or become worthless."""
        for job_id, tracked in list(self._tracked.items()):
            job = tracked.job
            useful_s = _queue_order.USEFUL_TIME_RATIO * tracked.objective_s
            is_open = job.open
            if not is_open:
                del self._tracked[job_id]
            if tracked.outcome_known:
                continue
            if is_open and now <= job.arrived_at + useful_s:
                continue
            tracked.outcome_known = True
            if job.cancelled:
                continue
            served = job.status is documents.JobStatus.COMPLETED and (
                job.ended_at - job.record.accepted_at <= useful_s
            )
            self._outcomes.setdefault(
                job.record.queue, collections.deque(maxlen=MAX_OUTCOMES)
            ).append(_Outcome(now, tracked.size, served))
        for items in self._outcomes.values():
            while items and items[0].ended_at < now - OUTCOME_WINDOW_S:
                items.popleft()

    def _log_deferred(self, deferred: set[str]) -> None:
        """Log each job once; it may be deferred again and again."""
        for job_id in sorted(deferred):
            tracked = self._tracked[job_id]
            if tracked.logged:
                continue
            tracked.logged = True
            observability.emit(
                events.JOB_DEFERRED,
                job=job_id,
                queue=tracked.job.record.queue,
                work=round(tracked.size, 1),
                jobs=len(deferred),
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Remaining:
    """What is left to do for a job; its running tasks count in the path."""

    path_s: float
    core_s: float
    gb_s: float


def remaining_work(job: _job.Job, run_times: _run_times.RunTimes) -> Remaining:
    """Return what is left to do for a job that runs once.

    :param job: the job.
    :param run_times: observed run times.
    """
    finish_times: list[float] = []
    core_s = gb_s = 0.0
    for number, spec in enumerate(job.record.spec.steps):
        stage_s = 0.0
        if not job.is_stage_done(number):
            run_s = run_times.expected_step_run_s(
                job.record.queue, spec, f'{job.job_id}.0.{number}'
            )
            stage = job.find_stage(number)
            waiting = spec.task_count - (stage.done_count if stage else 0)
            slowest = 100
            for task in stage.known_tasks() if stage else ():
                if task.attempts and not task.done:
                    waiting -= 1
                    percent = max(item.percent for item in task.attempts)
                    slowest = min(slowest, max(0, percent))
            task_s = run_s * waiting
            core_s += task_s * spec.cpu_millis / 1000
            gb_s += task_s * spec.memory_mb / MB_PER_GB
            stage_s = run_s if waiting > 0 else run_s * (100 - slowest) / 100
        start_s = max(
            (finish_times[n] for n in spec.after if n < len(finish_times)),
            default=0.0,
        )
        finish_times.append(start_s + stage_s)
    return Remaining(max(finish_times, default=0.0), core_s, gb_s)


def present_key(
    job: _job.Job,
    stages: list[_job.Stage],
    queue: workflows.Queue | None,
    now: float,
) -> _cost_of_delay.Key:
    """Return the key of a job in the order by slack.

    :param job: the job.
    :param stages: its stages with tasks to place.
    :param queue: its queue, None if that has been removed.
    :param now: local time in seconds.
    """
    priority, group, value = _queue_order.sort_key(
        _queue_order.WaitingJob(
            priority=_queue_order.priority(queue),
            arrived_at=job.arrived_at,
            objective_s=_queue_order.objective_s(queue, job.path_s()),
            remaining_s=job.left_s(),
            long_running=any(s.spec.long_running for s in stages),
        ),
        now,
    )
    # The order by cost of delay has one more group before the worthless jobs.
    group = _GROUPS[group]
    return (priority, group, value)


_GROUPS = (
    _cost_of_delay.ON_TIME,
    _cost_of_delay.LATE,
    _cost_of_delay.WORTHLESS,
)


def _runs_once(job: _job.Job) -> bool:
    spec = job.record.spec
    return not spec.occurrences and not any(
        step.long_running for step in spec.steps
    )


def _has_objective(queue: workflows.Queue | None) -> bool:
    return queue is not None and (
        queue.stretch > 1.0 or queue.objective_s > 0.0
    )


def _fits(
    members: list[Ready],
    candidates: list[_placement.WorkerCapacity],
    now: float,
) -> bool:
    """Whether the waiting tasks need no more than the workers have left."""
    cpu = reserved_cpu = memory = accelerators = 0
    for _, stages in members:
        for stage in stages:
            spec = stage.spec
            count = stage.startable_count(now)
            cpu += count * spec.cpu_millis
            memory += count * spec.memory_mb
            accelerators += count * spec.accelerators
            if not spec.fills:
                reserved_cpu += count * spec.cpu_millis
    return (
        cpu <= sum(max(0, item.idle_cpu) for item in candidates)
        and reserved_cpu <= sum(max(0, item.free_cpu) for item in candidates)
        and memory <= sum(max(0, item.free_memory) for item in candidates)
        and accelerators
        <= sum(max(0, item.free_accelerators) for item in candidates)
    )


def _throughput(service: str, fleet: Fleet) -> _cost_of_delay.Service:
    """Return what the runs in progress of a service use, and what is free."""
    cpu = memory = 0.0
    for item in fleet.candidates.get(service, []):
        cpu += max(0.0, item.idle_cpu)
        memory += max(0, item.free_memory)
        for attempt in fleet.workers[item.node].attempts.values():
            spec = attempt.task.stage.spec
            if not spec.long_running:
                cpu += spec.cpu_millis * attempt.pace / 100
                memory += spec.memory_mb
    return _cost_of_delay.Service(cpu / 1000, memory / MB_PER_GB)
