"""Replays the loads that the decisions answer."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail.model import workflows
from citronrail.workflow import _health
from citronrail.workflow import _interference
from citronrail.workflow import _placement
from citronrail.workflow import _queue_order

FILL = workflows.StepSpec(
    1, cpu_millis=2000, memory_mb=1000, fills=True, image='heavy'
)
SERVE = workflows.StepSpec(
    1,
    cpu_millis=3000,
    memory_mb=1000,
    long_running=True,
    latency_target_ms=50,
    image='shop',
)
PLAIN = workflows.StepSpec(1, cpu_millis=1000, memory_mb=1000)


def _candidate(node, **fields):
    fields.setdefault('free_cpu', 16000)
    fields.setdefault('idle_cpu', fields['free_cpu'])
    return _placement.WorkerCapacity(
        node=node,
        worker_id=f'w-{node}',
        data_centre='dc',
        labels=frozenset({'a', 'r1'}),
        rack='r1',
        total_cpu=16000,
        free_memory=64000,
        free_accelerators=0,
        **fields,
    )


def _serving(utilisation, image='shop', own_load=None):
    own_load = utilisation if own_load is None else own_load
    return _interference.ServingTask(image, utilisation, own_load=own_load)


def _taught(factor, best_effort='heavy', serving='shop', factors=None):
    """Measure a pair forty times, with and without the filling task."""
    factors = factors or _interference.PairFactors()
    task = _interference.BestEffortTask(best_effort, 0.125)
    for number in range(40):
        now = 0.5 * number
        factors.learn('s', _serving(0.4, serving), (), now)
        raised = _serving(0.4 + factor * 0.125, serving)
        factors.learn('s', raised, (task,), now)
    return factors


# Interference


@pytest.mark.parametrize('factor', [0.0, 0.3, 1.2, 4.0])
def test_factor_is_learned_from_late_measurements(factor):
    """Guards the learning: forty measurements tell light from heavy."""
    learned = _taught(factor).factor('shop', 'heavy')
    assert learned == pytest.approx(factor, abs=0.05)


def test_one_clear_measurement_of_a_new_pair_is_enough():
    """Guards serving tasks against a new heavy neighbour.

    Seen on ticketing quiet-1: a tail went from 70 to 355 ms of 125 as two
    tasks of a new image began; they were cut to half pace, and a second
    later to none.
    """
    factors = _interference.PairFactors()
    for number in range(6):
        factors.learn('s', _serving(0.74), (), 0.5 * number)
    heavy = (_interference.BestEffortTask('heavy', 0.14),)
    raised = _serving(0.946, own_load=0.74)
    factors.learn('s', raised, heavy, 3.0)
    assert factors.factor('shop', 'heavy') > 1.0
    assert factors.own_load('s') == pytest.approx(0.74, abs=0.07)
    assert _interference.paces((raised,), heavy, factors)[0] < 10


def test_own_load_is_not_blamed_for_what_a_cut_left_behind():
    """Guards filling tasks against a pace that stays down after a cut.

    The first list after a cut still shows the tail of the time before it.
    """
    factors = _taught(1.5)
    cut = (
        _interference.BestEffortTask(
            'heavy', 0.125, pace=0, measured_pace=100.0
        ),
    )
    raised = _serving(0.4 + 1.5 * 0.125)
    factors.learn('s', raised, cut, 20.0)
    assert factors.own_load('s') == pytest.approx(0.4, abs=0.03)


def test_load_of_a_job_that_ended_is_dropped():
    """Guards the scheduler's memory: jobs come for as long as it runs."""
    factors = _taught(1.0)
    assert factors.own_load('s') == pytest.approx(0.4, abs=0.03)
    factors.forget_load('s')
    assert factors.own_load('s') == _interference.PRIOR_LOAD
    factors.forget_load('s')  # a stage whose load was never measured


def test_same_factor_explains_low_and_high_load():
    """Guards the model: tails of one pair measured at two loads.

    With the same filling task the tail grew from 0.27 to 0.46 of the target
    at low load and from 0.66 to 2.0 at high load.
    """
    quiet = _interference.utilisation(0.46, 0.2) - _interference.utilisation(
        0.27, 0.2
    )
    busy = _interference.utilisation(2.0, 0.2) - _interference.utilisation(
        0.66, 0.2
    )
    assert quiet == pytest.approx(0.31, abs=0.02)
    assert busy == pytest.approx(0.20, abs=0.02)


def test_task_in_danger_has_only_its_pressing_neighbours_cut():
    """Guards harmless filling tasks against cuts for others' harm."""
    factors = _taught(0.0, 'light', factors=_taught(2.0))
    best_effort = (
        _interference.BestEffortTask('heavy', 0.125),
        _interference.BestEffortTask('light', 0.125),
    )
    heavy, light = _interference.paces(
        (_serving(0.85, own_load=0.6),), best_effort, factors
    )
    assert heavy < 60
    assert light == 100


def test_pace_is_given_back_when_the_load_falls():
    """Guards filling tasks against a pace that stays down."""
    factors = _taught(2.0)
    best_effort = (_interference.BestEffortTask('heavy', 0.125, pace=0),)
    for _ in range(4):
        paces = _interference.paces((_serving(0.3),), best_effort, factors)
        best_effort = (dataclasses.replace(best_effort[0], pace=paces[0]),)
    assert best_effort[0].pace == 100


def test_missed_target_stops_all_filling_in_the_end():
    """Guards the latency target against wrong learning.

    Seen on Langar quiet-1: a target missed for 4 s while tasks that were
    learned to be harmless worked on.
    """
    factors = _taught(0.0)
    best_effort = (_interference.BestEffortTask('heavy', 0.125),)
    missed = (_serving(0.9),)
    paces = _interference.paces_after_violation(
        missed, best_effort, factors, stop_all=False
    )
    assert paces == (100,)
    paces = _interference.paces_after_violation(
        missed, best_effort, factors, stop_all=True
    )
    assert paces == (0,)


@hypothesis.given(
    st.lists(st.floats(0, 0.99), max_size=4),
    st.lists(st.tuples(st.floats(0, 0.5), st.integers(0, 100)), max_size=5),
)
def test_paces_are_percents(loads, tasks):
    """Guards workers against paces that no call may carry."""
    serving = tuple(_serving(load) for load in loads)
    best_effort = tuple(
        _interference.BestEffortTask('heavy', share, pace)
        for share, pace in tasks
    )
    paces = _interference.paces(serving, best_effort, _taught(1.0))
    assert len(paces) == len(best_effort)
    assert all(0 <= pace <= 100 for pace in paces)


# Placement


def test_filling_task_waits_for_a_worker_where_it_does_no_harm():
    """Guards serving tasks in a wave of heavy filling tasks."""
    factors = _taught(3.0)
    candidates = [_candidate('busy', serving=(_serving(0.7),))]
    assert not _placement.choose_worker(
        FILL, 's', candidates, factors, wait_for_low_impact=True
    )
    assert _placement.choose_worker(
        FILL, 's', candidates, factors, wait_for_low_impact=False
    )
    candidates.append(_candidate('calm', serving=(_serving(0.2),)))
    chosen = _placement.choose_worker(
        FILL, 's', candidates, factors, wait_for_low_impact=True
    )
    assert chosen.node == 'calm'


def test_wide_step_spreads_as_its_own_tasks_press():
    """Guards one calm worker against a whole step at once."""
    factors = _taught(2.0)
    candidates = [_candidate(n, serving=(_serving(0.4),)) for n in 'abc']
    chosen = []
    for _ in range(6):
        candidate = _placement.choose_worker(
            FILL, 's', candidates, factors, wait_for_low_impact=True
        )
        if candidate is None:
            break
        candidate.reserve(FILL, 's')
        chosen.append(candidate.node)
    assert len(set(chosen)) == 3
    assert len(chosen) <= 6


def test_serving_tasks_of_one_image_share_workers():
    """Guards room for each filling image: images are not mixed."""
    factors = _interference.PairFactors()
    candidates = [
        _candidate('same', free_cpu=9000, serving=(_serving(0.4),)),
        _candidate('other', serving=(_serving(0.4, 'bank'),)),
    ]
    assert (
        _placement.choose_worker(SERVE, 's', candidates, factors).node
        == 'same'
    )


def test_capacity_is_never_exceeded():
    """Guards workers that start whatever they are told to start."""
    factors = _interference.PairFactors()
    candidates = [_candidate(n, free_cpu=3500) for n in 'ab']
    placed = 0
    while candidate := _placement.choose_worker(
        PLAIN, 's', candidates, factors
    ):
        candidate.reserve(PLAIN, 's')
        placed += 1
    assert placed == 6
    assert all(candidate.free_cpu >= 0 for candidate in candidates)


def test_limit_for_each_worker_holds():
    """Guards anti-affinity."""
    step = dataclasses.replace(PLAIN, max_per_worker=1)
    factors = _interference.PairFactors()
    candidates = [_candidate(n) for n in 'abc']
    for _ in range(3):
        _placement.choose_worker(step, 's', candidates, factors).reserve(
            step, 's'
        )
    assert _placement.choose_worker(step, 's', candidates, factors) is None


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({'required_label': 'gpu'}, None),
        ({'required_label': 'a'}, 'a'),
        ({'memory_mb': 70_000}, None),
        ({'accelerators': 1}, None),
    ],
    ids=['label missing', 'label there', 'memory', 'accelerators'],
)
def test_only_workers_that_fit_are_taken(fields, expected):
    """Guards labels, memory and accelerators."""
    step = dataclasses.replace(PLAIN, **fields)
    candidate = _placement.choose_worker(
        step, 's', [_candidate('a')], _interference.PairFactors()
    )
    assert (candidate and candidate.node) == expected


def test_slow_and_failing_workers_come_last():
    """Guards against the quick failures that make a worker look free."""
    factors = _interference.PairFactors()
    candidates = [
        _candidate('slow', speed=0.2),
        _candidate('sound', free_cpu=4000),
        _candidate('avoided', avoided=True),
    ]
    assert (
        _placement.choose_worker(PLAIN, 's', candidates, factors).node
        == 'sound'
    )
    found = _placement.choose_worker(
        PLAIN, 's', candidates, factors, avoid_nodes=('sound',)
    )
    assert found.node == 'slow'


# Order


def _waiting(priority=0, arrived_at=0.0, objective_s=10.0, remaining_s=2.0):
    return _queue_order.WaitingJob(
        priority, arrived_at, objective_s, remaining_s
    )


def test_order_when_more_waits_than_can_be_done():
    """Guards what callers lose: urgent, then savable, late, useless."""
    now = 100.0
    urgent = _waiting(arrived_at=99)
    savable = _waiting(2, arrived_at=95)
    late = _waiting(2, arrived_at=85)
    useless = _waiting(2, arrived_at=20)
    jobs = [useless, late, savable, urgent]
    jobs.sort(key=lambda job: _queue_order.sort_key(job, now))
    assert jobs == [urgent, savable, late, useless]


def test_critical_path_counts_the_longest_chain():
    """Guards objectives of jobs with parallel steps."""
    spec = workflows.WorkflowSpec(
        '',
        (
            workflows.StepSpec(1, estimate_s=2.0),
            workflows.StepSpec(1, estimate_s=5.0),
            workflows.StepSpec(1, estimate_s=1.0, after=(0, 1)),
        ),
    )
    assert _queue_order.critical_path_s(spec) == pytest.approx(6.0)


# Health


def _progress(**fields):
    values = {
        'percent': 40,
        'moved_at': 10.0,
        'listed_at': 5.0,
        'steady_since': 5.0,
        'steady_percent': 0,
        'estimate_s': 4.0,
        'pace': 100,
        'fills': False,
        'long_running': False,
    }
    return _health.RunProgress(**(values | fields))


@pytest.mark.parametrize(
    ('fields', 'now', 'expected'),
    [
        ({}, 11.0, False),
        ({}, 13.0, True),
        ({'fills': True}, 13.0, False),
        ({'pace': 20}, 30.0, False),
        ({'long_running': True, 'percent': 100}, 90.0, False),
        ({'long_running': True, 'percent': 0}, 13.0, True),
        ({'estimate_s': 100.0}, 13.0, False),
        ({'listed_at': 0.0}, 90.0, False),
    ],
    ids=[
        'just moved',
        'stands still',
        'fills',
        'paced',
        'at work',
        'never at work',
        'slow percents',
        'never listed',
    ],
)
def test_run_that_stands_still_is_found(fields, now, expected):
    """Guards against workers that hang while they announce themselves."""
    assert _health.is_stuck(_progress(**fields), now) is expected


def test_speed_counts_from_the_last_change_of_pace():
    """Guards sound workers: a paced run isn't a slow one.

    Seen on ticketing quiet-1: 40 runs moved off sound workers.
    """
    run = _progress(steady_since=8.0, steady_percent=20, percent=70)
    assert _health.measured_speed(run, 10.0) == pytest.approx(1.0)


def test_run_moves_only_if_it_ends_sooner():
    """Guards against work thrown away by moving runs that nearly end."""
    slow = _progress(percent=10)
    assert _health.faster_elsewhere(slow, 0.2, saves_progress=True)
    assert not _health.faster_elsewhere(slow, 0.9, saves_progress=True)
    nearly = _progress(percent=95)
    assert not _health.faster_elsewhere(nearly, 0.2, saves_progress=False)
