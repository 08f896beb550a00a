"""Guards the explanation of a job's outcome from logs alone."""

import io
import string

from loguru import logger
import pytest
import trio

from citronrail.cli import _exit_codes
from citronrail.cli import _explain
from citronrail.cli import _explanations
from citronrail.cli import _run
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow.tests import _cluster
from standins import task_worker

JOB = '00000000000000a1'
FORMATTER = string.Formatter()


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
        # Two tasks on each worker, whichever announces itself first.
        await cluster.submit(JOB, _cluster.one_step(4))
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


def _emit(sink, process, kind, **fields):
    """Write the log line of an event at a process."""
    logger.remove()
    observability.set_up_logging('INFO', 'json', process, sink)
    observability.emit(kind, **fields)


def test_rejected_job(log):
    """Guards the reason that a caller was given last."""
    for reason in ('the store is not available', 'the queue is too long'):
        _emit(
            log, 'e1', events.JOB_REJECTED, job=JOB, queue='q', reason=reason
        )
    _, text = _explain_logs(log)
    assert 'submission at e1: rejected on q: the store is not' in text
    assert text.splitlines()[-1] == (
        f'cause: not accepted: CR1721 job {JOB} rejected on q: '
        f'the queue is too long'
    )


@pytest.mark.parametrize('stored', [True, False])
def test_submission_at_several_entries(log, stored):
    """Guards a job that was stored although its first entry didn't know."""
    _emit(log, 'e1', events.JOB_OUTCOME_UNKNOWN, job=JOB, reason='no answer')
    if stored:
        _emit(log, 'e2', events.JOB_ACCEPTED, job=JOB, queue='q', tasks=3)
    _, text = _explain_logs(log)
    *_, last = text.splitlines()
    assert 'submission at e1: may or may not have been accepted: no' in text
    assert ('submission at e2: accepted on q with 3 tasks' in text) == stored
    assert last.startswith('cause: not known to be accepted') != stored


def test_run_without_a_report_of_the_acceptance(log):
    """Guards against "not accepted" for a job that was run."""
    _emit(log, 'e1', events.JOB_REJECTED, job=JOB, queue='q', reason='r')
    _emit(log, 'e1', events.JOB_ENDED, job=JOB, status='completed', seconds=1)
    _, text = _explain_logs(log)
    assert text.splitlines()[-1].startswith('cause: completed; no run failed')


def test_preempted_run(log):
    """Guards the reason of a stop, and where the task went on."""
    run = {'task': f'{JOB}.0.0.0', 'reason': 'memory for priority 0'}
    other = {'task': f'{JOB}.0.0.1', 'reason': ''}
    _emit(log, 'e1', events.RUN_STOPPED, run=1, worker='w1', **run)
    _emit(log, 'e1', events.RUN_ASSIGNED, run=1, worker='w2', **other)
    _emit(log, 'e1', events.RUN_ASSIGNED, run=2, worker='w3', **run)
    _emit(log, 'e1', events.RUN_STOPPED, run=2, worker='w3', **run)
    _, text = _explain_logs(log)
    first, second = (
        line for line in text.splitlines() if line.startswith('stopped')
    )
    assert first.startswith(
        f'stopped {JOB}.0.0.0#1 on w1: memory for priority 0; started again '
        f'as {JOB}.0.0.0#2 on w3 0.'
    )
    assert second.endswith('priority 0; not started again')


def test_event_that_is_added_to_the_table(log, monkeypatch):
    """Guards a relay, whose peer and verdict are in the event's fields."""
    relayed = _explanations.Explanation(
        _explanations.Role.RELAYED, 'relayed to {peer}: {verdict}'
    )
    monkeypatch.setitem(_explanations._BY_CODE, 'CR1799', relayed)
    log.write(
        f'{{"event": "CR1799", "process": "e1", "fields": {{"job": "{JOB}", '
        f'"peer": "e2", "verdict": "done"}}}}\n'
    )
    _emit(log, 'e2', events.JOB_ACCEPTED, job=JOB, queue='q', tasks=3)
    _, text = _explain_logs(log)
    assert [
        line for line in text.splitlines() if line.startswith('submission')
    ] == [
        'submission at e1: relayed to e2: done',
        'submission at e2: accepted on q with 3 tasks',
    ]
    assert text.splitlines()[-1].startswith('cause: open; no run failed')


def test_texts_use_fields_of_their_events():
    """Guards against a text with a field that its event doesn't have."""
    for kind, item in _explanations.EXPLANATIONS.items():
        names = {name for _, name, _, _ in FORMATTER.parse(item.text) if name}
        known = {name for _, name, _, _ in FORMATTER.parse(kind.text) if name}
        assert names <= known, kind.code


def test_lines_of_other_programs_are_tolerated(log):
    """Guards against lines whose fields or times have another form."""
    log.write(
        '{"event": "CR1721", "fields": [1]}\n'
        f'{{"event": "CR1734", "fields": {{"task": "{JOB}.0.0.0"}}}}\n'
        f'{{"event": "CR1730", "fields": {{"task": "{JOB}.0.0.0"}}, '
        f'"time": "zz"}}\n' + '{' * 100_000 + '\n' + '{"a":' * 100_000 + '\n'
    )
    code, text = _explain_logs(log)
    assert code is _exit_codes.ExitCode.DONE
    assert f'stopped {JOB}.0.0.0#? on ?: ?; started again as' in text
