"""Stages of a job and their tasks, from their turn until they are done.

A task has an object from its first start until it is done; all others are a
bit in the job, as a scheduler holds far more of these than of runs.
"""

import collections.abc
import typing

from citronrail.workflow import _attempt
from citronrail.workflow import _documents as documents
from citronrail.workflow import _lazy_sequence
from citronrail.workflow import _task_layout

if typing.TYPE_CHECKING:
    from citronrail.workflow import _job


class Task:
    """One task of a stage."""

    __slots__ = (
        'attempts',
        'checkpoint',
        'crashes',
        'done',
        'failed_on',
        'failures',
        'index',
        'last_run',
        'moved_as_slow',
        'name',
        'retry_at',
        'stage',
        'stuck_runs',
    )

    def __init__(self, stage: 'Stage', index: int) -> None:
        self.stage = stage
        self.index = index
        self.name = (
            f'{stage.job.job_id}.{stage.occurrence}.{stage.step}.{index}'
        )
        self.done = False
        self.last_run = 0
        self.failures = 0
        self.failed_on = ''  # agent of the last failed run
        self.checkpoint = ''
        # Workers that were lost when a run of it was new there; not empty if
        # the task is suspected to crash its workers.
        self.crashes: tuple[documents.CrashRecord, ...] = ()
        self.attempts: list[_attempt.Attempt] = []
        self.retry_at = 0.0
        self.moved_as_slow = False  # a run was stopped as its worker was slow
        self.stuck_runs = 0  # runs that were stopped as they made no progress

    @property
    def number(self) -> int:
        """Number of the task in its job."""
        return self.stage.first_task + self.index

    @property
    def segment(self) -> int:
        """Segment of its job's progress."""
        return self.number // _task_layout.SEGMENT_TASKS

    @property
    def waiting(self) -> bool:
        """Whether it needs a run and none exists."""
        return not self.done and not self.attempts

    def record(self) -> documents.TaskRecord:
        """Return the record to store."""
        return documents.TaskRecord(
            self.done,
            self.last_run,
            self.failures,
            self.checkpoint,
            tuple(
                documents.AttemptRecord(
                    item.number,
                    item.node,
                    item.worker_id,
                    item.born_ms,
                    item.assigned_at,
                    item.lasted,
                    item.lease_left_s,
                )
                for item in self.attempts
            ),
            self.crashes,
        )


class Stage:
    """One step of one occurrence of a job.

    :param job: the job.
    :param number: number of the stage in its job.
    """

    __slots__ = (
        '_done_with_runs',
        '_first_new',
        '_tasks',
        'done_count',
        'first_task',
        'job',
        'number',
        'observed_runs',
        'observed_s',
        'occurrence',
        'ready_since',
        'spec',
        'step',
    )

    def __init__(self, job: '_job.Job', number: int) -> None:
        self.job = job
        self.number = number
        self.occurrence, self.step = divmod(number, job.layout.step_count)
        self.spec = job.record.spec.steps[self.step]
        self.first_task = job.layout.first_task(number)  # its number
        self.done_count = 0
        self.ready_since = 0.0  # local time of the first placement attempt
        self.observed_runs = 0
        self.observed_s = 0.0  # mean run time of these at full pace
        # Tasks that have been started and may be started again, by index and
        # in its order.
        self._tasks: dict[int, Task] = {}
        self._first_new = 0  # all tasks below it are known or done
        self._done_with_runs = 0  # known tasks that are done

    @property
    def name(self) -> str:
        """Unique name of the stage."""
        return f'{self.job.job_id}.{self.occurrence}.{self.step}'

    @property
    def tasks(self) -> collections.abc.Sequence[Task]:
        """All tasks; one that is accessed takes memory until it is done."""
        return _lazy_sequence.LazySequence(self.spec.task_count, self.task)

    @property
    def task_count(self) -> int:
        """Number of tasks."""
        return self.spec.task_count

    def task(self, index: int) -> Task:
        """Return a task.

        :param index: its index in the stage.
        """
        task = self._tasks.get(index)
        if task is not None:
            return task
        task = Task(self, index)
        if self.job.is_task_done(self.first_task + index):
            task.done = True
            task.last_run = self.job.last_run(self.first_task + index)
            return task
        self.job.known_task_count += 1
        in_order = not self._tasks or index > next(reversed(self._tasks))
        self._tasks[index] = task
        if not in_order:
            self._tasks = dict(sorted(self._tasks.items()))
        return task

    def find_task(self, index: int) -> Task | None:
        """Return a task that takes memory, None if it doesn't."""
        return self._tasks.get(index)

    def known_tasks(self) -> collections.abc.Collection[Task]:
        """Return the tasks that have runs or a history and may run again.

        They are in the order of their indexes. All others are done or have
        never been started.
        """
        return self._tasks.values()

    def waiting_tasks(self) -> collections.abc.Iterator[Task]:
        """Iterate over the tasks that need a run, in their order.

        A task takes memory from then on; runs may be assigned meanwhile.
        """
        for task in tuple(self._tasks.values()):
            if task.index < self._first_new and task.waiting:
                yield task
        while self._first_new < self.task_count:
            index = self._first_new
            if not self.job.is_task_done(self.first_task + index):
                task = self.task(index)
                if task.waiting:
                    yield task
            self._first_new = max(self._first_new, index + 1)

    def startable_tasks(self, now: float) -> collections.abc.Iterator[Task]:
        """Iterate over the waiting tasks that may be started already.

        :param now: local time in seconds.
        """
        return (t for t in self.waiting_tasks() if t.retry_at <= now)

    @property
    def waiting_count(self) -> int:
        """Number of tasks that need a run."""
        return self._not_known + sum(t.waiting for t in self._tasks.values())

    def startable_count(self, now: float) -> int:
        """Return the number of waiting tasks that may be started already.

        :param now: local time in seconds.
        """
        return self._not_known + sum(
            task.waiting and task.retry_at <= now
            for task in self._tasks.values()
        )

    @property
    def has_waiting(self) -> bool:
        """Whether a task needs a run."""
        return self._not_known > 0 or any(
            task.waiting for task in self._tasks.values()
        )

    def has_startable(self, now: float) -> bool:
        """Whether a waiting task may be started already.

        :param now: local time in seconds.
        """
        if self._not_known > 0:
            return True
        # Each round asks this for all steps; a generator takes twice as long.
        for task in self._tasks.values():
            if not task.attempts and not task.done and task.retry_at <= now:
                return True
        return False

    @property
    def _not_known(self) -> int:
        """Number of tasks that have never been started nor accessed."""
        settled = self.done_count - self._done_with_runs
        return self.task_count - len(self._tasks) - settled

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count >= self.task_count

    @property
    def started(self) -> bool:
        """Whether any task has ever had a run."""
        return self.done_count > 0 or any(
            task.last_run for task in self._tasks.values()
        )

    @property
    def stop_allowance(self) -> int | None:
        """How many more tasks may be stopped, None without a limit."""
        limit = self.spec.max_unavailable
        if not limit:
            return None
        unavailable = self._not_known + sum(
            not task.done
            and not any(
                item.listed_at and not item.stop_reason
                for item in task.attempts
            )
            for task in self._tasks.values()
        )
        return max(0, limit - unavailable)

    @property
    def run_s(self) -> float:
        """Run time of a task in seconds; declared unless it was observed."""
        return self.observed_s if self.observed_runs else self.spec.estimate_s

    def observe_run(self, run_s: float) -> None:
        """Record the run time of a completed run.

        :param run_s: seconds at full pace.
        """
        self.observed_runs += 1
        self.observed_s += (run_s - self.observed_s) / self.observed_runs
        self.job.on_run_observed(self)

    def mark_done(self, task: Task) -> None:
        """Mark a task as done."""
        if task.done:
            return
        task.done = True
        self.done_count += 1
        if task.index in self._tasks:
            self._done_with_runs += 1
        self.job.on_task_done(task)
        self.settle(task)

    def settle(self, task: Task) -> None:
        """Let a task that is done and has no runs take no memory.

        :param task: the task.
        """
        if not task.done or task.attempts:
            return
        if self._tasks.pop(task.index, None) is not None:
            self._done_with_runs -= 1
            self.job.known_task_count -= 1
            self.job.on_task_settled(task)
        if self.done and not self._tasks:
            self.job.on_stage_settled(self)

    def restore_done(self, index: int, last_run: int) -> None:
        """Record that a task without runs was done when it was stored.

        :param index: its index in the stage.
        :param last_run: number of its last run.
        """
        number = self.first_task + index
        if self.job.is_task_done(number):
            return
        self.done_count += 1
        self.job.restore_done(self, number, last_run)
