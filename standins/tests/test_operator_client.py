"""Tests of the choice of entries by the operator client."""

import httpx

from standins import operator_client

NOT_READY = {'outcome': 'not run', 'message': 'This entry is starting'}
DONE = {'outcome': 'done', 'settings_version': 7}


def _client(
    ready: set[str], requested_hosts: list[str]
) -> tuple[httpx.AsyncClient, tuple[str, ...]]:
    def answer(req: httpx.Request) -> httpx.Response:
        requested_hosts.append(req.url.host)
        if req.url.host in ready:
            return httpx.Response(200, json=DONE)
        return httpx.Response(503, json=NOT_READY)

    client = httpx.AsyncClient(transport=httpx.MockTransport(answer))
    return client, ('http://entry-0', 'http://entry-1')


async def test_starting_entry_is_skipped():
    """Guards against a command failing on an entry that is still starting.

    In a drill, a command reached an entry 7 s after the entry was killed.
    """
    requested_hosts: list[str] = []
    client, urls = _client({'entry-1'}, requested_hosts)
    reply = await operator_client.OperatorClient(client, urls).do('show jobs')
    assert reply.settings_version == 7
    assert requested_hosts == ['entry-0', 'entry-1']


async def test_rejection_by_all_entries_is_returned():
    """Guards against an unknown outcome if every entry rejects a command."""
    requested_hosts: list[str] = []
    client, urls = _client(set(), requested_hosts)
    reply = await operator_client.OperatorClient(client, urls).send('show')
    assert reply.outcome == 'not run'
    assert requested_hosts == ['entry-0', 'entry-1']
