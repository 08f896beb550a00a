"""Workers whose lists follow the scheduler's orders, without a network."""

import dataclasses

from citronrail.model import load_settings
from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _documents as documents
from citronrail.workflow import _idle_jobs
from citronrail.workflow import _interference
from citronrail.workflow import _load_stops
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _run_supervisor
from citronrail.workflow import _scheduler_state
from citronrail.workflow.tests import _cluster

TOKEN = 5
TARGET_MS = 50
FIT = load_settings.LoadSettings(fit_best_effort=True)
BOUNDS = workflows.Bounds(stop_s=0.2, checkpoint_s=0.5, restore_s=0.1)
REBUILD = workflows.StepSpec(
    1,
    cpu_millis=1800,
    memory_mb=3200,
    estimate_s=100.0,
    fills=True,
    image='heavy',
    saves_progress=True,
)
SERVE = workflows.StepSpec(
    1,
    cpu_millis=3200,
    memory_mb=3200,
    long_running=True,
    latency_target_ms=TARGET_MS,
    image='shop',
)


class Fleet:
    """Workers of 16 cores whose lists follow the scheduler's orders."""

    def __init__(self, workers=1, load=FIT, memory_mb=62_500) -> None:
        self.now = 100.0
        self.load = load
        self.state = _scheduler_state.SchedulerState(self.queue)
        self.factors = _interference.PairFactors()
        self.supervisor = _run_supervisor.RunSupervisor(
            self.state,
            self.factors,
            load=load,
            bounds=BOUNDS,
            evacuated=lambda: self.evacuated,
        )
        self.stops = _load_stops.LoadStops(self.state, load, BOUNDS)
        self.idle_jobs = _idle_jobs.IdleJobs()
        self.reports = _reports.Reports(
            self.state, BOUNDS, TOKEN, observes_steps=load.observed_run_times
        )
        self.run_time_ratio = 1.0  # of real run times to declared ones
        self.lives = [
            messages.WorkerLife(
                f'w{n}', 1, 'pool', 'dc', 'ready', 16_000, memory_mb, 0
            )
            for n in range(workers)
        ]
        self.evacuated = frozenset()
        self.tail_ms = 15.0
        self.serving_percent = 100
        self.answers_stops = True
        self._ends = [0] * workers
        self.list_all()

    def queue(self, name):
        """Queues are named by their priority."""
        return dataclasses.replace(
            _cluster.QUEUE, name=name, priority=int(name)
        )

    def submit(self, job_id, *steps, priority=2) -> None:
        """Add a job."""
        spec = workflows.WorkflowSpec('', steps)
        record = documents.JobRecord(job_id, str(priority), 'pool', 0.0, spec)
        self.state.add_job(record, self.now, 0.0)

    def shrink(self, number, ratio) -> None:
        """Announce a smaller capacity."""
        life = self.lives[number]
        self.lives[number] = dataclasses.replace(
            life,
            cpu_millis=int(life.cpu_millis * ratio),
            memory_mb=int(life.memory_mb * ratio),
        )

    def list_all(self) -> None:
        """Apply one list of each worker; stops end with a checkpoint."""
        for number, life in enumerate(self.lives):
            view = self.state.workers.get(f'a{number}')
            rows, ended = [], []
            for key, attempt in (view.attempts if view else {}).items():
                spec = attempt.task.stage.spec
                elapsed_s = self.now - attempt.order_sent_at
                how = ''
                if attempt.stop_reason and self.answers_stops:
                    how = 'stopped'
                elif not spec.long_running and (
                    elapsed_s >= spec.estimate_s * self.run_time_ratio
                ):
                    how = 'done'
                if how:
                    self._ends[number] += 1
                    ended.append(
                        messages.EndRow(self._ends[number], *key, how, 'saved')
                    )
                elif spec.latency_target_ms:
                    rows.append(
                        messages.RunRow(
                            *key, '', self.serving_percent, self.tail_ms
                        )
                    )
                else:
                    run_s = spec.estimate_s * self.run_time_ratio
                    percent = int(100 * elapsed_s / run_s)
                    rows.append(messages.RunRow(*key, 'c', percent, 1800.0))
            report = messages.WorkerReport(
                TOKEN, life, int(self.now * 1000), tuple(rows), tuple(ended)
            )
            self.reports.take(f'a{number}', report, self.now, 0.0)

    def step(self, seconds=0.5) -> None:
        """Advance the time, list, supervise and place."""
        self.now += seconds
        self.list_all()
        self.supervisor.run(self.now)
        self.stops.fit_shrunk_workers(self.now)
        self.place()

    def place(self):
        """Run a round; all runs count as ordered."""
        policy = _round.Policy(
            self.queue,
            self.evacuated,
            self.factors,
            self.load.fit_best_effort,
            idle_jobs=self.idle_jobs,
        )
        placed = _round.place(self.state, policy, self.now, 0.0)
        for attempt in placed:
            attempt.ordered = True
            attempt.order_sent_at = self.now
        self.stops.preempt(policy, self.now, 0.0)
        return placed

    def stopping(self):
        """Return the tasks whose runs are being stopped."""
        return [
            attempt.task.name
            for view in self.state.workers.values()
            for attempt in view.attempts.values()
            if attempt.stop_reason
        ]

    def running(self, job_id) -> int:
        """Return the number of listed runs that are not being stopped."""
        return sum(
            bool(attempt.listed_at and not attempt.stop_reason)
            for attempt in self.state.jobs[job_id].attempts()
        )
