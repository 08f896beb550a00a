"""Guards the HTTP interfaces for callers and workers, with bad input."""

import httpx
import msgspec
import pytest
import trio

from citronrail.model import identifiers
from citronrail.model import workflows
from citronrail.platform import _announcement_app
from citronrail.platform import _caller_app
from citronrail.platform import _operator_documents
from citronrail.platform import _wire_jobs
from citronrail import workflow

JOB = '5c0e7a21d94b36f8'
STEP = {'count': 2, 'cpu': 500, 'memMb': 256, 'estimateMs': 900}
QUEUES = (
    workflows.Queue(
        'q', 'a.example', '/q/', identifiers.ServiceName('s'), max_attempts=2
    ),
    workflows.Queue(
        'long', 'a.example', '/q/x/', identifiers.ServiceName('s')
    ),
)


def _client(app) -> httpx.AsyncClient:
    transport = httpx.ASGITransport(app)
    return httpx.AsyncClient(transport=transport, base_url='http://a.example')


class _Service:
    """Returns the reply that a test has set."""

    def __init__(self) -> None:
        self.reply = workflow.Reply(workflow.Verdict.DONE, 'running', 3)
        self.submitted = []

    async def submit(self, queue, job_id, spec, deadline):
        self.submitted.append((queue.name, job_id, spec))
        return self.reply

    async def cancel(self, job_id, deadline):
        return self.reply

    async def state(self, job_id, deadline):
        return self.reply

    async def pending(self, queue):
        return self.reply


@pytest.fixture
def service():
    return _Service()


@pytest.fixture
def client(service):
    config = workflows.OperatorConfig(1, QUEUES, max_body_bytes=5000)
    return _client(_caller_app.caller_app(service, lambda: config))


def _body(**changes) -> bytes:
    return msgspec.json.encode({'spec': 'text', 'steps': [STEP]} | changes)


async def _post(client, path, body, host='a.example'):
    return await client.post(path, content=body, headers={'Host': host})


async def test_job_goes_to_the_queue_with_the_longest_prefix(client, service):
    """Guards the choice of queue if one prefix starts with another."""
    res = await _post(client, f'/q/x/{JOB}', _body())
    assert res.status_code == 200
    assert service.submitted[0][:2] == ('long', JOB)


@pytest.mark.parametrize(
    ('path', 'host', 'body', 'status'),
    [
        (f'/none/{JOB}', 'a.example', _body(), 404),
        (f'/q/{JOB}', 'b.example', _body(), 404),
        ('/q/not-an-id', 'a.example', _body(), 404),
        (f'/q/{JOB}', 'a.example', b'{"spec":', 400),
        (f'/q/{JOB}', 'a.example', _body(steps=[]), 400),
        (f'/q/{JOB}', 'a.example', _body(spec='x' * 4001), 400),
        (f'/q/{JOB}', 'a.example', _body(steps=[{'count': 0}]), 400),
        (f'/q/{JOB}', 'a.example', b'x' * 6000, 413),
        (f'/q/{JOB}', 'a.example', b'x' * 5_000_000, 413),
    ],
    ids=[
        'no queue',
        'other host',
        'wrong id',
        'no json',
        'no steps',
        'long spec',
        'empty step',
        'large body',
        'body over the limit of the port',
    ],
)
async def test_bad_request_gets_the_right_status(
    client, service, path, host, body, status
):
    """Guards against storing bad input or crashing on it."""
    res = await _post(client, path, body, host)
    assert res.status_code == status
    assert not service.submitted


@pytest.mark.parametrize(
    ('verdict', 'status'),
    [
        (workflow.Verdict.DONE, 200),
        (workflow.Verdict.NOT_RUN, 503),
        (workflow.Verdict.UNKNOWN, 504),
    ],
)
async def test_status_reports_the_known_outcome(
    client, service, verdict, status
):
    """Guards "not run": an unknown outcome must not be reported as 503."""
    service.reply = workflow.Reply(verdict)
    res = await _post(client, f'/q/{JOB}', _body())
    assert res.status_code == status
    assert ('Retry-After' in res.headers) == (status == 503)


async def test_state_pending_and_cancel(client, service):
    """Guards the three other requests of callers."""
    headers = {'Host': 'a.example'}
    res = await client.get(f'/q/{JOB}', headers=headers)
    assert res.json() == {'state': 'running'}
    res = await client.get('/q/', headers=headers)
    assert res.json() == {'pending': 3}
    service.reply = workflow.Reply(workflow.Verdict.ABSENT)
    assert (await client.get(f'/q/{JOB}', headers=headers)).status_code == 410
    res = await client.delete(f'/q/{JOB}', headers=headers)
    assert res.status_code == 410


async def test_entry_without_configuration_replies_503():
    """Guards against a 404 before the configuration is loaded."""
    client = _client(_caller_app.caller_app(_Service(), lambda: None))
    res = await _post(client, f'/q/{JOB}', _body())
    assert res.status_code == 503


def test_fields_of_a_job_are_decoded():
    """Guards the mapping of fields with unclear names."""
    step = STEP | {
        'antiAffinity': 2,
        'mayMiss': 1,
        'longRunning': True,
        'targetMs': 50,
        'constraints': 'gpu',
        'affinity': 'r1-3',
    }
    spec = _wire_jobs.decode_job(_body(steps=[step]))
    (found,) = spec.steps
    assert found.max_per_worker == 2
    assert found.max_unavailable == 1
    assert found.latency_target_ms == 50
    assert (found.required_label, found.preferred_rack) == ('gpu', 'r1-3')
    assert found.estimate_s == pytest.approx(0.9)


@pytest.mark.parametrize(
    'field', ['cpu', 'memMb', 'gpu', 'estimateMs', 'antiAffinity', 'mayMiss']
)
@pytest.mark.parametrize('value', [-1, 10**30])
def test_impossible_numbers_in_a_job_are_refused(field, value):
    """Guards against negative demands, which would add to free capacity.

    A number that can't be stored must not be accepted either.
    """
    with pytest.raises(ValueError):
        _wire_jobs.decode_job(_body(steps=[STEP | {field: value}]))


def test_configuration_is_decoded():
    """Guards the decoding of the operators' configuration."""
    config = _operator_documents.decode_config(
        b'{"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",'
        b'"kind":"unsafe","timeoutMs":3000,"targetCompletionMs":250,'
        b'"priority":2,"service":"s","maxAttempts":4,"stretch":1.5}],'
        b'"services":[{"name":"s","rejectsOverload":true}],'
        b'"limits":{"maxBodyBytes":10}}'
    )
    (queue,) = config.queues
    assert (config.version, config.max_body_bytes) == (7, 10)
    assert (queue.max_attempts, queue.stretch) == (4, 1.5)
    assert queue.objective_s == pytest.approx(0.25)
    assert config.pools[0].rejects_overload


class _Agent:
    def __init__(self) -> None:
        self.lives = []
        self.left = []

    def announce(self, life) -> None:
        if not self.lives or life.born_ms >= self.lives[-1].born_ms:
            self.lives.append(life)

    def leave(self, worker_id) -> None:
        self.left.append(worker_id)


HEARTBEAT = {
    'service': 's',
    'addr': '10.0.0.1:1',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldLeftMs': 0,
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'clockMs': 482113,
    'seq': 4,
    'born': 1700000000000,
}


async def _send_heartbeat(client, **changes):
    return await client.post(
        '/Instances.Heartbeat/i-1',
        content=msgspec.json.encode(HEARTBEAT | changes),
    )


async def test_announcements_are_accepted_in_order():
    """Guards against a delayed announcement that overwrites a newer one."""
    agent = _Agent()
    client = _client(_announcement_app.announcement_app(agent, 's'))
    assert (await _send_heartbeat(client)).status_code == 200
    assert (
        await _send_heartbeat(client, state='draining', seq=6)
    ).status_code == 200
    assert (await _send_heartbeat(client, seq=5)).status_code == 200
    assert [life.state for life in agent.lives] == ['ready', 'draining']
    assert agent.lives[0].born_ms == 1700000000000
    res = await client.post('/Instances.Deregister/i-1')
    assert (res.status_code, agent.left) == (200, ['i-1'])


async def test_late_announcement_cannot_restore_capacity():
    """Guards against starts on a worker whose capacity has shrunk (LIMIT).

    A late announcement of an earlier incarnation made the agent forget the
    newest sequence number, so that it accepted an older one of the present.
    """
    agent = _Agent()
    client = _client(_announcement_app.announcement_app(agent, 's'))
    small = {'cpu': 1000, 'memMb': 1000}
    assert HEARTBEAT['capacity']['cpu'] > small['cpu']
    await _send_heartbeat(client, seq=5, capacity=small)
    await _send_heartbeat(client, seq=9, born=HEARTBEAT['born'] - 1000)
    await _send_heartbeat(client, seq=4)
    assert [life.cpu_millis for life in agent.lives] == [1000]


async def test_many_announcements_hide_no_late_one():
    """Guards against starts on a worker whose capacity has shrunk (LIMIT).

    Announcements of other writers made the agent forget the newest sequence
    number of its worker.
    """
    agent = _Agent()
    agent.announce = agent.lives.append
    client = _client(_announcement_app.announcement_app(agent, 's'))
    small = {'cpu': 1000, 'memMb': 1000}
    await _send_heartbeat(client, seq=5, capacity=small)
    for number in range(1, 16):
        await _send_heartbeat(client, born=HEARTBEAT['born'] + number)
    await _send_heartbeat(client, seq=4)
    assert [life.born_ms for life in agent.lives].count(HEARTBEAT['born']) == 1


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'asleep'},
        {'capacity': 'large'},
        {'seq': 'four'},
        {'service': 'billing'},
        {'addr': 7},
        {'version': None},
        {'slots': 'eight'},
        {'coldLeftMs': []},
        {'clockMs': [1]},
        {'born': '1700000000000'},
        {'labels': 7},
        {'service': 'billing', 'state': 'draining'},
    ],
    ids=str,
)
async def test_malformed_announcement_is_rejected(changes):
    """Guards against an announcement that names no worker to use (TWICE).

    Those with a service that isn't named, or with an odd value in a field
    that the agent doesn't use, replaced a sound worker.
    """
    agent = _Agent()
    client = _client(_announcement_app.announcement_app(agent, 's'))
    assert (await _send_heartbeat(client, **changes)).status_code == 400
    assert agent.lives == []


@pytest.mark.parametrize(
    'field', sorted(HEARTBEAT.keys() - {'clockMs', 'born'})
)
async def test_announcement_without_a_field_is_rejected(field):
    """Guards against an announcement that names no worker to use (TWICE)."""
    agent = _Agent()
    client = _client(_announcement_app.announcement_app(agent, 's'))
    body = {key: HEARTBEAT[key] for key in HEARTBEAT if key != field}
    res = await client.post(
        '/Instances.Heartbeat/i-1', content=msgspec.json.encode(body)
    )
    assert res.status_code == 400
    assert agent.lives == []


async def test_response_deadline_is_before_the_callers(autojump_clock):
    """Guards against responses after the caller's deadline."""
    now = trio.current_time()
    assert _caller_app._deadline('1000') < now + 1.0
    assert _caller_app._deadline(None) < now + 3.0
    assert _caller_app._deadline('nonsense') < now + 3.0


@pytest.mark.parametrize(
    'verdict', [workflow.Verdict.OVERLOADED, workflow.Verdict.NO_MEMORY]
)
async def test_rejection_under_overload_says_when_to_return(
    verdict, client, service
):
    """Guards against callers that return before there is room."""
    service.reply = workflow.Reply(verdict, retry_after_s=17)
    res = await _post(client, f'/q/{JOB}', _body())
    assert res.status_code == 429
    assert res.headers['Retry-After'] == '17'


class _HangingService(_Service):
    """Replies to nothing."""

    async def submit(self, queue, job_id, spec, deadline):
        await trio.sleep_forever()

    async def cancel(self, job_id, deadline):
        await trio.sleep_forever()

    state = cancel

    async def pending(self, queue):
        await trio.sleep_forever()


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        pytest.param('POST', JOB, 504, id='submit'),
        pytest.param('DELETE', JOB, 504, id='cancel'),
        pytest.param('GET', JOB, 503, id='state'),
        pytest.param('GET', '', 503, id='pending'),
    ],
)
@pytest.mark.parametrize(
    ('stops_in_s', 'deadline_ms', 'limit_s'),
    [
        pytest.param(float('inf'), '1000', 1.0, id='deadline of the caller'),
        pytest.param(0.4, '3000', 0.6, id='stop of the process'),
    ],
)
async def test_answers_come_in_time(
    autojump_clock, method, path, status, stops_in_s, deadline_ms, limit_s
):
    """Guards against answers after the caller's time or the process's."""
    config = workflows.OperatorConfig(1, QUEUES, max_body_bytes=5000)
    ends_at = trio.current_time() + stops_in_s
    client = _client(
        _caller_app.caller_app(
            _HangingService(), lambda: config, lambda: ends_at
        )
    )
    with trio.fail_after(limit_s):
        answer = await client.request(
            method,
            f'/q/{path}',
            content=_body() if method == 'POST' else None,
            headers={'Host': 'a.example', 'Deadline-Ms': deadline_ms},
        )
    assert answer.status_code == status


@pytest.mark.parametrize('method', ['GET', 'POST', 'DELETE'])
async def test_requests_after_the_end_of_the_answers(service, method):
    """Guards against work that a stopping process can't answer any more."""
    config = workflows.OperatorConfig(1, QUEUES, max_body_bytes=5000)
    now = trio.current_time()
    app = _caller_app.caller_app(service, lambda: config, lambda: now)
    answer = await _client(app).request(
        method, f'/q/{JOB}', content=_body(), headers={'Host': 'a.example'}
    )
    assert answer.status_code == 503
    assert answer.headers['retry-after'] == '1'
    assert not service.submitted


async def test_body_that_is_not_whole_at_the_end_of_the_answers(
    service, autojump_clock
):
    """Guards against 504, or a cut, for a job that was certainly not run.

    Callers don't repeat a request that was answered with 504.
    """
    ends_at = [float('inf')]
    config = workflows.OperatorConfig(1, QUEUES, max_body_bytes=5000)
    app = _caller_app.caller_app(service, lambda: config, lambda: ends_at[0])

    send, receive = trio.open_memory_channel(2)
    body = {'type': 'http.request', 'body': _body()[:10], 'more_body': True}
    await send.send(body)
    sent = []

    async def record(message):
        sent.append(message)

    scope = {
        'type': 'http',
        'method': 'POST',
        'path': f'/q/{JOB}',
        'headers': [(b'host', b'a.example')],
        'query_string': b'',
        'app': app,
    }
    with trio.fail_after(3.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app, scope, receive.receive, record)
            await trio.sleep(1.0)
            # The stop begins while the body is read.
            ends_at[0] = trio.current_time() + 1.0
    assert sent[0]['status'] == 503
    assert (b'retry-after', b'1') in sent[0]['headers']
    assert not service.submitted
