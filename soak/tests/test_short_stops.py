"""A short run of planned stops while callers use their connections."""

import pathlib

import pytest

from soak import _stop_callers
from soak import _stops

SEEDS = (1,)


@pytest.mark.parametrize('seed', SEEDS)
async def test_no_request_is_lost_around_planned_work(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Guards against requests that end without an answer.

    Entries are stopped and reloaded, and configurations change, while callers
    send on kept-alive, pipelined, slow and new connections.
    """
    result = await _stops.run(
        seed, tmp_path, rounds=1, store='calm', starved=False
    )
    assert result.passed, '\n'.join((*result.lost, *result.steps))
    assert result.late == 0
    assert result.statuses[200] > 50


@pytest.mark.parametrize(
    ('data', 'expected'),
    [
        pytest.param(b'', (0, b'', False), id='nothing'),
        pytest.param(
            b'HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\n1234',
            (0, b'HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\n1234', False),
            id='cut body',
        ),
        pytest.param(
            b'HTTP/1.1 503 \r\ncontent-length: 1\r\n'
            b'connection: close\r\n\r\nxHTTP',
            (503, b'HTTP', True),
            id='whole, with the beginning of another',
        ),
    ],
)
def test_complete_responses_are_recognized(data, expected) -> None:
    """Guards against counting a cut response as an answer."""
    assert _stop_callers._split(data, False) == expected
