"""Tests of the service for callers."""

import time

import pytest
import trio

from citronrail.model import load_settings
from citronrail.model import messages
from citronrail import ports
from citronrail import workflow
from citronrail.workflow import _admission
from citronrail.workflow import _documents as documents
from citronrail.workflow import _inbox
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _operator_view
from citronrail.workflow import _store_requests
from citronrail.workflow.tests import _cluster
from citronrail.workflow.tests import _flawed_store

JOB = '00000000000000a1'
FAST = load_settings.LoadSettings(fast_takeover=True)


@pytest.mark.parametrize(
    ('faults', 'verdict'),
    [
        ({'outage': True}, workflow.Verdict.NOT_RUN),
        ({'hang': True}, workflow.Verdict.UNKNOWN),
    ],
    ids=['refusing', 'silent'],
)
async def test_store_failure_is_reported_early(
    faults, verdict, autojump_clock
):
    """An entry that the store refuses must reply early and correctly.

    The caller can then try an entry that still has access to the store. The
    outcome is "not run" only if the job was certainly not stored.
    """
    async with trio.open_nursery() as nursery:
        cluster = _cluster.SimulatedCluster()
        await cluster.start(nursery)
        entry = next(iter(cluster.entries.values()))
        cluster.store.set_faults(**faults)
        began_at = trio.current_time()
        reply = await entry.service.submit(
            _cluster.QUEUE, JOB, _cluster.one_step(), began_at + 3.0
        )
        assert reply.verdict is verdict
        assert (
            trio.current_time() - began_at
            <= _store_requests.STORE_TIMEOUT_S + 0.2
        )
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'fields',
    [
        {'cpu_millis': 9000},
        {'memory_mb': 50_000},
        {'accelerators': 1},
        {'required_label': 'gpu'},
    ],
    ids=['cpu', 'memory', 'accelerators', 'label'],
)
async def test_job_that_fits_no_worker_is_rejected_at_once(
    fields, autojump_clock
):
    """A job that fits no worker would wait forever if it were accepted."""
    async with trio.open_nursery() as nursery:
        cluster = _cluster.SimulatedCluster(cpu_millis=4000, memory_mb=8000)
        await cluster.start(nursery)
        unfit = _cluster.one_step(1, **fields)
        early = await _submit(cluster, JOB, unfit)
        assert early.verdict is workflow.Verdict.DONE  # no workers known yet
        await trio.sleep(8.0)
        late = await _submit(cluster, '00000000000000a2', unfit)
        assert late.verdict is workflow.Verdict.UNFIT
        assert late.retry_after_s > 0
        again = await _submit(cluster, JOB, unfit)
        assert again.verdict is workflow.Verdict.DONE  # it was accepted
        fit = await _submit(cluster, '00000000000000a3', _cluster.one_step())
        assert fit.verdict is workflow.Verdict.DONE
        assert '00000000000000a2.0.0.0' not in cluster.history.tasks
        nursery.cancel_scope.cancel()


def test_every_label_of_a_worker_counts():
    """A job may require any label of a worker, whatever its name."""
    life = messages.WorkerLife(
        'w0', 1, 'pool', 'dc', 'ready', 4000, 8000, 0, ('risc', 'r1-3')
    )
    shapes = (_admission.shape_of(life),)
    for label in ('risc', 'r1-3', ''):
        spec = _cluster.one_step(1, required_label=label)
        assert _admission.unfit_step(spec, 'pool', shapes) is None
    spec = _cluster.one_step(1, required_label='gpu')
    assert _admission.unfit_step(spec, 'pool', shapes) == 0
    assert _admission.unfit_step(spec, 'other', shapes) is None


async def _submit(cluster, job_id, spec) -> workflow.Reply:
    entry = next(iter(cluster.entries.values()))
    deadline = trio.current_time() + 3.0
    return await entry.service.submit(_cluster.QUEUE, job_id, spec, deadline)


async def test_entry_without_the_store_is_not_fresh(autojump_clock):
    """The load balancer must see that an entry can't reach the store."""
    view = _operator_view.OperatorView(
        'c', lambda data: _cluster.CONFIG, lambda key: None
    )
    assert not view.fresh
    view._set_config(b'')
    view.on_events(())
    assert view.fresh
    await trio.sleep(_operator_view.MAX_CONFIRMATION_AGE_S + 0.1)
    assert not view.fresh
    view.on_events(())
    assert view.fresh


def _count_reads(cluster) -> list[str]:
    """Record the keys that are read from the store."""
    keys = []
    get = cluster.store.get

    async def counting(key):
        keys.append(key)
        return await get(key)

    cluster.store.get = counting
    return keys


async def _start_with_silent_leader(nursery):
    """Return a cluster in which JOB runs, and an entry that
    reaches the store, but not the scheduling entry.
    """
    cluster = _cluster.SimulatedCluster()
    await cluster.start(nursery)
    await _submit(cluster, JOB, _cluster.one_step(1, long_running=True))
    await cluster.until_state(JOB, 'running')
    other = next(e for e in cluster.entries.values() if e != cluster.leader)
    cluster.cut(cluster.leader.name)
    return cluster, other


async def test_state_takes_one_read_while_the_leader_is_silent(
    autojump_clock, nursery
):
    """Guards against more store calls the more the scheduler is overloaded.

    Load pattern: callers ask for their jobs, and the scheduling entry doesn't
    answer in time.
    """
    cluster, other = await _start_with_silent_leader(nursery)
    keys = _count_reads(cluster)
    reply = await other.service.state(JOB, trio.current_time() + 2.0)
    assert (reply.verdict, reply.state) == (workflow.Verdict.DONE, 'running')
    assert len([key for key in keys if JOB in key]) == 1
    absent = await other.service.state('f' * 16, trio.current_time() + 2.0)
    assert absent.verdict is workflow.Verdict.ABSENT
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('wait_s', [0.1, 0.3, 0.6])
async def test_state_is_shown_within_a_short_deadline(
    wait_s, autojump_clock, nursery
):
    """Guards against answers that come after the caller's deadline because
    the scheduling entry is silent.
    """
    _, other = await _start_with_silent_leader(nursery)
    began_at = trio.current_time()
    reply = await other.service.state(JOB, began_at + wait_s)
    assert trio.current_time() - began_at <= wait_s
    assert (reply.verdict, reply.state) == (workflow.Verdict.DONE, 'running')
    nursery.cancel_scope.cancel()


async def test_unreadable_progress_is_no_answer(autojump_clock, nursery):
    """Guards against an error of the process, or a wrong state, from bytes
    of another writer.
    """
    cluster, other = await _start_with_silent_leader(nursery)
    key = documents.PROGRESS_PREFIX + JOB
    await cluster.store.txn([], [ports.Put(key, b'\xff\x00')])
    reply = await other.service.state(JOB, trio.current_time() + 2.0)
    assert reply.verdict is workflow.Verdict.UNKNOWN
    nursery.cancel_scope.cancel()


async def test_job_whose_starts_are_refused_still_waits(
    autojump_clock, nursery
):
    """Guards against a number of waiting jobs that leaves out refused ones.

    Found on the small twin of sertao-traduz-grown quiet-1 (rule MIXED): the
    workers refused the starts as late, and 0 of 9 jobs were said to wait.
    """
    cluster = _cluster.SimulatedCluster()
    await cluster.start(nursery)
    for worker in cluster.workers:
        worker.faults.refusing = True
    await _submit(cluster, JOB, _cluster.one_step(1))
    await trio.sleep(3.0)
    for entry in cluster.entries.values():
        reply = await entry.service.pending(_cluster.QUEUE)
        assert (reply.verdict, reply.pending) == (workflow.Verdict.DONE, 1)
    for worker in cluster.workers:
        worker.faults.refusing = False
    await cluster.until_state(JOB, 'completed')
    assert (await entry.service.pending(_cluster.QUEUE)).pending == 0
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('load', [load_settings.OFF, FAST], ids=['off', 'on'])
async def test_job_that_no_watch_shows_is_found(
    load, autojump_clock, nursery, monkeypatch
):
    """Guards against an accepted job that the scheduler never learns of."""
    monkeypatch.setattr(time, 'time', autojump_clock.current_time)
    cluster = _cluster.SimulatedCluster(load=load)
    cluster.store = _flawed_store.FlawedStore(cluster.rng)
    await cluster.start(nursery)
    other = next(e for e in cluster.entries.values() if e != cluster.leader)
    cluster.cut(other.name)
    cluster.store.flaws.skip_events = True
    found = metrics.JOBS_FOUND_LATE._value.get()
    deadline = trio.current_time() + 3.0
    reply = await other.service.submit(
        _cluster.QUEUE, JOB, _cluster.one_step(), deadline
    )
    assert reply.verdict is workflow.Verdict.DONE
    await cluster.until(
        lambda: f'{JOB}.0.0.0' in cluster.history.tasks,
        _inbox.RECONCILE_S + 1.0,
    )
    assert metrics.JOBS_FOUND_LATE._value.get() == found + 1
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('wait_s', 'absent', 'not_shown', 'late'),
    [(1.0, 1, 0, 0), (-5.0, 0, 1, 1)],
    ids=['absent', 'late'],
)
async def test_variants_of_a_loss_are_counted(
    wait_s, absent, not_shown, late, autojump_clock, nursery
):
    """Guards against losses whose cause no figure shows."""
    cluster = _cluster.SimulatedCluster()
    await cluster.start(nursery)
    entry = next(iter(cluster.entries.values()))
    counters = (
        metrics.JOBS_ABSENT.labels('store'),
        metrics.STATES_NOT_SHOWN.labels('unknown'),
        metrics.REQUESTS_LATE.labels('state'),
    )
    before = [counter._value.get() for counter in counters]
    await entry.service.state('f' * 16, trio.current_time() + wait_s)
    after = [counter._value.get() for counter in counters]
    counted = [b - a for a, b in zip(before, after)]
    assert counted == [absent, not_shown, late]
    nursery.cancel_scope.cancel()
