"""Tests of placement on large fleets: same choices, bounded work."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _placement
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _step_ranking
from citronrail.workflow.tests import _cluster

TOKEN = 5
WORKERS = 160
WIDE_STEP = workflows.StepSpec(39, cpu_millis=1800, memory_mb=1000)
FACTORS = _interference.PairFactors()


def _candidate(number, free_cpu=16000, **fields):
    return _placement.WorkerCapacity(
        node=f'n{number}',
        worker_id=f'w{number}',
        data_centre='dc',
        labels=frozenset({'r1'}),
        rack='r1',
        total_cpu=16000,
        free_cpu=free_cpu,
        free_memory=8000,
        free_accelerators=0,
        idle_cpu=free_cpu,
        **fields,
    )


@pytest.fixture
def evaluations(monkeypatch):
    """Names of the workers that were evaluated, in order."""
    found = []
    evaluate = _placement.evaluate

    def counting(step, step_name, candidate, *args):
        found.append(candidate.node)
        return evaluate(step, step_name, candidate, *args)

    monkeypatch.setattr(_placement, 'evaluate', counting)
    return found


class _Fleet:
    """A scheduler state with idle workers, and rounds on it."""

    def __init__(self, workers: int) -> None:
        self.now = 100.0
        self.state = _scheduler_state.SchedulerState(lambda _: _cluster.QUEUE)
        self.reports = _reports.Reports(self.state, workflows.Bounds(), TOKEN)
        for number in range(workers):
            self.report(number)

    def report(self, number, rows=(), ended=()) -> None:
        """Apply the report of a worker."""
        life = messages.WorkerLife(
            f'w{number}', 1, 'pool', 'dc', 'ready', 4000, 64000, 0
        )
        report = messages.WorkerReport(TOKEN, life, 1000, rows, ended)
        self.reports.take(f'n{number}', report, self.now, 0.0)

    def submit(self, job_id, spec) -> None:
        """Add a job."""
        record = documents.JobRecord(job_id, 'queue', 'pool', 0.0, spec)
        self.state.add_job(record, self.now, 0.0)

    def place(self):
        """Run a round; all runs count as ordered."""
        policy = _round.Policy(lambda _: _cluster.QUEUE, frozenset(), FACTORS)
        placed = _round.place(self.state, policy, self.now, 0.0)
        for attempt in placed:
            attempt.ordered = True
        return placed


@hypothesis.given(
    free=st.lists(st.integers(0, 9000), min_size=1, max_size=8),
    speeds=st.lists(st.floats(0.1, 1.0), min_size=8, max_size=8),
    failed_on=st.lists(st.integers(-1, 8), max_size=12),
    max_per_worker=st.integers(0, 2),
    fills=st.booleans(),
)
def test_ranking_chooses_as_a_full_search_does(
    free, speeds, failed_on, max_per_worker, fills
):
    """Guards against other choices than those of a search for each task."""
    step = dataclasses.replace(
        WIDE_STEP, max_per_worker=max_per_worker, fills=fills
    )
    fleet = [_candidate(n, cpu, speed=speeds[n]) for n, cpu in enumerate(free)]
    expected = []
    for number in failed_on:
        found = _placement.choose_worker(
            step, 's', fleet, FACTORS, avoid_nodes=(f'n{number}',)
        )
        if found is not None:
            found.reserve(step, 's')
        expected.append(found and found.node)
    copies = [
        _candidate(n, cpu, speed=speeds[n]) for n, cpu in enumerate(free)
    ]
    ranking = _step_ranking.StepRanking(step, 's', copies, FACTORS)
    choices = [ranking.take(f'n{number}') for number in failed_on]
    assert [c and c.candidate.node for c in choices] == expected


def test_wide_step_evaluates_each_worker_once_and_once_a_task(evaluations):
    """Guards against scoring the whole fleet for each task of a step."""
    fleet = _Fleet(WORKERS)
    fleet.submit('wide', workflows.WorkflowSpec('', (WIDE_STEP,)))
    assert len(fleet.place()) == WIDE_STEP.task_count
    assert len(evaluations) <= WORKERS + WIDE_STEP.task_count


def test_gang_evaluates_each_worker_once_and_once_a_member(evaluations):
    """Guards against scoring the whole fleet for each member of a gang."""
    fleet = _Fleet(WORKERS)
    gang = dataclasses.replace(WIDE_STEP, gang=True)
    fleet.submit('gang', workflows.WorkflowSpec('', (gang,)))
    assert len(fleet.place()) == gang.task_count
    assert len(evaluations) <= WORKERS + gang.task_count


def test_full_fleet_is_searched_once_for_equal_steps(evaluations):
    """Guards against a full search for each waiting step of a full fleet.

    Load pattern: large jobs at once, far more than the workers can take.
    """
    fleet = _Fleet(WORKERS)
    for number in range(60):
        fleet.submit(f'j{number:02}', workflows.WorkflowSpec('', (WIDE_STEP,)))
    while fleet.place():
        pass
    evaluations.clear()
    assert fleet.place() == []
    assert len(evaluations) == WORKERS


def test_smaller_step_is_placed_after_a_larger_one_failed():
    """Guards against a failed search that holds back tasks that fit."""
    fleet = _Fleet(1)
    large = dataclasses.replace(WIDE_STEP, task_count=3)
    small = dataclasses.replace(WIDE_STEP, task_count=1, cpu_millis=100)
    fleet.submit('a', workflows.WorkflowSpec('', (large,)))
    fleet.submit('b', workflows.WorkflowSpec('', (small,)))
    assert sorted(a.task.name for a in fleet.place()) == [
        'a.0.0.0',
        'a.0.0.1',
        'b.0.0.0',
    ]


def test_round_without_waiting_tasks_visits_no_worker(monkeypatch):
    """Guards against work for each worker in rounds that place nothing."""
    fleet = _Fleet(WORKERS)
    fleet.submit('j', _cluster.one_step(2))
    assert len(fleet.place()) == 2

    def fail(*_):
        raise AssertionError('visited the workers')

    monkeypatch.setattr(_round, 'candidates_by_service', fail)
    assert fleet.place() == []


def test_round_determines_capacity_of_changed_workers_only(monkeypatch):
    """Guards against summing up the runs of all workers in each round."""
    fleet = _Fleet(WORKERS)
    fleet.submit('j', _cluster.one_step(WORKERS))
    while fleet.place():
        pass
    determined = []
    determine = _round.remaining_capacity

    def counting(view):
        determined.append(view.node)
        return determine(view)

    monkeypatch.setattr(_round, 'remaining_capacity', counting)
    fleet.report(7)
    fleet.submit('k', _cluster.one_step(1))
    assert len(fleet.place()) == 1
    assert determined == ['n7']


@hypothesis.given(st.data())
def test_kept_capacity_equals_a_fresh_one(data):
    """Guards against a remaining capacity that misses a change."""
    fleet = _Fleet(3)
    numbers = {n: 0 for n in range(3)}
    for turn in range(data.draw(st.integers(1, 12))):
        fleet.now += 0.3
        fills = data.draw(st.booleans())
        fleet.submit(f'j{turn}', _cluster.one_step(2, fills=fills))
        fleet.place()
        number = data.draw(st.integers(0, 2))
        view = fleet.state.workers[f'n{number}']
        rows, ended = [], []
        for attempt in view.attempts.values():
            match data.draw(st.sampled_from(['listed', 'ended', 'missing'])):
                case 'listed':
                    rows.append(messages.RunRow(*attempt.key, '', 50, 100.0))
                case 'ended':
                    numbers[number] += 1
                    ended.append(
                        messages.EndRow(
                            numbers[number], *attempt.key, 'failed', ''
                        )
                    )
        fleet.report(number, tuple(rows), tuple(ended))
        fleet.place()
        for view in fleet.state.workers.values():
            if view.capacity is not None:
                fresh = _round.remaining_capacity(view)
                # These are set anew in each round.
                fresh.speed = view.capacity.speed
                fresh.avoided = view.capacity.avoided
                assert view.capacity == fresh
