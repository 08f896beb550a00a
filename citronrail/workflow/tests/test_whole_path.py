"""Guards the path of a job from its caller to its last end."""

import pytest
import trio
import trio.testing

from citronrail.model import workflows
from citronrail import workflow
from citronrail.workflow.tests import _world
from standins import task_worker

JOB = '00000000000000a1'


@pytest.fixture
async def world():
    return _world.World()


async def run(world, body):
    """Run a test's body beside a running world."""
    async with trio.open_nursery() as nursery:
        await world.start(nursery)
        await body()
        nursery.cancel_scope.cancel()
    assert world.history.violations == []


async def test_steps_run_in_order(world, autojump_clock):
    """Guards ``after``: a step must not begin before all it waits for."""

    async def body():
        await world.submit(JOB, _world.chain(3, 2, 4))
        await world.until_state(JOB, 'completed')

    await run(world, body)
    starts = {
        step: [
            at
            for name, record in world.history.tasks.items()
            if name.split('.')[2] == str(step)
            for at in record.starts
        ]
        for step in range(3)
    }
    ends = {
        step: max(
            record.done_at
            for name, record in world.history.tasks.items()
            if name.split('.')[2] == str(step)
        )
        for step in range(2)
    }
    assert [len(found) for found in starts.values()] == [3, 2, 4]
    assert min(starts[1]) > ends[0]
    assert min(starts[2]) > ends[1]


async def test_repeated_submission_is_one_job(world, autojump_clock):
    """Guards against a job that runs twice because its caller repeated it."""

    async def body():
        for _ in range(3):
            await world.submit(JOB, _world.one_step(2))
        await world.until_state(JOB, 'completed')
        await world.submit(JOB, _world.one_step(2))
        await trio.sleep(5)

    await run(world, body)
    assert [len(r.starts) for r in world.history.tasks.values()] == [1, 1]


async def test_cancel_stops_running_tasks_and_starts_none(
    world, autojump_clock
):
    """Guards against work for a job that its caller has cancelled."""
    world.default_plan = task_worker.TaskPlan(work_s=30.0)

    async def body():
        await world.submit(JOB, _world.one_step(4))
        await world.until(lambda: len(world.history.tasks) == 4)
        entry = next(iter(world.entries.values()))
        reply = await entry.service.cancel(JOB, trio.current_time() + 2)
        assert reply.verdict is workflow.Verdict.DONE
        seconds = await world.until(
            lambda: (
                not any(
                    record.active for record in world.history.tasks.values()
                )
            )
        )
        assert seconds < 3.0
        await world.until_state(JOB, 'cancelled')
        await trio.sleep(5)

    await run(world, body)
    assert all(len(r.starts) == 1 for r in world.history.tasks.values())


async def test_unknown_job_is_absent(world, autojump_clock):
    """Guards callers against a state of a job that nobody handed in."""

    async def body():
        for entry in world.entries.values():
            deadline = trio.current_time() + 2
            reply = await entry.service.state(JOB, deadline)
            assert reply.verdict is workflow.Verdict.ABSENT
            reply = await entry.service.cancel(JOB, deadline)
            assert reply.verdict is workflow.Verdict.ABSENT

    await run(world, body)


async def test_task_that_always_fails_ends_the_job(world, autojump_clock):
    """Guards the number of attempts: not one more than allowed."""
    world.default_plan = task_worker.TaskPlan(work_s=0.5, fails=99)

    async def body():
        await world.submit(JOB, _world.one_step(1))
        await world.until_state(JOB, 'failed')
        await trio.sleep(5)

    await run(world, body)
    (record,) = world.history.tasks.values()
    assert len(record.starts) == _world.QUEUE.max_attempts


async def test_long_running_task_is_started_again(world, autojump_clock):
    """Guards tasks that last: however they end, they begin again."""
    world.default_plan = task_worker.TaskPlan(lasts=True)

    async def body():
        spec = _world.one_step(1, long_running=True)
        await world.submit(JOB, spec)
        await world.until(lambda: world.history.tasks)
        (record,) = world.history.tasks.values()
        await world.until(lambda: record.active)
        ((worker_id, _),) = record.active
        for worker in world.workers:
            if worker.worker_id == worker_id:
                worker.simulate_restart()
        seconds = await world.until(lambda: record.active)
        assert seconds < 3.0

    await run(world, body)


async def test_gang_starts_together_or_not_at_all(world, autojump_clock):
    """Guards gangs: all members run at once, with one number."""

    async def body():
        spec = _world.one_step(6, gang=True, cpu_millis=2000)
        await world.submit(JOB, spec)
        await world.until_state(JOB, 'completed')

    await run(world, body)
    starts = [r.starts[0] for r in world.history.tasks.values()]
    assert len(starts) == 6
    assert max(starts) - min(starts) < 0.5


async def test_occurrences_run_when_they_are_due(world, autojump_clock):
    """Guards schedules: each occurrence once, none before its time."""
    from citronrail.workflow import _term

    now = 1_000_000.0
    world_began = trio.current_time()

    def unix_clock():
        return now + trio.current_time() - world_began

    async def body():
        term = world.leader.election.term
        assert isinstance(term, _term.Term)
        term._unix_clock = unix_clock
        began_at = unix_clock()
        spec = workflows.WorkflowSpec(
            'argument',
            (workflows.StepSpec(1, cpu_millis=100, memory_mb=100),),
            occurrences=3,
            first_due_at=began_at + 2,
            period_s=3,
        )
        offset = trio.current_time() - began_at
        await world.submit(JOB, spec)
        await world.until_state(JOB, 'completed')
        for number in range(3):
            record = world.history.tasks[f'{JOB}.{number}.0.0']
            due_at = began_at + 2 + 3 * number + offset
            assert len(record.starts) == 1
            assert due_at <= record.starts[0] < due_at + 1

    await run(world, body)
