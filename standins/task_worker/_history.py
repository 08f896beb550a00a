"""What all workers of a test saw, and which promises were broken."""

import dataclasses


@dataclasses.dataclass
class TaskRecord:
    """Runs of one task; times are those of the test's clock."""

    active: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    starts: list[float] = dataclasses.field(default_factory=list)
    done_at: float | None = None
    done_acknowledged: bool = False
    failures_acknowledged: int = 0


class RunHistory:
    """Collects starts and ends and notes broken promises."""

    def __init__(self) -> None:
        self.tasks: dict[str, TaskRecord] = {}
        self.violations: list[str] = []
        self.failures: dict[str, int] = {}  # failed runs by task

    def record(self, task: str) -> TaskRecord:
        """Return the record of a task."""
        return self.tasks.setdefault(task, TaskRecord())

    def started(self, worker: str, task: str, run: int, now: float) -> None:
        """Note that a worker has begun a run."""
        record = self.record(task)
        if record.active:
            self.violations.append(
                f'{now:.2f} {task}#{run} begins on {worker} beside '
                f'{sorted(record.active)}'
            )
        if record.done_acknowledged:
            self.violations.append(
                f'{now:.2f} {task}#{run} begins after its end was noted'
            )
        record.active[worker, run] = now
        record.starts.append(now)

    def ended(
        self, worker: str, task: str, run: int, how: str, now: float
    ) -> None:
        """Note that a run has ended."""
        record = self.record(task)
        record.active.pop((worker, run), None)
        if how == 'done' and record.done_at is None:
            record.done_at = now

    def acknowledged(
        self, task: str, how: str, ended_at: float, now: float
    ) -> None:
        """Note that an end was acknowledged."""
        record = self.record(task)
        if how != 'done':
            return
        record.done_acknowledged = True
        later = [at for at in record.starts if at > ended_at]
        if later:
            self.violations.append(
                f'{now:.2f} {task} was begun again at {later} though its end '
                f'at {ended_at:.2f} is noted'
            )

    def overcommitted(self, worker: str, what: str, now: float) -> None:
        """Note that a start brought a worker over its capacity."""
        self.violations.append(f'{now:.2f} {worker} is over its {what}')
