"""In-memory state of the jobs in the scheduler.

What is not due yet, and what is done, takes a bit for each task; objects of
stages and tasks (:mod:`citronrail.workflow._stage`) exist in between.
"""

import collections.abc
import types

import msgspec

from citronrail.model import workflows
from citronrail.workflow import _attempt
from citronrail.workflow import _bit_set
from citronrail.workflow import _documents as documents
from citronrail.workflow import _host_losses
from citronrail.workflow import _lazy_sequence
from citronrail.workflow import _queue_order
from citronrail.workflow import _stage
from citronrail.workflow import _task_layout

Attempt = _attempt.Attempt
Stage = _stage.Stage
Task = _stage.Task
SEGMENT_TASKS = _task_layout.SEGMENT_TASKS
# Of a job, with waiting tasks that are placed in the same round. Later ones
# ask for the same room, and each takes some memory.
MAX_WAITING_OCCURRENCES = 64
_NOT_STARTED = documents.TaskRecord()
_DONE = documents.TaskRecord(done=True, last_run=1)


class Job:
    """An accepted job; it is kept for a while after it has ended.

    :param record: the stored job.
    :param arrived_at: local time of its acceptance, in seconds.
    """

    def __init__(self, record: documents.JobRecord, arrived_at: float) -> None:
        self.record = record
        self.job_id = record.job_id
        self.arrived_at = arrived_at
        # Memory that it takes without the tasks that are known.
        self.size_bytes = 0
        self.known_task_count = 0
        self.layout = _task_layout.TaskLayout(record.spec)
        # Tasks whose progress is stored together, so that neither its longest
        # value nor the cost of a change grows with the job.
        self.segment_count = self.layout.segment_count
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
        # Stages that have begun their turn and aren't settled, by number.
        self._stages: dict[int, Stage] = {}
        self._done_tasks = _bit_set.BitSet()
        self._last_runs: dict[int, int] = {}  # of done tasks, but for 1
        self._done_stages = _bit_set.BitSet()
        self._done_stage_count = 0
        self._done_stages_s = 0.0  # run times of the stages that are done
        # Occurrences that are done: a prefix, and others behind it.
        self._first_open = 0
        self._done_occurrences = _bit_set.BitSet()
        # Of occurrences that have begun, the number of stages left.
        self._stages_left: dict[int, int] = {}
        # Of occurrences whose turn has come, the unfinished unblocked steps.
        self._unblocked: dict[int, tuple[int, ...]] = {}
        self._observed_s: dict[int, float] = {}  # by step, of occurrence 0
        self._path_s: float | None = None

    @property
    def status(self) -> documents.JobStatus:
        """Current status, which may not be committed yet."""
        status = documents.JobStatus
        if self.cancelled:
            return status.CANCELLED
        if self.failed:
            return status.FAILED
        if self._done_stage_count >= self.layout.stage_count:
            return status.COMPLETED
        return status.RUNNING if self.started else status.QUEUED

    @property
    def open(self) -> bool:
        """Whether it has not ended."""
        return not self.status.final

    @property
    def segmented(self) -> bool:
        """Whether the progress of its tasks is stored in several values."""
        return self.segment_count > 1

    # Stages and tasks

    @property
    def stages(self) -> collections.abc.Sequence[Stage]:
        """All stages; one that is accessed takes memory until it is done."""
        return _lazy_sequence.LazySequence(self.layout.stage_count, self.stage)

    def stage(self, number: int) -> Stage:
        """Return a stage.

        :param number: its number in the job.
        """
        stage = self._stages.get(number)
        if stage is None:
            stage = Stage(self, number)
            if number in self._done_stages:
                stage.done_count = stage.task_count
                return stage
            self._stages[number] = stage
        return stage

    def known_stages(self) -> collections.abc.Collection[Stage]:
        """Return the stages whose turn has come and that aren't settled."""
        return self._stages.values()

    def find_stage(self, number: int) -> Stage | None:
        """Return a stage that takes memory, None if it doesn't."""
        return self._stages.get(number)

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task, None if the job has no such task."""
        if not 0 <= occurrence < self.layout.occurrences:
            return None
        if not 0 <= step < self.layout.step_count:
            return None
        if not 0 <= index < self.record.spec.steps[step].task_count:
            return None
        stage = self.stage(occurrence * self.layout.step_count + step)
        return stage.task(index)

    def is_stage_done(self, number: int) -> bool:
        """Whether all tasks of a stage are done.

        :param number: number of the stage.
        """
        return number in self._done_stages

    def is_task_done(self, number: int) -> bool:
        """Whether a task is done.

        :param number: number of the task.
        """
        return number in self._done_tasks

    def last_run(self, number: int) -> int:
        """Return the number of the last run of a done task.

        :param number: number of the task.
        """
        return self._last_runs.get(number, 1)

    def attempts(self) -> collections.abc.Iterator[Attempt]:
        """Iterate over all runs that may still exist."""
        for stage in tuple(self._stages.values()):
            for task in tuple(stage.known_tasks()):
                yield from tuple(task.attempts)

    def on_task_done(self, task: Task) -> None:
        """Record that a task is done.

        :param task: the task.
        """
        self._done_tasks.add(task.number)
        if task.stage.done:
            self._on_stage_done(task.stage)

    def on_task_settled(self, task: Task) -> None:
        """Record what is kept of a done task without runs.

        :param task: the task.
        """
        if task.last_run != 1:
            self._last_runs[task.number] = task.last_run

    def on_stage_settled(self, stage: Stage) -> None:
        """Let a stage that is done and has no runs take no memory.

        :param stage: the stage.
        """
        if self._stages.get(stage.number) is stage:
            del self._stages[stage.number]

    def restore_done(self, stage: Stage, number: int, last_run: int) -> None:
        """Record that a task without runs was done when it was stored.

        :param stage: the stage of the task.
        :param number: number of the task in the job.
        :param last_run: number of its last run.
        """
        self._done_tasks.add(number)
        if last_run != 1:
            self._last_runs[number] = last_run
        if stage.done:
            self._on_stage_done(stage)
            if not stage.known_tasks():
                self.on_stage_settled(stage)

    def _on_stage_done(self, stage: Stage) -> None:
        self._done_stages.add(stage.number)
        self._done_stage_count += 1
        self._done_stages_s += stage.run_s
        occurrence = stage.occurrence
        self._unblocked.pop(occurrence, None)
        left = self._stages_left.get(occurrence, self.layout.step_count) - 1
        self._stages_left[occurrence] = left
        if not left:
            del self._stages_left[occurrence]
            self._done_occurrences.add(occurrence)
        while self._first_open in self._done_occurrences:
            self._first_open += 1

    def on_run_observed(self, stage: Stage) -> None:
        """Record the run time of a stage's tasks.

        :param stage: the stage, with its observed run time.
        """
        if stage.occurrence == 0:
            self._observed_s[stage.step] = stage.observed_s
            self._path_s = None

    # Turns

    def ready_stages(self, unix_now: float) -> collections.abc.Iterator[Stage]:
        """Iterate over unfinished stages that are due and not blocked.

        Beyond :data:`MAX_WAITING_OCCURRENCES` with waiting tasks, further
        occurrences are left out.

        :param unix_now: Unix time in seconds.
        """
        if not self.record.spec.occurrences:
            for step in self._unblocked_steps(0):
                yield self.stage(step)
            return
        waiting = 0
        for occurrence in range(self._first_open, self._due_count(unix_now)):
            if occurrence in self._done_occurrences:
                continue
            first = occurrence * self.layout.step_count
            has_waiting = False
            for step in self._unblocked_steps(occurrence):
                stage = self.stage(first + step)
                has_waiting = has_waiting or stage.has_waiting
                yield stage
            waiting += has_waiting
            if waiting >= MAX_WAITING_OCCURRENCES:
                return

    def _due_count(self, unix_now: float) -> int:
        """Return how many occurrences of a recurring job are due."""
        spec = self.record.spec
        late_s = unix_now - spec.first_due_at
        if late_s < 0.0:
            return 0
        if late_s >= spec.period_s * (self.layout.occurrences - 1):
            return self.layout.occurrences
        return int(late_s / spec.period_s) + 1

    def _unblocked_steps(self, occurrence: int) -> tuple[int, ...]:
        """Return the unfinished steps of an occurrence that may start."""
        steps = self._unblocked.get(occurrence)
        if steps is None:
            first = occurrence * self.layout.step_count
            steps = tuple(
                number
                for number, step in enumerate(self.record.spec.steps)
                if first + number not in self._done_stages
                and all(first + n in self._done_stages for n in step.after)
            )
            self._unblocked[occurrence] = steps
        return steps

    def path_s(self) -> float:
        """Return the length of its critical path in seconds.

        Observed run times of its steps replace declared ones.
        """
        if self._path_s is None:
            spec = self.record.spec
            self._path_s = _queue_order.critical_path_s(
                spec,
                (
                    self._observed_s.get(number, step.estimate_s)
                    for number, step in enumerate(spec.steps)
                ),
            )
        return self._path_s

    def left_s(self) -> float:
        """Return its critical path without the stages done, in seconds."""
        return max(0.0, self.path_s() - self._done_stages_s)

    def stage_names(self) -> collections.abc.Iterator[str]:
        """Iterate over the names of all stages."""
        for occurrence in range(self.layout.occurrences):
            for step in range(self.layout.step_count):
                yield f'{self.job_id}.{occurrence}.{step}'

    # Stored progress

    def progress(self) -> documents.ProgressRecord:
        """Return the progress record to store, without separate segments."""
        stages: tuple[tuple[documents.TaskRecord, ...], ...] = ()
        if not self.segmented:
            stages = tuple(
                map(self._stage_record, range(self.layout.stage_count))
            )
        return documents.ProgressRecord(
            self.status, self.ended_at, stages, self.begun
        )

    def segment_record(self, number: int) -> documents.SegmentRecord:
        """Return the record to store of a segment."""
        return documents.SegmentRecord(
            tuple(self._task_records(self.layout.segment_tasks(number)))
        )

    def _stage_record(self, number: int) -> tuple[documents.TaskRecord, ...]:
        """Return the records of a stage's tasks; none before their start."""
        stage = self._stages.get(number)
        if stage is None and number not in self._done_stages:
            return ()
        if stage is not None and not stage.started:
            return ()
        first = self.layout.first_task(number)
        step = self.record.spec.steps[number % self.layout.step_count]
        return tuple(self._task_records(range(first, first + step.task_count)))

    def _task_records(
        self, numbers: range
    ) -> collections.abc.Iterator[documents.TaskRecord]:
        """Iterate over the records of consecutive tasks."""
        stage_number = -1
        stage: Stage | None = None
        stage_end = 0
        for number in numbers:
            if stage_number < 0 or number >= stage_end:
                stage_number = self.layout.stage_of(number)
                stage = self._stages.get(stage_number)
                stage_end = self.layout.first_task(stage_number + 1)
            task = stage and stage.find_task(number - stage.first_task)
            if task:
                yield task.record()
            elif number not in self._done_tasks:
                yield _NOT_STARTED
            elif number in self._last_runs:
                yield documents.TaskRecord(
                    done=True, last_run=self._last_runs[number]
                )
            else:
                yield _DONE

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
        status = documents.JobStatus(progress.status)
        self.committed_status = status
        self.failed = status is documents.JobStatus.FAILED
        self.cancelled = status is documents.JobStatus.CANCELLED
        self.ended_at = progress.ended_at
        self.begun = progress.begun
        for number, record in self._stored_tasks(progress, segments):
            self._restore_task(number, record)
        self.stored_segments = set(segments)
        if self.segmented and any(progress.stages):
            # Written by a version that had no segments.
            self.changed_segments = set(range(self.segment_count))
        self._complete_restored_stages()

    def _stored_tasks(
        self,
        progress: documents.ProgressRecord,
        segments: collections.abc.Mapping[int, documents.SegmentRecord],
    ) -> collections.abc.Iterator[tuple[int, documents.TaskRecord]]:
        """Iterate over the numbers of tasks and their stored records."""
        for number in segments:
            if number < self.segment_count:
                yield from zip(
                    self.layout.segment_tasks(number), segments[number].tasks
                )
        for stage, records in zip(
            range(self.layout.stage_count), progress.stages
        ):
            first = self.layout.first_task(stage)
            step = self.record.spec.steps[stage % self.layout.step_count]
            for number, record in zip(
                range(first, first + step.task_count), records
            ):
                if number // SEGMENT_TASKS not in segments:
                    yield number, record

    def _restore_task(self, number: int, record: documents.TaskRecord) -> None:
        """Restore a task from its record."""
        self.started = self.started or bool(record.last_run)
        self.begun = self.begun or _has_certainly_begun(record)
        if record == _NOT_STARTED:
            return
        settled = record.done and not record.attempts
        if settled and self.committed_status.final:
            return
        stage = self.stage(self.layout.stage_of(number))
        index = number - stage.first_task
        if settled:
            stage.restore_done(index, record.last_run)
        else:
            _restore_task(stage, stage.task(index), record)

    def _complete_restored_stages(self) -> None:
        """Mark tasks as done whose own records don't tell.

        The segments of a commit may be stored in part, and those of a job
        that has ended are deleted before its progress record. A member of a
        gang that is done stands for all of them.
        """
        if self.committed_status is documents.JobStatus.COMPLETED:
            self._done_stage_count = self.layout.stage_count
            return
        for stage in tuple(self._stages.values()):
            if stage.spec.gang and stage.done_count:
                for task in stage.tasks:
                    stage.mark_done(task)

    def release(self) -> None:
        """Drop what an ended job without runs doesn't need any more."""
        spec = workflows.WorkflowSpec(argument='', steps=())
        self.record = msgspec.structs.replace(self.record, spec=spec)
        self.layout = _task_layout.TaskLayout(spec)
        self.changed_segments.clear()
        self._stages.clear()
        self.known_task_count = 0
        self._done_tasks = _bit_set.BitSet()
        self._done_stages = _bit_set.BitSet()
        self._last_runs.clear()
        self._unblocked.clear()
        self._observed_s.clear()

    @property
    def released(self) -> bool:
        """Whether nothing is known of its tasks any more."""
        return not self.layout.step_count


def _has_certainly_begun(record: documents.TaskRecord) -> bool:
    """Whether the record of a task shows that a run has begun.

    An assigned run alone doesn't: its worker may have refused it.
    """
    return bool(
        record.done
        or record.failures
        or record.checkpoint
        or any(item.lasted for item in record.attempts)
    )


def _restore_task(
    stage: Stage, task: Task, record: documents.TaskRecord
) -> None:
    task.last_run = record.last_run
    task.failures = record.failures
    task.checkpoint = record.checkpoint
    task.crashes = record.crashes
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
    if record.done:
        stage.mark_done(task)
