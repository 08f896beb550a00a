"""Workers that serving and filling tasks share, without any network.

The load is that of the users' ticketing site on its fullest days: serving
tasks reserve most processors of every worker, their load rises and falls, and
most pairs of a serving and a filling image press on one another. What a tail
does is the model of ``citronrail.workflow._interference``: the tail at rest
divided by one less the utilisation, to which each filling task adds by a
factor of the pair. The scheduler doesn't know the factors.
"""

import dataclasses
import enum
import math
import random

from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _book
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _orders
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _upkeep

STEP_S = 0.1
DAY_S = 46.0
TRAFFIC_S = 34.0
REPORT_S = 0.5  # an agent's list without ends
ORDER_S = 0.1  # from a decision to its effect on the worker
CHECKPOINT_S = 2.0
MEASURED_S = 0.5  # span of a measured tail
FENCING = 1
LATE_SHARE = 0.15  # of a job's worth if it is late, up to three objectives
USELESS_AFTER = 3.0  # times the objective
HARM_WEIGHT = 4.0  # of time over target because of filling tasks
WINDOW_S = 2.0  # in which a serving task earns


class Contender(enum.Enum):
    """How filling tasks get along with serving ones."""

    LEARNED = 'learned'
    UNPACED = 'unpaced'  # learned placement, but all work at full pace
    APART = 'apart'  # filling tasks only where nothing serves


class _EveryPairPresses(_interference.PairFactors):
    """Keeps filling tasks away from serving ones."""

    def cautious_factor(self, serving: str, filling: str) -> float:
        """Return a factor that no worker has room for."""
        del serving, filling
        return 1000.0


@dataclasses.dataclass(frozen=True)
class Load:
    """What comes in a day; means of log-normal draws.

    Sizes in thousandths of a core, times in seconds, rates in jobs a second.
    """

    workers: int = 11
    worker_cpu: int = 64_000
    sizes: tuple[float, ...] = (1.0, 1.0, 1.5)
    serving_jobs: int = 9
    serving_tasks: float = 6.0
    serving_cpu: float = 13_000.0
    serving_images: int = 5
    filling_jobs: int = 2  # at the start
    filling_rate: float = 0.56
    filling_tasks: float = 8.0
    filling_cpu: float = 7_000.0
    filling_work_s: float = 4.4
    filling_images: int = 9
    estimate_error: float = 0.9
    plain_rate: float = 2.2
    plain_tasks: float = 6.0
    plain_cpu: float = 960.0
    plain_work_s: float = 2.0
    rest_ms: float = 19.0
    target_ms: int = 125
    load: float = 0.45  # of a serving task, in the middle of its wave
    swing: float = 0.5
    swing_s: float = 20.0
    heavy_share: float = 0.55  # of the pairs of images
    heavy_factor: float = 1.3
    light_factor: float = 0.05
    serving_use: float = 0.5  # share of the reserved processors
    noise: float = 0.05  # of a measured tail
    spike_rate: float = 0.05  # of a serving task's load, a second
    spike_s: float = 0.8
    spike: float = 0.12  # utilisation


QUEUES = {
    name: workflows.Queue(name, 'h', f'/{name}', 'pool', priority, 4, 2.0, 1.0)
    for name, priority in (('serving', 0), ('plain', 0), ('filling', 2))
}


class _Run:
    """One run on a worker."""

    def __init__(self, attempt: _job.Attempt, work_s: float) -> None:
        self.attempt = attempt
        self.work_s = work_s
        self.done_s = float(attempt.task.checkpoint or 0.0)
        self.saved_s = self.done_s
        self.pace = 100
        self.share = 1.0
        self.tails: list[float] = []
        self.spike_until = 0.0

    @property
    def spec(self) -> workflows.StepSpec:
        """The step of its task."""
        return self.attempt.task.stage.spec


@dataclasses.dataclass
class ServingCredit:
    """Seconds of serving tasks: at work, over target, and why."""

    owed_s: float = 0.0
    at_work_s: float = 0.0
    over_s: float = 0.0
    harmed_s: float = 0.0  # over target because of filling tasks

    @property
    def share(self) -> float:
        """Part of the credit that was earned."""
        lost = self.over_s + (HARM_WEIGHT - 1.0) * self.harmed_s
        return max(0.0, self.at_work_s - lost) / max(1.0, self.owed_s)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Parts of the worth that each kind of job earned, from 0 to 1."""

    plain: float
    filling: float
    serving: float
    harmed_s: float
    thrown_away_s: float  # task seconds that had to be worked again

    @property
    def worth(self) -> float:
        """The whole, with the weights of the users' ticketing site."""
        return 0.1 * self.plain + 0.3 * self.filling + 0.6 * self.serving


class _Worker:
    """A worker with its runs."""

    def __init__(self, number: int, cpu: int, world: 'SharedWorkers') -> None:
        self.world = world
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
            self._take(order)
        serving = [r for r in self.runs.values() if r.spec.latency_target_ms]
        filling = [r for r in self.runs.values() if r.spec.fills]
        used = sum(
            run.spec.cpu_millis
            * (
                self.world.load.serving_use
                if run.spec.latency_target_ms
                else 1.0
            )
            for run in self.runs.values()
            if not run.spec.fills
        )
        wanted = sum(r.spec.cpu_millis * r.pace / 100 for r in filling)
        left = max(0.0, self.life.cpu_millis - used)
        share = min(1.0, left / wanted) if wanted else 1.0
        for run in list(self.runs.values()):
            if not run.spec.latency_target_ms:
                pace = run.pace / 100 * share if run.spec.fills else 1.0
                self._work(run, pace)
        for run in serving:
            self._serve(run, filling, share, now)

    def _take(self, order: messages.WorkerOrders) -> None:
        for start in order.starts:
            key = (start.task, start.run)
            attempt = self.world.attempts[key]
            self.runs[key] = _Run(attempt, self.world.work_s(attempt.task))
        for stop in order.stops:
            self._end((stop.task, stop.run), 'stopped')
        for pace in order.paces:
            run = self.runs.get((pace.task, pace.run))
            paced = self.world.contender is not Contender.UNPACED
            if run is not None and paced:
                run.pace = pace.percent

    def _end(self, key: tuple[str, int], how: str) -> None:
        run = self.runs.pop(key, None)
        if run is None:
            return
        saves = run.spec.saves_progress
        if how == 'stopped' and not saves:
            self.world.thrown_away_s += run.done_s
        checkpoint = str(run.done_s) if saves else ''
        self.ended += 1
        self.ends.append(messages.EndRow(self.ended, *key, how, checkpoint))
        self.report_at = 0.0

    def _work(self, run: _Run, pace: float) -> None:
        run.done_s += STEP_S * pace
        if run.done_s - run.saved_s >= CHECKPOINT_S:
            run.saved_s = run.done_s
        if run.done_s >= run.work_s:
            self._end(run.attempt.key, 'done')

    def _serve(
        self, run: _Run, filling: list[_Run], share: float, now: float
    ) -> None:
        world = self.world
        if world.rng.random() < world.load.spike_rate * STEP_S:
            run.spike_until = now + world.load.spike_s
        own = world.own_load(run.attempt.task.stage.job.job_id, now)
        if now < run.spike_until:
            own += world.load.spike
        added = sum(
            world.factor(run.spec.image, other.spec.image, now)
            * other.spec.cpu_millis
            / self.life.cpu_millis
            * other.pace
            / 100
            * share
            for other in filling
        )
        tail = world.tail_ms(own + added)
        run.tails = [*run.tails[-4:], tail]
        run.done_s = 1.0
        target = run.spec.latency_target_ms
        credit = world.credit
        credit.at_work_s += STEP_S
        if tail > target:
            credit.over_s += STEP_S
            if world.tail_ms(own) <= target:
                credit.harmed_s += STEP_S

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
            mean = sum(run.tails) / max(1, len(run.tails))
            noise = self.world.rng.gauss(1.0, self.world.load.noise)
            return messages.RunRow(name, number, '', 100, mean * noise)
        checkpoint = str(run.saved_s) if spec.saves_progress else ''
        percent = int(100 * min(1.0, run.done_s / run.work_s))
        return messages.RunRow(name, number, checkpoint, percent, 0.0)


class SharedWorkers:
    """A day of shared workers under the real decisions.

    :param load: what comes.
    :param seed: seed of all draws.
    :param contender: which decisions to play.
    """

    def __init__(
        self,
        load: Load,
        seed: int,
        contender: Contender = Contender.LEARNED,
    ) -> None:
        self.load = load
        self.contender = contender
        self.rng = random.Random(seed)
        self.credit = ServingCredit()
        self.thrown_away_s = 0.0
        self.attempts: dict[tuple[str, int], _job.Attempt] = {}
        self._factors: dict[tuple[str, str], tuple[float, float]] = {}
        self._phases: dict[str, float] = {}
        self._work: dict[str, float] = {}
        self._book = _book.Book(QUEUES.get)
        self._reports = _reports.Reports(
            self._book, workflows.Bounds(), FENCING
        )
        self._learned = (
            _EveryPairPresses()
            if contender is Contender.APART
            else _interference.PairFactors()
        )
        self._upkeep = _upkeep.Upkeep(self._book, self._learned)
        self._workers = [
            _Worker(
                n, int(load.worker_cpu * self.rng.choice(load.sizes)), self
            )
            for n in range(load.workers)
        ]
        self._arrivals = sorted(self._draw_arrivals(), key=lambda a: a[0])

    # Draws

    def _draw(self, mean: float, spread: float) -> float:
        sigma = math.sqrt(math.log(1.0 + spread * spread))
        return self.rng.lognormvariate(
            math.log(mean) - sigma * sigma / 2, sigma
        )

    def _times(self, rate: float, at_start: int) -> list[float]:
        times = [self.rng.uniform(0.0, 0.5) for _ in range(at_start)]
        now = 0.0
        while rate:
            now += self.rng.expovariate(rate)
            if now > TRAFFIC_S:
                break
            times.append(now)
        return times

    def _draw_arrivals(self) -> list[tuple[float, documents.JobRecord]]:
        load = self.load
        found = []
        for at in self._times(0.025, load.serving_jobs):
            step = workflows.StepSpec(
                max(1, round(self._draw(load.serving_tasks, 0.4))),
                int(self._draw(load.serving_cpu, 0.25)),
                26_000,
                long_running=True,
                latency_target_ms=load.target_ms,
                image=f's{self.rng.randrange(load.serving_images)}',
                max_per_worker=self.rng.choice((0, 1)),
            )
            found.append((at, self._record('serving', (step,))))
        for at in self._times(load.plain_rate, 0):
            found.append((at, self._record('plain', self._plain())))
        for at in self._times(load.filling_rate, load.filling_jobs):
            found.append((at, self._record('filling', self._fills())))
        return found

    def _plain(self) -> tuple[workflows.StepSpec, ...]:
        load = self.load
        return tuple(
            workflows.StepSpec(
                max(1, round(self._draw(load.plain_tasks, 0.8))),
                int(self._draw(load.plain_cpu, 0.45)),
                1900,
                estimate_s=load.plain_work_s,
                after=(number - 1,) if number else (),
            )
            for number in range(self.rng.choice((1, 1, 2)))
        )

    def _fills(self) -> tuple[workflows.StepSpec, ...]:
        load = self.load
        image = f'f{self.rng.randrange(load.filling_images)}'
        return tuple(
            workflows.StepSpec(
                max(1, round(self._draw(load.filling_tasks, 0.6))),
                int(self._draw(load.filling_cpu, 0.3)),
                13_000,
                estimate_s=self._draw(
                    load.filling_work_s, load.estimate_error
                ),
                after=(number - 1,) if number else (),
                saves_progress=self.rng.random() < 0.85,
                fills=True,
                image=image,
            )
            for number in range(self.rng.choice((1, 2, 2, 3)))
        )

    def _record(
        self, queue: str, steps: tuple[workflows.StepSpec, ...]
    ) -> documents.JobRecord:
        job_id = f'{self.rng.getrandbits(64):016x}'
        self._phases[job_id] = self.rng.uniform(0.0, 2.0 * math.pi)
        spec = workflows.WorkflowSpec('', steps)
        return documents.JobRecord(job_id, queue, 'pool', 0.0, spec)

    # The world that the scheduler doesn't know

    def own_load(self, job_id: str, now: float) -> float:
        """Return the utilisation that a serving job's users cause."""
        wave = math.sin(
            2.0 * math.pi * now / self.load.swing_s + self._phases[job_id]
        )
        return self.load.load * (1.0 + self.load.swing * wave)

    def factor(self, serving: str, filling: str, now: float) -> float:
        """Return how much a filling image presses on a serving one."""
        pair = (serving, filling)
        if pair not in self._factors:
            heavy = self.rng.random() < self.load.heavy_share
            middle = (
                self.load.heavy_factor if heavy else self.load.light_factor
            )
            phase = self.rng.uniform(0.0, 2.0 * math.pi)
            self._factors[pair] = (self._draw(middle, 0.4), phase)
        middle, phase = self._factors[pair]
        return middle * (1.0 + 0.3 * math.sin(now + phase))

    def tail_ms(self, utilisation: float) -> float:
        """Return the tail of a serving task."""
        return self.load.rest_ms / (1.0 - min(0.99, utilisation))

    def work_s(self, task: _job.Task) -> float:
        """Return how long a task works at full pace."""
        if task.name not in self._work:
            means = {
                'plain': self.load.plain_work_s,
                'filling': self.load.filling_work_s,
                'serving': 1e9,
            }
            mean = means[task.stage.job.record.queue]
            self._work[task.name] = self._draw(mean, 0.3)
        return self._work[task.name]

    # The day

    def run(self) -> Outcome:
        """Play the day.

        :returns: what was earned.
        """
        pending = list(self._arrivals)
        now = 0.0
        while now < DAY_S:
            now += STEP_S
            while pending and pending[0][0] <= now:
                _, record = pending.pop(0)
                self._book.add_job(record, now, now)
                self._book.jobs[record.job_id].arrived_at = now
            for worker in self._workers:
                worker.step(now)
                if worker.report_at <= now:
                    worker.report_at = now + REPORT_S
                    self._reports.take(worker.node, worker.report(), now, now)
            self._owe()
            self._decide(now)
        return self._outcome()

    def _owe(self) -> None:
        for job in self._book.jobs.values():
            if job.record.queue == 'serving':
                self.credit.owed_s += STEP_S * len(job.stages[0].tasks)

    def _decide(self, now: float) -> None:
        self._upkeep.run(now)
        if self.contender is Contender.APART:
            self._keep_patient(now)
        policy = _round.Policy(QUEUES.get, frozenset(), self._learned)
        placed = _round.place(self._book, policy, now, now)
        for attempt in placed:
            attempt.ordered = True
            attempt.order_sent_at = now
            attempt.missing_since = now
            self.attempts[attempt.key] = attempt
        by_node = {worker.node: worker for worker in self._workers}
        for view in self._book.workers.values():
            view.acknowledged = view.applied
            own = [item for item in placed if item.node == view.node]
            due = _orders.due_orders(view, own, FENCING, 8.0, now)
            worker = by_node[view.node]
            if due is not None:
                worker.orders.append((now + ORDER_S, due.orders))
            worker.ends = [
                end for end in worker.ends if end.number > view.acknowledged
            ]

    def _keep_patient(self, now: float) -> None:
        """Have filling tasks wait for a worker where nothing serves."""
        for job in self._book.jobs.values():
            for stage in job.stages:
                if stage.spec.fills and stage.ready_since:
                    stage.ready_since = now

    def _outcome(self) -> Outcome:
        earned: dict[str, float] = {}
        owed: dict[str, float] = {}
        for job in self._book.jobs.values():
            queue = job.record.queue
            if queue == 'serving':
                continue
            worth = 0.3 + 0.7 * self._relative_work(job)
            owed[queue] = owed.get(queue, 0.0) + worth
            earned[queue] = earned.get(queue, 0.0) + worth * self._timeliness(
                job
            )
        return Outcome(
            earned.get('plain', 0.0) / max(1e-9, owed.get('plain', 0.0)),
            earned.get('filling', 0.0) / max(1e-9, owed.get('filling', 0.0)),
            self.credit.share,
            self.credit.harmed_s,
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
        return LATE_SHARE if took_s <= USELESS_AFTER * objective_s else 0.0
