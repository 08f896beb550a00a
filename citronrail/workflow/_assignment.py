"""Assigns tasks to chosen workers."""

from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _placement
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _step_ranking

# Runs with an admissible pace of at least this start at full pace.
THROTTLED_START_BELOW_PERCENT = 90


def gang_choices(
    stage: _job.Stage,
    candidates: list[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
) -> list[tuple[_job.Task, _step_ranking.Choice]]:
    chosen = _step_ranking.choose_workers_for_gang(
        stage.spec, stage.name, candidates, stage.task_count, factors
    )
    full_pace = _interference.FULL_PACE_PERCENT
    return [
        (task, _step_ranking.Choice(candidate, full_pace))
        for candidate, task in zip(chosen, stage.tasks)
    ]


def align_gang(stage: _job.Stage) -> None:
    """Give all members the same last run and checkpoint."""
    last_run = max(task.last_run for task in stage.tasks)
    checkpoint = max(task.checkpoint for task in stage.tasks)
    for task in stage.tasks:
        task.last_run = last_run
        task.checkpoint = checkpoint


def assign_choice(
    scheduler_state: _scheduler_state.SchedulerState,
    task: _job.Task,
    choice: _step_ranking.Choice,
) -> _job.Attempt:
    attempt = assign(
        scheduler_state, task, choice.candidate, task.last_run + 1
    )
    if task.stage.spec.fills and choice.pace < THROTTLED_START_BELOW_PERCENT:
        attempt.pace = choice.pace
        attempt.pace_due = True
    return attempt


def assign(
    scheduler_state: _scheduler_state.SchedulerState,
    task: _job.Task,
    candidate: _placement.WorkerCapacity,
    run: int,
) -> _job.Attempt:
    view = scheduler_state.workers[candidate.node]
    attempt = _job.Attempt(
        task, run, view.node, view.worker_id, view.life.born_ms
    )
    attempt.from_start = not task.checkpoint
    task.last_run = run
    task.attempts.append(attempt)
    view.attempts[attempt.key] = attempt
    job = task.stage.job
    job.started = True
    scheduler_state.mark_changed(task)
    return attempt
