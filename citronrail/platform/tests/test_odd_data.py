"""Guards the platform's interfaces against single odd items.

Another writer may leave one item that is nested very deeply or holds numbers
out of range among good ones.
"""

import httpx
import msgspec
import pytest

from citronrail.platform import _announcement_app

DEEP = b'[' * 100_000 + b']' * 100_000
HEARTBEAT = {
    'service': 'pool',
    'zone': 'dc',
    'state': 'ready',
    'seq': 1,
    'capacity': {'cpu': 4000, 'memMb': 4096, 'gpu': 0},
    'labels': ['a'],
    'born': 5,
}


def _with_deep_field(document: dict) -> bytes:
    return msgspec.json.encode(document)[:-1] + b',"odd":' + DEEP + b'}'


class _Agent:
    def __init__(self) -> None:
        self.lives = []

    def announce(self, life) -> bool:
        self.lives.append(life)
        return True


async def _announce(agent, body: bytes, worker_id='w') -> int:
    transport = httpx.ASGITransport(_announcement_app.announcement_app(agent))
    async with httpx.AsyncClient(
        transport=transport, base_url='http://a'
    ) as client:
        path = f'/Instances.Heartbeat/{worker_id}'
        return (await client.post(path, content=body)).status_code


async def test_deeply_nested_announcement_is_refused():
    """Guards against an announcement that ends in an unhandled error."""
    agent = _Agent()
    assert await _announce(agent, _with_deep_field(HEARTBEAT)) == 400
    assert agent.lives == []


@pytest.mark.parametrize(
    'odd',
    [
        {'capacity': {'cpu': 2**64, 'memMb': 1}},
        {'capacity': {'cpu': -5, 'memMb': 1}},
        {'capacity': {'cpu': 2**62, 'memMb': 1}},
        {'capacity': {'cpu': 1, 'memMb': 2**63}},
        {'capacity': {'cpu': 1, 'memMb': 1, 'gpu': -1}},
        {'born': 2**64},
        {'born': -5},
        {'born': 2**60},
        {'seq': 2**62},
        {'seq': -1},
        {'drainRemainingMs': 1e308},
        {'drainRemainingMs': -1.0},
        {'service': 's' * 100_000},
        {'labels': ['x'] * 10_000},
    ],
    ids=str,
)
async def test_announcement_out_of_range_is_refused(odd):
    """Guards against a life that no report can carry or that hides later ones.

    A time of birth in the far future makes all later announcements old.
    """
    agent = _Agent()
    body = msgspec.json.encode(HEARTBEAT | odd)
    assert await _announce(agent, body) == 400
    assert agent.lives == []


@pytest.mark.parametrize('worker_id', ['%E2%82%AC', 'a%0D%0Ab', 'w' * 400])
async def test_worker_id_that_no_header_can_carry_is_refused(worker_id):
    """Guards against a call to the worker that ends its agent."""
    agent = _Agent()
    body = msgspec.json.encode(HEARTBEAT)
    assert await _announce(agent, body, worker_id) == 400
    assert agent.lives == []
