"""Run history of all workers of a test, with invariant violations."""

import dataclasses


@dataclasses.dataclass
class TaskRecord:
    """Runs of one task; times are on the clock of the test."""

    active: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    starts: list[float] = dataclasses.field(default_factory=list)
    checkpoints: list[str] = dataclasses.field(default_factory=list)
    crashes: list[float] = dataclasses.field(default_factory=list)
    done_at: float | None = None
    done_acknowledged: bool = False
    failures_acknowledged: int = 0


class RunHistory:
    """Records starts and ends of runs and detects invariant violations."""

    def __init__(self) -> None:
        self.tasks: dict[str, TaskRecord] = {}
        self.violations: list[str] = []
        self.failures: dict[str, int] = {}  # number of failed runs by task

    def record(self, task: str) -> TaskRecord:
        """Return the record of a task."""
        return self.tasks.setdefault(task, TaskRecord())

    def started(self, worker: str, task: str, run: int, now: float) -> None:
        """Record that a worker started a run."""
        record = self.record(task)
        if record.active:
            self.violations.append(
                f'{now:.2f} {task}#{run} started on {worker} while active on '
                f'{sorted(record.active)}'
            )
        if record.done_acknowledged:
            self.violations.append(
                f'{now:.2f} {task}#{run} started after an acknowledged end'
            )
        record.active[worker, run] = now
        record.starts.append(now)

    def crashed(self, worker: str, task: str, run: int, now: float) -> None:
        """Record that a run was lost in a crash of its worker."""
        self.record(task).crashes.append(now)
        self.ended(worker, task, run, 'lost', now)

    def ended(
        self, worker: str, task: str, run: int, end_state: str, now: float
    ) -> None:
        """Record that a run ended."""
        record = self.record(task)
        record.active.pop((worker, run), None)
        if end_state == 'done' and record.done_at is None:
            record.done_at = now

    def acknowledged(
        self, task: str, end_state: str, ended_at: float, now: float
    ) -> None:
        """Record that the scheduler acknowledged the end of a run."""
        record = self.record(task)
        if end_state != 'done':
            return
        record.done_acknowledged = True
        later = [at for at in record.starts if at > ended_at]
        if later:
            self.violations.append(
                f'{now:.2f} {task} was started again at {later} but its end '
                f'at {ended_at:.2f} is acknowledged'
            )

    def overcommitted(self, worker: str, what: str, now: float) -> None:
        """Record that a start exceeded the capacity of a worker."""
        self.violations.append(f'{now:.2f} {worker} exceeds its {what}')
