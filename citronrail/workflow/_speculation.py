"""Second runs of tasks whose first run may end too late."""

from citronrail.workflow import _assignment
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _placement
from citronrail.workflow import _scheduler_state

# A speculative run starts if the worker has sent no list for
# SPECULATE_SILENT_S, or if the run has exceeded its estimate by the ratio
# plus a constant for short tasks and is below SPECULATE_BELOW_PERCENT. Lists
# of an agent that waits for a late confirmation are 1.5 s apart; with that
# limit each task of a busy scheduler was started twice.
SPECULATE_SILENT_S = 2.0
SPECULATE_AFTER_RATIO = 1.6
SPECULATE_EXTRA_S = 0.5
SPECULATE_BELOW_PERCENT = 60


def needs_run(
    scheduler_state: _scheduler_state.SchedulerState,
    task: _job.Task,
    now: float,
) -> bool:
    """Whether a second run of a task may end before the present one."""
    if not task.stage.spec.speculative or task.done or task.crashes:
        return False
    if len(task.attempts) != 1 or task.retry_at > now:
        return False
    attempt = task.attempts[0]
    view = scheduler_state.workers.get(attempt.node)
    if view is None or not attempt.order_sent_at:
        return False
    if not attempt.listed_at:
        return False  # its worker may be silent because of this very task
    estimate_s = task.stage.spec.estimate_s
    elapsed_s = now - attempt.order_sent_at
    silent = now - view.listed_at > SPECULATE_SILENT_S
    late = elapsed_s > SPECULATE_AFTER_RATIO * estimate_s + SPECULATE_EXTRA_S
    return silent or (late and attempt.percent < SPECULATE_BELOW_PERCENT)


def has_late_task(
    scheduler_state: _scheduler_state.SchedulerState,
    stage: _job.Stage,
    now: float,
) -> bool:
    """Whether a second run of any task of a stage may end earlier."""
    return stage.spec.speculative and any(
        needs_run(scheduler_state, task, now) for task in stage.known_tasks()
    )


def place(
    scheduler_state: _scheduler_state.SchedulerState,
    stage: _job.Stage,
    candidates: list[_placement.WorkerCapacity],
    factors: _interference.PairFactors,
    now: float,
) -> list[_job.Attempt]:
    """Assign speculative runs for late tasks, if the step allows them."""
    placed: list[_job.Attempt] = []
    if not stage.spec.speculative:
        return placed
    name = stage.name
    for task in stage.known_tasks():
        if not needs_run(scheduler_state, task, now):
            continue
        others = [r for r in candidates if r.node != task.attempts[0].node]
        candidate = _placement.choose_worker(stage.spec, name, others, factors)
        if candidate is None:
            break
        candidate.reserve(stage.spec, name)
        placed.append(
            _assignment.assign(
                scheduler_state, task, candidate, task.last_run + 1
            )
        )
    return placed
