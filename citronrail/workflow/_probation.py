"""Starts suspected tasks so that a crash would point to their job alone.

Answers a task that crashes each worker that starts it, beside other tasks
that start all the time: a suspected task starts on a worker without other new
runs, and nothing else starts there until it is listed, no other suspected task
until it has lasted. Where all workers have new runs, some are held until
theirs are listed.
"""

import collections
import collections.abc
import dataclasses

from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _placement
from citronrail.workflow import _step_ranking
from citronrail.workflow import _worker_view

HOLD_S = 2.0  # new runs are listed in less, or their worker is in trouble
# After this wait a task may start on a host that lost its worker lately or to
# which a crash pointed, and one that was lost only once, among other new runs,
# starts like any other.
MAX_WAIT_S = 1.5
# After this wait a task starts on a worker with a suspected run of another job
# that is listed, but has not lasted. A run is seen to have lasted 0.5 to 1.1 s
# after its first list.
MAX_LASTING_WAIT_S = 1.2
# After this wait a task starts beside other new runs. A job that has nothing
# running for 3 s although there is room counts as lost.
MAX_ALONE_WAIT_S = 2.2
# Share of a service's workers that are on probation or held at a time.
MAX_RESERVED_RATIO = 0.5

Workers = collections.abc.Mapping[str, _worker_view.WorkerView]


def end_listed(workers: Workers) -> None:
    """End the probation of workers that have listed the suspected runs.

    :param workers: all workers.
    """
    for view in workers.values():
        job = view.probation_job
        if job is not None and not any(
            attempt.task.stage.job is job and not attempt.listed_at
            for attempt in view.attempts.values()
        ):
            view.probation_job = None


def must_start_alone(task: _job.Task, now: float) -> bool:
    """Whether a task may only start as the one new run of its worker.

    :param task: a waiting task.
    :param now: local time in seconds.
    """
    if len(task.crashes) == 1 and not task.crashes[0].sole:
        return now - task.retry_at <= MAX_WAIT_S
    return bool(task.crashes)


def startable_tasks(
    stage: _job.Stage, now: float
) -> collections.abc.Iterator[_job.Task]:
    """Iterate over tasks that may start now, beside other new runs.

    :param stage: their stage.
    :param now: local time in seconds.
    """
    return (
        task
        for task in stage.startable_tasks(now)
        if not must_start_alone(task, now)
    )


def is_reserved(view: _worker_view.WorkerView, now: float) -> bool:
    """Whether only a suspected task may start on a worker.

    :param view: the worker.
    :param now: local time in seconds.
    """
    return view.probation_job is not None or view.held_until > now


@dataclasses.dataclass(frozen=True)
class Probation:
    """Chooses workers for suspected tasks during a round.

    :param workers: all workers.
    :param candidates: remaining capacity of the usable ones of a service.
    :param factors: learned interference factors.
    :param now: local time in seconds.
    """

    workers: Workers
    candidates: collections.abc.Sequence[_placement.WorkerCapacity]
    factors: _interference.PairFactors
    now: float

    def take(self, task: _job.Task) -> _step_ranking.Choice | None:
        """Choose a worker for a suspected task and reserve it for its job.

        A worker with few runs loses little if it crashes. That is often the
        one that has just come back, so a sound host goes first.

        :param task: the task.
        :returns: the choice, None if the task has to wait.
        """
        job = task.stage.job
        fitting = self._fitting(task)
        open_ones = [item for item in fitting if self._is_open_to(job, item)]
        if not self._waited(task, MAX_LASTING_WAIT_S):
            open_ones = [
                item
                for item in open_ones
                if not self._may_crash_under(job, item)
            ]
        if self._at_limit():
            open_ones = [item for item in open_ones if item.reserved]
        if not open_ones and self._waited(task, MAX_ALONE_WAIT_S):
            open_ones = [
                item
                for item in fitting
                if self.workers[item.node].probation_job in (None, job)
            ]
        if not open_ones:
            return None
        losses = job.host_losses
        crashes = collections.Counter(crash.node for crash in task.crashes)
        chosen = min(
            open_ones,
            key=lambda item: (
                losses.count(item.node, self.now) + crashes[item.node],
                len(self.workers[item.node].attempts),
            ),
        )
        view = self.workers[chosen.node]
        observability.emit(
            events.SUSPECT_PLACED,
            task=task.name,
            node=chosen.node,
            seconds=round(self.now - task.retry_at, 2),
            alone='beside new runs' if view.new_run_count else 'alone',
            losses=losses.count(chosen.node, self.now),
        )
        view.probation_job = job
        view.held_until = 0.0
        chosen.reserved = True
        spec = task.stage.spec
        pace = _placement.initial_pace(spec, chosen, self.factors)
        chosen.reserve(spec, task.stage.name)
        return _step_ranking.Choice(chosen, pace)

    def hold(self, tasks: collections.abc.Sequence[_job.Task]) -> None:
        """Hold a worker for each task that found none.

        :param tasks: one waiting task of each job.
        """
        held = sum(
            self.workers[candidate.node].held_until > self.now
            for candidate in self.candidates
        )
        for task in tasks[held:]:
            fitting = [
                candidate
                for candidate in self._fitting(task)
                if not candidate.reserved
            ]
            if not fitting or self._at_limit():
                continue
            chosen = min(
                fitting, key=lambda item: self.workers[item.node].new_run_count
            )
            chosen.reserved = True
            self.workers[chosen.node].held_until = self.now + HOLD_S

    def _fitting(self, task: _job.Task) -> list[_placement.WorkerCapacity]:
        """Return the workers that may start a task.

        Hosts that a crash has pointed to, or that lost their worker lately,
        are left out at first; others may be too small or full. Where there
        are no others, a wait would only bring the next loss closer.
        """
        blamed = {crash.node for crash in task.crashes if crash.sole}
        losses = task.stage.job.host_losses
        any_host = self._waited(task, MAX_WAIT_S) or all(
            losses.count(candidate.node, self.now)
            for candidate in self.candidates
        )
        spec = task.stage.spec
        return [
            candidate
            for candidate in self.candidates
            if (
                any_host
                or (
                    candidate.node not in blamed
                    and not losses.count(candidate.node, self.now)
                )
            )
            and _placement.evaluate(
                spec,
                task.stage.name,
                candidate,
                self.factors,
                on_probation=True,
            )
            is not None
        ]

    def _waited(self, task: _job.Task, wait_s: float) -> bool:
        """Whether a task has waited for longer than a bound."""
        return self.now - task.retry_at > wait_s

    def _is_open_to(
        self, job: _job.Job, candidate: _placement.WorkerCapacity
    ) -> bool:
        view = self.workers[candidate.node]
        if view.probation_job is not None:
            return view.probation_job is job
        return not view.new_run_count

    def _may_crash_under(
        self, job: _job.Job, candidate: _placement.WorkerCapacity
    ) -> bool:
        """Whether a suspected run of another job is still new on a worker.

        Each of the two would be charged with a crash that the other causes.
        """
        return any(
            attempt.task.crashes
            and not attempt.lasted
            and attempt.task.stage.job is not job
            for attempt in self.workers[candidate.node].attempts.values()
        )

    def _at_limit(self) -> bool:
        reserved = sum(candidate.reserved for candidate in self.candidates)
        limit = max(1, int(MAX_RESERVED_RATIO * len(self.candidates)))
        return reserved >= limit
