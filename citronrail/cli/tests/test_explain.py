"""Guards the explanation of a job's outcome from logs alone."""

import io

from loguru import logger
import pytest
import trio

from citronrail.cli import _exit_codes
from citronrail.cli import _explain
from citronrail.cli import _run
from citronrail import observability
from citronrail.workflow.tests import _cluster
from standins import task_worker

JOB = '00000000000000a1'


@pytest.fixture
def log():
    sink = io.StringIO()
    observability.set_up_logging('INFO', 'json', 'e1', sink)
    yield sink
    logger.remove()


def _explain_logs(log, requested_id=JOB):
    streams = _run.Streams(io.StringIO(), io.StringIO())
    code = _explain.explain(
        requested_id, [log.getvalue().splitlines()], streams
    )
    return code, streams.stdout.getvalue()


async def _run_world(body, **kwargs):
    async with trio.open_nursery() as nursery:
        cluster = _cluster.SimulatedCluster(**kwargs)
        await cluster.start(nursery)
        await body(cluster)
        nursery.cancel_scope.cancel()


async def test_job_that_was_not_accepted_in_time(log, autojump_clock):
    """Guards a job that wasn't accepted because the store was down."""

    async def body(cluster):
        cluster.store.set_faults(outage=True)
        entry = next(iter(cluster.entries.values()))
        await entry.service.submit(
            _cluster.QUEUE, JOB, _cluster.one_step(), trio.current_time() + 1
        )

    await _run_world(body)
    _, text = _explain_logs(log)
    assert 'cause: not accepted' in text
    assert 'the store is not available' in text


async def test_job_that_was_delayed(log, autojump_clock):
    """Guards a job delayed by a worker that makes no progress."""

    async def body(cluster):
        cluster.workers[0].faults.stuck = True
        await cluster.submit(JOB, _cluster.one_step(3))
        await cluster.until_state(JOB, 'completed')

    await _run_world(body, workers=2)
    _, text = _explain_logs(log)
    assert 'cause: completed; delayed by: CR1734 stopping' in text
    assert ' on w0: the worker is slow' in text


async def test_job_that_failed(log, autojump_clock):
    """Guards a job whose failed runs exhausted its attempts."""

    async def body(cluster):
        cluster.default_plan = task_worker.TaskPlan(work_s=0.3, fails=99)
        await cluster.submit(JOB, _cluster.one_step(1))
        await cluster.until_state(JOB, 'failed')

    await _run_world(body)
    _, text = _explain_logs(log)
    assert f'cause: its runs failed: {JOB}.0.0.0#1 on w' in text
    assert f'{JOB}.0.0.0#3' in text


async def test_job_that_was_given_up(log, autojump_clock):
    """Guards a job that failed without any run that ended as failed."""

    async def body(cluster):
        cluster.plans[f'{JOB}.0.0.0'] = task_worker.TaskPlan(crashes=True)
        await cluster.submit(JOB, _cluster.one_step())
        await cluster.until_state(JOB, 'failed')

    await _run_world(body)
    _, text = _explain_logs(log)
    assert f'cause: task {JOB}.0.0.0 is given up' in text.splitlines()[-1]


def test_unknown_id_and_unrelated_lines(log):
    """Guards against an explanation that isn't based on any line."""
    log.write('no json\n{"half": \n[1]\n{"event": 3}\n')
    code, text = _explain_logs(log, 'ffffffffffffffff')
    assert code is _exit_codes.ExitCode.NOT_RUN
    assert text == ''
