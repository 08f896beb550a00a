"""End-to-end tests of jobs, from submission to the end of the last run."""

import pytest
import trio
import trio.testing

from citronrail.model import workflows
from citronrail import workflow
from citronrail.workflow.tests import _cluster
from standins import task_worker

JOB = '00000000000000a1'


@pytest.fixture
async def cluster():
    return _cluster.SimulatedCluster()


async def run(cluster, body):
    """Run the body of a test in a running cluster."""
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery)
        await body()
        nursery.cancel_scope.cancel()
    assert cluster.history.violations == []


async def test_steps_run_in_order(cluster, autojump_clock):
    """A step must not start before all steps in its ``after`` are done."""

    async def body():
        await cluster.submit(JOB, _cluster.chain(3, 2, 4))
        await cluster.until_state(JOB, 'completed')

    await run(cluster, body)
    starts = {
        step: [
            at
            for name, record in cluster.history.tasks.items()
            if name.split('.')[2] == str(step)
            for at in record.starts
        ]
        for step in range(3)
    }
    ends = {
        step: max(
            record.done_at
            for name, record in cluster.history.tasks.items()
            if name.split('.')[2] == str(step)
        )
        for step in range(2)
    }
    assert [len(found) for found in starts.values()] == [3, 2, 4]
    assert min(starts[1]) > ends[0]
    assert min(starts[2]) > ends[1]


async def test_repeated_submission_is_one_job(cluster, autojump_clock):
    """A job that is submitted repeatedly must run once."""

    async def body():
        for _ in range(3):
            await cluster.submit(JOB, _cluster.one_step(2))
        await cluster.until_state(JOB, 'completed')
        await cluster.submit(JOB, _cluster.one_step(2))
        await trio.sleep(5)

    await run(cluster, body)
    assert [len(r.starts) for r in cluster.history.tasks.values()] == [1, 1]


async def test_cancel_stops_running_tasks_and_starts_none(
    cluster, autojump_clock
):
    """No task of a cancelled job may run on or start."""
    cluster.default_plan = task_worker.TaskPlan(work_s=30.0)

    async def body():
        await cluster.submit(JOB, _cluster.one_step(4))
        await cluster.until(lambda: len(cluster.history.tasks) == 4)
        entry = next(iter(cluster.entries.values()))
        reply = await entry.service.cancel(JOB, trio.current_time() + 2)
        assert reply.verdict is workflow.Verdict.DONE
        seconds = await cluster.until(
            lambda: (
                not any(
                    record.active for record in cluster.history.tasks.values()
                )
            )
        )
        assert seconds < 3.0
        await cluster.until_state(JOB, 'cancelled')
        await trio.sleep(5)

    await run(cluster, body)
    assert all(len(r.starts) == 1 for r in cluster.history.tasks.values())


async def test_unknown_job_is_absent(cluster, autojump_clock):
    """A job that was never submitted has no state and can't be cancelled."""

    async def body():
        for entry in cluster.entries.values():
            deadline = trio.current_time() + 2
            reply = await entry.service.state(JOB, deadline)
            assert reply.verdict is workflow.Verdict.ABSENT
            reply = await entry.service.cancel(JOB, deadline)
            assert reply.verdict is workflow.Verdict.ABSENT

    await run(cluster, body)


async def test_task_that_always_fails_ends_the_job(cluster, autojump_clock):
    """The number of attempts must not exceed the limit of the queue."""
    cluster.default_plan = task_worker.TaskPlan(work_s=0.5, fails=99)

    async def body():
        await cluster.submit(JOB, _cluster.one_step(1))
        await cluster.until_state(JOB, 'failed')
        await trio.sleep(5)

    await run(cluster, body)
    (record,) = cluster.history.tasks.values()
    assert len(record.starts) == _cluster.QUEUE.max_attempts


async def test_long_running_task_is_started_again(cluster, autojump_clock):
    """Long-running tasks are restarted however they end."""
    cluster.default_plan = task_worker.TaskPlan(lasts=True)

    async def body():
        spec = _cluster.one_step(1, long_running=True)
        await cluster.submit(JOB, spec)
        await cluster.until(lambda: cluster.history.tasks)
        (record,) = cluster.history.tasks.values()
        await cluster.until(lambda: record.active)
        ((worker_id, _),) = record.active
        for worker in cluster.workers:
            if worker.worker_id == worker_id:
                worker.simulate_restart()
        seconds = await cluster.until(lambda: record.active)
        assert seconds < 3.0

    await run(cluster, body)


async def test_gang_starts_together_or_not_at_all(cluster, autojump_clock):
    """All members of a gang start at the same time."""

    async def body():
        spec = _cluster.one_step(6, gang=True, cpu_millis=2000)
        await cluster.submit(JOB, spec)
        await cluster.until_state(JOB, 'completed')

    await run(cluster, body)
    starts = [r.starts[0] for r in cluster.history.tasks.values()]
    assert len(starts) == 6
    assert max(starts) - min(starts) < 0.5


async def test_occurrences_run_when_they_are_due(cluster, autojump_clock):
    """Each occurrence of a schedule runs once, and not before it is due."""
    from citronrail.workflow import _term

    now = 1_000_000.0
    cluster_started_at = trio.current_time()

    def unix_clock():
        return now + trio.current_time() - cluster_started_at

    async def body():
        term = cluster.leader.election.term
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
        await cluster.submit(JOB, spec)
        await cluster.until_state(JOB, 'completed')
        for number in range(3):
            record = cluster.history.tasks[f'{JOB}.{number}.0.0']
            due_at = began_at + 2 + 3 * number + offset
            assert len(record.starts) == 1
            assert due_at <= record.starts[0] < due_at + 1

    await run(cluster, body)


@pytest.mark.parametrize(
    'fields',
    [{}, {'long_running': True}, {'gang': True, 'count': 2}],
    ids=['batch', 'lasts', 'gang'],
)
async def test_job_runs_within_3_s_while_all_workers_are_avoided(
    cluster, autojump_clock, fields
):
    """Guards against LOST: nothing runs for 3 s though there is room.

    From the submission to the first run, with commit, order and start.
    """
    began_at = []

    async def body():
        term = cluster.leader.election.term
        workers = term.scheduler_state.workers
        await cluster.until(lambda: len(workers) == 3)
        for view in workers.values():
            view.avoid_until = trio.current_time() + 60.0
        await cluster.submit(JOB, _cluster.one_step(**fields))
        accepted_at = trio.current_time()
        await cluster.until(
            lambda: any(
                record.starts for record in cluster.history.tasks.values()
            ),
            limit_s=10.0,
        )
        began_at.append(trio.current_time() - accepted_at)

    await run(cluster, body)
    assert began_at[0] < 3.0
