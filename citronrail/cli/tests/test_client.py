"""Guards against commands executed twice or reported incorrectly."""

import functools

import httpx
import msgspec
import pytest
import trio
import trio.testing

from citronrail.cli import _client
from citronrail.language.tests import fakes
from citronrail.model import outcome

DONE = outcome.Outcome.DONE
NOT_RUN = outcome.Outcome.NOT_RUN
UNKNOWN = outcome.Outcome.UNKNOWN
TEAM = 'change team h quota cores 32 memory 100GB'
URLS = ('http://10.0.0.1:1', 'http://10.0.0.2:2')


class _FaultyTransport(httpx.AsyncBaseTransport):
    """Transport to two entries; each request consumes one of ``faults``."""

    def __init__(self, network, faults):
        self._network = network
        self._faults = list(faults)
        self.requested = []

    async def handle_async_request(self, request):
        entry = {'10.0.0.1': 'e0', '10.0.0.2': 'e1'}[request.url.host]
        if request.method == 'GET':
            return await self._probe(request, entry)
        self.requested.append(entry)
        fault = self._faults.pop(0) if self._faults else ''
        if fault == 'not ready':
            headers = {'citronrail-outcome': 'not run'}
            return httpx.Response(503, headers=headers, json={})
        if fault == 'malformed':
            headers = {'citronrail-outcome': 'not run'}
            return httpx.Response(400, headers=headers, json={'detail': 'm'})
        if fault == 'frozen':
            await trio.sleep(60)
        if fault == 'balancer':
            return httpx.Response(502, text='no answer')
        body = msgspec.json.decode(request.content)
        reply = await self._network.execute(
            entry, body['command_id'], body['text'], body['timeout_ms'] / 1000
        )
        if fault == 'lost':
            raise httpx.ReadError('reset', request=request)
        if fault == 'garbage':
            return httpx.Response(200, text='{"command_id": 1')
        return httpx.Response(200, content=msgspec.json.encode(reply))

    async def _probe(self, request, entry):
        if self._faults and self._faults[0] in ('refused', 'dead'):
            self.requested.append(entry)
            if self._faults.pop(0) == 'dead':
                await trio.sleep(60)
            raise httpx.ConnectError('refused', request=request)
        return httpx.Response(200)


def _execute(faults, text, timeout_s=15.0, before=None):
    """Run one command against two entries with faults."""

    async def main():
        network = fakes.Network(2)
        transport = _FaultyTransport(network, faults)
        async with trio.open_nursery() as nursery:
            await nursery.start(network.run)
            await network.execute('e0', 'team', TEAM)
            if before:
                before(network)
            async with httpx.AsyncClient(transport=transport) as http:
                client = _client.EntryClient(URLS, http)
                try:
                    reply = await client.execute('c', text, timeout_s)
                except _client.NoEntryReachable:
                    reply = None
            nursery.cancel_scope.cancel()
        return network, transport, reply

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(functools.partial(main), clock=clock)


@pytest.mark.parametrize(
    'faults',
    [
        ['lost'],
        ['garbage'],
        ['balancer'],
        ['frozen'],
        ['dead'],
        ['refused', 'lost', 'refused', 'lost'],
        ['not ready', 'not ready', 'not ready'],
        ['lost', 'frozen', 'not ready'],
    ],
)
@pytest.mark.parametrize(
    'text', ['drain data_centre leon', 'start job j team h class c']
)
def test_command_takes_effect_once_despite_faults(faults, text):
    """Guards against a second effect of a retry after a lost response."""
    network, _, reply = _execute(faults, text)
    assert reply.outcome is DONE
    jobs = sum(len(s.submissions) for s in network.shards.values())
    assert network.store.writes + jobs == 2


def test_gives_up_if_no_entry_is_reachable():
    """Guards against a report of ``unknown`` when nothing was sent."""
    network, transport, reply = _execute(['refused'] * 99, 'stop job j')
    assert reply is None
    assert set(transport.requested) == {'e0', 'e1'}
    assert network.store.writes == 1


def test_unresponsive_entry_is_skipped():
    """Guards against a command that runs late or has an unknown outcome."""
    _, transport, reply = _execute(['dead', 'dead'], 'stop job j', 3.0)
    assert reply.outcome is NOT_RUN
    assert transport.requested == ['e0', 'e1', 'e0']
    _, _, reply = _execute(['dead'] * 99, 'stop job j')
    assert reply is None


def test_refusal_is_not_retried():
    """Guards against retries that can't change the result."""
    for faults, text in (([], 'stop service x'), (['malformed'], 'show x')):
        _, transport, reply = _execute(faults, text)
        assert reply.outcome is NOT_RUN
        assert transport.requested == ['e0']


def test_refusal_after_a_lost_response_is_unknown():
    """Guards against ``not run`` if the first attempt may have run."""

    def unavailable(network):
        network.store.fault = 'unavailable'

    for fault in ('lost', 'balancer'):
        _, _, reply = _execute(
            [fault], 'drain data_centre leon', before=unavailable
        )
        assert reply.outcome is UNKNOWN
        assert 'store is down' in reply.message


def test_unknown_outcome_is_retried_until_the_timeout():
    """Guards the retries for an unknown outcome and their timeout."""

    def lost(network):
        network.store.fault = 'lost'

    network, _, reply = _execute([], 'drain worker w1', before=lost)
    assert reply.outcome is DONE
    assert network.store.writes == 2
    _, transport, reply = _execute(['lost'] * 999, 'drain worker w1', 4.0)
    assert reply.outcome is UNKNOWN
    assert len(transport.requested) > 4
