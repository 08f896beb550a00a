"""Tests of jobs with thousands of tasks."""

import pytest
import trio

from citronrail.model import workflows
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _round
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _state_writer
from citronrail.workflow.tests import _cluster
from standins.key_value import _state
from standins import task_worker

JOB = 'wide'
TASKS = 17_000
MAX_VALUE_BYTES = 1_048_576
NAME = 'side-midlands-lei-11'
MAX_PLACED = 400  # starts in a round that are made well within its interval
MAX_NEW_RUNS = 150  # of a worker, which it starts within a second


class _Play:
    """A job in memory, and the values that its commits write."""

    def __init__(self, spec, now=0.0):
        self.now = now
        self.values: dict[str, bytes] = {}
        self.record = documents.JobRecord(JOB, 'queue', 'pool', 0.0, spec)
        self.state, self.writer = self._scheduler()
        self.state.add_job(self.record, 0.0, 0.0)

    @property
    def job(self) -> _job.Job:
        return self.state.jobs[JOB]

    def _scheduler(self):
        state = _scheduler_state.SchedulerState(lambda _: _cluster.QUEUE)
        writer = _state_writer.StateWriter(
            state,
            _interference.PairFactors(),
            workflows.Bounds(max_value_bytes=MAX_VALUE_BYTES),
            frozenset(),
            lambda: self.now,
        )
        return state, writer

    def commit(self, limit=None) -> list[ports.Put | ports.Delete]:
        """Apply the due writes, or only the first of them."""
        writes = self.writer.due_writes()[:limit]
        self.state.dirty.clear()
        for write in writes:
            if isinstance(write, ports.Put):
                self.values[write.key] = write.value
            else:
                self.values.pop(write.key, None)
        return writes

    def take_over(self) -> None:
        """Restore the state as a successor does."""
        self.state, self.writer = self._scheduler()
        self.state.restore_progress(
            tuple(
                ports.KeyValue(key, value, 1, 0)
                for key, value in self.values.items()
                if key.startswith(documents.PROGRESS_PREFIX)
            )
        )
        self.state.add_job(self.record, 0.0, 0.0)

    def assign(self, task, number=1) -> _job.Attempt:
        attempt = _job.Attempt(task, number, NAME, f'i-{NAME}', 1_000_000, 1.0)
        task.last_run = number
        task.attempts.append(attempt)
        self.job.started = True
        self.state.mark_changed(task)
        return attempt

    def finish(self, task) -> None:
        task.stage.mark_done(task)
        for attempt in list(task.attempts):
            self.state.remove_run(attempt)


def _outline(job: _job.Job):
    return [
        (task.done, task.last_run, [item.number for item in task.attempts])
        for stage in job.stages
        for task in stage.tasks
    ]


async def test_progress_of_a_wide_job_fits_the_store(autojump_clock):
    """Guards against a commit of all jobs that is refused (LOST)."""
    play = _Play(_cluster.one_step(TASKS))
    for task in play.job.stages[0].tasks:
        play.assign(task)
    writes = play.commit()
    assert max(len(write.value) for write in writes) < MAX_VALUE_BYTES / 10
    before = _outline(play.job)
    play.take_over()
    assert _outline(play.job) == before
    assert sum(map(len, play.state.inherited_runs.values())) == TASKS


async def test_an_end_costs_the_same_in_a_wide_job(autojump_clock):
    """Guards against a commit of the whole job for each end of a task."""
    play = _Play(_cluster.one_step(TASKS))
    tasks = play.job.stages[0].tasks
    for task in tasks:
        play.assign(task)
    play.commit()
    play.finish(tasks[TASKS // 2])
    writes = play.commit()
    assert sum(len(write.value) for write in writes) < 30_000
    play.take_over()
    assert play.job.stages[0].done_count == 1


async def test_status_is_stored_after_the_ends(autojump_clock):
    """Guards against a job shown as completed before its ends are stored."""
    play = _Play(_cluster.one_step(1000))
    tasks = play.job.stages[0].tasks
    for task in tasks:
        play.assign(task)
    play.commit()
    for task in tasks:
        play.finish(task)
    play.state.end_job(play.job, 5.0, 'the job is complete')
    writes = play.commit()
    assert writes[-1].key == documents.PROGRESS_PREFIX + JOB
    status = documents.decode(writes[-1].value, documents.ProgressRecord)
    assert status.status is documents.JobStatus.COMPLETED


@pytest.mark.parametrize('stored', range(6))
async def test_part_of_a_commit_loses_no_run(autojump_clock, stored):
    """Guards against runs that a successor doesn't know after a cut commit."""
    play = _Play(_cluster.one_step(1000))
    tasks = play.job.stages[0].tasks
    for task in tasks:
        play.assign(task)
    play.commit(limit=stored)
    play.take_over()
    stored_tasks = min(1000, stored * _job.SEGMENT_TASKS)
    assert sum(1 for _ in play.job.attempts()) == stored_tasks
    assert play.job.started is (stored > 0)


async def test_done_gang_is_restored_whole(autojump_clock):
    """Guards against a gang that runs again after a cut commit (TWICE)."""
    play = _Play(_cluster.one_step(600, gang=True))
    stage = play.job.stages[0]
    for task in stage.tasks:
        play.assign(task)
    play.commit()
    for task in stage.tasks:
        play.finish(task)
    play.commit(limit=1)
    play.take_over()
    assert play.job.stages[0].done


async def test_progress_of_an_earlier_version_is_kept(autojump_clock):
    """Guards against tasks that run again after an upgrade (TWICE)."""
    play = _Play(_cluster.one_step(1000))
    done = documents.TaskRecord(done=True, last_run=1)
    stages = ((done,) * 400 + (documents.TaskRecord(),) * 600,)
    play.values[documents.PROGRESS_PREFIX + JOB] = documents.encode(
        documents.ProgressRecord(documents.JobStatus.RUNNING, 0.0, stages)
    )
    for _ in range(2):
        play.take_over()
        assert play.job.stages[0].done_count == 400
        play.assign(play.job.stages[0].tasks[999])
        play.commit()


async def test_all_values_of_a_wide_job_are_deleted(autojump_clock):
    """Guards against values that stay behind, and a job without some."""
    play = _Play(_cluster.one_step(10_000))
    play.values[documents.JOB_PREFIX + JOB] = b'job'
    for task in play.job.stages[0].tasks:
        play.assign(task)
    play.commit()
    for task in play.job.stages[0].tasks:
        play.finish(task)
    play.state.end_job(play.job, 5.0, 'the job is complete')
    play.commit()
    assert len(play.values) > 30
    play.now = 10_000.0
    await trio.sleep(_state_writer.CLEANUP_INTERVAL_S)
    for _ in range(3):
        assert not play.job.open  # whatever has been deleted
        assert len(play.commit()) <= 28
        play.take_over()
    assert not [key for key in play.values if JOB in key]


async def test_wide_job_ends_the_progress_of_no_other(
    autojump_clock, monkeypatch
):
    """Guards against a wide job that stops all jobs (LOST).

    Its progress was one value, longer than the store takes.
    """
    limit = 60_000
    monkeypatch.setattr(_state, 'MAX_VALUE_BYTES', limit)
    cluster = _cluster.SimulatedCluster(
        entries=1, workers=2, cpu_millis=2_000_000, memory_mb=2_000_000
    )
    cluster.bounds = workflows.Bounds(max_value_bytes=limit)
    cluster.default_plan = task_worker.TaskPlan(work_s=20.0)
    cluster.plans['small'] = task_worker.TaskPlan(work_s=0.5)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        await cluster.submit(JOB, _cluster.one_step(2000, estimate_s=20.0))
        await cluster.submit('small', _cluster.one_step(2))
        await cluster.until_state('small', 'completed', 5.0)
        await cluster.until_state(JOB, 'completed', 60.0)
        nursery.cancel_scope.cancel()


async def test_round_starts_few_tasks_of_a_wide_job(
    autojump_clock, monkeypatch
):
    """Guards against rounds so long that the leadership ends.

    All tasks were placed in one round, and all starts of a worker were ordered
    at once; the last ones came after their deadline.
    """
    cluster = _cluster.SimulatedCluster(
        entries=1, workers=6, cpu_millis=2_000_000, memory_mb=2_000_000
    )
    cluster.default_plan = task_worker.TaskPlan(work_s=60.0)
    placed = []
    place = _round.place

    def counted(*args):
        placed.append(len(found := place(*args)))
        return found

    monkeypatch.setattr(_round, 'place', counted)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        await cluster.submit(JOB, _cluster.one_step(3000, estimate_s=60.0))
        views = cluster.leader.election.term.scheduler_state.workers
        while sum(placed) < 3000:
            await trio.sleep(0.05)
            new_runs = [view.new_run_count for view in views.values()]
            assert max(new_runs) <= MAX_NEW_RUNS
        nursery.cancel_scope.cancel()
    assert max(placed) <= MAX_PLACED
