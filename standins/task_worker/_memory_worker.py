"""An in-memory worker that can simulate the faults of real workers."""

import collections.abc
import dataclasses
import random

import trio

from citronrail import errors
from citronrail.model import messages
from citronrail import ports
from standins.task_worker import _history

POLL_INTERVAL_S = 0.05
MAX_LISTED_ENDS = 500  # unacknowledged ones on a list
CRASH_DELAY_S = 0.01  # from a start to the crash that it causes


@dataclasses.dataclass(frozen=True)
class TaskPlan:
    """How a task behaves on a worker.

    :param work_s: work in seconds.
    :param fails: number of runs that end ``failed`` before one succeeds.
    :param cpu_millis: CPU millicores, not counted if ``fills`` is set.
    :param memory_mb: memory in MB.
    :param lasts: whether it runs until it is stopped.
    :param crashes: whether it crashes each worker that starts it.
    :param saves: whether it saves progress each second and when stopped; its
        checkpoint is the work done in seconds.
    """

    work_s: float = 1.0
    fails: int = 0
    cpu_millis: int = 100
    memory_mb: int = 100
    lasts: bool = False
    fills: bool = False
    crashes: bool = False
    saves: bool = False


@dataclasses.dataclass
class WorkerFaults:
    """Fault switches of a worker; shares lie between 0 and 1.

    ``late_share`` of the orders get no response and are executed 2 to 6 s
    later; ``lost_share`` are executed at once, but their response is lost.
    """

    silent: bool = False
    down: bool = False  # no process, connections are refused
    refusing: bool = False
    late_share: float = 0.0
    lost_share: float = 0.0
    failing: bool = False
    stuck: bool = False
    slow_factor: float = 1.0


@dataclasses.dataclass
class _Run:
    plan: TaskPlan
    work_left_s: float
    checkpoint: str
    advanced_at: float
    stop_at: float | None = None


class MemoryTaskWorker:
    """A :class:`citronrail.ports.TaskWorker` with one incarnation at a time.

    :param worker_id: id of the worker.
    :param history: run history shared by all workers.
    :param plan_of: returns the behaviour of a task, given its name.
    :param rng: random number generator.
    :param cpu_millis: CPU capacity in millicores.
    :param memory_mb: memory capacity in MB.
    :param max_lease_s: longest lease granted, in seconds.
    :param stop_s: time a stop takes, in seconds.
    :param down_s: time from a crash to the next incarnation, in seconds.
    """

    def __init__(
        self,
        worker_id: str,
        history: _history.RunHistory,
        plan_of: collections.abc.Callable[[str], TaskPlan],
        rng: random.Random,
        *,
        cpu_millis: int = 4000,
        memory_mb: int = 8000,
        max_lease_s: float = 6.0,
        stop_s: float = 0.2,
        down_s: float = 3.0,
    ) -> None:
        self.worker_id = worker_id
        self.faults = WorkerFaults()
        self.cpu_millis = cpu_millis
        self.memory_mb = memory_mb
        self.state = 'ready'
        # Distance of the time of birth that it announces from the true one.
        self.born_offset_ms = 0
        self._history = history
        self._plan_of = plan_of
        self._rng = rng
        self._max_lease_s = max_lease_s
        self._stop_s = stop_s
        self.down_s = down_s
        self.max_listed_ends = MAX_LISTED_ENDS
        self._nursery: trio.Nursery | None = None
        self._incarnation = 0
        self._reset_state()

    def life(self) -> messages.WorkerLife:
        """Return the announcement of the current incarnation."""
        return messages.WorkerLife(
            worker_id=self.worker_id,
            born_ms=self._incarnation + self.born_offset_ms,
            service='pool',
            data_centre='dc',
            state=self.state,
            cpu_millis=self.cpu_millis,
            memory_mb=self.memory_mb,
            accelerators=0,
        )

    def simulate_restart(self) -> None:
        """Lose all runs and start a new incarnation under the same id."""
        self._lose_runs()
        self._reset_state()

    async def crash(self) -> None:
        """Lose all runs and be down until the next incarnation starts."""
        if self.faults.down:
            return
        self._lose_runs()
        self.faults.down = True
        await trio.sleep(self.down_s)
        self._reset_state()
        self.faults.down = False

    def _lose_runs(self) -> None:
        now = trio.current_time()
        for task, run in self._runs:
            self._history.crashed(self.worker_id, task, run, now)
        self._runs.clear()

    def _reset_state(self) -> None:
        self._incarnation += 1
        self._born_at = trio.current_time()
        self._clock_rate = self._rng.uniform(0.98, 1.0)
        self._runs: dict[tuple[str, int], _Run] = {}
        self._highest_fencing = 0
        self._lease_ends_ms = 0
        self._lapsed_at = 0.0  # ends before a lapse are not checked
        self._unacknowledged_ends: list[tuple[messages.EndRow, float]] = []
        self._end_count = 0
        self._highest_run: dict[str, int] = {}

    def clock_ms(self) -> int:
        """Return the time on the worker's own clock, in milliseconds."""
        elapsed_s = trio.current_time() - self._born_at
        return 1000 + int(elapsed_s * self._clock_rate * 1000)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Advance the tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                self._advance()
                await trio.sleep(POLL_INTERVAL_S)

    # Methods of the port

    async def list_runs(
        self, life: messages.WorkerLife, order: ports.LeaseOrder
    ) -> ports.WorkerList:
        """Extend the lease, acknowledge ends and list all runs."""
        await self._apply_faults(life)
        self._check_fencing(order.fencing)
        self._extend_lease(order.lease_until_ms)
        self._acknowledge(order.acknowledged)
        with trio.move_on_after(order.wait_ms / 1000):
            while not self._unacknowledged_ends and not self.faults.down:
                await trio.sleep(POLL_INTERVAL_S)
        if self.faults.down:
            raise errors.WorkerOutcomeUnknown(
                'disconnected', step='worker', peer=self.worker_id
            )
        if self.faults.silent:
            await self._time_out()
        self._advance()
        ends = self._unacknowledged_ends[: self.max_listed_ends]
        return ports.WorkerList(
            self._incarnation + self.born_offset_ms,
            self.clock_ms(),
            tuple(self._run_row(key) for key in self._runs),
            tuple(end for end, _ in ends),
            has_more_ends=len(ends) >= self.max_listed_ends,
        )

    async def start(
        self,
        life: messages.WorkerLife,
        order: messages.StartOrder,
        start_until_ms: int,
        fencing: int,
    ) -> ports.StartResult:
        """Start a run."""
        try:
            await self._deliver_order(
                life, lambda: self._start(order, start_until_ms, fencing)
            )
        except errors.WorkerRefused as exc:
            return ports.StartResult(ports.StartVerdict.REFUSED, exc.message)
        except errors.WorkerOutcomeUnknown as exc:
            return ports.StartResult(ports.StartVerdict.UNKNOWN, exc.message)
        return ports.StartResult(ports.StartVerdict.STARTED)

    async def stop(
        self, life: messages.WorkerLife, run: messages.TaskRun, fencing: int
    ) -> None:
        """Stop a run."""
        await self._deliver_order(life, lambda: self._stop(run, fencing))

    async def pace(
        self,
        life: messages.WorkerLife,
        order: messages.PaceOrder,
        fencing: int,
    ) -> None:
        """Accept the order without effect; pacing is not simulated."""
        del order, fencing
        await self._apply_faults(life)

    # Orders

    async def _deliver_order(
        self,
        life: messages.WorkerLife,
        action: collections.abc.Callable[[], None],
    ) -> None:
        await self._apply_faults(life)
        if self._rng.random() < self.faults.late_share:
            assert self._nursery is not None
            self._nursery.start_soon(self._execute_late, action)
            await self._time_out()
        action()
        if self._rng.random() < self.faults.lost_share:
            await self._time_out()

    async def _execute_late(
        self, action: collections.abc.Callable[[], None]
    ) -> None:
        incarnation = self._incarnation
        await trio.sleep(self._rng.uniform(2.0, 6.0))
        if incarnation != self._incarnation or self.faults.down:
            return  # the incarnation that received the order is gone
        try:
            action()
        except errors.WorkerRefused:
            return

    async def _time_out(self) -> None:
        await trio.sleep(1.0)
        raise errors.WorkerOutcomeUnknown(
            'no response', step='worker', peer=self.worker_id
        )

    async def _apply_faults(self, life: messages.WorkerLife) -> None:
        await trio.sleep(0.002)
        if self.faults.down:
            raise self._refusal('no connection')
        if self.faults.silent:
            await self._time_out()
        if self.faults.refusing:
            raise self._refusal('unhealthy')
        if life.worker_id != self.worker_id:
            raise errors.AnotherIncarnation(
                'another life', step='worker', peer=self.worker_id
            )

    def _refusal(self, reason: str) -> errors.WorkerRefused:
        return errors.WorkerRefused(reason, step='worker', peer=self.worker_id)

    def _check_fencing(self, fencing: int) -> None:
        if fencing < self._highest_fencing:
            raise self._refusal('fence')
        self._highest_fencing = fencing

    def _start(
        self,
        order: messages.StartOrder,
        start_until_ms: int,
        fencing: int,
    ) -> None:
        key = (order.task, order.run)
        self._check_fencing(fencing)
        if key in self._runs:
            return
        if order.run <= self._highest_run.get(order.task, 0):
            raise self._refusal('old')
        if self.clock_ms() > start_until_ms:
            raise self._refusal('late')
        self._extend_lease(start_until_ms)
        plan = self._plan_of(order.task)
        now = trio.current_time()
        work_s = plan.work_s
        if plan.saves and order.checkpoint:
            work_s -= float(order.checkpoint)
        self._runs[key] = _Run(plan, work_s, order.checkpoint, now)
        self._history.record(order.task).checkpoints.append(order.checkpoint)
        self._history.started(self.worker_id, order.task, order.run, now)
        self._check_capacity(now)
        if plan.crashes:
            assert self._nursery is not None
            self._nursery.start_soon(self._crash_soon)

    async def _crash_soon(self) -> None:
        await trio.sleep(CRASH_DELAY_S)
        await self.crash()

    def _check_capacity(self, now: float) -> None:
        plans = [run.plan for run in self._runs.values()]
        if sum(p.memory_mb for p in plans) > self.memory_mb:
            self._history.overcommitted(self.worker_id, 'memory', now)
        if sum(p.cpu_millis for p in plans if not p.fills) > self.cpu_millis:
            self._history.overcommitted(self.worker_id, 'processors', now)

    def _stop(self, run: messages.TaskRun, fencing: int) -> None:
        self._check_fencing(fencing)
        active_run = self._runs.get((run.task, run.run))
        if active_run is None:
            highest = self._highest_run.get(run.task, 0)
            self._highest_run[run.task] = max(highest, run.run)
        elif active_run.stop_at is None:
            active_run.stop_at = trio.current_time() + self._stop_s

    def _extend_lease(self, until_ms: int) -> None:
        """Extend the lease, limited to the longest one granted."""
        latest_end_ms = self.clock_ms() + int(self._max_lease_s * 1000)
        self._lease_ends_ms = max(
            self._lease_ends_ms, min(until_ms, latest_end_ms)
        )

    def _acknowledge(self, number: int) -> None:
        now = trio.current_time()
        for end, ended_at in self._unacknowledged_ends:
            lapsed = self._lapsed_at > ended_at
            if end.number <= number and not lapsed:
                self._history.acknowledged(end.task, end.how, ended_at, now)
        self._unacknowledged_ends = [
            item
            for item in self._unacknowledged_ends
            if item[0].number > number
        ]

    # Work

    def _advance(self) -> None:
        now = trio.current_time()
        lapsed = self.clock_ms() > self._lease_ends_ms
        if lapsed:
            self._lapsed_at = now
        for key, run in list(self._runs.items()):
            elapsed_s = now - run.advanced_at
            run.advanced_at = now
            if not self.faults.stuck:
                run.work_left_s -= elapsed_s / self.faults.slow_factor
            if lapsed:
                self._end(key, 'lapsed')
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(key, 'stopped')
            elif not run.plan.lasts and run.work_left_s <= 0:
                self._end(key, self._end_state(key[0], run.plan))

    def _end_state(self, task: str, plan: TaskPlan) -> str:
        failures = self._history.failures.get(task, 0)
        if self.faults.failing or failures < plan.fails:
            self._history.failures[task] = failures + 1
            return 'failed'
        return 'done'

    def _end(self, key: tuple[str, int], how: str) -> None:
        ended_run = self._runs.pop(key)
        checkpoint = ''
        if how == 'stopped' and ended_run.plan.saves:
            done_s = ended_run.plan.work_s - ended_run.work_left_s
            checkpoint = f'{done_s:.2f}'
        task, run = key
        now = trio.current_time()
        self._end_count += 1
        self._highest_run[task] = max(self._highest_run.get(task, 0), run)
        end = messages.EndRow(self._end_count, task, run, how, checkpoint)
        self._unacknowledged_ends.append((end, now))
        self._history.ended(self.worker_id, task, run, how, now)

    def _run_row(self, key: tuple[str, int]) -> messages.RunRow:
        run = self._runs[key]
        if run.plan.lasts:
            return messages.RunRow(*key, '', 100, 1.0)
        done = 1.0 - max(0.0, run.work_left_s) / max(0.001, run.plan.work_s)
        checkpoint = ''
        if run.plan.saves:
            checkpoint = str(int(run.plan.work_s - run.work_left_s))
        return messages.RunRow(*key, checkpoint, int(100 * done), 100.0)
