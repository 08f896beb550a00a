"""Tests of the limit of best-effort runs beside serving tasks."""

import dataclasses

import pytest

from citronrail.workflow import _interference
from citronrail.workflow import _placement
from citronrail.workflow.overload import _best_effort_limit

LIST_S = 0.5  # time between two lists of a worker
CPU_SHARE = 1.8 / 16  # of a task of a rebuild on a small worker
FACTOR = 1.2  # a harmful pair of images
BASELINE_RATIO = 0.2


def _serving(own_load):
    return _interference.ServingTask(
        'shop', own_load, BASELINE_RATIO, own_load
    )


def _run(name, image='heavy', pace=100, loss_s=1.0, stoppable=True):
    task = _interference.BestEffortTask(image, CPU_SHARE, pace, pace)
    return _best_effort_limit.Run((name, 1), task, loss_s, stoppable)


@pytest.fixture(scope='module')
def factors():
    """Factors of a harmful and of a harmless image."""
    learned = _interference.PairFactors()
    for number in range(60):
        now = 0.5 * number
        learned.learn('s', _serving(0.4), (), now)
        for image, factor in (('heavy', FACTOR), ('light', 0.0)):
            raised = _serving(0.4 + factor * CPU_SHARE)
            item = _interference.BestEffortTask(image, CPU_SHARE)
            learned.learn('s', raised, (item,), now)
    return learned


@pytest.mark.parametrize(
    ('own_load', 'runs', 'expected'),
    [
        (0.2, [_run('a'), _run('b')], None),
        (0.5, [_run('a', loss_s=2.0), _run('b'), _run('c')], 'b'),
        (0.5, [_run('a'), _run('b', stoppable=False), _run('c')], 'a'),
        (0.58, [_run('a', 'light', loss_s=0.1), _run('b'), _run('c')], 'b'),
        (0.58, [_run('a')], None),
        (0.67, [_run('a')], 'a'),
        (0.8, [_run('a', stoppable=False)], None),
        (0.8, [_run('a', 'light')], None),
        (0.5, [], None),
    ],
    ids=[
        'all run at full pace',
        'least loss',
        'only runs that may be stopped',
        'harmless runs stay',
        'one slow run still works',
        'hardly progresses',
        'may not be stopped',
        'harmless on a loaded worker',
        'no runs',
    ],
)
def test_run_to_stop(own_load, runs, expected, factors):
    """Guards against runs that hold memory and add no work."""
    found = _best_effort_limit.run_to_stop(
        (_serving(own_load),), tuple(runs), factors
    )
    assert (found and found[0]) == expected


def test_run_held_at_zero_is_stopped_though_the_model_allows_it(factors):
    """Guards against memory held at pace 0 while the factors are wrong."""
    runs = (_run('a', 'light', pace=0, loss_s=2.0), _run('b', 'light', pace=0))
    held = {run.key for run in runs}
    assert _best_effort_limit.run_to_stop(
        (_serving(0.4),), runs, factors, held
    ) == ('b', 1)


def test_stops_wait_for_a_lasting_excess_and_are_spread_in_time(factors):
    """Guards against stops for one noisy list, and against many at once."""
    state = _best_effort_limit.LimitState()
    runs = [_run(name) for name in 'abcde']
    stopped_at = []
    for number in range(16):
        now = 100.0 + LIST_S * number
        # After the first list, the load is low for a while.
        own_load = 0.0 if 0 < number < 5 else 0.5
        decision = _best_effort_limit.decide(
            state, (_serving(own_load),), tuple(runs), factors, now
        )
        state = decision.state
        if decision.stop:
            stopped_at.append(now)
            runs = [run for run in runs if run.key != decision.stop]
    assert stopped_at[0] == 103.5
    assert all(
        later - earlier >= _best_effort_limit.STOP_INTERVAL_S
        for earlier, later in zip(stopped_at, stopped_at[1:])
    )
    assert len(runs) == 2  # one at full pace, and one in what is left


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        (50, 54, False),
        (50, 55, True),
        (50, 45, True),
        (3, 0, True),
        (97, 100, True),
        (0, 0, False),
        (100, 100, False),
    ],
)
def test_small_changes_of_a_pace_are_not_sent(old, new, expected):
    """Guards against pace orders that follow the noise of the tails."""
    assert _best_effort_limit.worth_sending(old, new) is expected


@pytest.mark.parametrize(
    ('utilisation', 'listed_at', 'expected'),
    [
        (0.4, [90.0], True),
        (0.79, [90.0], False),
        (0.4, [90.0, 99.5], False),
        (0.4, [0.0], False),
        (0.4, [], True),
    ],
    ids=['calm', 'near target', 'just started', 'not listed', 'none'],
)
def test_best_effort_task_joins(utilisation, listed_at, expected):
    """Guards against best-effort starts beside tasks near their target."""
    serving = (_serving(utilisation),)
    assert _best_effort_limit.may_join(serving, listed_at, 100.0) is expected


# Replay


@dataclasses.dataclass
class _Replayed:
    """A run in the replay; ``worker`` is None while it waits."""

    worker: int | None
    resumes_at: float = 0.0
    pace: int = 100


@dataclasses.dataclass
class _Outcome:
    work: float = 0.0  # in workers' processors times seconds
    over_target_s: float = 0.0  # of all loaded workers
    throttled_s: float = 0.0


def _joins(serving, tasks, learned, now) -> bool:
    """Whether placement starts one more harmful run beside the others."""
    task = _interference.BestEffortTask('heavy', CPU_SHARE)
    pace = _interference.admissible_pace(serving, tasks, task, learned)
    return (
        pace >= _placement.PREFERRED_MIN_PACE_PERCENT
        and _best_effort_limit.may_join(serving, [90.0], now)
    )


def _replay(known, limited, spare_runs) -> _Outcome:
    """Replay 40 s of four loaded workers with six harmful runs each.

    The load of their serving tasks jumps every 5 s. The tails are measured
    every 0.5 s, and paces apply until the next list.

    :param known: factors that were learned before.
    :param limited: whether runs are stopped as well as paced.
    :param spare_runs: harmful runs that a worker without serving tasks takes.
    """
    learned = _interference.PairFactors()
    learned.restore(known.snapshot(10_000), 100.0)
    for worker in range(4):
        learned.learn(str(worker), _serving(0.5), (), 100.0)
    runs = [_Replayed(number // 6) for number in range(24)]
    states = dict.fromkeys(range(4), _best_effort_limit.LimitState())
    outcome = _Outcome()
    for turn in range(80):
        now = 100.0 + LIST_S * turn
        own_load = (0.5, 0.56, 0.46, 0.6)[turn // 10 % 4]
        for run in runs:
            elsewhere = sum(r.worker == 4 for r in runs)
            ready = run.worker is None and run.resumes_at <= now
            if ready and elsewhere < spare_runs:
                run.worker, run.pace = 4, 100
        outcome.work += sum(
            CPU_SHARE * LIST_S * run.pace / 100
            for run in runs
            if run.worker is not None
        )
        for worker in range(4):
            here = [run for run in runs if run.worker == worker]
            tasks = tuple(
                _interference.BestEffortTask(
                    'heavy', CPU_SHARE, run.pace, run.pace
                )
                for run in here
            )
            true = own_load + sum(FACTOR * t.current_cpu_share for t in tasks)
            tail = BASELINE_RATIO / (1.0 - min(0.99, true))
            outcome.over_target_s += LIST_S * (tail > 1.0)
            outcome.throttled_s += LIST_S * any(r.pace < 95 for r in here)
            measured = learned.observe_tail('shop', tail)
            group = str(worker)
            learned.learn(group, measured, tasks, now)
            serving = (
                dataclasses.replace(
                    measured, own_load=learned.own_load(group)
                ),
            )
            waiting = [
                run
                for run in runs
                if run.worker is None and run.resumes_at <= now
            ]
            if waiting and _joins(serving, tasks, learned, now):
                waiting[0].worker, waiting[0].pace = worker, 100
            for run, pace in zip(
                here, _interference.paces(serving, tasks, learned)
            ):
                run.pace = pace
            if not limited:
                continue
            decision = _best_effort_limit.decide(
                states[worker],
                serving,
                tuple(
                    _best_effort_limit.Run((str(n), 1), task, 1.0, True)
                    for n, task in enumerate(tasks)
                ),
                learned,
                now,
            )
            states[worker] = decision.state
            if decision.stop:
                stopped = here[int(decision.stop[0])]
                stopped.worker, stopped.resumes_at = None, now + 1.0
    return outcome


@pytest.mark.parametrize('spare_runs', [0, 8], ids=['waiting', 'elsewhere'])
def test_limit_does_the_work_with_less_throttling(spare_runs, factors):
    """Guards against a limit that costs work or harms serving tasks more.

    Load pattern: workers full of best-effort tasks that the model paces to a
    third beside serving tasks.
    """
    paced = _replay(factors, False, spare_runs)
    limited = _replay(factors, True, spare_runs)
    assert limited.over_target_s <= paced.over_target_s
    assert limited.throttled_s < paced.throttled_s
    # Without room elsewhere, headroom that returns later is not used fully.
    assert limited.work > (1.5 if spare_runs else 0.8) * paced.work
