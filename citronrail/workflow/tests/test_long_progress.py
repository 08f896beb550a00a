"""Tests of progress that is too long for a value of the store."""

from citronrail.model import workflows
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _state_writer
from citronrail.workflow.tests import _cluster

MAX_BYTES = 100_000
TASKS = 20


def _stored_progress(checkpoint: str) -> tuple[int, documents.ProgressRecord]:
    """Return size and content of what is stored of a job with checkpoints."""
    state = _scheduler_state.SchedulerState(lambda _: _cluster.QUEUE)
    record = documents.JobRecord(
        'job', 'queue', 'pool', 0.0, _cluster.one_step(TASKS)
    )
    state.add_job(record, 0.0, 0.0)
    job = state.jobs['job']
    job.started = True
    for task in job.stages[0].tasks:
        task.last_run = 3
        task.checkpoint = checkpoint
    state.dirty.add(job)
    writer = _state_writer.StateWriter(
        state,
        _interference.PairFactors(),
        workflows.Bounds(max_value_bytes=MAX_BYTES),
        frozenset(),
        lambda: 0.0,
    )
    key = documents.PROGRESS_PREFIX + 'job'
    (put,) = (
        item
        for item in writer.due_writes()
        if isinstance(item, ports.Put) and item.key == key
    )
    progress = documents.decode(put.value, documents.ProgressRecord)
    return len(put.value), progress


async def test_long_checkpoints_block_no_commit():
    """Guards against a commit that the store refuses for one job (LOST).

    The scheduling entry would repeat it, and nothing else would be stored.
    """
    size, progress = _stored_progress('x' * 8000)
    assert size <= MAX_BYTES
    (stage,) = progress.stages
    assert [(task.last_run, task.checkpoint) for task in stage] == (
        [(3, '')] * TASKS
    )


async def test_short_checkpoints_are_stored():
    """Guards against work that a successor begins anew without need."""
    _, progress = _stored_progress('x' * 16)
    assert {task.checkpoint for task in progress.stages[0]} == {'x' * 16}
