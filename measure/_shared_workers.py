"""Simulates workers shared by serving and filling tasks, without a network.

The load is that of the users' ticketing site on its busiest days: serving
tasks reserve most processors of every worker, their load varies over time, and
most pairs of a serving and a filling image interfere with each other. Tail
latency follows the model of ``citronrail.workflow._interference``: the latency
when idle divided by one minus the utilisation, to which each filling task adds
in proportion to a factor of the pair. The scheduler doesn't know the factors.
"""

import dataclasses
import enum
import math
import random

from citronrail.model import workflows
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _orders
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _run_supervisor
from citronrail.workflow import _scheduler_state
from measure import _sharing_load
from measure import _sharing_worker

DAY_S = 46.0
REPORT_INTERVAL_S = 0.5  # interval of reports without ended runs
ORDER_LATENCY_S = 0.1  # from a decision to its effect on the worker
LATE_WORTH_FRACTION = 0.15  # for a job that ends within three objectives
WORTHLESS_AFTER_OBJECTIVES = 3.0  # times the objective
STEP_S = _sharing_worker.STEP_S
FENCING = _sharing_worker.FENCING
QUEUES = _sharing_load.QUEUES
Load = _sharing_load.Load


class Variant(enum.Enum):
    """Variants of sharing between filling and serving tasks."""

    LEARNED = 'learned'
    UNPACED = 'unpaced'  # learned placement, but all work at full pace
    APART = 'apart'  # filling tasks only where nothing serves


class _NoSharingFactors(_interference.PairFactors):
    """Pair factors that rule out any sharing."""

    def cautious_factor(self, serving: str, filling: str) -> float:
        """Return a factor too large for any worker."""
        del serving, filling
        return 1000.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Fraction of the possible worth earned by each kind of job, 0 to 1."""

    plain: float
    filling: float
    serving: float
    harmed_s: float
    thrown_away_s: float  # task seconds lost to stops without a checkpoint

    @property
    def worth(self) -> float:
        """Total, with the weights of the users' ticketing site."""
        return 0.1 * self.plain + 0.3 * self.filling + 0.6 * self.serving


class SharedWorkers:
    """Simulates a day under the scheduler's real decisions.

    :param load: parameters of the load.
    :param seed: seed of all random draws.
    :param variant: the sharing variant to simulate.
    """

    def __init__(
        self,
        load: Load,
        seed: int,
        variant: Variant = Variant.LEARNED,
    ) -> None:
        self.load = load
        self.variant = variant
        self.paced = variant is not Variant.UNPACED
        self.rng = random.Random(seed)
        self.serving_time = _sharing_worker.ServingTime()
        self.thrown_away_s = 0.0
        self.attempts: dict[tuple[str, int], _job.Attempt] = {}
        self._mean_factors: dict[tuple[str, str], tuple[float, float]] = {}
        self._phases: dict[str, float] = {}
        self._work_durations_s: dict[str, float] = {}
        self._scheduler_state = _scheduler_state.SchedulerState(QUEUES.get)
        self._reports = _reports.Reports(
            self._scheduler_state, workflows.Bounds(), FENCING
        )
        self._pair_factors = (
            _NoSharingFactors()
            if variant is Variant.APART
            else _interference.PairFactors()
        )
        self._run_supervisor = _run_supervisor.RunSupervisor(
            self._scheduler_state, self._pair_factors
        )
        self._workers = [
            _sharing_worker.Worker(
                n, int(load.worker_cpu * self.rng.choice(load.sizes)), self
            )
            for n in range(load.workers)
        ]
        self._arrivals = _sharing_load.Arrivals(load, self.rng).draw()

    # Ground truth, unknown to the scheduler

    def base_utilisation(self, job_id: str, now: float) -> float:
        """Return the utilisation caused by a serving job's own requests."""
        wave = math.sin(
            2.0 * math.pi * now / self.load.swing_s + self._phase(job_id)
        )
        return self.load.load * (1.0 + self.load.swing * wave)

    def _phase(self, job_id: str) -> float:
        if job_id not in self._phases:
            self._phases[job_id] = self.rng.uniform(0.0, 2.0 * math.pi)
        return self._phases[job_id]

    def interference_factor(
        self, serving: str, filling: str, now: float
    ) -> float:
        """Return the interference of a filling image with a serving one."""
        pair = (serving, filling)
        if pair not in self._mean_factors:
            heavy = self.rng.random() < self.load.heavy_share
            mean_factor = (
                self.load.heavy_factor if heavy else self.load.light_factor
            )
            phase = self.rng.uniform(0.0, 2.0 * math.pi)
            self._mean_factors[pair] = (
                _sharing_load.draw_lognormal(self.rng, mean_factor, 0.4),
                phase,
            )
        mean_factor, phase = self._mean_factors[pair]
        return mean_factor * (1.0 + 0.3 * math.sin(now + phase))

    def tail_latency_ms(self, utilisation: float) -> float:
        """Return the tail latency of a serving task."""
        return self.load.rest_ms / (1.0 - min(0.99, utilisation))

    def work_s(self, task: _job.Task) -> float:
        """Return the run time of a task at full pace."""
        if task.name not in self._work_durations_s:
            means = {
                'plain': self.load.plain_work_s,
                'filling': self.load.filling_work_s,
                'serving': 1e9,
            }
            mean = means[task.stage.job.record.queue]
            self._work_durations_s[task.name] = _sharing_load.draw_lognormal(
                self.rng, mean, 0.3
            )
        return self._work_durations_s[task.name]

    # Simulation loop

    def run(self) -> Outcome:
        """Simulate the day.

        :returns: the earned worth.
        """
        pending = list(self._arrivals)
        now = 0.0
        while now < DAY_S:
            now += STEP_S
            while pending and pending[0][0] <= now:
                _, record = pending.pop(0)
                self._scheduler_state.add_job(record, now, now)
                self._scheduler_state.jobs[record.job_id].arrived_at = now
            for worker in self._workers:
                worker.step(now)
                if worker.report_at <= now:
                    worker.report_at = now + REPORT_INTERVAL_S
                    self._reports.take(worker.node, worker.report(), now, now)
            self._accrue_expected_time()
            self._schedule(now)
        return self._outcome()

    def _accrue_expected_time(self) -> None:
        for job in self._scheduler_state.jobs.values():
            if job.record.queue == 'serving':
                self.serving_time.expected_s += STEP_S * len(
                    job.stages[0].tasks
                )

    def _schedule(self, now: float) -> None:
        self._run_supervisor.run(now)
        if self.variant is Variant.APART:
            self._reset_waiting_times(now)
        policy = _round.Policy(QUEUES.get, frozenset(), self._pair_factors)
        placed = _round.place(self._scheduler_state, policy, now, now)
        for attempt in placed:
            attempt.ordered = True
            attempt.order_sent_at = now
            self.attempts[attempt.key] = attempt
        by_node = {worker.node: worker for worker in self._workers}
        for view in self._scheduler_state.workers.values():
            view.acknowledged = view.applied
            own = [item for item in placed if item.node == view.node]
            due = _orders.due_orders(view, own, FENCING, 8.0, now)
            worker = by_node[view.node]
            if due is not None:
                worker.orders.append((now + ORDER_LATENCY_S, due.orders))
            worker.ends = [
                end for end in worker.ends if end.number > view.acknowledged
            ]

    def _reset_waiting_times(self, now: float) -> None:
        """Keep filling tasks waiting for a worker without serving tasks."""
        for job in self._scheduler_state.jobs.values():
            for stage in job.stages:
                if stage.spec.fills and stage.ready_since:
                    stage.ready_since = now

    def _outcome(self) -> Outcome:
        earned_worth: dict[str, float] = {}
        possible_worth: dict[str, float] = {}
        for job in self._scheduler_state.jobs.values():
            queue = job.record.queue
            if queue == 'serving':
                continue
            worth = 0.3 + 0.7 * self._relative_work(job)
            possible_worth[queue] = possible_worth.get(queue, 0.0) + worth
            earned_worth[queue] = earned_worth.get(
                queue, 0.0
            ) + worth * self._timeliness(job)
        return Outcome(
            earned_worth.get('plain', 0.0)
            / max(1e-9, possible_worth.get('plain', 0.0)),
            earned_worth.get('filling', 0.0)
            / max(1e-9, possible_worth.get('filling', 0.0)),
            self.serving_time.share,
            self.serving_time.harmed_s,
            self.thrown_away_s,
        )

    def _relative_work(self, job: _job.Job) -> float:
        load = self.load
        mean = (
            2.0 * load.filling_tasks * load.filling_cpu * load.filling_work_s
            if job.record.queue == 'filling'
            else 1.3 * load.plain_tasks * load.plain_cpu * load.plain_work_s
        )
        work = sum(
            stage.spec.cpu_millis * self.work_s(task)
            for stage in job.stages
            for task in stage.tasks
        )
        return min(4.0, work / mean)

    def _timeliness(self, job: _job.Job) -> float:
        queue = QUEUES[job.record.queue]
        chain_s = sum(
            max(self.work_s(task) for task in stage.tasks)
            for stage in job.stages
        )
        objective_s = queue.stretch * chain_s + queue.objective_s
        if not job.ended_at:
            return 0.0
        took_s = job.ended_at - job.arrived_at
        if took_s <= objective_s:
            return 1.0
        return (
            LATE_WORTH_FRACTION
            if took_s <= WORTHLESS_AFTER_OBJECTIVES * objective_s
            else 0.0
        )
