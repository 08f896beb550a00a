"""Synchronous model of the platform's worker: tasks under leases.

No call blocks: each first advances the tasks to the current time. The rate
of a task is constant between two events, so finish times are exact whatever
the interval between calls.
"""

import collections
import collections.abc
import dataclasses
import typing

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs
from citronrail.ports import worker as ports
from standins.worker import _arguments
from standins.worker import _settings

Clock = collections.abc.Callable[[], float]
_MIN_CPU_SHARE = 0.01
MAX_HISTORY_RECORDS = 200_000


@dataclasses.dataclass(frozen=True)
class HistoryRecord:
    """A start, stop or end as the worker recorded it.

    ``progress_s`` is the work done so far, in seconds without interference,
    including that of the checkpoint it resumed from.
    """

    at: float
    event: str
    attempt: specs.AttemptId
    progress_s: float
    checkpoint: str = ''
    detail: str = ''
    service: str = ''


@dataclasses.dataclass(frozen=True)
class OverCapacity:
    """A time at which the running tasks exceeded the host's capacity."""

    at: float
    reserved: resources.Resources
    attempts: tuple[specs.AttemptId, ...]


@dataclasses.dataclass
class _Task:
    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    spec: specs.TaskSpec
    argument: _arguments.TaskArgument
    started_at: float
    lease_until: float
    progress_s: float
    resumed_progress_s: float
    share: float = 1.0
    rate: float = 1.0
    checkpointing: bool = False

    @property
    def remaining_s(self) -> float:
        return max(0.0, self.argument.run_s - self.progress_s)


class WorkerCore:
    """Runs simulated tasks.

    :param cfg: capacity and behaviour.
    :param boot_id: identity of this run of the worker.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        cfg: _settings.WorkerSettings,
        boot_id: identifiers.BootId,
        clock: Clock,
    ) -> None:
        self.cfg = cfg
        self.boot_id = boot_id
        self.clock = clock
        self.switches = cfg.switches
        self._tasks: dict[specs.AttemptId, _Task] = {}
        self._ended: dict[specs.AttemptId, ports.EndedTask] = {}
        self._advanced_to = clock()
        self._measurements: collections.deque[
            tuple[float, tuple[messages.TaskUsage, ...]]
        ] = collections.deque(maxlen=64)
        self._next_measurement_at = self._advanced_to
        self.history: collections.deque[HistoryRecord] = collections.deque(
            maxlen=MAX_HISTORY_RECORDS
        )
        self.over_capacity: list[OverCapacity] = []

    # Time

    def advance(self) -> None:
        """Process all events up to the current time."""
        now = self.clock()
        while True:
            at = self.next_event_at()
            if at is None or at > now:
                break
            self._advance_progress(max(at, self._advanced_to))
            self._end_due_tasks()
            if self._next_measurement_at <= self._advanced_to:
                self._measure()
        self._advance_progress(now)

    def next_event_at(self) -> float | None:
        """Return the time of the next finish, lapse or measurement."""
        times = [self._next_measurement_at] if self._tasks else []
        for task in self._tasks.values():
            times.append(task.lease_until)
            if task.rate > 0.0 and not task.checkpointing:
                times.append(self._advanced_to + task.remaining_s / task.rate)
        return min(times, default=None)

    def _advance_progress(self, now: float) -> None:
        elapsed = max(0.0, now - self._advanced_to)
        for task in self._tasks.values():
            if not task.checkpointing:
                task.progress_s += elapsed * task.rate
        self._advanced_to = max(self._advanced_to, now)
        if not self._tasks:
            self._next_measurement_at = self._advanced_to

    def _end_due_tasks(self) -> None:
        for task in list(self._tasks.values()):
            if task.lease_until <= self._advanced_to:
                self._end(task, 'stopped', reason='lease lapsed')
            elif task.remaining_s <= 1e-9 and not task.checkpointing:
                if task.argument.fail:
                    self._end(task, 'failed', reason=task.argument.fail)
                else:
                    self._end(task, 'finished', result=task.argument.result)

    def _set_rates(self) -> None:
        for task in self._tasks.values():
            task.rate = task.share / self.slowdown_of(task)

    def slowdown_of(self, task: typing.Any) -> float:
        """Return the slowdown factor of a task caused by its co-runners."""
        slowdown = 1.0
        for other in self._tasks.values():
            if other is not task:
                slowdown_by_class = self.cfg.interference.get(
                    task.spec.work_class, {}
                )
                slowdown += (
                    slowdown_by_class.get(other.spec.work_class, 0.0)
                    * other.share
                )
        return slowdown

    # Calls

    def start(
        self,
        attempt: specs.AttemptId,
        range_id: identifiers.RangeId,
        spec: specs.TaskSpec,
        start_before: float,
        lease_until: float,
        progress_s: float = 0.0,
    ) -> None:
        """Start a task; see :meth:`citronrail.ports.Worker.start`.

        :param progress_s: work done up to the checkpoint it resumes from.
        """
        self.advance()
        if self._advanced_to >= start_before:
            raise _refusal('the start came after its deadline')
        if attempt in self._tasks or attempt in self._ended:
            raise _refusal('this attempt was started before')
        if not self._fits(spec) and not self.switches.admit_over_capacity:
            raise _refusal('the host has no room')
        argument = _arguments.parse(spec.argument, spec.declared_run_s)
        if spec.service is not None:
            argument = dataclasses.replace(argument, run_s=float('inf'))
        task = _Task(
            attempt,
            range_id,
            spec,
            argument,
            self._advanced_to,
            lease_until,
            progress_s,
            progress_s,
        )
        self._tasks[attempt] = task
        self._record('start', task, detail=spec.checkpoint)
        self._check_capacity()
        if self.switches.fail_everything:
            self._end(task, 'failed', reason='this worker fails every task')
        self._set_rates()

    def renew(
        self, attempts: tuple[specs.AttemptId, ...], lease_until: float
    ) -> tuple[specs.AttemptId, ...]:
        """Renew leases; a lease is never shortened."""
        self.advance()
        for attempt in attempts:
            task = self._tasks.get(attempt)
            if task is not None:
                task.lease_until = max(task.lease_until, lease_until)
        return tuple(a for a in attempts if a in self._tasks)

    def stop(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Stop attempts without a checkpoint."""
        self.advance()
        for attempt in attempts:
            task = self._tasks.get(attempt)
            if task is not None:
                self._end(task, 'stopped', reason='asked to stop')

    def begin_checkpoint(self, attempt: specs.AttemptId) -> float | None:
        """Suspend a task for its checkpoint.

        :returns: its progress in seconds, or None if it is not running.
        """
        self.advance()
        task = self._tasks.get(attempt)
        if task is None or task.checkpointing:
            return None
        if not task.spec.checkpointable:
            self._end(task, 'stopped', reason='it can not be checkpointed')
            return None
        task.checkpointing = True
        self._record('checkpointing', task)
        return task.progress_s

    def end_checkpoint(self, attempt: specs.AttemptId, token: str) -> None:
        """End a task whose checkpoint was written; '' resumes the task."""
        self.advance()
        task = self._tasks.get(attempt)
        if task is None:
            return
        if token:
            self._end(task, 'checkpointed', checkpoint=token)
        else:
            task.checkpointing = False
            self._record('checkpoint failed', task)

    def throttle(self, attempt: specs.AttemptId, share: float) -> None:
        """Limit a task to a share of its CPU."""
        self.advance()
        task = self._tasks.get(attempt)
        if task is None:
            raise _refusal('this attempt does not run')
        task.share = min(1.0, max(_MIN_CPU_SHARE, share))
        self._record('throttle', task, detail=f'{task.share:.3f}')
        self._set_rates()

    def tasks(self) -> ports.WorkerTasks:
        """List running and ended attempts."""
        self.advance()
        return ports.WorkerTasks(
            self._advanced_to,
            self.boot_id,
            tuple(self._running_task(task) for task in self._tasks.values()),
            tuple(self._ended.values()),
        )

    def forget(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Drop ended attempts."""
        self.advance()
        for attempt in attempts:
            self._ended.pop(attempt, None)

    def usage(self) -> tuple[messages.TaskUsage, ...]:
        """Return the latest measurements older than the configured lag."""
        self.advance()
        latest_visible_at = self._advanced_to - self.cfg.usage_lag_s
        latest: tuple[messages.TaskUsage, ...] = ()
        for at, measured in self._measurements:
            if at <= latest_visible_at:
                latest = measured
        return latest

    def info(self) -> ports.WorkerInfo:
        """Return capacity and clock."""
        self.advance()
        return ports.WorkerInfo(
            self.cfg.capacity, self._advanced_to, self.boot_id
        )

    def services(self) -> frozenset[str]:
        """Return the services with a replica running here."""
        self.advance()
        return frozenset(
            task.spec.service
            for task in self._tasks.values()
            if task.spec.service is not None
        )

    # Helpers

    def _running_task(self, task: _Task) -> messages.RunningTask:
        state = 'running'
        if task.checkpointing:
            state = 'checkpointing'
        elif task.share < 1.0:
            state = 'throttled'
        return messages.RunningTask(
            task.attempt, task.range_id, task.spec, state, task.started_at
        )

    def reserved(self) -> resources.Resources:
        """Return the total resources reserved by running tasks."""
        total = resources.Resources()
        for task in self._tasks.values():
            total = total + task.spec.resources
        return total

    def _fits(self, spec: specs.TaskSpec) -> bool:
        return (self.reserved() + spec.resources).fits_in(self.cfg.capacity)

    def _check_capacity(self) -> None:
        reserved = self.reserved()
        if not reserved.fits_in(self.cfg.capacity):
            self.over_capacity.append(
                OverCapacity(self._advanced_to, reserved, tuple(self._tasks))
            )

    def _end(
        self,
        task: _Task,
        state: str,
        result: str = '',
        checkpoint: str = '',
        reason: str = '',
    ) -> None:
        del self._tasks[task.attempt]
        self._ended[task.attempt] = ports.EndedTask(
            task.attempt,
            task.range_id,
            state,
            result,
            checkpoint,
            self._advanced_to - task.started_at,
            self._actual_usage(task),
            reason,
        )
        self._record(state, task, checkpoint, reason)
        self._set_rates()

    def _actual_usage(self, task: _Task) -> resources.Resources:
        factor = task.argument.size_factor * self.cfg.size_factors.get(
            task.spec.work_class, 1.0
        )
        declared = task.spec.resources
        return resources.Resources(
            int(declared.millicores * factor * task.share),
            int(declared.memory_mb * factor),
            declared.accelerators,
        )

    def _measure(self) -> None:
        self._next_measurement_at = (
            self._advanced_to + self.cfg.measure_interval_s
        )
        self._measurements.append(
            (
                self._advanced_to,
                tuple(
                    messages.TaskUsage(
                        task.attempt,
                        task.spec.work_class,
                        self._actual_usage(task),
                        self.slowdown_of(task),
                        tuple(
                            other.spec.work_class
                            for other in self._tasks.values()
                            if other is not task
                        ),
                        self._advanced_to,
                    )
                    for task in self._tasks.values()
                ),
            )
        )

    def _record(
        self,
        event: str,
        task: _Task,
        checkpoint: str = '',
        detail: str = '',
    ) -> None:
        self.history.append(
            HistoryRecord(
                self._advanced_to,
                event,
                task.attempt,
                task.progress_s,
                checkpoint,
                detail,
                task.spec.service or '',
            )
        )


def _refusal(reason: str) -> errors.WorkerRefused:
    return errors.WorkerRefused(reason, step='worker')
