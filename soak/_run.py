"""One run of the soak test."""

import dataclasses
import pathlib
import random

import trio

from soak import _callers
from soak import _deployment
from soak import _faults
from soak import _other_writer
from standins import task_worker

START_TIMEOUT_S = 20.0  # for the first job to be accepted
CRASHING_TASK_PROBABILITY = 0.004  # one crashes all workers that start it
FINISH_TIMEOUT_S = 60.0  # for all accepted jobs to end after the last fault


@dataclasses.dataclass(frozen=True)
class Result:
    """The outcome of a run."""

    seed: int
    submitted: int
    accepted: int
    starts: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


async def run(seed: int, seconds: float, directory: pathlib.Path) -> Result:
    """Run the deployment under faults and check its invariants.

    :param seed: seed of all random choices; timing still varies between runs.
    :param seconds: time for which faults are injected.
    :param directory: empty directory for settings and logs.
    """
    rng = random.Random(seed)

    def make_plan(task: str) -> task_worker.TaskPlan:
        draw = random.Random(f'{seed} {task}')
        return task_worker.TaskPlan(
            work_s=draw.uniform(0.1, 1.5),
            fails=int(draw.random() < 0.05),
            crashes=draw.random() < CRASHING_TASK_PROBABILITY,
        )

    system = _deployment.Deployment(directory, rng, make_plan)
    callers = _callers.Callers(system, random.Random(f'{seed} callers'))
    injector = _faults.FaultInjector(system, random.Random(f'{seed} faults'))
    writer = _other_writer.OtherWriter(
        system, random.Random(f'{seed} other writer')
    )
    unfinished: list[str] = []
    try:
        async with trio.open_nursery() as nursery:
            await system.start(nursery)
            await _wait_until_served(callers)
            async with trio.open_nursery() as load_nursery:
                load_nursery.start_soon(callers.run, seconds)
                load_nursery.start_soon(injector.run, seconds)
                load_nursery.start_soon(writer.run, seconds)
            injector.clear_faults()
            unfinished = await _wait_until_finished(callers)
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
        tuple(injector.injected),
        (*callers.violations, *callers.check_history(), *unfinished),
    )


async def _wait_until_served(callers: _callers.Callers) -> None:
    with trio.fail_after(START_TIMEOUT_S):
        while not any(job.accepted for job in callers.jobs.values()):
            await callers.run(0.3)


async def _wait_until_finished(callers: _callers.Callers) -> list[str]:
    with trio.move_on_after(FINISH_TIMEOUT_S):
        while callers.unfinished_jobs():
            for job_id in callers.unfinished_jobs():
                await callers.check_state(job_id)
            await trio.sleep(0.5)
    return [
        f'{job_id} is {callers.jobs[job_id].state or "unknown"} '
        f'{FINISH_TIMEOUT_S:.0f} s after the last fault'
        for job_id in callers.unfinished_jobs()
    ]
