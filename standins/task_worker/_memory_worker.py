"""A worker in this process, with the faults that real workers show."""

import collections.abc
import dataclasses
import random

import trio

from citronrail import errors
from citronrail.model import messages
from citronrail import ports
from standins.task_worker import _history

POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class TaskPlan:
    """How a task behaves on a worker.

    :param work_s: seconds of work.
    :param fails: number of runs that end ``failed`` before one is done.
    :param cpu_millis: processors, not counted if it fills.
    :param memory_mb: memory.
    :param lasts: whether it works until it is stopped.
    """

    work_s: float = 1.0
    fails: int = 0
    cpu_millis: int = 100
    memory_mb: int = 100
    lasts: bool = False
    fills: bool = False


@dataclasses.dataclass
class WorkerFaults:
    """Switches of a worker; shares lie between 0 and 1.

    ``late_share`` of the orders get no answer and are carried out 2 to 6 s
    later; ``lost_share`` are carried out at once without an answer.
    """

    silent: bool = False
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
    touched_at: float
    stop_at: float | None = None


class MemoryTaskWorker:
    """A :class:`citronrail.ports.TaskWorker` with one life at a time.

    :param worker_id: id of the worker.
    :param history: collects what all workers see.
    :param plan_of: behaviour of a task by its name.
    :param rng: source of chance.
    :param cpu_millis: capacity.
    :param memory_mb: capacity.
    :param max_lease_s: longest lease that is granted.
    :param stop_s: time that a stop takes.
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
    ) -> None:
        self.worker_id = worker_id
        self.faults = WorkerFaults()
        self.cpu_millis = cpu_millis
        self.memory_mb = memory_mb
        self.state = 'ready'
        self._history = history
        self._plan_of = plan_of
        self._rng = rng
        self._max_lease_s = max_lease_s
        self._stop_s = stop_s
        self._nursery: trio.Nursery | None = None
        self._births = 0
        self._begin_life()

    def life(self) -> messages.WorkerLife:
        """Return what the worker announces of itself."""
        return messages.WorkerLife(
            worker_id=self.worker_id,
            born_ms=self._births,
            service='pool',
            data_centre='dc',
            state=self.state,
            cpu_millis=self.cpu_millis,
            memory_mb=self.memory_mb,
            accelerators=0,
        )

    def reborn(self) -> None:
        """End everything and begin a new life under the same id."""
        now = trio.current_time()
        for task, run in list(self._runs):
            self._history.ended(self.worker_id, task, run, 'lost', now)
        self._begin_life()

    def _begin_life(self) -> None:
        self._births += 1
        self._born_at = trio.current_time()
        self._clock_rate = self._rng.uniform(0.98, 1.0)
        self._runs: dict[tuple[str, int], _Run] = {}
        self._fencing = 0
        self._lease_ends_ms = 0
        self._lapsed_at = 0.0  # an end before a lapse counts for nothing
        self._ends: list[tuple[messages.EndRow, float]] = []
        self._end_count = 0
        self._highest: dict[str, int] = {}

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        elapsed_s = trio.current_time() - self._born_at
        return 1000 + int(elapsed_s * self._clock_rate * 1000)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Let tasks work until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                self._advance()
                await trio.sleep(POLL_S)

    # The port

    async def list_runs(
        self, life: messages.WorkerLife, order: ports.LeaseOrder
    ) -> ports.WorkerList:
        """Extend the lease, acknowledge ends and return both lists."""
        await self._meet(life)
        self._check_fence(order.fencing)
        self._extend_lease(order.lease_until_ms)
        self._acknowledge(order.acknowledged)
        with trio.move_on_after(order.wait_ms / 1000):
            while not self._ends:
                await trio.sleep(POLL_S)
        if self.faults.silent:
            await self._never()
        self._advance()
        return ports.WorkerList(
            self._births,
            self.clock_ms(),
            tuple(self._row(key) for key in self._runs),
            tuple(end for end, _ in self._ends[:500]),
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
            await self._order(
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
        await self._order(life, lambda: self._stop(run, fencing))

    async def pace(
        self,
        life: messages.WorkerLife,
        order: messages.PaceOrder,
        fencing: int,
    ) -> None:
        """Take note of nothing; work isn't slowed down."""
        del order, fencing
        await self._meet(life)

    # Orders

    async def _order(
        self,
        life: messages.WorkerLife,
        action: collections.abc.Callable[[], None],
    ) -> None:
        await self._meet(life)
        if self._rng.random() < self.faults.late_share:
            assert self._nursery is not None
            self._nursery.start_soon(self._carry_out_late, action)
            await self._never()
        action()
        if self._rng.random() < self.faults.lost_share:
            await self._never()

    async def _carry_out_late(
        self, action: collections.abc.Callable[[], None]
    ) -> None:
        births = self._births
        await trio.sleep(self._rng.uniform(2.0, 6.0))
        if births != self._births:
            return  # the worker that held the order is gone
        try:
            action()
        except errors.WorkerRefused:
            return

    async def _never(self) -> None:
        await trio.sleep(1.0)
        raise errors.WorkerOutcomeUnknown(
            'no answer', step='worker', peer=self.worker_id
        )

    async def _meet(self, life: messages.WorkerLife) -> None:
        await trio.sleep(0.002)
        if self.faults.silent:
            await self._never()
        if self.faults.refusing:
            raise self._refusal('unhealthy')
        if life.worker_id != self.worker_id:
            raise self._refusal('another life')

    def _refusal(self, reason: str) -> errors.WorkerRefused:
        return errors.WorkerRefused(reason, step='worker', peer=self.worker_id)

    def _check_fence(self, fencing: int) -> None:
        if fencing < self._fencing:
            raise self._refusal('fence')
        self._fencing = fencing

    def _start(
        self,
        order: messages.StartOrder,
        start_until_ms: int,
        fencing: int,
    ) -> None:
        key = (order.task, order.run)
        self._check_fence(fencing)
        if key in self._runs:
            return
        if order.run <= self._highest.get(order.task, 0):
            raise self._refusal('old')
        if self.clock_ms() > start_until_ms:
            raise self._refusal('late')
        self._extend_lease(start_until_ms)
        plan = self._plan_of(order.task)
        now = trio.current_time()
        self._runs[key] = _Run(plan, plan.work_s, order.checkpoint, now)
        self._history.started(self.worker_id, order.task, order.run, now)
        self._check_capacity(now)

    def _check_capacity(self, now: float) -> None:
        plans = [run.plan for run in self._runs.values()]
        if sum(p.memory_mb for p in plans) > self.memory_mb:
            self._history.overcommitted(self.worker_id, 'memory', now)
        if sum(p.cpu_millis for p in plans if not p.fills) > self.cpu_millis:
            self._history.overcommitted(self.worker_id, 'processors', now)

    def _stop(self, run: messages.TaskRun, fencing: int) -> None:
        self._check_fence(fencing)
        found = self._runs.get((run.task, run.run))
        if found is None:
            highest = self._highest.get(run.task, 0)
            self._highest[run.task] = max(highest, run.run)
        elif found.stop_at is None:
            found.stop_at = trio.current_time() + self._stop_s

    def _extend_lease(self, until_ms: int) -> None:
        """Extend the lease; a longer one than allowed is shortened."""
        longest = self.clock_ms() + int(self._max_lease_s * 1000)
        self._lease_ends_ms = max(self._lease_ends_ms, min(until_ms, longest))

    def _acknowledge(self, number: int) -> None:
        now = trio.current_time()
        for end, ended_at in self._ends:
            lapsed = self._lapsed_at > ended_at
            if end.number <= number and not lapsed:
                self._history.acknowledged(end.task, end.how, ended_at, now)
        self._ends = [item for item in self._ends if item[0].number > number]

    # Work

    def _advance(self) -> None:
        now = trio.current_time()
        lapsed = self.clock_ms() > self._lease_ends_ms
        if lapsed:
            self._lapsed_at = now
        for key, run in list(self._runs.items()):
            elapsed_s = now - run.touched_at
            run.touched_at = now
            if not self.faults.stuck:
                run.work_left_s -= elapsed_s / self.faults.slow_factor
            if lapsed:
                self._end(key, 'lapsed')
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(key, 'stopped')
            elif not run.plan.lasts and run.work_left_s <= 0:
                self._end(key, self._result(key[0], run.plan))

    def _result(self, task: str, plan: TaskPlan) -> str:
        failures = self._history.failures.get(task, 0)
        if self.faults.failing or failures < plan.fails:
            self._history.failures[task] = failures + 1
            return 'failed'
        return 'done'

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self._runs[key]
        task, run = key
        now = trio.current_time()
        self._end_count += 1
        self._highest[task] = max(self._highest.get(task, 0), run)
        end = messages.EndRow(self._end_count, task, run, how, '')
        self._ends.append((end, now))
        self._history.ended(self.worker_id, task, run, how, now)

    def _row(self, key: tuple[str, int]) -> messages.RunRow:
        run = self._runs[key]
        if run.plan.lasts:
            return messages.RunRow(*key, '', 100, 1.0)
        done = 1.0 - max(0.0, run.work_left_s) / max(0.001, run.plan.work_s)
        return messages.RunRow(*key, '', int(100 * done), 100.0)
