"""Tests of the simulated cluster and the report of the policy benchmark."""

import pytest

from citronrail.model import resources
from measure import _cluster as cluster
from measure import _report as report
from measure import _workload as workload


def _fleet():
    load = workload.draw_workload(
        workload.Scenario.STEADY, workload.HARROWFIELD, seed=1
    )
    return cluster.Cluster(load, 1, round_robin=False), load


def test_a_seed_fixes_the_whole_workload():
    """Guards against policies compared on different workloads."""
    first = workload.draw_workload(
        workload.Scenario.WRONG_SIZES, workload.CANTABRICO, seed=5
    )
    again = workload.draw_workload(
        workload.Scenario.WRONG_SIZES, workload.CANTABRICO, seed=5
    )
    assert first == again


@pytest.mark.parametrize('checkpoint', [True, False])
def test_a_stop_keeps_work_only_with_a_checkpoint(checkpoint):
    """Guards against progress that survives a stop without a checkpoint."""
    fleet, load = _fleet()
    work = next(w for _, w in load.arrivals if w.checkpointable)
    host = next(iter(fleet.hosts))
    task = cluster.Task(work, 0.0)
    fleet.start(task, host, work.declared, 0.0)
    for now in range(10):
        assert fleet.advance(float(now), 1.0) == []
    fleet.stop(task, checkpoint, 10.0)
    ended = [e for now in range(10, 14) for e in fleet.advance(now, 1.0)]
    assert [e.state for e in ended] == [
        'checkpointed' if checkpoint else 'stopped'
    ]
    assert (fleet.work_lost > 0) is not checkpoint
    assert (task.done_s > 0) is checkpoint


def test_memory_never_exceeds_the_host():
    """Guards against hosts whose memory can be overcommitted for free."""
    fleet, load = _fleet()
    host = next(iter(fleet.hosts.values()))
    for _, work in load.arrivals[:40]:
        task = cluster.Task(work, 0.0)
        fleet.start(task, host.node_id, resources.Resources(), 0.0)
    ended = [e for now in range(31) for e in fleet.advance(float(now), 1.0)]
    assert any(e.state == 'out of memory' for e in ended)
    used = sum(t.work.true.memory_mb for t in host.tasks.values())
    assert used <= host.capacity.memory_mb


def test_ratios_are_taken_seed_by_seed_to_the_best_mean():
    """Guards against a baseline chosen per seed instead of by its mean."""
    cell = [
        report.Figures('s', 'd', policy, seed, p99, 0.0, 1.0, 0, None)
        for policy, values in (
            ('learned', (50.0, 80.0)),
            ('first_fit', (100.0, 100.0)),
            ('random', (10.0, 400.0)),
            ('least_loaded', (300.0, 300.0)),
        )
        for seed, p99 in enumerate(values)
    ]
    found = report.ratio(cell, 'learned', lambda i: i.p99_ms, True)
    assert found == report.Ratio('first_fit', 0.65, 0.5, 0.8)
