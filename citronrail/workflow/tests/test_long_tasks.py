"""Tests of telling a long task from a slow worker."""

import pytest

from citronrail.model import load_settings
from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _documents as documents
from citronrail.workflow import _health
from citronrail.workflow import _interference
from citronrail.workflow import _placement
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _run_supervisor
from citronrail.workflow import _scheduler_state
from citronrail.workflow.tests import _cluster

TOKEN = 5
LIST_S = 0.5
WORK_S = 8.0  # of a task that is declared to take 1 s


@pytest.mark.parametrize(
    ('other_speeds', 'moved_before', 'expected'),
    [
        ((), False, False),
        ((1.0, 0.9), False, True),
        ((0.1, 0.2, 1.0), False, False),
        ((0.1,), True, True),
    ],
    ids=['alone', 'normal neighbours', 'slow neighbours', 'moved before'],
)
def test_is_long_task(other_speeds, moved_before, expected):
    """Guards against restarts of long tasks and runs left on slow workers."""
    assert _health.is_long_task(other_speeds, moved_before) is expected


@pytest.mark.parametrize('estimate_s', [2.0, 4.4, 60.0, 300.0, 3000.0])
def test_sound_run_is_never_measured_as_slow(estimate_s):
    """Guards against runs that are restarted as their progress is rounded.

    One percent of 300 s takes 3 s, so that each new run seemed to stand still.
    """
    speeds = []
    for tenths in range(1, int(estimate_s * 10)):
        now = tenths / 10
        run = _health.RunProgress(
            percent=int(100 * now / estimate_s),
            moved_at=now,
            listed_at=0.001,
            steady_since=0.0,
            steady_percent=0,
            estimate_s=estimate_s,
            pace=100,
            fills=False,
            long_running=False,
        )
        speeds.append(_health.measured_speed(run, now))
    measured = [speed for speed in speeds if speed is not None]
    assert measured
    assert min(measured) > _placement.SLOW_SPEED_RATIO


def _run_long_task(
    load, work_s=WORK_S, estimate_s=1.0, limit_s=60.0
) -> tuple[int, bool]:
    """Replay a task that takes eight times as long as declared.

    :param load: parts for hard load that are on.
    :param work_s: work of the task in seconds.
    :param estimate_s: what is declared of it, 0 for nothing.
    :param limit_s: end of the replay in seconds.
    :returns: number of runs, and whether the task was done.
    """
    now = 100.0
    scheduler_state = _scheduler_state.SchedulerState(lambda _: _cluster.QUEUE)
    factors = _interference.PairFactors()
    supervisor = _run_supervisor.RunSupervisor(
        scheduler_state, factors, load=load
    )
    reports = _reports.Reports(scheduler_state, workflows.Bounds(), TOKEN)
    lives = [
        messages.WorkerLife(f'w{n}', 1, 'pool', 'dc', 'ready', 16000, 64000, 0)
        for n in range(3)
    ]
    record = documents.JobRecord(
        'job',
        'queue',
        'pool',
        0.0,
        _cluster.one_step(1, estimate_s=estimate_s),
    )
    scheduler_state.add_job(record, now, 0.0)
    policy = _round.Policy(lambda _: _cluster.QUEUE, frozenset(), factors)
    task = scheduler_state.jobs['job'].stages[0].tasks[0]
    began_at, ends = now, {life.worker_id: 0 for life in lives}
    while now < 100.0 + limit_s and not task.done:
        now += LIST_S
        for number, life in enumerate(lives):
            running, ended = (), ()
            attempt = task.attempts[0] if task.attempts else None
            if attempt is not None and attempt.worker_id == life.worker_id:
                percent = int(100 * (now - began_at) / work_s)
                how = 'stopped' if attempt.stop_reason else 'done'
                if attempt.stop_reason or percent >= 100:
                    ends[life.worker_id] += 1
                    end_number = ends[life.worker_id]
                    ended = (
                        messages.EndRow(
                            end_number, task.name, attempt.number, how, ''
                        ),
                    )
                else:
                    running = (
                        messages.RunRow(
                            task.name, attempt.number, '', percent, 100.0
                        ),
                    )
            report = messages.WorkerReport(
                TOKEN, life, int(now * 1000), running, ended
            )
            reports.take(f'a{number}', report, now, 0.0)
        supervisor.run(now)
        for attempt in _round.place(scheduler_state, policy, now, 0.0):
            attempt.ordered = True
            attempt.order_sent_at = began_at = now
    return task.last_run, task.done


def test_long_task_is_moved_at_most_once():
    """Guards against a task that never ends, as each move restarts it."""
    runs, done = _run_long_task(
        load_settings.LoadSettings(detect_long_tasks=True)
    )
    assert done
    assert runs <= 2


@pytest.mark.parametrize('estimate_s', [0.0, 2.0])
def test_task_that_moves_slowly_ends(estimate_s):
    """Guards against a task that never ends, as each run counts as stuck.

    One percent of its work takes longer than a run may stand still.
    """
    runs, done = _run_long_task(
        load_settings.LoadSettings(detect_long_tasks=True),
        work_s=600.0,
        estimate_s=estimate_s,
        limit_s=900.0,
    )
    assert done
    assert runs <= 4
