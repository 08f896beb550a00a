"""Tests of losses of workers in series, with and without deadly tasks."""

import dataclasses

import pytest
import trio

from citronrail.workflow.tests import _cluster
from standins import task_worker

JOBS = [f'{number:016x}' for number in range(20)]
DEADLY_JOBS = [f'{number:016x}' for number in range(0xD0, 0xD3)]
TROUBLE_S = 20.0
MAX_STARTS = 5  # two after the third crash


@dataclasses.dataclass(frozen=True)
class _Series:
    """Losses of some of six workers, again and again.

    :param hosts: number of hosts that are lost together.
    :param among: number of hosts from which these are drawn.
    :param up_s: shortest and longest time between two losses.
    :param whole_host: whether the agent is lost as well.
    :param replaced: whether the scheduling entry is replaced meanwhile.
    """

    hosts: int
    among: int
    up_s: tuple[float, float]
    whole_host: bool = False
    replaced: bool = False


SERIES = {
    'two workers flap': _Series(1, 2, (0.3, 1.5)),
    'two workers flap, new leaders': _Series(1, 2, (0.3, 1.5), replaced=True),
    'two hosts lose power': _Series(1, 2, (0.3, 1.5), True, True),
    'workers of a zone': _Series(3, 3, (1.5, 4.0), replaced=True),
    'a zone loses power': _Series(3, 3, (1.5, 4.0), True, True),
    'all workers': _Series(6, 6, (2.0, 4.0)),
    'all hosts lose power': _Series(6, 6, (2.0, 4.0), True),
    'any worker': _Series(1, 6, (0.4, 1.0)),
    'any host loses power': _Series(1, 6, (0.4, 1.0), True),
    'any worker, new leaders': _Series(1, 6, (1.0, 2.0), replaced=True),
}


async def _lose(cluster, number: int, series: _Series) -> None:
    """Lose the worker of a host, and its agent if the host loses power."""
    worker, name = cluster.workers[number], f'a{number}'
    if worker.faults.down or name not in cluster.agents:
        return
    worker.down_s = cluster.rng.uniform(0.5, 1.5)
    if series.whole_host:
        cluster.kill_agent(name)
    await worker.crash()
    if series.whole_host:
        cluster.start_agent(name, worker)


async def _lose_in_series(cluster, series: _Series) -> None:
    end_at = trio.current_time() + TROUBLE_S
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_at:
            await trio.sleep(cluster.rng.uniform(*series.up_s))
            numbers = cluster.rng.sample(range(series.among), series.hosts)
            for number in numbers:
                nursery.start_soon(_lose, cluster, number, series)


async def _replace_leaders(cluster) -> None:
    end_at = trio.current_time() + TROUBLE_S
    while trio.current_time() < end_at:
        await trio.sleep(cluster.rng.uniform(3.0, 7.0))
        if cluster.leader is not None:
            name = cluster.leader.name
            cluster.kill_entry(name)
            await trio.sleep(0.5)
            cluster.start_entry(name)


async def _submit(cluster, job_ids, pause_s: float) -> None:
    for job_id in job_ids:
        await cluster.submit(job_id, _cluster.one_step(4))
        await trio.sleep(pause_s)


async def _play(nursery, seed, series, deadly_jobs=()):
    """Play a series of losses while jobs are submitted."""
    cluster = _cluster.SimulatedCluster(
        seed=seed, entries=3, workers=6, cpu_millis=1600
    )
    cluster.default_plan = task_worker.TaskPlan(work_s=1.5)
    for job_id in deadly_jobs:
        cluster.plans[f'{job_id}.0.0.0'] = task_worker.TaskPlan(crashes=True)
    await cluster.start(nursery)
    async with trio.open_nursery() as trouble:
        trouble.start_soon(_lose_in_series, cluster, series)
        if series.replaced:
            trouble.start_soon(_replace_leaders, cluster)
        trouble.start_soon(_submit, cluster, JOBS, 0.8)
        trouble.start_soon(_submit, cluster, deadly_jobs, 5.0)
    return cluster


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('series', SERIES.values(), ids=SERIES)
async def test_losses_in_series_convict_no_good_work(
    series, seed, autojump_clock, nursery
):
    """Guards against good jobs shown as failed in a series of losses."""
    cluster = await _play(nursery, seed, series)
    for job_id in JOBS:
        await cluster.until_state(job_id, 'completed')
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('series', SERIES.values(), ids=SERIES)
async def test_deadly_tasks_are_given_up_in_a_series_of_losses(
    series, seed, autojump_clock, nursery
):
    """Guards against more starts than BUDGET allows, amid other losses."""
    cluster = await _play(nursery, seed, series, DEADLY_JOBS)
    for job_id in DEADLY_JOBS:
        await cluster.until_state(job_id, 'failed')
        starts = cluster.history.record(f'{job_id}.0.0.0').starts
        assert len(starts) <= MAX_STARTS
    assert cluster.history.violations == []
    nursery.cancel_scope.cancel()
