"""Bound on the jobs that the scheduling entries accept and load by memory.

Review 11: nothing bounded the sum of what entries accepted, so that a few
large jobs ended each entry that scheduled them, one after the other.
"""

import dataclasses
import time

import pytest
import trio

from citronrail.model import load_settings
from citronrail.model import messages
from citronrail.model import workflows
from citronrail import ports
from citronrail import workflow
from citronrail.workflow import _documents as documents
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _state_room
from citronrail.workflow import _state_size
from citronrail.workflow.tests import _allocations
from citronrail.workflow.tests import _cluster
from standins import task_worker

MEMORY_BYTES = 20_000_000
LIMIT = _state_size.limit_bytes(MEMORY_BYTES)
LOADED_LIMIT = _state_size.loaded_limit_bytes(MEMORY_BYTES)
UNIX_NOW = 1e9
STEP = workflows.StepSpec(
    1, cpu_millis=100, memory_mb=100, estimate_s=1.0, image='image'
)
# Some 0.5 MB by the model.
LARGE = workflows.WorkflowSpec(
    'large',
    (
        STEP,
        *(dataclasses.replace(STEP, after=(n,)) for n in range(500)),
    ),
)


def _job_id(number):
    return f'{number:016x}'


def _record(job_id, spec, queue='queue'):
    return documents.JobRecord(job_id, queue, 'pool', time.time(), spec)


def _size_of(spec):
    record = documents.encode(_record(_job_id(0), spec))
    return _state_size.job_bytes(spec, len(record))


def _steps(count, tasks=1, **fields):
    return tuple(
        dataclasses.replace(STEP, task_count=tasks, **fields)
        for _ in range(count)
    )


def test_largest_jobs_are_accepted_by_an_empty_scheduler():
    """Guards against jobs that could be held and are always rejected."""
    room = _state_room.StateRoom(_state_size.limit_bytes(300_000_000))
    for steps, tasks, times in ((3900, 5, 1), (3900, 1, 5), (1, 1, 20_000)):
        spec = workflows.WorkflowSpec(
            'x' * 4000, _steps(steps, tasks), times, UNIX_NOW, 1.0
        )
        assert not spec.problem
        assert room.admits(_job_id(0), _size_of(spec))


@pytest.mark.parametrize(
    'spec',
    [
        workflows.WorkflowSpec('x', _steps(1)),
        workflows.WorkflowSpec('x' * 4000, _steps(2, 6)),
        workflows.WorkflowSpec('x', _steps(1, 17_280)),
        workflows.WorkflowSpec('x', _steps(4000)),
        workflows.WorkflowSpec('x', _steps(2, 6), 1440, UNIX_NOW, 0.0),
        workflows.WorkflowSpec('x', _steps(20, 10), 100, UNIX_NOW, 0.0),
        LARGE,
    ],
    ids=['small', 'text', 'wide', 'steps', 'times', 'overdue', 'chain'],
)
def test_jobs_take_no_more_memory_than_the_model_says(spec):
    """Guards against accepted jobs that take more than they count for."""
    record = _record(_job_id(0), spec)
    value = documents.encode(record)
    with _allocations.Allocations() as allocations:
        # Also the record itself, which is in memory during a listing.
        values = [bytes(bytearray(value)) for _ in range(4)]
        jobs = [
            _job.Job(documents.decode(item, documents.JobRecord), 0.0)
            for item in values
        ]
        for job in jobs:
            for stage in job.ready_stages(UNIX_NOW):
                assert stage.has_waiting
    measured = allocations.size / len(jobs)
    modelled = _state_size.job_bytes(spec, len(value))
    assert measured <= modelled
    # Otherwise jobs are rejected that could be held.
    assert modelled <= 5 * measured + 2 * _state_size.JOB_BYTES


def test_runs_take_no_more_memory_than_the_model_says():
    """Guards against running tasks that take more than they count for."""
    spec = workflows.WorkflowSpec('x', _steps(1, 5000))
    job = _job.Job(_record(_job_id(0), spec), 0.0)
    with _allocations.Allocations() as allocations:
        for number, task in enumerate(job.stages[0].waiting_tasks()):
            run = _job.Attempt(task, 1, 'node', 'worker', 1, UNIX_NOW)
            run.listed_at, run.load = 1000.0 + number, 0.5 + number
            run.order_sent_at = run.moved_at = run.steady_since = run.listed_at
            task.attempts.append(run)
    counted = _state_size.held_bytes([job], 5000)
    assert allocations.size <= counted <= 3 * allocations.size


def test_what_takes_most_memory_is_rejected_first():
    """Guards against callers of small jobs that pay for a large one."""
    room = _state_room.StateRoom(0)
    size = messages.StateSize(1, 0, 8_000_000, 2)
    room.take(size, 10.0)
    assert room.admits('large', 1_000_000)
    room.take(dataclasses.replace(size, used=6_000_000), 12.0)
    assert not room.admits('large', 1_000_000)
    assert room.admits('small', 10_000)
    room.take(dataclasses.replace(size, used=8_000_000), 14.0)
    assert not room.admits('small', 10_000)


def test_jobs_that_the_leader_does_not_know_count():
    """Guards against bursts between two sizes that the leader has sent."""
    room = _state_room.StateRoom(8_000_000)
    room.take(messages.StateSize(1, 0, 8_000_000, 2), 10.0)
    for number in range(4):
        assert room.admits(f'j{number}', 1_000_000)
        room.on_accepted(f'j{number}', 1_000_000, 11.0)
    assert not room.admits('j4', 1_000_000)
    assert room.admits('j0', 1_000_000)  # submitted again
    room.take(messages.StateSize(1, 4_000_000, 8_000_000, 2), 12.0)
    assert not room.admits('j4', 400_000)  # they may not be counted yet
    room.take(messages.StateSize(1, 4_000_000, 8_000_000, 2), 14.0)
    assert room.admits('j4', 400_000)
    room.take(messages.StateSize(0, 0, 8_000_000, 2), 15.0)
    assert not room.admits('j5', 1_200_000)  # of an earlier leader


def test_jobs_count_for_a_while_without_a_leader_that_sends_sizes():
    """Guards against entries that reject all jobs during an upgrade."""
    room = _state_room.StateRoom(8_000_000)
    for number in range(8):
        room.on_accepted(f'j{number}', 1_000_000, 10.0 + number)
    assert not room.admits('j8', 1_000_000)
    for at in (14.0, 200.0, 300.0):  # submitted again, long after
        room.on_accepted('j9', 1000, at + _state_room.FORGET_S)
    assert room.admits('j8', 1_000_000)


async def _submit(cluster, number, spec):
    entry = cluster.rng.choice(list(cluster.entries.values()))
    return await entry.service.submit(
        _cluster.QUEUE, _job_id(number), spec, trio.current_time() + 3.0
    )


def _used(cluster):
    return cluster.leader.election.term._loader.measure()


async def test_entries_accept_what_they_can_hold(autojump_clock):
    """Guards against accepted jobs that end every scheduling entry (LOST)."""
    cluster = _cluster.SimulatedCluster(
        workers=1, cpu_millis=4000, memory_mb=100_000
    )
    cluster.bounds = workflows.Bounds(memory_bytes=MEMORY_BYTES)
    cluster.default_plan = task_worker.TaskPlan(work_s=30.0)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        await trio.sleep(1.0)
        verdicts = {}
        for number in range(40):
            verdicts[number] = (await _submit(cluster, number, LARGE)).verdict
            await trio.sleep(0.1)
        rejected = [
            number
            for number, verdict in verdicts.items()
            if verdict is workflow.Verdict.NO_MEMORY
        ]
        assert 20 < len(rejected) < 40
        stored = await cluster.store.list(documents.JOB_PREFIX)
        assert len(stored.items) == 40 - len(rejected)
        assert _used(cluster) <= LIMIT
        reply = await _submit(cluster, rejected[0], LARGE)
        assert reply.verdict is workflow.Verdict.NO_MEMORY
        assert reply.retry_after_s == _state_room.RETRY_AFTER_S
        # Accepted before, whatever there is room for now.
        assert (await _submit(cluster, 0, LARGE)).verdict is (
            workflow.Verdict.DONE
        )
        cluster.plans[_job_id(99)] = task_worker.TaskPlan(work_s=1.0)
        await cluster.submit(_job_id(99), _cluster.one_step())
        await cluster.until_state(_job_id(99), 'completed', 10.0)
        # There is room again once jobs have ended.
        for number in set(verdicts) - set(rejected):
            await cluster.entries['e0'].service.cancel(
                _job_id(number), trio.current_time() + 3.0
            )
        await trio.sleep(10.0)
        reply = await _submit(cluster, rejected[0], LARGE)
        assert reply.verdict is workflow.Verdict.DONE
        nursery.cancel_scope.cancel()


async def test_smallest_entry_counts(autojump_clock):
    """Guards against jobs that the entry that leads next can't hold."""
    cluster = _cluster.SimulatedCluster(entries=1)
    cluster.bounds = workflows.Bounds(memory_bytes=MEMORY_BYTES)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        cluster.bounds = workflows.Bounds(memory_bytes=MEMORY_BYTES // 2)
        cluster.start_entry('small')
        await trio.sleep(6.0)
        for entry in cluster.entries.values():
            room = entry.service._state_room
            assert room._size.limit == LIMIT // 2 or (
                entry is cluster.leader
                and entry.election.term.state_size.limit == LIMIT // 2
            )
        # It has more memory from now on.
        cluster.bounds = workflows.Bounds(memory_bytes=MEMORY_BYTES)
        cluster.start_entry('small')
        await trio.sleep(6.0)
        assert cluster.leader.election.term.state_size.limit == LIMIT
        nursery.cancel_scope.cancel()


async def _store_jobs(cluster, specs):
    """Store jobs as entries of an earlier version do."""
    for number, spec in enumerate(specs):
        value = documents.encode(_record(_job_id(number), spec))
        key = documents.JOB_PREFIX + _job_id(number)
        await cluster.store.txn([], [ports.Put(key, value)])


async def test_new_leader_carries_more_than_it_can_hold(autojump_clock):
    """Guards against a leader that loads more than its memory (LOST)."""
    cluster = _cluster.SimulatedCluster(
        workers=2, cpu_millis=100_000, memory_mb=1_000_000
    )
    cluster.bounds = workflows.Bounds(memory_bytes=MEMORY_BYTES)
    cluster.default_plan = task_worker.TaskPlan(work_s=0.05)
    small = _cluster.one_step()
    wide = workflows.WorkflowSpec('x', _steps(500))
    specs = [small] + [wide] * 40 + [small] * 3
    assert 40 * _size_of(wide) > 2 * LOADED_LIMIT
    async with trio.open_nursery() as nursery:
        await _store_jobs(cluster, specs)
        await cluster.start(nursery)
        term = cluster.leader.election.term
        unloaded = set(term._loader.unloaded)
        assert 20 < len(unloaded) < 40
        assert _used(cluster) <= MEMORY_BYTES / 2
        assert term.pending_count('queue') >= len(unloaded)
        for number in (41, 42, 43):
            await cluster.until_state(_job_id(number), 'completed', 10.0)
        last = sorted(unloaded)[-1]
        assert term.committed_state(last) == 'queued'
        deadline = trio.current_time() + 3.0
        await cluster.entries['e1'].service.cancel(last, deadline)
        await cluster.until_state(last, 'cancelled', 5.0)
        # All others are loaded as soon as there is memory, and run once.
        for number in range(1, 41):
            if _job_id(number) != last:
                await cluster.until_state(_job_id(number), 'completed', 120.0)
            assert _used(cluster) <= MEMORY_BYTES / 2
        assert not term._loader.unloaded
        tasks = cluster.history.tasks
        assert not [name for name in tasks if name.startswith(last)]
        assert max(len(item.starts) for item in tasks.values()) == 1
        nursery.cancel_scope.cancel()
    assert metrics.STATE_LIMIT_BYTES._value.get() == LIMIT


@pytest.mark.parametrize('fast', [False, True])
async def test_begun_jobs_are_loaded_first(fast, autojump_clock):
    """Guards against runs of jobs that a new leader doesn't know (TWICE)."""
    cluster = _cluster.SimulatedCluster(
        workers=1,
        load=load_settings.LoadSettings(fast_takeover=fast),
        cpu_millis=100_000,
        memory_mb=1_000_000,
    )
    cluster.default_plan = task_worker.TaskPlan(work_s=20.0)
    begun = _job_id(0xFF)
    wide = workflows.WorkflowSpec('x', _steps(600))
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        await cluster.submit(begun, wide)
        await cluster.until_state(begun, 'running')
        cluster.bounds = workflows.Bounds(memory_bytes=2_000_000)
        await _store_jobs(cluster, [_cluster.one_step()] * 600)
        for name in list(cluster.entries):
            cluster.start_entry(name)
        await cluster.until(lambda: cluster.leader is not None)
        term = cluster.leader.election.term
        assert begun in term.scheduler_state.jobs
        assert term._loader.unloaded
        await cluster.until_state(begun, 'completed', 60.0)
        starts = {
            len(record.starts)
            for name, record in cluster.history.tasks.items()
            if name.startswith(begun)
        }
        assert starts == {1}
        nursery.cancel_scope.cancel()
