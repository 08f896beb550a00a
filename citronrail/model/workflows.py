"""Jobs that consist of dependent steps, each with a number of tasks."""

import dataclasses

from citronrail.model import bounded
from citronrail.model import identifiers

MAX_TASKS = 20_000  # of a job, in all its occurrences
MAX_VALUE_BYTES = 1_048_576  # default limit of a value in the store


@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a workflow: ``task_count`` identical tasks.

    ``after`` holds the indexes of the steps that must be complete first.
    ``estimate_s`` is declared by the caller and used only as a prior.
    """

    task_count: bounded.Count
    cpu_millis: bounded.Count = 0  # thousandths of a core for each task
    memory_mb: bounded.Count = 0
    accelerators: bounded.Count = 0
    estimate_s: bounded.Number = 0.0
    after: tuple[bounded.Count, ...] = ()
    saves_progress: bool = False
    gang: bool = False  # all tasks run together or not at all
    rack_local: bool = False
    required_label: bounded.Text = ''
    preferred_rack: bounded.Text = ''  # label of the rack that holds the data
    max_per_worker: bounded.Count = 0  # 0: no limit
    speculative: bool = False  # copies of a task may run side by side
    long_running: bool = False  # restarted until the job is cancelled
    image: bounded.Text = ''
    latency_target_ms: bounded.Count = (
        0  # of a long-running task that serves users
    )
    fills: bool = False  # uses idle processors; not counted in capacity
    max_unavailable: bounded.Count = 0


@dataclasses.dataclass(frozen=True)
class WorkflowSpec:
    """A job of steps; ``occurrences`` 0 means that it runs once, at once."""

    argument: bounded.Text
    steps: tuple[StepSpec, ...]
    occurrences: bounded.Count = 0
    first_due_at: bounded.Number = 0.0  # Unix time in seconds
    period_s: bounded.Number = 0.0

    @property
    def problem(self) -> str:
        """Why the job can't be carried out, '' if it can."""
        if not self.steps:
            return 'a job needs a step'
        tasks = sum(step.task_count for step in self.steps)
        if not 0 < tasks * max(1, self.occurrences) <= MAX_TASKS:
            return f'a job has 1 to {MAX_TASKS} tasks'
        for number, step in enumerate(self.steps):
            if step.task_count < 1:
                return f'step {number} has no tasks'
            if any(not 0 <= n < number for n in step.after):
                return f'step {number} must come after earlier steps'
        return ''


@dataclasses.dataclass(frozen=True)
class Queue:
    """A route in the operators' configuration that accepts workflows."""

    name: str
    host: str
    prefix: str
    service: identifiers.ServiceName  # whose workers run the tasks
    priority: int = 0  # 0 is the most urgent
    max_attempts: int = 1
    stretch: float = 1.0  # objective as a multiple of the critical path
    objective_s: float = 0.0  # added to the objective
    timeout_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class WorkerPool:
    """A service of the operators' configuration: a pool of workers."""

    name: identifiers.ServiceName
    rejects_overload: bool = False  # its workers check capacity themselves
    standby: bool = False


@dataclasses.dataclass(frozen=True)
class OperatorConfig:
    """What operators have configured, at one version."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[WorkerPool, ...] = ()
    max_body_bytes: int = 262_144
    max_header_bytes: int = 0  # 0: not set; used only by checks

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching prefix.

        :param host: host name in the caller's request.
        :param path: path of the request.
        :returns: the queue, None if there is none.
        """
        found = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue of that name, None if there is none."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits set by the deployment, in seconds unless named otherwise."""

    max_lease_s: float = 6.0  # longest lease that a worker grants
    stop_s: float = 0.4
    gang_wait_s: float = 3.0
    evacuate_s: float = 5.0
    drain_s: float = 2.0
    keep_ended_s: float = 120.0
    grace_s: float = 6.0
    remote_factor: float = 1.5
    checkpoint_s: float = 2.0
    restore_s: float = 0.1  # to resume from a checkpoint
    harm_s: float = 4.0
    pace_s: float = 0.1
    max_value_bytes: int = MAX_VALUE_BYTES  # of a value in the store
    memory_bytes: int = 0  # memory limit of this process, 0 for none
