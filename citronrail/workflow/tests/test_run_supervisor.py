"""Tests of how paces follow the measured tail latencies."""

import pytest

from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _run_supervisor
from citronrail.workflow import _scheduler_state
from citronrail.workflow.tests import _cluster

TOKEN = 5
TARGET_MS = 50
LIFE = messages.WorkerLife('w0', 1, 'pool', 'dc', 'ready', 16000, 64000, 0)
LIST_S = 0.5


class _Worker:
    """One worker with a serving and a best-effort task."""

    def __init__(self) -> None:
        self.now = 100.0
        self.scheduler_state = _scheduler_state.SchedulerState(
            lambda name: _cluster.QUEUE
        )
        self.factors = _interference.PairFactors()
        self.run_supervisor = _run_supervisor.RunSupervisor(
            self.scheduler_state, self.factors
        )
        self.reports = _reports.Reports(
            self.scheduler_state, workflows.Bounds(), TOKEN
        )
        self.report()
        serve = _cluster.one_step(
            1, long_running=True, latency_target_ms=TARGET_MS, image='shop'
        )
        fill = _cluster.one_step(
            1, fills=True, cpu_millis=2000, image='heavy', saves_progress=True
        )
        for name, spec in (('serve', serve), ('fill', fill)):
            record = documents.JobRecord(name, 'queue', 'pool', 0.0, spec)
            self.scheduler_state.add_job(record, self.now, 0.0)
        policy = _round.Policy(
            lambda name: _cluster.QUEUE, frozenset(), self.factors
        )
        placed = _round.place(self.scheduler_state, policy, self.now, 0.0)
        for attempt in placed:
            attempt.ordered = True
        self.fill = next(a for a in placed if a.task.stage.spec.fills)

    def report(self, rows=()) -> None:
        """Apply a report with a list of the worker's runs."""
        report = messages.WorkerReport(TOKEN, LIFE, 1000, rows)
        self.reports.take('a0', report, self.now, 0.0)

    def list_with(self, tail_ms: float) -> None:
        """Advance the time by LIST_S and apply the next list."""
        self.now += LIST_S
        self.fill.pace_due = False
        self.report(
            (
                messages.RunRow('serve.0.0.0', 1, '', 100, tail_ms),
                messages.RunRow('fill.0.0.0', 1, '', 30, 2000.0),
            )
        )
        self.run_supervisor.run(self.now)


@pytest.fixture
def worker():
    return _Worker()


def test_missed_target_stops_best_effort_tasks_in_time(worker):
    """Best-effort tasks stop within 2.5 s of a missed latency target.

    A target that is missed for 4 s while such a task runs on counts as HARM.
    """
    for _ in range(5):  # 2.5 s
        worker.list_with(60.0)
    assert worker.fill.pace == 0


def test_lost_pace_order_is_repeated_while_target_is_missed(worker):
    """The order to stop a best-effort task may have been lost."""
    for _ in range(6):
        worker.list_with(60.0)
    assert worker.fill.pace == 0
    assert worker.fill.pace_due


def test_no_throttling_while_targets_are_met(worker):
    """Best-effort tasks are not throttled while all targets are met."""
    for _ in range(6):
        worker.list_with(15.0)
    assert worker.fill.pace == 100
    assert not worker.fill.pace_due


@pytest.mark.parametrize(
    ('clock_ms', 'stops'), [(1300, False), (6000, True)], ids=['late', 'stuck']
)
def test_run_is_not_stuck_because_its_list_waited(clock_ms, stops):
    """Guards against stops of running work while lists are late.

    Two lists made 0.3 s apart, of which a busy scheduler applied the second
    one 5 s later, showed a run without progress for 5 s.
    """
    worker = _Worker()
    name = worker.fill.task.name
    for row_clock_ms, now in ((1000, 101.0), (clock_ms, 106.0)):
        row = messages.RunRow(name, 1, '', 30, 2000.0)
        report = messages.WorkerReport(TOKEN, LIFE, row_clock_ms, (row,))
        worker.reports.take('a0', report, now, 0.0)
    worker.run_supervisor.run(106.0)
    assert bool(worker.fill.stop_reason) is stops


def _successor_of(worker: _Worker) -> _Worker:
    """Return a worker with the same runs as its next scheduler sees them."""
    progress = {
        job.job_id: job.progress()
        for job in worker.scheduler_state.jobs.values()
    }
    records = [job.record for job in worker.scheduler_state.jobs.values()]
    successor = _Worker.__new__(_Worker)
    successor.now = worker.now
    successor.factors = _interference.PairFactors()
    state = successor.scheduler_state = _scheduler_state.SchedulerState(
        lambda name: _cluster.QUEUE
    )
    state.inherited_end_at = worker.now + 14.0
    state.progress.update(progress)
    for record in records:
        state.add_job(record, worker.now, 0.0)
    successor.run_supervisor = _run_supervisor.RunSupervisor(
        state, successor.factors
    )
    successor.reports = _reports.Reports(state, workflows.Bounds(), TOKEN)
    (successor.fill,) = state.jobs['fill'].attempts()
    return successor


def test_successor_sets_the_pace_of_each_inherited_run(worker):
    """Guards against a run that stays slow after a takeover.

    Its pace counted as 100, whatever an earlier scheduler had set, so that no
    order followed while 100 was right.
    """
    successor = _successor_of(worker)
    successor.list_with(15.0)
    assert successor.fill.pace == 100
    assert successor.fill.pace_due
    successor.list_with(15.0)
    assert not successor.fill.pace_due  # once is enough


def test_successor_learns_nothing_from_a_pace_that_it_has_not_set(worker):
    """Guards against factors that are learned from a guessed pace."""
    successor = _successor_of(worker)
    prior = successor.factors.factor('shop', 'heavy')
    for _ in range(2):
        successor.list_with(45.0)
        assert successor.factors.factor('shop', 'heavy') == prior
    successor.list_with(45.0)
    assert successor.factors.factor('shop', 'heavy') != prior
