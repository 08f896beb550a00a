"""Which runs are stopped so that waiting tasks of priority 0 can start.

Answers bursts of quick checks, and serving tasks that restart, while tasks
of a lower priority hold the memory or the processors of all workers.
"""

import collections.abc
import dataclasses

from citronrail.model import workflows
from citronrail.workflow.overload import _stop_choice

# Above this sum of stop, checkpoint interval and restore, a preemption costs
# more than the wait that it saves.
MAX_RESTART_S = 2.5
MAX_STOPS = 8  # over a service in STOPS_WINDOW_S
STOPS_WINDOW_S = 2.0
# Capacity that becomes free by itself in this time is waited for.
FREE_SOON_S = 0.5
MIN_RUN_S = 1.5  # a run is not preempted earlier
# Cost of a job that misses its objective because of the preemption; more than
# any restart, so that jobs with slack are preempted first.
MISSED_OBJECTIVE_LOSS_S = 5.0


@dataclasses.dataclass(frozen=True)
class Waiting:
    """A task that waits for capacity.

    :param task: its name.
    :param stage: name of its stage.
    :param step: its step.
    :param priority: priority of its queue.
    """

    task: str
    stage: str
    step: workflows.StepSpec
    priority: int


@dataclasses.dataclass(frozen=True)
class Worker:
    """A worker that may start tasks.

    :param node: its agent.
    :param free: capacity that no run holds.
    :param freeing: capacity of runs that are being stopped or end soon.
    :param labels: its labels.
    :param tasks_per_step: number of runs of each stage.
    :param candidates: runs that may be stopped.
    """

    node: str
    free: _stop_choice.Demand
    freeing: _stop_choice.Demand
    labels: frozenset[str]
    tasks_per_step: collections.abc.Mapping[str, int]
    candidates: tuple[_stop_choice.Candidate, ...]


@dataclasses.dataclass(frozen=True)
class Preemption:
    """A run to stop, and the task for which it is stopped."""

    node: str
    run: _stop_choice.Candidate
    waiting: Waiting


@dataclasses.dataclass
class _Room:
    """What is left of a worker after the choices made so far."""

    worker: Worker
    available: _stop_choice.Demand  # free now or soon
    candidates: list[_stop_choice.Candidate]
    tasks_per_step: dict[str, int]

    def take(self, waiting: Waiting) -> None:
        """Reserve the room for a task."""
        self.available = self.available.plus(_demand(waiting.step), -1)
        self.tasks_per_step[waiting.stage] = (
            self.tasks_per_step.get(waiting.stage, 0) + 1
        )


def is_affordable(bounds: workflows.Bounds) -> bool:
    """Whether a deployment's restarts are short enough for preemption.

    :param bounds: limits of the deployment.
    """
    restart_s = bounds.stop_s + bounds.checkpoint_s + bounds.restore_s
    return restart_s <= MAX_RESTART_S


def choose(
    waiting: collections.abc.Iterable[Waiting],
    workers: collections.abc.Iterable[Worker],
    recent_stops: int,
) -> list[Preemption]:
    """Choose the runs to stop for waiting tasks.

    Room that is free or becomes free soon is given to the tasks in their
    order first. For the others, the worker is chosen on which the stopped
    runs of lower priority lose least.

    :param waiting: the tasks that found no room, in their order.
    :param workers: the usable workers of their service.
    :param recent_stops: preemptions in the last STOPS_WINDOW_S.
    """
    rooms = [
        _Room(
            worker,
            worker.free.plus(worker.freeing),
            sorted(worker.candidates, key=lambda c: (c.loss_s, c.key)),
            dict(worker.tasks_per_step),
        )
        for worker in workers
    ]
    stopped: dict[str, int] = {}
    found: list[Preemption] = []
    for item in waiting:
        possible = [room for room in rooms if _permits(room, item)]
        room = next((r for r in possible if not _missing(r, item)), None)
        if room is not None:
            room.take(item)
            continue
        budget = MAX_STOPS - recent_stops - len(found)
        options = [
            (sum(run.loss_s for run in runs), number, runs)
            for number, room in enumerate(possible)
            if (runs := _runs_to_stop(room, item, stopped))
            and len(runs) <= budget
        ]
        if not options:
            continue
        _, number, runs = min(options, key=lambda option: option[:2])
        room = possible[number]
        for run in runs:
            room.candidates.remove(run)
            room.available = room.available.plus(run.demand)
            stopped[run.stage] = stopped.get(run.stage, 0) + 1
            found.append(Preemption(room.worker.node, run, item))
        room.take(item)
    return found


def _demand(step: workflows.StepSpec) -> _stop_choice.Demand:
    return _stop_choice.Demand(
        0 if step.fills else step.cpu_millis, step.memory_mb, step.accelerators
    )


def _permits(room: _Room, waiting: Waiting) -> bool:
    """Whether a worker may run a task if it has the capacity."""
    step = waiting.step
    if step.required_label and step.required_label not in room.worker.labels:
        return False
    limit = step.max_per_worker
    return not limit or room.tasks_per_step.get(waiting.stage, 0) < limit


def _missing(room: _Room, waiting: Waiting) -> bool:
    return _demand(waiting.step).plus(room.available, -1).positive


def _runs_to_stop(
    room: _Room,
    waiting: Waiting,
    stopped: collections.abc.Mapping[str, int],
) -> list[_stop_choice.Candidate]:
    """Return the runs to stop for a task, none if they are not enough."""
    runs, enough = _stop_choice.choose(
        _demand(waiting.step).plus(room.available, -1),
        (c for c in room.candidates if c.priority > waiting.priority),
        stopped,
    )
    return runs if enough else []
