"""Tracks jobs that have nothing running although a task's turn has come.

Tasks that last are tracked one by one, since each of them serves its users.
The state is brought up to date at intervals, not in each round.
"""

import collections.abc
import dataclasses
import itertools

from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _placement
from citronrail.workflow import _service_room
from citronrail.workflow import _wait_reason
from citronrail.workflow import _worker_view

CHECK_INTERVAL_S = 0.25
LOG_AFTER_S = 1.5
LOG_INTERVAL_S = 2.0  # for each job
# Jobs examined for the log at a time; the others follow in the next checks.
MAX_EXAMINED = 20
# Waiting tasks of a step that lasts; the others follow once these run.
MAX_TRACKED_TASKS = 256
# Callers expect work to start in a service of which half is free. The margin
# covers ends that aren't listed yet.
MAX_USED_RATIO = 0.6
# A run that was assigned is expected on a list within this time.
LISTED_WITHIN_S = 1.2

Ready = tuple[_job.Job, list[_job.Stage]]
Workers = collections.abc.Mapping[str, _worker_view.WorkerView]


@dataclasses.dataclass
class Wait:
    """A task that waits while its job, or itself if it lasts, has no run.

    :param task: one waiting task of the job, or the one that lasts.
    :param since: since when nothing runs, local time in seconds.
    :param logged_at: when it was last logged, 0 for never.
    :param tried_at: when no worker was found for it last, 0 for never.
    """

    task: _job.Task
    since: float
    logged_at: float = 0.0
    tried_at: float = 0.0

    @property
    def lasts(self) -> bool:
        """Whether it is about a single task that lasts."""
        return self.task.stage.spec.long_running


@dataclasses.dataclass(frozen=True)
class ServiceState:
    """Workers of a service during a check.

    :param candidates: remaining capacity of the usable workers.
    :param others: that of workers out of contact.
    """

    candidates: list[_placement.WorkerCapacity]
    others: list[_placement.WorkerCapacity] = dataclasses.field(
        default_factory=list
    )


class IdleJobs:
    """Since when jobs, and tasks that last, have had nothing running."""

    def __init__(self) -> None:
        self._waits: dict[str, Wait] = {}  # by name of the job or task
        # By service: since when less than MAX_USED_RATIO of it is in use.
        self._free_since: dict[str, float] = {}
        self._next_at = 0.0

    def update(
        self,
        ready: collections.abc.Iterable[Ready],
        workers: Workers,
        now: float,
        unix_now: float,
    ) -> bool:
        """Bring the state up to date, if that is due.

        :param ready: jobs with waiting tasks, with the stages of these.
        :param workers: all workers.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        :returns: whether it was due.
        """
        if now < self._next_at:
            return False
        self._next_at = now + CHECK_INTERVAL_S
        clock = _Clock(workers, now, unix_now)
        earlier, self._waits = self._waits, {}
        for job, stages in ready:
            first = None  # waiting task of a step that ends
            for stage in stages:
                if not stage.spec.long_running:
                    first = first or _first_waiting(stage)
                    continue
                waiting = stage.waiting_tasks()
                for task in itertools.islice(waiting, MAX_TRACKED_TASKS):
                    self._keep(task.name, task, earlier, now)
            if first is None:
                continue
            if not (job.started and clock.is_running(job.attempts())):
                self._keep(job.job_id, first, earlier, now)
        for name, wait in earlier.items():
            if name not in self._waits and _still_waits(wait, clock):
                self._waits[name] = wait
        return True

    def _keep(
        self, name: str, task: _job.Task, earlier: dict[str, Wait], now: float
    ) -> None:
        wait = earlier.get(name) or Wait(task, now)
        wait.task = task
        self._waits[name] = wait

    def waiting_for(self, seconds: float, now: float) -> list[Wait]:
        """Return the waits of at least a duration, the longest first.

        :param seconds: the duration.
        :param now: local time in seconds.
        """
        found = [
            wait
            for wait in self._waits.values()
            if now - wait.since >= seconds
        ]
        found.sort(key=lambda wait: wait.since)
        return found

    def record_use(
        self, used: collections.abc.Mapping[str, float], now: float
    ) -> None:
        """Record how much of the services with waiting jobs is in use.

        :param used: by service, the share in use.
        :param now: local time in seconds.
        """
        self._free_since = {
            service: self._free_since.get(service, now)
            for service, ratio in used.items()
            if ratio < MAX_USED_RATIO
        }

    def free_s(self, service: str, now: float) -> float:
        """Return for how long a service has had room, 0.0 if it has none.

        :param service: a service with waiting jobs.
        :param now: local time in seconds.
        """
        return now - self._free_since.get(service, now)

    def _due_logs(self, now: float) -> list[Wait]:
        return [
            wait
            for wait in self.waiting_for(LOG_AFTER_S, now)
            if not wait.logged_at or now - wait.logged_at >= LOG_INTERVAL_S
        ]

    def log(
        self,
        service_of: collections.abc.Callable[[_job.Job], str],
        state_of: collections.abc.Callable[[str], ServiceState],
        factors: _interference.PairFactors,
        now: float,
    ) -> None:
        """Log jobs that have had nothing running although there is room.

        :param service_of: returns the service whose workers run a job.
        :param state_of: returns the workers of a service.
        :param factors: learned interference factors.
        :param now: local time in seconds.
        """
        states: dict[str, ServiceState] = {}
        used: dict[str, float] = {}
        for wait in self._due_logs(now)[:MAX_EXAMINED]:
            wait.logged_at = now
            service = service_of(wait.task.stage.job)
            if service not in states:
                state = states[service] = state_of(service)
                used[service] = _service_room.used_ratio(
                    state.candidates + state.others
                )
            if wait.lasts or used[service] < MAX_USED_RATIO:
                _log(wait, states[service], used[service], factors, now)


def _first_waiting(stage: _job.Stage) -> _job.Task | None:
    return next(stage.waiting_tasks(), None)


def has_room(
    task: _job.Task,
    candidates: collections.abc.Iterable[_placement.WorkerCapacity],
) -> bool:
    """Whether the capacity that a task asks for is free twice over.

    :param task: the task; a gang counts as a whole.
    :param candidates: remaining capacity of the workers.
    """
    stage = task.stage
    needed = 2 * (stage.task_count if stage.spec.gang else 1)
    found = _service_room.slots(stage.spec, stage.name, candidates, needed)
    return found >= needed


def _log(
    wait: Wait,
    state: ServiceState,
    used: float,
    factors: _interference.PairFactors,
    now: float,
) -> None:
    task = wait.task
    if not has_room(task, state.candidates + state.others):
        return
    reason = _wait_reason.of_task(task, state.candidates, factors, now)
    if reason is _wait_reason.Reason.NO_ROOM:
        reason = _wait_reason.Reason.UNUSABLE
    metrics.WAITS_WITH_ROOM.labels(reason.value).inc()
    observability.emit(
        events.WAITS_WITH_ROOM,
        job=task.stage.job.job_id,
        task=task.name,
        seconds=round(now - wait.since, 2),
        used=round(100 * used),
        reason=reason.value,
    )


@dataclasses.dataclass(frozen=True)
class _Clock:
    workers: Workers
    now: float
    unix_now: float

    def is_running(
        self, attempts: collections.abc.Iterable[_job.Attempt]
    ) -> bool:
        """Whether a run is listed, or was assigned a moment ago."""
        for attempt in attempts:
            if not attempt.listed_at:
                if self.unix_now - attempt.assigned_at < LISTED_WITHIN_S:
                    return True
                continue
            view = self.workers.get(attempt.node)
            if view is None or attempt.missing_from_ms is not None:
                continue
            list_age_s = self.now - view.listed_at
            if (
                not view.unreachable_since
                and list_age_s < _worker_view.MAX_LIST_AGE_S
            ):
                return True
        return False


def _still_waits(wait: Wait, clock: _Clock) -> bool:
    """Whether a wait goes on though its task can't be placed right now.

    Its start may be refused, or its run may be missing from the lists.
    """
    task = wait.task
    if task.done or not task.stage.job.open:
        return False
    attempts = task.attempts if wait.lasts else task.stage.job.attempts()
    return not clock.is_running(attempts)
