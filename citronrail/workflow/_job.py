"""In-memory state of jobs, stages, tasks and attempts in the scheduler."""

import collections.abc
import types

from citronrail.model import workflows
from citronrail.workflow import _documents as documents
from citronrail.workflow import _host_losses
from citronrail.workflow import _queue_order

SEGMENT_TASKS = 256  # whose progress is stored in one value
PACE_ORDER_DELAY_S = 0.2  # from sending a pace to its effect on the worker
TAIL_WINDOW_S = 0.5  # time that a reported tail latency covers


class Attempt:
    """One run of a task on a worker.

    It is kept until the run has certainly ended. Times are local, in seconds;
    0 means not yet.
    """

    __slots__ = (
        'assigned_at',
        'born_ms',
        'checkpoint_at',
        'from_start',
        'lasted',
        'lease_left_s',
        'leases_end_at',
        'listed_at',
        'listed_clock_ms',
        'listed_percent',
        'load',
        'missing_from_ms',
        'moved_at',
        'node',
        'number',
        'order_number',
        'order_sent_at',
        'ordered',
        'pace',
        'pace_before',
        'pace_certain_at',
        'pace_due',
        'pace_set_at',
        'paced_s',
        'percent',
        'steady_percent',
        'steady_since',
        'starved_since',
        'stop_reason',
        'stop_requested_at',
        'stop_sent_at',
        'task',
        'worker_id',
    )

    def __init__(
        self,
        task: 'Task',
        number: int,
        node: str,
        worker_id: str,
        born_ms: int,
        assigned_at: float = 0.0,
    ) -> None:
        self.task = task
        self.number = number
        self.node = node
        self.worker_id = worker_id
        self.born_ms = born_ms
        self.assigned_at = assigned_at  # Unix time in seconds
        self.ordered = False  # whether the start order may have been sent
        self.order_sent_at = 0.0
        # Number of the start order; 0 if another scheduler sent it.
        self.order_number = 0
        # Of an inherited run: bound on the end of its worker's leases that an
        # earlier scheduler has stored, and what is to be stored of it.
        self.leases_end_at = float('inf')
        self.lease_left_s = 0.0
        self.listed_at = 0.0  # first time on the worker's list
        self.listed_clock_ms = 0  # that time on the worker's clock
        # Whether it was listed for long enough to show that its start did
        # not crash the worker.
        self.lasted = False
        self.listed_percent = 0  # progress at that time
        # Time on the worker's clock of the first list that reflects its start
        # order and doesn't show it; None if there is none.
        self.missing_from_ms: int | None = None
        self.moved_at = 0.0  # last change of the percentage
        self.checkpoint_at = 0.0  # last change of its checkpoint
        self.percent = -1
        self.steady_since = 0.0  # start of the current pace
        self.steady_percent = 0  # progress at that time
        self.load = 0.0  # tail latency in ms, or cores in thousandths
        self.pace = 100  # CPU limit in percent
        self.pace_before = 0
        self.pace_set_at = 0.0
        self.pace_due = False  # whether the pace has to be sent
        # From then on, measured tails reflect the pace; inf for a run whose
        # pace an earlier scheduler has set and this one hasn't.
        self.pace_certain_at = 0.0
        self.paced_s = 0.0  # run time at full pace, up to the last change
        # Whether this scheduler ordered it without a checkpoint.
        self.from_start = False
        self.starved_since = 0.0  # the pace is too low since then
        self.stop_reason = ''  # '' unless it is being stopped
        self.stop_requested_at = 0.0  # first stop order
        self.stop_sent_at = 0.0

    def set_pace(self, pace: int, now: float) -> None:
        """Set the pace, in percent."""
        self.paced_s = self.full_pace_s(now)
        self.pace_before = self.pace
        self.pace = pace
        self.pace_set_at = now
        if self.pace_certain_at == float('inf'):
            self.pace_certain_at = now + PACE_ORDER_DELAY_S + TAIL_WINDOW_S

    def full_pace_s(self, now: float) -> float:
        """Return how long it has run, times its mean pace.

        :param now: local time in seconds.
        :returns: seconds at full pace.
        """
        if not self.listed_at:
            return 0.0
        since = max(self.listed_at, self.pace_set_at)
        return self.paced_s + self.pace / 100 * max(0.0, now - since)

    def measured_pace(self, now: float) -> float:
        """Return the mean pace during the window of a tail measured now.

        :param now: local time in seconds.
        :returns: percentage.
        """
        changed_at = self.pace_set_at or self.order_sent_at
        elapsed_ratio = (now - changed_at - PACE_ORDER_DELAY_S) / TAIL_WINDOW_S
        elapsed_ratio = min(1.0, max(0.0, elapsed_ratio))
        return self.pace_before + elapsed_ratio * (
            self.pace - self.pace_before
        )

    def stop_loss_s(self, now: float) -> float:
        """Return the run time that is lost if it is stopped now.

        :param now: local time in seconds.
        :returns: seconds at full pace since its last checkpoint, or since
            its first listing if its step saves no progress.
        """
        kept_at = self.listed_at
        if self.task.stage.spec.saves_progress:
            kept_at = max(kept_at, self.checkpoint_at)
        return max(0.0, now - kept_at) * self.pace / 100

    @property
    def key(self) -> tuple[str, int]:
        """Key of the run: task name and run number."""
        return (self.task.name, self.number)

    @property
    def life(self) -> tuple[str, int]:
        """ID and time of birth of its worker."""
        return (self.worker_id, self.born_ms)


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
        'segment',
        'stage',
        'stuck_runs',
    )

    def __init__(self, stage: 'Stage', index: int) -> None:
        self.stage = stage
        self.index = index
        self.segment = 0  # of its job's progress
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
        self.attempts: list[Attempt] = []
        self.retry_at = 0.0
        self.moved_as_slow = False  # a run was stopped as its worker was slow
        self.stuck_runs = 0  # runs that were stopped as they made no progress

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
    """One step of one occurrence of a job."""

    __slots__ = (
        'done_count',
        'due_at',
        'job',
        'observed_runs',
        'observed_s',
        'occurrence',
        'ready_since',
        'spec',
        'step',
        'tasks',
    )

    def __init__(
        self,
        job: 'Job',
        occurrence: int,
        step: int,
        spec: workflows.StepSpec,
        due_at: float,
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.step = step
        self.spec = spec
        self.due_at = due_at  # Unix time in seconds, 0 for immediately
        self.tasks = [Task(self, n) for n in range(spec.task_count)]
        self.done_count = 0
        self.ready_since = 0.0  # local time of the first placement attempt
        self.observed_runs = 0
        self.observed_s = 0.0  # mean run time of these at full pace

    @property
    def name(self) -> str:
        """Unique name of the stage."""
        return f'{self.job.job_id}.{self.occurrence}.{self.step}'

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count >= len(self.tasks)

    @property
    def started(self) -> bool:
        """Whether any task has ever had a run."""
        return any(task.last_run for task in self.tasks)

    @property
    def stop_allowance(self) -> int | None:
        """How many more tasks may be stopped, None without a limit."""
        limit = self.spec.max_unavailable
        if not limit:
            return None
        unavailable = sum(
            not task.done
            and not any(
                item.listed_at and not item.stop_reason
                for item in task.attempts
            )
            for task in self.tasks
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

    def mark_done(self, task: Task) -> None:
        """Mark a task as done."""
        if not task.done:
            task.done = True
            self.done_count += 1


class Job:
    """An accepted job; it is kept for a while after it has ended.

    :param record: the stored job.
    :param arrived_at: local time of its acceptance, in seconds.
    """

    def __init__(self, record: documents.JobRecord, arrived_at: float) -> None:
        self.record = record
        self.job_id = record.job_id
        self.arrived_at = arrived_at
        self.stages = _stages(self, record.spec)
        tasks = [task for stage in self.stages for task in stage.tasks]
        # Tasks whose progress is stored together, so that neither its longest
        # value nor the cost of a change grows with the job.
        self.segments = [
            tasks[first : first + SEGMENT_TASKS]
            for first in range(0, len(tasks), SEGMENT_TASKS)
        ]
        for number, segment in enumerate(self.segments):
            for task in segment:
                task.segment = number
        self.changed_segments: set[int] = set()  # since the last commit
        self.stored_segments: set[int] = set()  # with a key of their own
        self.stored_progress = b''  # as last written
        self.cancelled = False
        self.failed = False
        self.ended_at = 0.0  # Unix time in seconds
        # Status in the last commit, which is the one shown to callers.
        self.committed_status = documents.JobStatus.QUEUED
        self.started = False  # a run was assigned
        self.begun = False  # a worker has listed a run, or its end
        self.failed_on: set[str] = set()  # agents of failed runs
        # Shared by all jobs of a scheduler.
        self.host_losses = _host_losses.HostLosses()

    @property
    def status(self) -> documents.JobStatus:
        """Current status, which may not be committed yet."""
        status = documents.JobStatus
        if self.cancelled:
            return status.CANCELLED
        if self.failed:
            return status.FAILED
        if all(stage.done for stage in self.stages):
            return status.COMPLETED
        return status.RUNNING if self.started else status.QUEUED

    @property
    def open(self) -> bool:
        """Whether it has not ended."""
        return not self.status.final

    @property
    def segmented(self) -> bool:
        """Whether the progress of its tasks is stored in several values."""
        return len(self.segments) > 1

    def attempts(self) -> collections.abc.Iterator[Attempt]:
        """Iterate over all runs that may still exist."""
        for stage in self.stages:
            for task in stage.tasks:
                yield from task.attempts

    def ready_stages(self, unix_now: float) -> collections.abc.Iterator[Stage]:
        """Iterate over unfinished stages that are due and not blocked.

        :param unix_now: Unix time in seconds.
        """
        steps_per_occurrence = len(self.record.spec.steps)
        for stage in self.stages:
            if stage.done or stage.due_at > unix_now:
                continue
            first = stage.occurrence * steps_per_occurrence
            if all(self.stages[first + n].done for n in stage.spec.after):
                yield stage

    def path_s(self) -> float:
        """Return the length of its critical path in seconds.

        Observed run times of its steps replace declared ones.
        """
        spec = self.record.spec
        first = self.stages[: len(spec.steps)]
        return _queue_order.critical_path_s(spec, (s.run_s for s in first))

    def left_s(self) -> float:
        """Return its critical path without the stages done, in seconds."""
        done_s = sum(s.run_s for s in self.stages if s.done)
        return max(0.0, self.path_s() - done_s)

    def progress(self) -> documents.ProgressRecord:
        """Return the progress record to store, without separate segments."""
        stages: tuple[tuple[documents.TaskRecord, ...], ...] = ()
        if not self.segmented:
            stages = tuple(_stage_record(stage) for stage in self.stages)
        return documents.ProgressRecord(
            self.status, self.ended_at, stages, self.begun
        )

    def segment_record(self, number: int) -> documents.SegmentRecord:
        """Return the record to store of a segment."""
        return documents.SegmentRecord(
            tuple(task.record() for task in self.segments[number])
        )

    def restore(
        self,
        progress: documents.ProgressRecord,
        segments: collections.abc.Mapping[
            int, documents.SegmentRecord
        ] = types.MappingProxyType({}),
    ) -> None:
        """Restore the stored state.

        :param progress: the stored progress record.
        :param segments: the stored segments, by number.
        """
        status = progress.status
        self.committed_status = status
        self.failed = status is documents.JobStatus.FAILED
        self.cancelled = status is documents.JobStatus.CANCELLED
        self.ended_at = progress.ended_at
        for task, record in self._stored_tasks(progress, segments):
            _restore_task(task.stage, task, record)
        self.stored_segments = set(segments)
        if self.segmented and any(progress.stages):
            # Written by a version that had no segments.
            self.changed_segments = set(range(len(self.segments)))
        self._complete_restored_stages()
        self.started = any(stage.started for stage in self.stages)
        self.begun = progress.begun or self._has_certainly_begun()

    def _has_certainly_begun(self) -> bool:
        """Whether the tasks' records show that a run has begun.

        An assigned run alone doesn't: its worker may have refused it.
        """
        return any(
            task.done
            or task.failures
            or task.checkpoint
            or any(item.lasted for item in task.attempts)
            for stage in self.stages
            for task in stage.tasks
        )

    def _stored_tasks(
        self,
        progress: documents.ProgressRecord,
        segments: collections.abc.Mapping[int, documents.SegmentRecord],
    ) -> collections.abc.Iterator[tuple[Task, documents.TaskRecord]]:
        """Iterate over tasks and their stored records."""
        for number, segment in enumerate(self.segments):
            if number in segments:
                yield from zip(segment, segments[number].tasks)
        for stage, records in zip(self.stages, progress.stages):
            for task, record in zip(stage.tasks, records):
                if task.segment not in segments:
                    yield task, record

    def _complete_restored_stages(self) -> None:
        """Mark tasks as done whose own records don't tell.

        The segments of a commit may be stored in part, and those of a job
        that has ended are deleted before its progress record. A member of a
        gang that is done stands for all of them.
        """
        completed = self.committed_status is documents.JobStatus.COMPLETED
        for stage in self.stages:
            if completed or (stage.spec.gang and stage.done_count):
                for task in stage.tasks:
                    stage.mark_done(task)


def _restore_task(
    stage: Stage, task: Task, record: documents.TaskRecord
) -> None:
    task.last_run = record.last_run
    task.failures = record.failures
    task.checkpoint = record.checkpoint
    task.crashes = record.crashes
    if record.done:
        stage.mark_done(task)
    for item in record.attempts:
        attempt = Attempt(
            task,
            item.number,
            item.node,
            item.worker_id,
            item.born_ms,
            item.assigned_at,
        )
        attempt.ordered = True
        attempt.pace_certain_at = float('inf')
        attempt.lasted = item.lasted
        attempt.lease_left_s = item.lease_left_s
        task.attempts.append(attempt)


def _stage_record(stage: Stage) -> tuple[documents.TaskRecord, ...]:
    if not stage.started:
        return ()
    return tuple(task.record() for task in stage.tasks)


def _stages(job: Job, spec: workflows.WorkflowSpec) -> list[Stage]:
    stages = []
    for occurrence in range(max(1, spec.occurrences)):
        due_at = 0.0
        if spec.occurrences:
            due_at = spec.first_due_at + occurrence * spec.period_s
        for number, step in enumerate(spec.steps):
            stages.append(Stage(job, occurrence, number, step, due_at))
    return stages
