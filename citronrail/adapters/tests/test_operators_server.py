"""Guards the operators' port against malformed requests."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest
import trio

from citronrail import adapters
from citronrail.adapters import _operators_server
from citronrail import errors
from citronrail.model import messages
from citronrail.model import outcome
from citronrail import observability


class _Commands:
    def __init__(self):
        self.seen = []

    async def execute(self, command_id, text, deadline):
        self.seen.append((command_id, text, deadline - trio.current_time()))
        return messages.CommandReply(
            command_id, outcome.Outcome.UNKNOWN, 'm', 7, ('a',), ((1.5,),)
        )


class _Timelines:
    def own(self):
        return observability.ProcessTimeline('e1', 'b', 'entry', 1.0)

    async def fetch(self, node_id):
        if node_id == 'slow':
            raise errors.PeerTimeout('no timeline came', step='test')
        if node_id != 'w1':
            raise errors.PeerUnreachable('not connected', step='test')
        return observability.ProcessTimeline('w1', 'b', 'agent', 2.0)


def _client(commands=None, ready=True):
    app = adapters.operators_app(
        commands or _Commands(),
        lambda: ready,
        _Timelines(),
        lambda: (adapters.Process('w1', 'b', 'agent', 'leon'),),
    )
    return app.test_client()


async def test_command_is_carried_out_with_its_deadline():
    """Guards the form of requests and replies."""
    commands = _Commands()
    answer = await _client(commands).post(
        '/commands',
        data=b'{"command_id": "c", "text": "show tasks", "timeout_ms": 2500}',
    )
    assert answer.status_code == 200
    assert answer.headers['Citronrail-Outcome'] == 'unknown'
    reply = msgspec.json.decode(
        await answer.get_data(), type=messages.CommandReply
    )
    assert (reply.command_id, reply.rows) == ('c', ((1.5,),))
    ((command_id, text, left_s),) = commands.seen
    assert (command_id, text) == ('c', 'show tasks')
    assert 0 < left_s <= 2.5


@pytest.mark.parametrize(
    ('body', 'status'),
    [
        (b'', 400),
        (b'{"command_id": "c"}', 400),
        (b'{"command_id": "c", "text": 1}', 400),
        (b'{"command_id": "c", "text": "\xff\xfe"}', 400),
        (b'{"command_id": "c", "text": "t", "timeout_ms": 0}', 400),
        (b'{"command_id": "c", "text": "t", "timeout_ms": 1e9}', 400),
        (b'[' * 100_000, 400),
        (b'x' * (_operators_server.MAX_BODY_BYTES + 1), 413),
    ],
)
async def test_malformed_command_is_refused(body, status):
    """Guards against a crash, and a refusal without an outcome."""
    commands = _Commands()
    answer = await _client(commands).post('/commands', data=body)
    assert answer.status_code == status
    assert answer.content_type == 'application/problem+json'
    assert answer.headers['Citronrail-Outcome'] == 'not run'
    problem = msgspec.json.decode(await answer.get_data())
    assert problem['status'] == status
    assert commands.seen == []


@hypothesis.given(st.binary(max_size=100))
def test_arbitrary_bodies_never_reach_the_service(data):
    """Guards against any answer but a refusal."""

    async def post():
        answer = await _client().post('/commands', data=data)
        assert answer.status_code == 400

    trio.run(post)


async def test_entry_that_is_not_ready_responds_with_503():
    """Guards the status that makes tools retry at another entry."""
    commands = _Commands()
    client = _client(commands, ready=False)
    answer = await client.post(
        '/commands', data=b'{"command_id": "c", "text": "t"}'
    )
    assert answer.status_code == 503
    assert answer.headers['Citronrail-Outcome'] == 'not run'
    assert commands.seen == []
    assert (await client.get('/readyz')).status_code == 503
    assert (await client.get('/livez')).status_code == 200


async def test_views_of_the_entry():
    """Guards the timelines, processes and metrics that tools read."""
    client = _client()
    for query, name, status in (
        ('', 'e1', 200),
        ('?process=w1', 'w1', 200),
        ('?process=zzz', '', 404),
        ('?process=slow', '', 504),
        ('?process=' + 'x' * 101, '', 404),
    ):
        answer = await client.get(f'/timeline{query}')
        assert answer.status_code == status
        if status == 200:
            found = observability.from_json(await answer.get_data())
            assert found.process == name
    peers = msgspec.json.decode(
        await (await client.get('/peers')).get_data(),
        type=tuple[adapters.Process, ...],
    )
    assert peers[0].node_id == 'w1'
    assert b'# TYPE' in await (await client.get('/metrics')).get_data()
    assert (await client.get('/nothing')).status_code == 404
