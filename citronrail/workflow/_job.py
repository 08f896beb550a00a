"""In-memory state of jobs, stages, tasks and attempts in the scheduler.

A stage has an object from its turn until it is done, and a task from its
first start until it is done. What is not due yet, and what is done, takes a
bit for each task, as a scheduler holds far more of these than of runs.
"""

import collections.abc
import types

import msgspec

from citronrail.model import workflows
from citronrail.workflow import _bit_set
from citronrail.workflow import _documents as documents
from citronrail.workflow import _host_losses
from citronrail.workflow import _lazy_sequence
from citronrail.workflow import _queue_order
from citronrail.workflow import _task_layout

SEGMENT_TASKS = _task_layout.SEGMENT_TASKS
# Of a job, with waiting tasks that are placed in the same round. Later ones
# ask for the same room, and each takes some memory.
MAX_WAITING_OCCURRENCES = 64
_NOT_STARTED = documents.TaskRecord()
_DONE = documents.TaskRecord(done=True, last_run=1)
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
        self.attempts: list[Attempt] = []
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
        return self.number // SEGMENT_TASKS

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

    def __init__(self, job: 'Job', number: int) -> None:
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
