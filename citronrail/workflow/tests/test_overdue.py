"""Tests of the bound on the wait of jobs with nothing running."""

import dataclasses

import pytest


from citronrail.model import load_settings
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _placement
from citronrail.workflow import _round
from citronrail.workflow.tests import _fleet

LIMIT_S = 3.0
STEP_S = 0.25
KNOWN = (('shop', 'heavy', 1.2, 0.001),)


def _serving_fleet(own_load, load=_fleet.FIT, workers=2) -> _fleet.Fleet:
    """Return workers that each have a serving task with a load.

    The mean tail of the task without load is 10 ms of 50 ms.
    """
    fleet = _fleet.Fleet(workers=workers, load=load)
    step = dataclasses.replace(
        _fleet.SERVE, task_count=workers, max_per_worker=1
    )
    fleet.submit('serve', step, priority=0)
    fleet.tail_ms = 12.0
    for _ in range(4):
        fleet.step()
    fleet.tail_ms = 10.0 / (1.0 - own_load)
    for _ in range(10):
        fleet.step()
    fleet.factors.restore(_interference.LearnedFactors(KNOWN), fleet.now)
    fleet.factors._baseline_ratios['shop'] = 0.2
    return fleet


def _seconds_to_first_run(fleet, job_id='fill') -> float:
    """Return after how long the first run of a job is assigned."""
    began_at = fleet.now
    for _ in range(int(2 * LIMIT_S / STEP_S)):
        fleet.place()
        if any(True for _ in fleet.state.jobs[job_id].attempts()):
            return fleet.now - began_at
        fleet.step(STEP_S)
    return float('inf')


def test_low_pace_holds_a_job_back_for_a_bounded_time():
    """Guards against a job without a run as no worker allows half of its pace.

    LOST: nothing runs for 3 s while the service is mostly free.
    """
    fleet = _serving_fleet(own_load=0.65)
    fleet.submit('fill', _fleet.REBUILD)
    assert 1.0 < _seconds_to_first_run(fleet) < LIMIT_S - 1.0
    (attempt,) = fleet.state.jobs['fill'].attempts()
    assert 10 <= attempt.pace < 50
    assert attempt.pace_due


def test_wait_for_nearly_full_pace_is_bounded():
    """Guards against a wait of 25 s for a worker that allows 90%."""
    fleet = _serving_fleet(own_load=0.65, load=load_settings.OFF)
    fleet.submit('fill', _fleet.REBUILD)
    assert _seconds_to_first_run(fleet) < LIMIT_S - 1.0


def test_serving_tasks_near_their_target_bar_a_job_for_a_bounded_time():
    """Guards against a job without a run while all tails are near a target.

    At 45.5 of 50 ms the target is met; a start at a low pace keeps it so.
    """
    fleet = _serving_fleet(own_load=0.78)
    fleet.submit('fill', _fleet.REBUILD)
    assert _seconds_to_first_run(fleet) < LIMIT_S - 1.0
    (attempt,) = fleet.state.jobs['fill'].attempts()
    assert attempt.pace == 10


@pytest.mark.parametrize(
    'load', [_fleet.FIT, load_settings.OFF], ids=['fit', 'small']
)
def test_job_starts_but_does_not_work_beside_a_missed_target(load):
    """Guards against a job without a run (LOST), and against HARM.

    The serving tasks miss their target by their own load. The run is there
    within 3 s, and does no work as long as the target is missed.
    """
    fleet = _serving_fleet(own_load=0.82, load=load, workers=1)
    fleet.submit('fill', _fleet.REBUILD)
    assert _seconds_to_first_run(fleet) < LIMIT_S - 1.0
    (attempt,) = fleet.state.jobs['fill'].attempts()
    assert (attempt.pace, attempt.pace_due) == (0, True)
    for _ in range(20):
        fleet.step()
        assert attempt.pace == 0
    assert fleet.running('fill') == 1
    fleet.tail_ms = 12.0
    for _ in range(20):
        fleet.step()
    assert attempt.pace == 100
    assert fleet.running('fill') == 1


def test_worker_that_meets_its_targets_is_better():
    """Guards against a start that has to wait for a load to fall."""
    fleet = _serving_fleet(own_load=0.82)
    fleet.lives.append(dataclasses.replace(fleet.lives[0], worker_id='w9'))
    fleet._ends.append(0)
    fleet.submit('fill', _fleet.REBUILD)
    fleet.step()
    (attempt,) = fleet.state.jobs['fill'].attempts()
    assert (attempt.worker_id, attempt.pace) == ('w9', 100)


def test_processors_that_others_ask_for_but_free_are_used():
    """Guards against a job without a run beside throttled or idle tasks.

    Best-effort tasks count with their whole demand, though they share what
    is left; their memory alone is held.
    """
    fleet = _fleet.Fleet(workers=1)
    step = dataclasses.replace(_fleet.REBUILD, cpu_millis=8000, task_count=2)
    fleet.submit('others', step)
    fleet.step()
    fleet.submit('fill', _fleet.REBUILD)
    assert _seconds_to_first_run(fleet) < LIMIT_S - 1.0


BATCH = dataclasses.replace(_fleet.REBUILD, fills=False)


@pytest.mark.parametrize('step', [BATCH, _fleet.SERVE], ids=['batch', 'lasts'])
def test_workers_held_for_suspected_tasks_are_used(step):
    """Guards against a job without a run on a service of few workers.

    A held worker is held again as long as its suspected task finds no start.
    """
    fleet = _fleet.Fleet(workers=1)
    fleet.state.workers['a0'].held_until = fleet.now + 60.0
    fleet.submit('fill', step)
    assert 1.0 < _seconds_to_first_run(fleet) < LIMIT_S - 1.0


def test_nothing_joins_a_suspected_task_before_it_is_listed():
    """Guards against a crash that can't be attributed to its task."""
    fleet = _fleet.Fleet(workers=1)
    fleet.submit('suspected', BATCH)
    view = fleet.state.workers['a0']
    fleet.place()
    view.probation_job = fleet.state.jobs['suspected']
    fleet.list_all = lambda: view.record_list(int(fleet.now * 1000), fleet.now)
    fleet.submit('fill', BATCH)
    assert _seconds_to_first_run(fleet) == float('inf')


def test_nothing_joins_a_suspected_task_that_takes_its_held_worker():
    """Guards against an overdue start in the round that ends the hold."""
    fleet = _fleet.Fleet(workers=1)
    fleet.state.workers['a0'].held_until = fleet.now + 60.0
    fleet.submit('fill', BATCH)
    for _ in range(4):
        fleet.place()
        fleet.step(STEP_S)
    fleet.submit('suspected', BATCH)
    (task,) = fleet.state.jobs['suspected'].stages[0].tasks
    crash = documents.CrashRecord('w1', 1, 'a1', True)
    task.crashes = (crash,)
    fleet.step(STEP_S)
    assert task.attempts
    assert not fleet.state.jobs['fill'].started


@pytest.mark.parametrize(
    ('step', 'failures', 'starts'),
    [(BATCH, 0, True), (BATCH, 2, False), (_fleet.SERVE, 2, True)],
    ids=['batch', 'last attempt', 'lasts'],
)
def test_avoided_workers_are_better_than_none(step, failures, starts):
    """Guards against work that waits while all workers are avoided for 6 s.

    The last attempt of a task (max_attempts is 3) isn't risked there.
    """
    fleet = _fleet.Fleet(workers=1)
    view = fleet.state.workers['a0']
    fleet.state.avoid_worker(view, 'its runs fail', fleet.now)
    fleet.submit('fill', step)
    fleet.state.jobs['fill'].stages[0].tasks[0].failures = failures
    assert (_seconds_to_first_run(fleet) < LIMIT_S - 1.0) is starts


def test_unknown_runs_still_bar_all_starts():
    """Guards against a worker over its capacity by runs not counted."""
    fleet = _fleet.Fleet(workers=1)
    view = fleet.state.workers['a0']
    fleet.list_all = lambda: view.record_list(int(fleet.now * 1000), fleet.now)
    view.unknown_run_stops[('unknown', 1)] = 0.0
    fleet.submit('fill', BATCH)
    assert _seconds_to_first_run(fleet) == float('inf')


def test_lasting_task_starts_however_full_its_service_is():
    """Guards against a limit by load, which holds for tasks that end only."""
    fleet = _fleet.Fleet(workers=2)
    fleet.submit('batch', dataclasses.replace(BATCH, task_count=26))
    for _ in range(3):
        fleet.step()
    for view in fleet.state.workers.values():
        fleet.state.avoid_worker(view, 'its runs fail', fleet.now)
    # 26 of 38 tasks fit, so that 68% of the memory is in use.
    fleet.submit('fill', dataclasses.replace(_fleet.SERVE, cpu_millis=100))
    fleet.submit('ends', dataclasses.replace(BATCH, cpu_millis=100))
    assert _seconds_to_first_run(fleet) < LIMIT_S - 1.0
    assert not fleet.state.jobs['ends'].started


def _squeezed_fleet(**fields) -> _fleet.Fleet:
    """Return a worker whose serving task leaves no headroom for a fill."""
    fleet = _fleet.Fleet(workers=1)
    step = dataclasses.replace(_fleet.REBUILD, **fields)
    fleet.submit('fill', step)
    fleet.step()
    fleet.submit('serve', _fleet.SERVE, priority=0)
    fleet.tail_ms = 12.0
    for _ in range(4):
        fleet.step()
    fleet.factors.restore(_interference.LearnedFactors(KNOWN), fleet.now)
    fleet.factors._baseline_ratios['shop'] = 0.2
    return fleet


@pytest.mark.parametrize(
    ('count', 'memory_mb', 'running'),
    [(1, 62_500, 1), (3, 62_500, 1), (1, 10_000, 0)],
    ids=['only run', 'last of three', 'service is full'],
)
def test_last_run_of_a_job_is_not_stopped_while_there_is_room(
    count, memory_mb, running
):
    """Guards against a stop that leaves a job with nothing running.

    The run would start again after a while, beside the same serving task. In
    a full service its memory is better left to others.
    """
    fleet = _squeezed_fleet(task_count=count)
    fleet.lives[0] = dataclasses.replace(fleet.lives[0], memory_mb=memory_mb)
    fewest = count
    for _ in range(16):
        best_effort = sum(
            1.2 * 1800 / 16_000 * a.pace / 100
            for a in fleet.state.jobs['fill'].attempts()
            if a.listed_at
        )
        fleet.tail_ms = 10.0 / (1.0 - min(0.95, 0.7 + best_effort))
        fleet.step()
        fewest = min(fewest, fleet.running('fill'))
    assert fewest == running


def _slow_runs_beside_room(memory_mb, data_centre='dc') -> _fleet.Fleet:
    """Return two workers whose fills settle at 45%, and a third with room."""
    fleet = _fleet.Fleet(workers=2)
    for number in range(2):
        step = dataclasses.replace(_fleet.REBUILD, memory_mb=40_000)
        fleet.submit(f'fill{number}', step)
    fleet.step()
    serve = dataclasses.replace(_fleet.SERVE, task_count=2, max_per_worker=1)
    fleet.submit('serve', serve, priority=0)
    fleet.tail_ms = 12.0
    fleet.step()
    fleet.factors.restore(_interference.LearnedFactors(KNOWN), fleet.now)
    fleet.lives.append(
        dataclasses.replace(
            fleet.lives[0],
            worker_id='w2',
            data_centre=data_centre,
            memory_mb=memory_mb,
        )
    )
    fleet._ends.append(0)
    return fleet


def _stopped_at_once(fleet) -> int:
    """Let the tails follow the paces; return the most runs in a stop."""
    most = 0
    for _ in range(12):
        pace = max(
            a.measured_pace(fleet.now + 0.5)
            for n in (0, 1)
            for a in fleet.state.jobs[f'fill{n}'].attempts()
        )
        own_load, added = 0.63, 1.2 * 1800 / 16_000 * pace / 100
        fleet.tail_ms = 10.0 / (1.0 - own_load - added)
        fleet.step()
        most = max(most, len(fleet.stopping()))
    return most


def test_slow_runs_move_one_at_a_time_to_the_same_room():
    """Guards against two stops for room that holds one; one would wait."""
    assert _stopped_at_once(_slow_runs_beside_room(70_000)) == 1


def test_slow_run_does_not_move_to_an_evacuated_data_centre():
    """Guards against a stop for room in which nothing may start."""
    fleet = _slow_runs_beside_room(70_000, data_centre='other')
    fleet.evacuated = frozenset({'other'})
    assert _stopped_at_once(fleet) == 0


@pytest.mark.parametrize(
    ('fields', 'moves'),
    [
        ({}, True),
        ({'memory_mb': 3000}, False),
        ({'service': 'other'}, False),
        ({'state': 'draining'}, False),
    ],
    ids=['room', 'no memory', 'other service', 'draining'],
)
def test_throttled_run_moves_only_to_a_worker_that_can_start_it(fields, moves):
    """Guards against a stop for a worker without memory for the run.

    This is where the deployment has not asked for the best-effort limit.
    """
    fleet = _fleet.Fleet(load=load_settings.OFF)
    fleet.submit('fill', _fleet.REBUILD)
    fleet.step()
    fleet.submit('serve', _fleet.SERVE, priority=0)
    fleet.tail_ms = 12.0
    fleet.step()
    fleet.factors.restore(_interference.LearnedFactors(KNOWN), fleet.now)
    life = dataclasses.replace(fleet.lives[0], worker_id='w1', **fields)
    fleet.lives.append(life)
    fleet._ends.append(0)
    fleet.tail_ms = 10.0 / (1.0 - 0.78)
    moved = False
    for _ in range(8):
        fleet.step()
        moved = moved or bool(fleet.stopping())
    assert moved is moves


def test_stream_of_urgent_tasks_does_not_hold_a_job_back(monkeypatch):
    """Guards against a job that each round ends before, at its limit."""
    monkeypatch.setattr(_round, 'MAX_STARTS_PER_ROUND', 4)
    fleet = _fleet.Fleet(workers=1)
    fleet.submit('fill', BATCH, priority=2)
    urgent = dataclasses.replace(
        BATCH, task_count=4, cpu_millis=10, memory_mb=10, estimate_s=0.1
    )
    for number in range(12):
        fleet.submit(f'urgent{number}', urgent, priority=0)
        fleet.step(STEP_S)
        if fleet.state.jobs['fill'].started:
            break
    assert number * STEP_S < LIMIT_S - 1.0


def test_overdue_starts_stay_within_the_capacity():
    """Guards against LIMIT: each start finds its memory free."""
    fleet = _serving_fleet(own_load=0.65, workers=3)
    for number in range(40):
        fleet.submit(f'fill{number}', _fleet.REBUILD)
    for _ in range(24):
        fleet.step(STEP_S)
        for view in fleet.state.workers.values():
            assert not _round.remaining_capacity(view).overcommitted
    started = sum(fleet.state.jobs[f'fill{n}'].started for n in range(40))
    assert 20 <= started < 40


def test_throttled_job_of_an_empty_service_keeps_a_run():
    """Guards against a run that is started and stopped again in turns."""
    fleet = _serving_fleet(own_load=0.65)
    fleet.submit('fill', _fleet.REBUILD)
    assert _seconds_to_first_run(fleet) < LIMIT_S - 1.0
    for _ in range(20):
        fleet.step()
    assert fleet.state.jobs['fill'].stages[0].tasks[0].last_run == 1
    assert fleet.running('fill') == 1


def test_overdue_starts_compare_a_bounded_number_of_workers(monkeypatch):
    """Guards against rounds of 0.7 s, as 40 starts on 800 workers took."""
    scored = []
    score = _placement.score
    monkeypatch.setattr(
        _placement, 'score', lambda *args: scored.append(1) or score(*args)
    )
    fleet = _serving_fleet(own_load=0.65, workers=100)
    scored.clear()
    for number in range(10):
        fleet.submit(f'fill{number}', _fleet.REBUILD)
    began_at = fleet.now
    while not fleet.state.jobs['fill9'].started:
        assert fleet.now - began_at < LIMIT_S
        fleet.step(STEP_S)
    assert len(scored) <= 10 * 64  # of 100 workers


@pytest.mark.parametrize(
    ('batch_cpu', 'avoided'),
    [(15_500, False), (1000, True)],
    ids=['no idle processors', 'idle processors'],
)
def test_starved_best_effort_runs_do_not_show_a_faulty_worker(
    batch_cpu, avoided
):
    """Guards against a sound worker that is avoided, as fills wait there."""
    fleet = _fleet.Fleet(workers=1)
    fleet.submit('fill', dataclasses.replace(_fleet.REBUILD, task_count=2))
    fleet.step()
    fleet.submit('batch', dataclasses.replace(BATCH, cpu_millis=batch_cpu))
    fleet.step()
    fleet.step()
    view = fleet.state.workers['a0']
    fleet.list_all = lambda: view.record_list(int(fleet.now * 1000), fleet.now)
    (batch,) = fleet.state.jobs['batch'].attempts()
    for _ in range(18):  # 9 s without progress of the fills
        batch.moved_at = fleet.now
        fleet.step()
    assert bool(view.avoid_until) is avoided


@pytest.mark.parametrize(
    ('cpu_millis', 'moves'), [(12_000, False), (4000, True)]
)
def test_run_leaves_a_slow_worker_only_for_room(cpu_millis, moves):
    """Guards against a run that is stopped and starts on the slow worker.

    Two of three workers run at full speed; a third at 28% of it.
    """
    fleet = _fleet.Fleet(workers=3)
    step = dataclasses.replace(
        BATCH, cpu_millis=12_000, task_count=2, max_per_worker=1
    )
    fleet.submit('fast', step)
    fleet.step()
    fleet.submit('slow', dataclasses.replace(BATCH, cpu_millis=cpu_millis))
    fleet.place()
    (slow,) = fleet.state.jobs['slow'].attempts()
    if moves:  # on the free worker, as the others are busier
        assert slow.node not in {
            a.node for a in fleet.state.jobs['fast'].attempts()
        }
    for _ in range(30):
        slow.order_sent_at += 0.36
        fleet.step()
    assert slow.stop_reason == ('the worker is slow' if moves else '')


def test_bound_counts_from_the_time_when_the_service_has_room():
    """Guards against many starts at a low pace as soon as a burst ends."""
    fleet = _serving_fleet(own_load=0.65)
    batch = dataclasses.replace(
        BATCH, task_count=28, cpu_millis=100, estimate_s=3.0
    )
    fleet.submit('batch', batch)
    fleet.step(STEP_S)
    fleet.submit('fill', _fleet.REBUILD)
    fill, burst = fleet.state.jobs['fill'], fleet.state.jobs['batch']
    while burst.open:
        assert not fill.started
        fleet.step(STEP_S)
    assert 1.0 < _seconds_to_first_run(fleet) < LIMIT_S - 1.0
