"""Guards what the store holds against single odd records.

Another writer may leave a record that is nested very deeply, holds numbers
out of range, or contradicts the other records.
"""

import contextlib
import dataclasses
import math

import msgspec
import pytest
import trio

from citronrail.model import workflows
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _prefix_follower
from citronrail.workflow import _scheduler_state
from citronrail.workflow.overload import _run_times
from citronrail.workflow.tests import _cluster

DEEP = b'\x91' * 100_000 + b'\xc0'  # arrays of one item in msgpack


JOB = '5c0e7a21d94b36f8'
KEY = documents.JOB_PREFIX + JOB
STEP = workflows.StepSpec(2, 100, 100, estimate_s=1.0)
SPEC = workflows.WorkflowSpec('argument', (STEP, STEP))
RECORD = documents.JobRecord(JOB, 'queue', 'pool', 1.7e9, SPEC)


def _spec(**changes) -> workflows.WorkflowSpec:
    return dataclasses.replace(SPEC, **changes)


def _step(**changes) -> workflows.WorkflowSpec:
    return _spec(steps=(STEP, dataclasses.replace(STEP, **changes)))


@pytest.mark.parametrize(
    'kind',
    [
        documents.JobRecord,
        documents.ProgressRecord,
        documents.LeaderRecord,
        documents.FleetRecord,
        _run_times.LearnedState,
    ],
)
def test_deeply_nested_record_is_skipped(kind):
    """Guards against a record that ends the follower of its prefix."""
    data = b'\x81' + msgspec.msgpack.encode('odd') + DEEP
    assert _scheduler_state.decode_item('key', data, kind) is None


def _record(spec=SPEC, **changes) -> documents.JobRecord:
    return msgspec.structs.replace(RECORD, spec=spec, **changes)


ODD_JOBS = {
    'no steps': _record(_spec(steps=())),
    'after a later step': _record(_step(after=(1,))),
    'after no step': _record(_step(after=(7,))),
    'after a negative step': _record(_step(after=(-1,))),
    'billions of tasks': _record(_step(task_count=4_000_000_000)),
    'no tasks': _record(_step(task_count=0)),
    'billions of occurrences': _record(_spec(occurrences=2_000_000_000)),
    'negative occurrences': _record(_spec(occurrences=-1)),
    'negative demand': _record(_step(cpu_millis=-100)),
    'estimate': _record(_step(estimate_s=math.nan)),
    'due time': _record(_spec(first_due_at=math.inf)),
    'period': _record(_spec(occurrences=2, period_s=1e300)),
    'acceptance': _record(accepted_at=math.nan),
    'job of another key': _record(job_id='0' * 16),
    'argument': _record(_spec(argument='x' * 100_000)),
}


@pytest.mark.parametrize('record', ODD_JOBS.values(), ids=ODD_JOBS)
async def test_odd_job_record_is_skipped(record, autojump_clock):
    """Guards against a scheduling entry that ends at one job's record."""
    async with trio.open_nursery() as nursery:
        cluster = _cluster.SimulatedCluster(entries=2, workers=2)
        await cluster.start(nursery)
        value = documents.encode(record)
        await cluster.store.txn([], [ports.Put(KEY, value)])
        await cluster.submit('1' * 16, _cluster.chain(1, 1))
        with trio.fail_after(30):
            await cluster.until_state('1' * 16, 'completed')
        state = cluster.leader.election.term.scheduler_state
        assert set(state.jobs) == {'1' * 16}
        nursery.cancel_scope.cancel()


ODD_LEARNED = {
    'factor': _run_times.LearnedState((('a', 'b', math.nan, 1.0),)),
    'variance': _run_times.LearnedState((('a', 'b', 1.0, math.inf),)),
    'baseline': _run_times.LearnedState((), (('a', math.nan),)),
    'run time': _run_times.LearnedState(
        (), (), (_run_times.StoredRunTimes('q', '', (-1.0,), ()),)
    ),
    'ratio': _run_times.LearnedState(
        (), (), (_run_times.StoredRunTimes('q', '', (), (math.inf,)),)
    ),
}


@pytest.mark.parametrize('learned', ODD_LEARNED.values(), ids=ODD_LEARNED)
def test_odd_learned_values_are_skipped(learned):
    """Guards against placement by estimates that are no numbers."""
    value = documents.encode(learned)
    kind = _run_times.LearnedState
    assert _scheduler_state.decode_item('key', value, kind) is None


TASK = documents.TaskRecord(
    last_run=1, attempts=(documents.AttemptRecord(1, 'a0', 'w0', 1),)
)
ODD_PROGRESS = {
    'status': documents.ProgressRecord('asleep'),
    'end': documents.ProgressRecord('running', math.nan),
    'run': documents.ProgressRecord(
        'running', 0.0, ((documents.TaskRecord(last_run=-1),),)
    ),
    'run of 2^64': documents.ProgressRecord(
        'running', 0.0, ((documents.TaskRecord(last_run=2**64 - 1),),)
    ),
}


@pytest.mark.parametrize('progress', ODD_PROGRESS.values(), ids=ODD_PROGRESS)
def test_odd_progress_record_is_skipped(progress):
    """Guards against a new leader that ends while it loads the jobs."""
    found = _scheduler_state.decode_item(
        documents.PROGRESS_PREFIX + JOB,
        documents.encode(progress),
        documents.ProgressRecord,
    )
    assert found is None


@pytest.mark.parametrize(
    'stages',
    [(), ((TASK,),), ((TASK,) * 9,), ((), (), (TASK,))],
    ids=['fewer stages', 'fewer tasks', 'more tasks', 'more stages'],
)
def test_progress_of_another_shape_is_restored(stages):
    """Guards against a leader that ends at progress unlike its job."""
    state = _scheduler_state.SchedulerState(lambda _: None)
    state.progress[JOB] = documents.ProgressRecord('running', 0.0, stages)
    state.add_job(RECORD, 0.0, 1.7e9)
    assert state.jobs[JOB].open
    assert len(list(state.jobs[JOB].ready_stages(1.7e9))) == 2


class _OneList:
    """A store with one listing and one batch of changes."""

    def __init__(self, keys) -> None:
        self._items = tuple(
            ports.KeyValue(key, b'x', n) for n, key in enumerate(keys)
        )
        self._changes = tuple(
            ports.WatchEvent(f'new {key}', b'x', n)
            for n, key in enumerate(keys)
        )

    async def list(self, prefix, keep=None):
        return ports.Listing(self._items, 1)

    @contextlib.asynccontextmanager
    async def watch(self, prefix, start_revision):
        yield self._batches()

    async def _batches(self):
        yield self._changes
        yield ()
        await trio.sleep_forever()


class _Raising:
    """A listener that can't handle keys with a word; records the others."""

    def __init__(self) -> None:
        self.keys = []

    def on_listing(self, items) -> None:
        self._take(items)

    def on_events(self, changes) -> None:
        self._take(changes)

    def _take(self, items) -> None:
        if any('odd' in item.key for item in items):
            raise ZeroDivisionError('odd item')
        self.keys += [item.key for item in items]


async def test_listener_that_raises_ends_no_follower(autojump_clock):
    """Guards against a process that ends because of one item."""
    listener = _Raising()
    with trio.move_on_after(60):
        await _prefix_follower.follow(
            _OneList(['a', 'odd', 'b']), 'prefix/', listener
        )
    assert list(dict.fromkeys(listener.keys)) == ['a', 'b', 'new a', 'new b']
