"""Guards the way from a job's id to what became of it, from logs alone."""

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


def _explained(log, wanted=JOB):
    streams = _run.Streams(io.StringIO(), io.StringIO())
    code = _explain.explain(wanted, [log.getvalue().splitlines()], streams)
    return code, streams.stdout.getvalue()


async def _play(body, **kwargs):
    async with trio.open_nursery() as nursery:
        cluster = _cluster.SimulatedCluster(**kwargs)
        await cluster.start(nursery)
        await body(cluster)
        nursery.cancel_scope.cancel()


async def test_job_that_was_not_accepted_in_time(log, autojump_clock):
    """Guards the first walk: the store didn't take the job."""

    async def body(cluster):
        cluster.store.set_faults(outage=True)
        entry = next(iter(cluster.entries.values()))
        await entry.service.submit(
            _cluster.QUEUE, JOB, _cluster.one_step(), trio.current_time() + 1
        )

    await _play(body)
    _, text = _explained(log)
    assert 'cause: not accepted' in text
    assert 'the store is not available' in text


async def test_job_that_was_accepted_and_late(log, autojump_clock):
    """Guards the second walk: a worker that stands still delays it."""

    async def body(cluster):
        cluster.workers[0].faults.stuck = True
        await cluster.submit(JOB, _cluster.one_step(3))
        await cluster.until_state(JOB, 'completed')

    await _play(body, workers=2)
    _, text = _explained(log)
    assert 'cause: completed; delayed by: CR1734 stopping' in text
    assert ' on w0: the worker is slow' in text


async def test_job_that_failed(log, autojump_clock):
    """Guards the third walk: the runs that used up its attempts."""

    async def body(cluster):
        cluster.default_plan = task_worker.TaskPlan(work_s=0.3, fails=99)
        await cluster.submit(JOB, _cluster.one_step(1))
        await cluster.until_state(JOB, 'failed')

    await _play(body)
    _, text = _explained(log)
    assert f'cause: its runs failed: {JOB}.0.0.0#1 on w' in text
    assert f'{JOB}.0.0.0#3' in text


def test_unknown_id_and_foreign_lines(log):
    """Guards against an answer that no line supports."""
    log.write('no json\n{"half": \n[1]\n{"event": 3}\n')
    code, text = _explained(log, 'ffffffffffffffff')
    assert code is _exit_codes.ExitCode.NOT_RUN
    assert text == ''
