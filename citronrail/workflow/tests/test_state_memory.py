"""Memory that jobs take in the scheduler before, during and after their turn.

Review 11: jobs with many times took 6 MB each from their acceptance, so that
every scheduling entry was ended by its memory limit, one after the other.
"""

import pytest

from citronrail.model import workflows
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _round
from citronrail.workflow import _scheduler_state
from citronrail.workflow.tests import _allocations
from citronrail.workflow.tests import _cluster

NOW = 1000.0
UNIX_NOW = 1e9
ENTRY_BYTES = 300 * 2**20  # as on the entries of the users
JOBS = 67  # what a class of the users sends in 30 s
TASKS = 17_280
STEP = workflows.StepSpec(6, cpu_millis=960, memory_mb=1900, estimate_s=2.0)
EACH_MINUTE = workflows.WorkflowSpec(
    'check',
    (STEP, workflows.StepSpec(6, 960, 1900, estimate_s=2.0, after=(0,))),
    occurrences=1440,
    first_due_at=UNIX_NOW + 3600,
    period_s=60.0,
)
WIDE = workflows.WorkflowSpec(
    'wide', (workflows.StepSpec(TASKS, 960, 1900, estimate_s=2.0),)
)


def _add_jobs(spec, count=JOBS):
    state = _scheduler_state.SchedulerState(lambda _: _cluster.QUEUE)
    for number in range(count):
        record = documents.JobRecord(
            f'{number:016x}', 'queue', 'service', UNIX_NOW, spec
        )
        state.add_job(record, NOW, UNIX_NOW)
    return state


def _place(state, unix_now=UNIX_NOW):
    policy = _round.Policy(
        lambda _: _cluster.QUEUE, frozenset(), _interference.PairFactors()
    )
    return _round.place(state, policy, NOW, unix_now)


@pytest.mark.parametrize('spec', [EACH_MINUTE, WIDE], ids=['times', 'wide'])
def test_jobs_that_wait_fit_many_times_over(spec):
    """Guards against memory for each task that nothing has happened to."""
    with _allocations.Allocations() as allocations:
        state = _add_jobs(spec)
        _place(state)
    assert allocations.size < ENTRY_BYTES / 100


def test_occurrences_that_are_all_due_take_little_memory():
    """Guards against a stage in memory for each overdue occurrence."""
    with _allocations.Allocations() as allocations:
        state = _add_jobs(EACH_MINUTE)
        _place(state, UNIX_NOW + 90_000)
    assert allocations.size < ENTRY_BYTES / 30


def test_done_tasks_take_little_memory():
    """Guards against memory for each task that has ended."""
    with _allocations.Allocations() as allocations:
        state = _add_jobs(EACH_MINUTE, 4)
        for job in state.jobs.values():
            for number in range(len(job.stages) - 1):
                stage = job.stages[number]
                for task in stage.tasks:
                    task.last_run = 1
                    stage.mark_done(task)
            assert not job.known_stages()
    assert allocations.size < 4 * ENTRY_BYTES / 100 / JOBS


def test_ended_jobs_take_little_memory():
    """Guards against the steps of ended jobs, which are kept for minutes."""
    steps = (workflows.StepSpec(1),) + tuple(
        workflows.StepSpec(1, after=(n,)) for n in range(4000)
    )
    spec = workflows.WorkflowSpec('x' * 4000, steps)
    with _allocations.Allocations() as allocations:
        state = _add_jobs(spec, 4)
        del spec, steps
        for job in state.jobs.values():
            _place(state)
            state.cancel_job(job.job_id, NOW, UNIX_NOW)
            job.release()
    assert allocations.size < 4 * 10_000


def test_progress_of_done_tasks_is_stored_as_before():
    """Guards against ends or run numbers that a successor doesn't see."""
    state = _add_jobs(WIDE, 1)
    (job,) = state.jobs.values()
    stage = job.stages[0]
    for index, last_run in ((0, 1), (1, 3), (300, 2)):
        stage.tasks[index].last_run = last_run
        stage.mark_done(stage.tasks[index])
    stage.tasks[2].last_run = 7
    segments = {n: job.segment_record(n) for n in range(job.segment_count)}
    assert segments[0].tasks[:4] == (
        documents.TaskRecord(True, 1),
        documents.TaskRecord(True, 3),
        documents.TaskRecord(False, 7),
        documents.TaskRecord(),
    )
    successor = _job.Job(job.record, NOW)
    successor.restore(job.progress(), segments)
    for number, segment in segments.items():
        assert successor.segment_record(number) == segment
    assert successor.stages[0].done_count == 3
    assert [task.index for task in successor.stages[0].known_tasks()] == [2]
