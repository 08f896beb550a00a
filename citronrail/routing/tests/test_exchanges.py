"""Guards the order of the messages of one response."""

import pytest

from citronrail.model import messages
from citronrail.routing import _attempt_states
from citronrail.routing import _exchanges

START = messages.ResponseStart('r', 1, 200, ())
WHOLE = messages.ResponseWhole('r', 1, 200, (('content-length', '2'),))


@pytest.mark.parametrize('body', [b'ok', b''])
async def test_whole_response_is_accepted_once(body):
    """Guards against a small response that is truncated or duplicated."""
    exchange = _exchanges.Exchange('r', 1, None)
    assert exchange.handle_message(WHOLE, body) == ''
    assert exchange.handle_message(WHOLE, body) != ''
    assert await exchange.receive() == _attempt_states.Started(
        200, WHOLE.headers
    )
    if body:
        assert await exchange.receive() == body
    assert await exchange.receive() == _attempt_states.Complete(200)
    assert exchange.ended


async def test_whole_response_after_a_start_is_dropped():
    """Guards against a response that is mixed from two responses."""
    exchange = _exchanges.Exchange('r', 1, None)
    assert exchange.handle_message(START, b'') == ''
    assert exchange.handle_message(WHOLE, b'ok') != ''
    assert not exchange.ended
