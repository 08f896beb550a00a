"""To which entry the operators' client of the drills turns."""

import httpx

from standins import operator_client

NOT_READY = {'outcome': 'not run', 'message': 'This entry is starting'}
DONE = {'outcome': 'done', 'settings_version': 7}


def _client(
    ready: set[str], asked: list[str]
) -> tuple[httpx.AsyncClient, tuple[str, ...]]:
    def answer(req: httpx.Request) -> httpx.Response:
        asked.append(req.url.host)
        if req.url.host in ready:
            return httpx.Response(200, json=DONE)
        return httpx.Response(503, json=NOT_READY)

    client = httpx.AsyncClient(transport=httpx.MockTransport(answer))
    return client, ('http://entry-0', 'http://entry-1')


async def test_an_entry_that_starts_is_passed_over():
    """A drill failed as its command met an entry 7 s after its kill."""
    asked: list[str] = []
    client, urls = _client({'entry-1'}, asked)
    reply = await operator_client.OperatorClient(client, urls).do('show jobs')
    assert reply.settings_version == 7
    assert asked == ['entry-0', 'entry-1']


async def test_no_ready_entry_is_told_at_once():
    """A command that every entry turned away must not look unknown."""
    asked: list[str] = []
    client, urls = _client(set(), asked)
    reply = await operator_client.OperatorClient(client, urls).send('show')
    assert reply.outcome == 'not run'
    assert asked == ['entry-0', 'entry-1']
