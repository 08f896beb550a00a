"""Tests the request path end to end over real sockets."""

import trio

from citronrail.adapters.tests import path as paths
from standins import backend_server


async def test_answer_arrives_complete():
    """Guards against incompatible components on the request path."""
    async with paths.running() as path:
        answer = await path.caller.post('/quick?ms=1', content=b'two seats')
        assert answer.status_code == 200
        assert answer.content == b'two seats'
        assert answer.headers['citronrail-outcome'] == 'done'
        assert answer.headers['citronrail-request-id']
        large = await path.caller.get('/large?bytes=3000000')
        assert large.content == backend_server.pattern(3_000_000)


async def test_many_callers_get_their_own_answers():
    """Guards against answers that are mixed up between callers."""
    async with paths.running() as path:
        seen = {}

        async def call(number):
            text = f'caller {number}'.encode()
            answer = await path.caller.post('/quick?ms=2', content=text)
            seen[number] = answer.content == text

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(call, number)
        assert all(seen.values()) and len(seen) == 40
        assert path.work.history.most_in_progress <= 8
