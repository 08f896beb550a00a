"""Tests of draining and ramping up data centres."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from citronrail.model import identifiers
from citronrail.model import settings as settings_model
from citronrail.model import specs
from citronrail import scheduling
from citronrail.scheduling import _attempt_changes as attempts
from citronrail.scheduling import _context
from citronrail.scheduling import _drain_order as drain_order
from citronrail.scheduling import _job_changes as jobs
from citronrail.scheduling import _moves
from citronrail.scheduling import _ramps as ramps
from citronrail.scheduling import _shard_state as shards
from citronrail.scheduling.tests import _cluster

CFG = drain_order.DrainSettings()
LIMITS = _context.Limits()
REPLACEMENTS = st.lists(st.sampled_from(drain_order.Replacement), max_size=8)


@given(REPLACEMENTS, st.floats(0, 300))
def test_replica_is_stopped_only_after_its_replacement_is_ready(
    replacements, elapsed
):
    """Guards against stopping a replica before its replacement is ready."""
    tasks = [
        drain_order.DrainTask(
            specs.TaskId('service:seats', index), item, leaving_s=elapsed
        )
        for index, item in enumerate(replacements)
    ]
    steps = drain_order.drain_steps(tasks, 0, CFG)
    actions = {step.task.index: step.action for step in steps}
    for index, item in enumerate(replacements):
        assert (
            actions.get(index)
            is {
                drain_order.Replacement.NONE: drain_order.DrainAction.REPLACE,
                drain_order.Replacement.STARTING: None,
                drain_order.Replacement.ANSWERS: drain_order.DrainAction.STOP,
            }[item]
        )
    answering = sum(
        item is drain_order.Replacement.ANSWERS for item in replacements
    )
    stopped = sum(s.action is drain_order.DrainAction.STOP for s in steps)
    assert len(replacements) + answering - stopped >= len(replacements)


def test_last_replica_waits_for_its_replacement():
    """Guards against an outage of a service with a single replica."""
    for elapsed in (0.0, 1000.0):
        task = drain_order.DrainTask(
            specs.TaskId('service:seats', 0),
            drain_order.Replacement.STARTING,
            leaving_s=elapsed,
        )
        assert drain_order.drain_steps([task], 0, CFG) == ()


def test_checkpoints_are_limited_and_ordered_by_work_at_risk():
    """Guards against unlimited checkpoints and against the wrong order."""
    tasks = [
        drain_order.DrainTask(specs.TaskId('plan', i), lost_s=float(i))
        for i in range(40)
    ]
    steps = drain_order.drain_steps(tasks, 6, CFG)
    assert [s.task.index for s in steps] == list(range(39, 29, -1))
    tasks[3] = dataclasses.replace(tasks[3], urgent=True)
    steps = drain_order.drain_steps(tasks, 6, CFG)
    assert [s.task.index for s in steps] == [3, *range(39, 30, -1)]


def test_uncheckpointable_task_may_finish_if_it_ends_soon():
    """Guards against stopping tasks that would finish in time."""
    tasks = [
        drain_order.DrainTask(
            specs.TaskId('rota', i),
            None,
            50.0,
            remaining_s,
            leaving_s=10.0,
            checkpointable=False,
        )
        for i, remaining_s in enumerate((20.0, 500.0))
    ]
    steps = drain_order.drain_steps(tasks, 0, CFG)
    actions = {s.task.index: s.action for s in steps}
    assert actions[0] is drain_order.DrainAction.WAIT
    assert actions[1] is drain_order.DrainAction.STOP


@given(
    times=st.lists(st.floats(0.0, 200.0), min_size=2, max_size=30),
    hosts=st.integers(1, 40),
)
def test_returned_data_centre_ramps_up_gradually(times, hosts):
    """Guards against a burst of starts in a data centre that just returned."""
    nodes = [f'host{index}' for index in range(hosts)]
    previous = frozenset()
    for elapsed in sorted(times):
        share = ramps.ramp_share(elapsed, LIMITS)
        assert LIMITS.ramp_first_share <= share <= 1.0
        usable = ramps.usable(nodes, share)
        assert previous <= usable
        assert 1 <= len(usable) < hosts * share + 1.0
        previous = usable
    assert len(ramps.usable(nodes, ramps.ramp_share(0.0, LIMITS))) <= max(
        1, round(hosts * 0.1 + 0.5)
    )
    assert ramps.ramp_share(LIMITS.ramp_s, LIMITS) == 1.0
    assert ramps.usable(nodes, 1.0) == frozenset(nodes)


def test_task_that_would_not_finish_is_moved_without_delay():
    """Guards against a scheduler that doesn't use the drain order."""
    state = jobs.submit_job(
        shards.ShardState(),
        _cluster.job(tasks=1, run_s=500.0, checkpointable=False),
        'c',
        0.0,
    )
    node = identifiers.NodeId('host')
    task = specs.TaskId('rota', 0)
    state = attempts.assign(state, [attempts.Assignment(task, node)], 0.0)
    attempt = specs.AttemptId(task, 1)
    state = attempts.confirm_started(state, attempt, 0.0)
    estimator = scheduling.default_policies().estimator
    for now, leaves in ((10.0, True), (460.0, False)):
        moves = _moves.plan_moves(
            state, {}, {node: ('out', now)}, LIMITS, estimator, now, now
        )
        assert bool(moves.moves) is leaves


def test_ramps_follow_the_settings():
    """Guards against a ramp without a return and a ramp that never ends."""

    def shares(now, **state):
        places = {'leon': settings_model.DataCentreSettings(**state)}
        settings = settings_model.Settings(data_centres=places)
        return ramps.ramps(settings, LIMITS, now)

    assert shares(1005.0, changed_at=1000.0) == {
        'leon': ramps.ramp_share(5.0, LIMITS)
    }
    assert shares(995.0, changed_at=1000.0)['leon'] == LIMITS.ramp_first_share
    assert shares(1000.0 + LIMITS.ramp_s, changed_at=1000.0) == {}
    assert shares(900.0, changed_at=1000.0) == {}, 'by a wrong clock'
    assert shares(1005.0) == {}, 'written by an older version'
    assert shares(1005.0, in_service=False, changed_at=1000.0) == {}
