"""Tests of learned run times and of the order kept between rounds."""

import dataclasses
import sys

import pytest
import trio

from citronrail.model import load_settings
from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _scheduler_state
from citronrail.workflow.overload import _job_order
from citronrail.workflow.overload import _run_times
from citronrail.workflow.tests import _cluster

TOKEN = 5
STEP = workflows.StepSpec(
    20, cpu_millis=1000, memory_mb=500, estimate_s=2.0, image='i'
)


class _Fleet:
    """A scheduler state with workers of 4 cores, and rounds on it."""

    def __init__(self, workers: int, *, by_cost: bool = True) -> None:
        self.now = 100.0
        self.state = _scheduler_state.SchedulerState(lambda _: _cluster.QUEUE)
        self.run_times = _run_times.RunTimes()
        self.order = _job_order.JobOrder(self.run_times)
        self.policy = _round.Policy(
            lambda _: _cluster.QUEUE,
            frozenset(),
            _interference.PairFactors(),
            job_order=self.order if by_cost else None,
        )
        self.reports = _reports.Reports(
            self.state, workflows.Bounds(), TOKEN, self.run_times
        )
        self.numbers = dict.fromkeys(range(workers), 0)
        for number in self.numbers:
            self.report(number)

    def report(self, number, rows=(), ended=()) -> None:
        """Apply the report of a worker."""
        life = messages.WorkerLife(
            f'w{number}', 1, 'pool', 'dc', 'ready', 4000, 64000, 0
        )
        report = messages.WorkerReport(TOKEN, life, 1000, rows, ended)
        self.reports.take(f'n{number}', report, self.now, 0.0)

    def submit(self, job_id, *steps) -> _job.Job:
        """Add a job."""
        spec = workflows.WorkflowSpec('', steps)
        record = documents.JobRecord(job_id, 'queue', 'pool', 0.0, spec)
        self.state.add_job(record, self.now, 0.0)
        return self.state.jobs[job_id]

    def place(self) -> list[_job.Attempt]:
        """Run a round; all runs count as ordered."""
        placed = _round.place(self.state, self.policy, self.now, 0.0)
        for attempt in placed:
            attempt.ordered = True
        return placed

    def finish(self, attempts, run_s: float, pace: int = 100) -> None:
        """List runs, and list their ends after a time."""
        for attempt in attempts:
            row = messages.RunRow(
                attempt.task.name, attempt.number, '', 0, 1.0
            )
            self.report(int(attempt.node[1:]), (row,))
            attempt.set_pace(pace, self.now)
        self.now += run_s
        for attempt in attempts:
            number = int(attempt.node[1:])
            self.numbers[number] += 1
            end = messages.EndRow(
                self.numbers[number],
                attempt.task.name,
                attempt.number,
                'done',
                '',
            )
            self.report(number, (), (end,))


def test_run_times_of_the_step_then_image_then_queue_are_used():
    """Guards against declared run times that are wrong by 2.5."""
    fleet = _Fleet(2)
    first = fleet.submit('a', STEP).stages[0]
    assert fleet.run_times.expected_run_s(first) == 2.0
    fleet.finish(fleet.place(), 5.0)
    same_image = fleet.submit('b', STEP).stages[0]
    other_image = fleet.submit(
        'c', dataclasses.replace(STEP, image='o', estimate_s=4.0)
    ).stages[0]
    assert fleet.run_times.expected_run_s(first) == pytest.approx(5.0)
    assert fleet.run_times.expected_run_s(same_image) == pytest.approx(5.0)
    assert fleet.run_times.expected_run_s(other_image) == pytest.approx(10.0)
    restored = _run_times.RunTimes()
    restored.restore(fleet.run_times.snapshot())
    assert restored.expected_run_s(same_image) == pytest.approx(5.0)


def test_pace_and_checkpoints_do_not_distort_run_times():
    """Guards against throttled or resumed runs taken for long or short."""
    fleet = _Fleet(1)
    stage = fleet.submit('a', dataclasses.replace(STEP, task_count=4)).stages[
        0
    ]
    fleet.finish(fleet.place(), 4.0, pace=50)
    assert fleet.run_times.expected_run_s(stage) == pytest.approx(2.0)
    resumed = fleet.submit('b', dataclasses.replace(STEP, task_count=4))
    for task in resumed.stages[0].tasks:
        task.checkpoint = 'half'
    fleet.finish(fleet.place(), 0.1)
    later = fleet.submit('c', STEP).stages[0]
    assert fleet.run_times.expected_run_s(later) == pytest.approx(2.0)


def test_stored_run_times_are_few_and_small():
    """Guards against a record of learned factors that grows without bound."""
    run_times = _run_times.RunTimes()
    fleet = _Fleet(30)
    for number in range(100):
        job = fleet.submit(
            f'j{number}', dataclasses.replace(STEP, image=f'i{number}')
        )
        for attempt in fleet.place():
            attempt.listed_at = fleet.now
            run_times.on_done(attempt, fleet.now + 2.0)
        fleet.state.cancel_job(job.job_id, 0.0, 0.0)
        for attempt in list(job.attempts()):
            fleet.state.remove_run(attempt)
    stored = run_times.snapshot()
    assert len(stored) == _run_times.MAX_STORED_KEYS
    learned = _run_times.LearnedState(run_times=stored)
    assert len(documents.encode(learned)) < 16_000
    old = documents.encode(_interference.LearnedFactors())
    assert documents.decode(old, _run_times.LearnedState).run_times == ()


@pytest.mark.parametrize('by_cost', [False, True])
def test_order_changes_only_when_waiting_work_does_not_fit(by_cost):
    """Guards against a changed order while there is room for everything."""
    fleet = _Fleet(30, by_cost=by_cost)
    for number in range(5):
        fleet.submit(f'j{number}', STEP)
    jobs = [attempt.task.stage.job.job_id for attempt in fleet.place()]
    assert list(dict.fromkeys(jobs)) == [f'j{n}' for n in range(5)]


def test_large_job_waits_for_small_ones_under_overload():
    """Guards against a burst in which one large job delays all others."""
    fleet = _Fleet(10)
    fleet.submit('a', dataclasses.replace(STEP, task_count=400))
    for number in range(8):
        fleet.submit(f'b{number}', dataclasses.replace(STEP, task_count=5))
    placed = {attempt.task.stage.job.job_id for attempt in fleet.place()}
    assert placed == {f'b{n}' for n in range(8)}


def _crowded_round_lines(by_cost: bool, jobs: int, tasks: int) -> int:
    """Return the lines executed in 40 rounds with 2,000 waiting tasks."""
    fleet = _Fleet(60, by_cost=by_cost)
    for number in range(jobs):
        step = dataclasses.replace(STEP, task_count=tasks)
        fleet.submit(f'j{number:03}', step)
    while fleet.place():
        fleet.now += 0.01
    with _LineCounter() as counter:
        for _ in range(40):
            fleet.now += 0.05
            for number in range(0, 60, 10):
                fleet.state.workers[f'n{number}'].listed_at = fleet.now
            fleet.place()
    return counter.lines


class _LineCounter:
    """Counts executed lines: work in units that no load or clock changes."""

    def __init__(self) -> None:
        self.lines = 0
        self._earlier = None

    def __enter__(self) -> '_LineCounter':
        self._earlier = sys.gettrace()
        sys.settrace(self._trace)
        return self

    def __exit__(self, *_) -> None:
        sys.settrace(self._earlier)

    def _trace(self, frame, event, arg):
        self.lines += event == 'line'
        return self._trace


@pytest.mark.parametrize(('jobs', 'tasks'), [(120, 20), (480, 5)])
def test_round_costs_little_more_than_before(jobs, tasks):
    """Guards against counting the work of all jobs in each round."""
    before = _crowded_round_lines(False, jobs, tasks)
    after = _crowded_round_lines(True, jobs, tasks)
    assert after <= 1.2 * before, (before, after)


@pytest.mark.parametrize('on', [False, True])
async def test_next_leader_knows_the_run_times(on, autojump_clock):
    """Guards against a new leader that estimates by declared values again."""
    load = load_settings.LoadSettings(cost_order=on)
    async with trio.open_nursery() as nursery:
        cluster = _cluster.SimulatedCluster(load=load)
        await cluster.start(nursery)
        for number in range(6):
            job_id = f'00000000000000a{number}'
            spec = _cluster.one_step(4, image='i', estimate_s=3.0)
            await cluster.submit(job_id, spec)
            await cluster.until_state(job_id, 'completed')
        cluster.kill_entry(cluster.leader.name)
        await cluster.until(lambda: cluster.leader is not None)
        run_times = cluster.leader.election.term._run_times
        assert (run_times is not None) == on
        if run_times is not None:
            assert {item.image for item in run_times.snapshot()} == {'i', ''}
            job = cluster.leader.election.term.scheduler_state.jobs[job_id]
            # The stages of a job that has ended aren't kept.
            expected_s = run_times.expected_step_run_s(
                job.record.queue, spec.steps[0], f'{job_id}.0.0'
            )
            assert expected_s == pytest.approx(1.0, abs=0.3)
        nursery.cancel_scope.cancel()
