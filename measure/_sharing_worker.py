"""Simulated worker shared by serving and filling tasks."""

import dataclasses
import random
import typing

from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _job
from measure import _sharing_load

STEP_S = 0.1
CHECKPOINT_S = 2.0
FENCING = 1
HARM_WEIGHT = 4.0  # of time over target because of filling tasks


class Simulation(typing.Protocol):
    """Interface of the simulation to its workers."""

    load: _sharing_load.Load
    rng: random.Random
    paced: bool
    serving_time: 'ServingTime'
    thrown_away_s: float
    attempts: dict[tuple[str, int], _job.Attempt]

    def base_utilisation(self, job_id: str, now: float) -> float:
        """Return the utilisation caused by a serving job's own requests."""

    def interference_factor(
        self, serving: str, filling: str, now: float
    ) -> float:
        """Return the interference of a filling image with a serving one."""

    def tail_latency_ms(self, utilisation: float) -> float:
        """Return the tail latency of a serving task."""

    def work_s(self, task: _job.Task) -> float:
        """Return the run time of a task at full pace."""


class _Run:
    """State of one run on a worker."""

    def __init__(self, attempt: _job.Attempt, work_s: float) -> None:
        self.attempt = attempt
        self.work_s = work_s
        self.done_s = float(attempt.task.checkpoint or 0.0)
        self.saved_s = self.done_s
        self.pace = 100
        self.share = 1.0
        self.tail_latencies_ms: list[float] = []
        self.spike_until = 0.0

    @property
    def spec(self) -> workflows.StepSpec:
        """Spec of the workflow step."""
        return self.attempt.task.stage.spec


@dataclasses.dataclass
class ServingTime:
    """Task seconds of serving tasks: run, and over the latency target."""

    expected_s: float = 0.0
    at_work_s: float = 0.0
    over_s: float = 0.0
    harmed_s: float = 0.0  # over target because of filling tasks

    @property
    def share(self) -> float:
        """Time within target as a fraction of the expected time.

        Time over target because of filling tasks has a greater weight.
        """
        lost = self.over_s + (HARM_WEIGHT - 1.0) * self.harmed_s
        return max(0.0, self.at_work_s - lost) / max(1.0, self.expected_s)


class Worker:
    """A worker and its runs."""

    def __init__(self, number: int, cpu: int, simulation: Simulation) -> None:
        self.simulation = simulation
        self.node = f'a{number}'
        self.life = messages.WorkerLife(
            f'w{number}', 1, 'pool', 'dc', 'ready', cpu, cpu * 4, 0
        )
        self.runs: dict[tuple[str, int], _Run] = {}
        self.ends: list[messages.EndRow] = []
        self.ended = 0
        self.orders: list[tuple[float, messages.WorkerOrders]] = []
        self.report_at = 0.0

    def step(self, now: float) -> None:
        """Let all runs work for one step."""
        for due_at, order in [o for o in self.orders if o[0] <= now]:
            self.orders.remove((due_at, order))
            self._apply_orders(order)
        serving = [r for r in self.runs.values() if r.spec.latency_target_ms]
        filling = [r for r in self.runs.values() if r.spec.fills]
        used = sum(
            run.spec.cpu_millis
            * (
                self.simulation.load.serving_use
                if run.spec.latency_target_ms
                else 1.0
            )
            for run in self.runs.values()
            if not run.spec.fills
        )
        wanted = sum(r.spec.cpu_millis * r.pace / 100 for r in filling)
        free_millis = max(0.0, self.life.cpu_millis - used)
        share = min(1.0, free_millis / wanted) if wanted else 1.0
        for run in list(self.runs.values()):
            if not run.spec.latency_target_ms:
                pace = run.pace / 100 * share if run.spec.fills else 1.0
                self._step_batch(run, pace)
        for run in serving:
            self._step_serving(run, filling, share, now)

    def _apply_orders(self, order: messages.WorkerOrders) -> None:
        for start in order.starts:
            key = (start.task, start.run)
            attempt = self.simulation.attempts[key]
            self.runs[key] = _Run(
                attempt, self.simulation.work_s(attempt.task)
            )
        for stop in order.stops:
            self._end_run((stop.task, stop.run), 'stopped')
        for pace in order.paces:
            run = self.runs.get((pace.task, pace.run))
            if run is not None and self.simulation.paced:
                run.pace = pace.percent

    def _end_run(self, key: tuple[str, int], end_reason: str) -> None:
        run = self.runs.pop(key, None)
        if run is None:
            return
        saves = run.spec.saves_progress
        if end_reason == 'stopped' and not saves:
            self.simulation.thrown_away_s += run.done_s
        checkpoint = str(run.done_s) if saves else ''
        self.ended += 1
        self.ends.append(
            messages.EndRow(self.ended, *key, end_reason, checkpoint)
        )
        self.report_at = 0.0

    def _step_batch(self, run: _Run, pace: float) -> None:
        run.done_s += STEP_S * pace
        if run.done_s - run.saved_s >= CHECKPOINT_S:
            run.saved_s = run.done_s
        if run.done_s >= run.work_s:
            self._end_run(run.attempt.key, 'done')

    def _step_serving(
        self, run: _Run, filling: list[_Run], share: float, now: float
    ) -> None:
        simulation = self.simulation
        if simulation.rng.random() < simulation.load.spike_rate * STEP_S:
            run.spike_until = now + simulation.load.spike_s
        base = simulation.base_utilisation(
            run.attempt.task.stage.job.job_id, now
        )
        if now < run.spike_until:
            base += simulation.load.spike
        added = sum(
            simulation.interference_factor(
                run.spec.image, other.spec.image, now
            )
            * other.spec.cpu_millis
            / self.life.cpu_millis
            * other.pace
            / 100
            * share
            for other in filling
        )
        tail = simulation.tail_latency_ms(base + added)
        run.tail_latencies_ms = [*run.tail_latencies_ms[-4:], tail]
        run.done_s = 1.0
        target = run.spec.latency_target_ms
        serving_time = simulation.serving_time
        serving_time.at_work_s += STEP_S
        if tail > target:
            serving_time.over_s += STEP_S
            if simulation.tail_latency_ms(base) <= target:
                serving_time.harmed_s += STEP_S

    def report(self) -> messages.WorkerReport:
        """Return the agent's next report."""
        rows = tuple(self._row(run) for run in self.runs.values())
        return messages.WorkerReport(
            FENCING, self.life, 1000, rows, tuple(self.ends)
        )

    def _row(self, run: _Run) -> messages.RunRow:
        spec = run.spec
        name, number = run.attempt.key
        if spec.latency_target_ms:
            mean = sum(run.tail_latencies_ms) / max(
                1, len(run.tail_latencies_ms)
            )
            noise = self.simulation.rng.gauss(1.0, self.simulation.load.noise)
            return messages.RunRow(name, number, '', 100, mean * noise)
        checkpoint = str(run.saved_s) if spec.saves_progress else ''
        percent = int(100 * min(1.0, run.done_s / run.work_s))
        return messages.RunRow(name, number, checkpoint, percent, 0.0)
