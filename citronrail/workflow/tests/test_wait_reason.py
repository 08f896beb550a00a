"""Tests of the reasons for which a waiting task isn't started."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import observability
from citronrail.workflow import _interference
from citronrail.workflow import _placement
from citronrail.workflow import _service_room
from citronrail.workflow import _wait_reason
from citronrail.workflow.tests import _fleet

Reason = _wait_reason.Reason
HARMFUL = _interference.PairFactors()
HARMFUL.restore(
    _interference.LearnedFactors((('shop', 'heavy', 1.2, 0.001),)), 0.0
)
# Without a best-effort task, the headroom up to the setpoint is 0.69 minus it.
BUSY = (_interference.ServingTask('shop', 0.65, own_load=0.65),)
HALF_BUSY = (_interference.ServingTask('shop', 0.6, own_load=0.6),)
WORKER = _placement.WorkerCapacity(
    node='a0',
    worker_id='w0',
    data_centre='dc',
    labels=frozenset(),
    rack='',
    total_cpu=16_000,
    free_cpu=16_000,
    free_memory=20_000,
    free_accelerators=0,
    idle_cpu=16_000,
    total_memory=20_000,
)


@pytest.mark.parametrize(
    ('worker', 'step', 'wait_for_low_impact', 'expected'),
    [
        ({}, {}, True, None),
        ({'free_memory': 3000}, {}, False, Reason.NO_ROOM),
        ({}, {'required_label': 'x'}, False, Reason.NO_ROOM),
        ({'avoided': True}, {}, False, Reason.AVOIDED),
        (
            {'avoided': True, 'has_unknown_runs': True},
            {},
            False,
            Reason.UNKNOWN_RUNS,
        ),
        ({'reserved': True}, {}, False, Reason.RESERVED),
        ({'new_runs': 200}, {}, False, Reason.NEW_RUNS),
        ({'new_runs': 200}, {'gang': True}, False, None),
        ({'idle_cpu': 1000}, {}, False, Reason.NO_IDLE_CPU),
        ({'idle_cpu': 1000}, {'fills': False}, False, None),
        ({'target_violated': True}, {}, False, Reason.TARGET_MISSED),
        ({'best_effort_barred': True}, {}, False, Reason.NEAR_TARGET),
        ({'keeps_apart': True, 'serving': BUSY}, {}, False, Reason.LOW_PACE),
        ({'serving': BUSY}, {}, False, None),
        (
            {'keeps_apart': True, 'serving': HALF_BUSY},
            {},
            True,
            Reason.LOW_IMPACT_WAIT,
        ),
        ({'keeps_apart': True, 'serving': HALF_BUSY}, {}, False, None),
    ],
    ids=[
        'free',
        'memory',
        'label',
        'avoided',
        'unknown runs',
        'reserved',
        'new runs',
        'new runs beside a gang',
        'no idle processors',
        'processors are its own',
        'target missed',
        'near target',
        'low pace',
        'low pace without keeping apart',
        'waits for low impact',
        'half pace',
    ],
)
def test_obstacle(worker, step, wait_for_low_impact, expected):
    """Guards against a log that names the wrong rule for a waiting task."""
    found = _wait_reason.obstacle(
        dataclasses.replace(_fleet.REBUILD, **step),
        's',
        dataclasses.replace(WORKER, **worker),
        HARMFUL,
        wait_for_low_impact=wait_for_low_impact,
    )
    assert found is expected


@hypothesis.given(
    st.fixed_dictionaries(
        {
            'free_memory': st.sampled_from((3000, 20_000)),
            'idle_cpu': st.sampled_from((1000, 16_000)),
            'avoided': st.booleans(),
            'reserved': st.booleans(),
            'new_runs': st.sampled_from((0, 200)),
            'target_violated': st.booleans(),
            'best_effort_barred': st.booleans(),
            'keeps_apart': st.booleans(),
            'serving': st.sampled_from(((), BUSY, HALF_BUSY)),
        }
    ),
    st.booleans(),
    st.booleans(),
)
def test_obstacles_agree_with_placement(worker, fills, wait_for_low_impact):
    """Guards against a reason that placement doesn't know, or the reverse."""
    step = dataclasses.replace(_fleet.REBUILD, fills=fills)
    candidate = dataclasses.replace(WORKER, **worker)
    found = _wait_reason.obstacle(
        step, 's', candidate, HARMFUL, wait_for_low_impact=wait_for_low_impact
    )
    min_pace = _placement.PREFERRED_MIN_PACE_PERCENT * wait_for_low_impact
    value = _placement.evaluate(step, 's', candidate, HARMFUL, min_pace)
    assert (found is None) == (value is not None)


@pytest.mark.parametrize(
    ('step', 'free', 'expected'),
    [
        ({}, [(0, 6500)], 2),
        ({}, [(0, 6300)], 1),
        ({}, [(0, 3300), (0, 3300)], 2),
        ({'fills': False}, [(3500, 20_000)], 1),
        ({'max_per_worker': 1}, [(0, 20_000)], 1),
        ({'accelerators': 1}, [(0, 20_000)], 0),
        ({}, [(16_000, 20_000)] * 5, 3),
    ],
    ids=['two', 'one', 'apart', 'cpu', 'limit', 'accelerators', 'at most'],
)
def test_slots(step, free, expected):
    """Guards against room that is counted beyond what a worker can hold."""
    workers = [
        dataclasses.replace(WORKER, free_cpu=cpu, free_memory=memory)
        for cpu, memory in free
    ]
    step = dataclasses.replace(_fleet.REBUILD, **step)
    assert _service_room.slots(step, 's', workers, at_most=3) == expected


def test_used_ratio_is_that_of_the_scarcest_resource():
    """Guards against a service taken as free whose memory is in use."""
    full = dataclasses.replace(WORKER, free_memory=0)
    assert _service_room.used_ratio([WORKER, full]) == 0.5
    assert _service_room.used_ratio([]) == 1.0


def _logged(fleet, seconds):
    """Run rounds and return the fields of the CR1770 lines."""
    recorder = observability.Recorder()
    observability.use_recorder(recorder)
    for _ in range(int(seconds / 0.25)):
        fleet.step(0.25)
    return [r.fields for r in recorder.records() if r.number == 1770]


@pytest.mark.parametrize(
    ('condition', 'expected'),
    [
        ({}, ''),
        ({'memory_mb': 6300, 'connected': False}, ''),
        ({'connected': False}, Reason.UNUSABLE),
        ({'unknown_run_stops': {('x', 1): 0.0}}, Reason.UNKNOWN_RUNS),
    ],
    ids=['starts', 'no room twice over', 'out of contact', 'unknown runs'],
)
def test_job_that_waits_with_room_is_logged(condition, expected):
    """Guards against a wait that no log line explains, and against noise."""
    fields = dict(condition)
    fleet = _fleet.Fleet(memory_mb=fields.pop('memory_mb', 62_500))
    view = fleet.state.workers['a0']
    fleet.list_all = lambda: setattr(view, 'listed_at', fleet.now)
    for name, value in fields.items():
        setattr(view, name, value)
    fleet.submit('job', dataclasses.replace(_fleet.REBUILD, fills=False))
    lines = _logged(fleet, 6.5)
    assert {line['reason'] for line in lines} == {expected} - {''}
    # After 1.5 s, and then every 2 s.
    assert len(lines) == (3 if expected else 0)
    assert all(line['task'] == 'job.0.0.0' for line in lines)


def test_wait_goes_on_while_starts_are_refused():
    """Guards against a clock that begins anew with each refused start."""
    fleet = _fleet.Fleet()
    fleet.submit('job', _fleet.REBUILD)
    for _ in range(10):
        fleet.step(0.25)
        (task,) = fleet.state.jobs['job'].stages[0].tasks
        for attempt in list(task.attempts):
            fleet.state.remove_run(attempt)
            task.retry_at = fleet.now + 0.3
    (wait,) = fleet.idle_jobs.waiting_for(2.0, fleet.now)
    assert wait.task is task
