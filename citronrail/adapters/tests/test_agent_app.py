"""Guards the agent's local port against odd announcements."""

import pytest

from citronrail import adapters


class _Runner:
    def __init__(self) -> None:
        self.announced = []

    def announce(self, *announcement) -> None:
        self.announced.append(announcement)


@pytest.mark.parametrize(
    'fields',
    [
        b'"odd":' + b'[' * 30_000 + b']' * 30_000,
        b'"incarnation":18446744073709551616',
        b'"incarnation":-1',
        b'"address":"http://127.0.0.1:99999"',
        b'"address":"http://127.0.0.1:0"',
        b'"address":"http://127.0.0.1:x"',
        b'"address":"http://[1"',
        b'"address":"http://' + b'a' * 9000 + b'"',
    ],
    ids=lambda fields: fields[:40].decode(),
)
async def test_odd_announcement_is_refused(fields):
    """Guards against a backend that no message to the entries can carry."""
    runner = _Runner()
    client = adapters.agent_app(runner, lambda: True).test_client()
    body = b'{"address":"http://127.0.0.1:80",' + fields + b'}'
    response = await client.put('/backends/seats', data=body)
    assert response.status_code == 400
    assert runner.announced == []
