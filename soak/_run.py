"""One run of the soak."""

import dataclasses
import pathlib
import random

import trio

from soak import _callers
from soak import _deployment
from soak import _faults
from standins import task_worker

START_S = 20.0  # until the first entry answers
FINISH_S = 60.0  # for all accepted jobs once the faults have ended


@dataclasses.dataclass(frozen=True)
class Result:
    """What a run has shown."""

    seed: int
    submitted: int
    accepted: int
    starts: int
    faults: tuple[str, ...]
    broken: tuple[str, ...]


async def run(seed: int, seconds: float, folder: pathlib.Path) -> Result:
    """Run the programs under faults and check what they promise.

    :param seed: seed of all draws; timing still varies between runs.
    :param seconds: for how long faults come.
    :param folder: an empty folder for settings and logs.
    """
    rng = random.Random(seed)

    def plan_of(task: str) -> task_worker.TaskPlan:
        draw = random.Random(f'{seed} {task}')
        return task_worker.TaskPlan(
            work_s=draw.uniform(0.1, 1.5), fails=int(draw.random() < 0.05)
        )

    system = _deployment.Deployment(folder, rng, plan_of)
    callers = _callers.Callers(system, random.Random(f'{seed} callers'))
    faults = _faults.Faults(system, random.Random(f'{seed} faults'))
    late: list[str] = []
    try:
        async with trio.open_nursery() as nursery:
            await system.start(nursery)
            await _until_served(callers)
            async with trio.open_nursery() as load:
                load.start_soon(callers.run, seconds)
                load.start_soon(faults.run, seconds)
            faults.heal()
            late = await _until_finished(callers)
            nursery.cancel_scope.cancel()
    finally:
        system.close()
        with trio.CancelScope(shield=True):
            await callers.aclose()
    return Result(
        seed,
        len(callers.jobs),
        sum(job.accepted for job in callers.jobs.values()),
        sum(len(r.starts) for r in system.history.tasks.values()),
        tuple(faults.told),
        (*callers.broken, *callers.check_history(), *late),
    )


async def _until_served(callers: _callers.Callers) -> None:
    with trio.fail_after(START_S):
        while not any(job.accepted for job in callers.jobs.values()):
            await callers.run(0.3)


async def _until_finished(callers: _callers.Callers) -> list[str]:
    with trio.move_on_after(FINISH_S):
        while callers.open_jobs():
            for job_id in callers.open_jobs():
                await callers.ask(job_id)
            await trio.sleep(0.5)
    return [
        f'{job_id} is {callers.jobs[job_id].state or "unknown"} '
        f'{FINISH_S:.0f} s after the last fault'
        for job_id in callers.open_jobs()
    ]
