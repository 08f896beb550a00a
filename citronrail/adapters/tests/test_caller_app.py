"""Tests how responses are sent to the caller."""

import pytest

from citronrail.adapters import _caller_app
from citronrail.model import identifiers
from citronrail.model import outcome


class _Router:
    """Sends a response with a declared length, complete or truncated."""

    def __init__(self, length, parts, ends):
        self._length, self._parts, self._ends = length, parts, ends

    async def handle(self, _req, respond):
        headers = (('content-length', str(self._length)),)
        await respond.start(200, headers, outcome.Outcome.DONE)
        for part in self._parts:
            await respond.write(part)
        if self._ends:
            await respond.finish()


async def _answer(nursery, length, parts, ends):
    answer = _caller_app._ResponseRelay(identifiers.RequestId('r'))
    nursery.start_soon(answer.produce, _Router(length, parts, ends), None)
    return await answer.response()


async def test_small_answer_is_complete(nursery):
    """Guards against losing parts of a buffered response."""
    response = await _answer(nursery, 4, [b'ab', b'cd'], True)
    assert await response.get_data(as_text=False) == b'abcd'
    assert response.headers['content-length'] == '4'


async def test_head_keeps_the_declared_length(nursery):
    """Guards against a length of 0 in the answer to HEAD."""
    response = await _answer(nursery, 4, [], True)
    assert response.headers['content-length'] == '4'


@pytest.mark.parametrize('length', [4, 100_000])
async def test_incomplete_answer_aborts_the_response(nursery, length):
    """Guards against truncated responses that look complete or like a 500."""
    response = await _answer(nursery, length, [], False)
    with pytest.raises(_caller_app.ResponseAborted):
        async for _ in response.response:
            pass
