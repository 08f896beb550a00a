"""Tests of the deletion of ended jobs."""

import time

import pytest
import trio

from citronrail.model import load_settings
from citronrail.model import messages
from citronrail.workflow import _commit_chain
from citronrail.workflow import _documents as documents
from citronrail.workflow.tests import _cluster
from citronrail.workflow.tests import _flawed_store
from standins import task_worker

UNIX_START = 1.8e9
PREFIXES = (
    documents.JOB_PREFIX,
    documents.PROGRESS_PREFIX,
    documents.CANCEL_PREFIX,
)
FAST = load_settings.LoadSettings(fast_takeover=True)
JOBS = [f'{number:016x}' for number in range(30)]


@pytest.fixture
def unix_clock(monkeypatch):
    """Let Unix time pass as the virtual clock does."""
    monkeypatch.setattr(time, 'time', _unix_time)


def _unix_time() -> float:
    try:
        return UNIX_START + trio.current_time()
    except RuntimeError:
        return UNIX_START


async def _run_jobs(nursery, jobs, load=FAST):
    """Return a cluster whose jobs have ended, 40 s before their deletion."""
    cluster = _cluster.SimulatedCluster(workers=4, entries=2, load=load)
    cluster.store = _flawed_store.FlawedStore(cluster.rng)
    cluster.default_plan = task_worker.TaskPlan(work_s=0.2)
    await cluster.start(nursery)
    for job_id in jobs:
        await cluster.submit(job_id, _cluster.one_step(1))
    await cluster.until(lambda: not _open(cluster))
    await trio.sleep(140.0)
    return cluster


def _open(cluster):
    jobs = cluster.leader.election.term.scheduler_state.jobs.values()
    return [job for job in jobs if job.open] or len(jobs) == 0


def _stored(cluster, prefix):
    items = cluster.store.state.list(prefix).items
    return {item.key.removeprefix(prefix) for item in items}


async def test_keys_of_a_job_are_deleted_together(
    unix_clock, autojump_clock, nursery
):
    """Guards against a job without its progress, which would run again."""
    cluster = await _run_jobs(nursery, JOBS)
    seen = set()
    txn = cluster.store.txn

    async def checked(compares, writes):
        result = await txn(compares, writes)
        for prefix in PREFIXES[:2]:
            seen.add(frozenset(_stored(cluster, prefix)))
        assert _stored(cluster, PREFIXES[0]) == _stored(cluster, PREFIXES[1])
        return result

    cluster.store.txn = checked
    await cluster.until(lambda: not _stored(cluster, PREFIXES[0]), 90.0)
    assert not _stored(cluster, documents.PROGRESS_PREFIX)
    nursery.cancel_scope.cancel()


async def test_no_key_is_written_twice_in_a_commit(
    unix_clock, autojump_clock, nursery, monkeypatch
):
    """Guards against a commit that the store rejects again and again."""
    cluster = await _run_jobs(nursery, JOBS[:1])
    state = cluster.leader.election.term.scheduler_state
    commits = []
    commit = _commit_chain.CommitChain.commit

    async def recorded(chain, writes):
        commits.append([write.key for write in writes])
        state.dirty.update(state.jobs.values())
        return await commit(chain, writes)

    monkeypatch.setattr(_commit_chain.CommitChain, 'commit', recorded)
    state.dirty.update(state.jobs.values())
    await cluster.until(lambda: not state.jobs, 90.0)
    for keys in commits:
        assert len(keys) == len(set(keys))
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('load', [load_settings.OFF, FAST], ids=['off', 'on'])
async def test_late_listing_does_not_restart_a_deleted_job(
    load, unix_clock, autojump_clock, nursery
):
    """Guards against ended jobs that run again from the start.

    The listing of a watch that is restored is read before the deletion and
    arrives after it.
    """
    cluster = await _run_jobs(nursery, JOBS[:6], load)
    flaws = cluster.store.flaws
    flaws.page_items, flaws.page_s = 4, 60.0
    cluster.store.drop_watches()
    await cluster.until(lambda: not _stored(cluster, PREFIXES[0]), 90.0)
    await trio.sleep(70.0)
    assert cluster.history.violations == []
    assert not _stored(cluster, documents.PROGRESS_PREFIX)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('lost_watch', [False, True])
async def test_job_is_accepted_again_after_its_deletion(
    lost_watch, unix_clock, autojump_clock, nursery
):
    """Guards against a new job that is taken for the deleted one."""
    cluster = await _run_jobs(nursery, JOBS[:1])
    await cluster.until(lambda: not _stored(cluster, PREFIXES[0]), 90.0)
    if lost_watch:
        cluster.store.drop_watches()
    began_at = trio.current_time()
    await cluster.submit(JOBS[0], _cluster.one_step(1))
    starts = cluster.history.tasks[f'{JOBS[0]}.0.0.0'].starts
    await cluster.until(lambda: starts[-1] > began_at, 3.0)
    await cluster.until_state(JOBS[0], 'completed', 5.0)
    nursery.cancel_scope.cancel()


async def test_notice_of_a_deleted_job_does_not_restart_it(
    unix_clock, autojump_clock, nursery
):
    """Guards against a repeated submission that meets the deletion."""
    cluster = await _run_jobs(nursery, JOBS[:1])
    item = cluster.store.state.get(documents.JOB_PREFIX + JOBS[0])
    await cluster.until(lambda: not _stored(cluster, PREFIXES[0]), 90.0)
    term = cluster.leader.election.term
    message = messages.JobAccepted(JOBS[0], item.value)
    term.on_job_accepted(message.job_id, message.record)
    await trio.sleep(5.0)
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()
