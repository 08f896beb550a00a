"""Tests of runs on workers that vanish while schedulers change."""

import dataclasses

import pytest
import trio

from citronrail.workflow import _leadership
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _term
from citronrail.workflow import _worker_view
from citronrail.workflow.tests import _cluster
from citronrail.workflow.tests import test_reports
from standins import task_worker

JOB = 'e' * 16
TASK = f'{JOB}.0.0.0'
MAX_LEASE_S = 10.0
LEASE_S = _worker_view.longest_lease_s(MAX_LEASE_S)
ELECTION_S = 2.5  # until another entry leads, at most
MARGIN_S = 0.5


async def _running_cluster(nursery, seed=1) -> _cluster.SimulatedCluster:
    """Return a cluster in which one lasting task runs."""
    cluster = _cluster.SimulatedCluster(seed=seed, entries=3, workers=3)
    cluster.bounds = dataclasses.replace(
        cluster.bounds, max_lease_s=MAX_LEASE_S
    )
    for worker in cluster.workers:
        worker._max_lease_s = MAX_LEASE_S
    cluster.default_plan = task_worker.TaskPlan(lasts=True)
    await cluster.start(nursery)
    await cluster.submit(JOB, _cluster.one_step(1, long_running=True))
    await cluster.until_state(JOB, 'running')
    return cluster


def _host_of_task(cluster) -> int:
    ((worker_id, _),) = cluster.history.record(TASK).active
    return int(worker_id[1:])


def _lose_host_of_task(cluster, nursery) -> float:
    """Lose the host of the task for good; return the time of the loss."""
    number = _host_of_task(cluster)
    cluster.workers[number].down_s = 1e6
    nursery.start_soon(cluster.workers[number].crash)
    cluster.kill_agent(f'a{number}')
    return trio.current_time()


async def _replace_leader(cluster, down_s: float) -> None:
    name = cluster.leader.name
    cluster.kill_entry(name)
    await trio.sleep(down_s)
    cluster.start_entry(name)


@pytest.mark.parametrize(
    ('replaced', 'limit_s'),
    [
        (0, LEASE_S + MARGIN_S),
        (
            2,
            # The second scheduler goes on with the wait of the first.
            _leadership.EXTEND_AFTER_LOSS_S
            + LEASE_S
            + 2 * ELECTION_S
            + _term.LEASES_LEFT_INTERVAL_S
            + MARGIN_S,
        ),
    ],
    ids=['early in a term', 'two new leaders'],
)
async def test_run_of_a_vanished_host_is_waited_for_once(
    autojump_clock, nursery, replaced, limit_s
):
    """Guards against work that waits although there is room (LOST).

    Each new scheduler waited for all leases anew, and one that had been
    elected lately waited as long for workers that it had heard of.
    """
    cluster = await _running_cluster(nursery)
    await trio.sleep(5.0)
    began_at = _lose_host_of_task(cluster, nursery)
    for _ in range(replaced):
        await _replace_leader(cluster, 3.0)
        await trio.sleep(7.0)
    starts = cluster.history.record(TASK).starts
    await cluster.until(lambda: len(starts) > 1)
    assert starts[-1] - began_at <= limit_s
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('planned', [False, True], ids=['killed', 'retired'])
async def test_leader_that_ends_after_a_host_leaves_its_bound(
    autojump_clock, nursery, planned
):
    """Guards against a wait that each successor begins anew (LOST).

    A host leaves, and the entries are replaced in turn right after. Only runs
    of workers that a scheduler had never heard of had a stored bound.
    """
    cluster = await _running_cluster(nursery)
    await trio.sleep(5.0)
    began_at = _lose_host_of_task(cluster, nursery)
    for _ in range(2):
        await trio.sleep(2.0)
        await cluster.until(lambda: cluster.leader is not None)
        name = cluster.leader.name
        if planned:
            await cluster.leader.election.drain()
        cluster.kill_entry(name)
        await trio.sleep(0.5)
        cluster.start_entry(name)
    starts = cluster.history.record(TASK).starts
    await cluster.until(lambda: len(starts) > 1)
    limit_s = LEASE_S + MARGIN_S + ELECTION_S
    if not planned:
        # Until a successor of a killed leader has read the bound, twice.
        limit_s += 2 * _term.LEASES_LEFT_INTERVAL_S + ELECTION_S
    assert starts[-1] - began_at <= limit_s
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('seed', range(25))
async def test_run_of_a_silent_host_is_not_doubled(
    autojump_clock, nursery, seed
):
    """Guards against a second run while the worker works on (TWICE).

    Its agent is cut off for a random time while schedulers change, so that
    it may be heard of between the writes of a bound on its leases.
    """
    cluster = await _running_cluster(nursery, seed)
    await trio.sleep(cluster.rng.uniform(1.0, 8.0))
    name = f'a{_host_of_task(cluster)}'

    async def cut_agent() -> None:
        for _ in range(3):
            cluster.cut(name)
            await trio.sleep(cluster.rng.uniform(1.0, 12.0))
            cluster.cut(name, False)
            await trio.sleep(cluster.rng.uniform(0.0, 2.0))

    async with trio.open_nursery() as trouble:
        trouble.start_soon(cut_agent)
        for _ in range(4):
            await trio.sleep(cluster.rng.uniform(0.0, 5.0))
            if cluster.leader is not None:
                await _replace_leader(cluster, cluster.rng.uniform(0.5, 3.0))
    await cluster.until(lambda: cluster.history.record(TASK).active)
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()


def test_stored_bound_is_withdrawn_before_leases_are_extended():
    """Guards against a successor that relies on an outdated bound (TWICE)."""
    state = test_reports._loaded_book()
    state.update_leases_left(test_reports.NOW + 3.0)
    (job,) = state.jobs.values()
    (attempt,) = job.attempts()
    assert attempt.lease_left_s == pytest.approx(
        test_reports.MAX_LEASE_S - 3.0
    )
    reports, report = test_reports.listing_report()
    reports(state).take('a0', report, test_reports.NOW + 4.0, 0.0)
    view = state.workers['a0']
    assert attempt.lease_left_s == 0.0
    assert job in state.dirty
    assert not view.usable(test_reports.NOW + 4.0)
    orders = test_reports.due_orders(view, test_reports.NOW + 4.0)
    assert orders is None or orders.orders.lease_until_ms == 0
    view.may_extend_leases = True  # after the commit
    orders = test_reports.due_orders(view, test_reports.NOW + 4.0)
    assert orders.orders.lease_until_ms > 0


def test_successor_goes_on_with_the_wait_of_its_predecessor():
    """Guards against a wait that starts anew, or ends too early (TWICE)."""
    now = test_reports.NOW
    first = test_reports._loaded_book()
    first.update_leases_left(now + 5.0)
    (job,) = first.jobs.values()
    progress = job.progress()
    second = test_reports._loaded_book(progress, now + 9.0)
    left_s = test_reports.MAX_LEASE_S - 5.0
    assert second.take_expired_inherited_runs(now + 9.0 + left_s) == []
    assert second.take_expired_inherited_runs(now + 9.1 + left_s) != []


def test_few_bounds_are_stored_at_a_time(monkeypatch):
    """Guards against a write for each job each second as a zone is lost."""
    monkeypatch.setattr(_scheduler_state, 'MAX_LEASES_LEFT_SEGMENTS', 2)
    state = test_reports._loaded_book(jobs=5)
    seen = set()
    for number in range(3):
        state.dirty.clear()
        state.update_leases_left(test_reports.NOW + number)
        assert 0 < len(state.dirty) <= 2
        seen |= state.dirty
    assert len(seen) == 5


def test_removed_run_is_not_stored_again():
    """Guards against records of deleted jobs, and writes without end."""
    state = test_reports._loaded_book()
    (job,) = state.jobs.values()
    (attempt,) = job.attempts()
    state.remove_run(attempt)
    state.dirty.clear()
    state.update_leases_left(test_reports.NOW)
    assert not state.dirty
    state.take_expired_inherited_runs(test_reports.NOW)
    assert not state.inherited_runs
