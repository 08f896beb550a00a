"""Guards how answers are handed to the caller's connection."""

import pytest

from citronrail.adapters import _caller_app
from citronrail.model import identifiers
from citronrail.model import outcome


class _Router:
    """Answers with a declared length, with or without the end."""

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
    answer = _caller_app._Answer(identifiers.RequestId('r'))
    nursery.start_soon(answer.produce, _Router(length, parts, ends), None)
    return await answer.response()


async def test_small_answer_is_whole(nursery):
    """Guards against parts of a small answer that get lost."""
    response = await _answer(nursery, 4, [b'ab', b'cd'], True)
    assert await response.get_data(as_text=False) == b'abcd'
    assert response.headers['content-length'] == '4'


async def test_head_keeps_the_declared_length(nursery):
    """Guards against a length of 0 in the answer to HEAD."""
    response = await _answer(nursery, 4, [], True)
    assert response.headers['content-length'] == '4'


@pytest.mark.parametrize('length', [4, 100_000])
async def test_broken_answer_breaks_off(nursery, length):
    """Guards against a truncated answer that looks whole or like a 500."""
    response = await _answer(nursery, length, [], False)
    with pytest.raises(_caller_app.BrokenOff):
        async for _ in response.response:
            pass
