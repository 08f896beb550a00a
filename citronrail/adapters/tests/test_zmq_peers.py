"""Tests the connections between processes over real sockets."""

import contextlib
import dataclasses
import math
import socket
import time

import msgspec
import prometheus_client
import pytest
import trio
import zmq
import zmq.auth

from citronrail import adapters
from citronrail.adapters import _reconnect
from citronrail.adapters import _zmq_sockets
from citronrail.adapters.tests import path as paths
from citronrail import errors
from citronrail.model import messages

SHORT_LIMITS = adapters.PeerLimits(
    queue_messages=8,
    max_message_bytes=100_000,
    send_wait_s=0.1,
    hello_wait_s=0.3,
    keep_alive_s=0.1,
    silence_s=0.5,
    reconnect_s=0.05,
)


@contextlib.asynccontextmanager
async def hubs(*agents, entry=None):
    """Run an entry's hub and those of agents that connect to it."""
    entry = entry or paths.hub(
        'entry-1', 'entry', listen='tcp://127.0.0.1:0', limits=SHORT_LIMITS
    )
    async with trio.open_nursery() as nursery:
        address = await nursery.start(entry.run)
        for agent in agents:
            await nursery.start(agent.run)
            agent.set_entries([address])
        yield entry
        nursery.cancel_scope.cancel()


@contextlib.contextmanager
def raw_dealer(address, routing_id, prepare=lambda sock: None):
    """Open a raw socket to the peer port, without a hub."""
    ctx = zmq.Context()
    sock = ctx.socket(zmq.DEALER)
    sock.linger = 0
    sock.routing_id = routing_id
    prepare(sock)
    sock.connect(address)
    try:
        yield sock
    finally:
        ctx.destroy(linger=0)


async def receive(sock, seconds=3.0):
    """Return the next message of a raw socket, None if there is none."""
    with trio.move_on_after(seconds):
        while True:
            try:
                return messages.unpack(sock.recv_multipart(zmq.NOBLOCK)[0])
            except zmq.Again:
                await trio.sleep(0.01)
    return None


async def wait_until(condition):
    """Wait until a condition becomes true."""
    with trio.fail_after(8):
        while not condition():
            await trio.sleep(0.01)


def agent(name='agent-1', **options):
    """Return an agent's hub."""
    return paths.hub(name, 'agent', **{'limits': SHORT_LIMITS, **options})


def refused(reason):
    """Return how many messages were refused for a reason."""
    name = 'citronrail_adapters_peer_messages_refused_total'
    value = prometheus_client.REGISTRY.get_sample_value(
        name, {'reason': reason}
    )
    return value or 0.0


async def test_messages_arrive_complete_and_in_order():
    """Guards against lost wake-ups of the socket's descriptor."""
    one = agent()
    got = []

    async def on_chunk(peer, message, payload):
        got.append((peer.node_id, message.seq, payload))
        if message.seq % 7 == 0:  # sending consumes the descriptor's signal
            await one.send('entry-1', messages.Credit('r', 1, 1))

    async with hubs(one) as entry:
        one.subscribe(messages.ResponseChunk, on_chunk)
        await wait_until(lambda: entry.peers('agent') and one.peers('entry'))
        for seq in range(500):
            chunk = messages.ResponseChunk('r', 1, seq)
            with trio.fail_after(5):
                while True:
                    with contextlib.suppress(errors.PeerUnreachable):
                        await entry.send('agent-1', chunk, b'%d' % seq)
                        break
        await wait_until(lambda: len(got) == 500)
    assert got == [('entry-1', seq, b'%d' % seq) for seq in range(500)]


async def test_unusable_messages_do_not_affect_other_peers():
    """Guards against a peer that can crash or block the port."""
    one = agent()
    before = refused('undecodable')
    async with hubs(one) as entry:
        await wait_until(lambda: entry.peers('agent'))
        with raw_dealer(entry.address, b'stray') as stray:
            for frames in ([b'?'], [b''], [b'1', b'2', b'3'], [b'\x92']):
                stray.send_multipart(frames)
                answer = await receive(stray)
                assert isinstance(answer, messages.ProtocolError)
            stray.send(messages.pack(messages.Credit('r', 1, 1)))
            answer = await receive(stray)
            assert answer == messages.ProtocolError('hello expected')
            hello = paths.hello('agent-1', 'agent')()
            stray.send(messages.pack(hello))
            answer = await receive(stray)
            assert isinstance(answer, messages.ProtocolError)
            stray.send(b'x' * 200_000)  # the connection is closed for it
            assert await receive(stray, 0.3) is None
        await entry.send('agent-1', messages.Credit('r', 1, 1))
        assert [peer.node_id for peer in entry.peers('agent')] == ['agent-1']
    assert refused('undecodable') == before + 4


def _odd_hello(node_id, **changes):
    """Return a Hello and the routing id that belongs to it."""
    hello = dataclasses.replace(paths.hello(node_id, 'agent')(), **changes)
    return messages.pack(hello), f'{node_id}/{hello.boot_id}'.encode()


async def test_deeply_nested_message_ends_no_port():
    """Guards against an entry that ends because of one peer's message."""
    one = agent()
    async with hubs(one) as entry:
        await wait_until(lambda: entry.peers('agent'))
        with raw_dealer(entry.address, b'stray') as stray:
            body = msgspec.Raw(b'\x91' * 50_000 + b'\xc0')
            stray.send(msgspec.msgpack.encode(('Alive', body)))
            answer = await receive(stray)
            assert isinstance(answer, messages.ProtocolError)
        await entry.send('agent-1', messages.Credit('r', 1, 1))


@pytest.mark.parametrize('clock', [math.nan, math.inf, -math.inf, 1e300])
async def test_clock_out_of_range_is_refused(clock):
    """Guards against deadlines that are no numbers on a peer's clock."""
    data, routing_id = _odd_hello('odd', clock=clock)
    async with hubs() as entry:
        with raw_dealer(entry.address, routing_id) as odd:
            odd.send(data)
            answer = await receive(odd)
            assert isinstance(answer, messages.ProtocolError)
        assert entry.peers('agent') == ()


async def test_listener_that_raises_ends_no_port():
    """Guards against an entry that ends because it can't handle one peer."""

    def fail_for_odd(peer):
        if peer.node_id == 'odd':
            raise ZeroDivisionError('odd peer')

    one = agent()
    async with hubs() as entry:
        entry.listen(fail_for_odd, fail_for_odd)
        data, routing_id = _odd_hello('odd')
        with raw_dealer(entry.address, routing_id) as odd:
            odd.send(data)
            assert isinstance(await receive(odd), messages.Hello)
            async with trio.open_nursery() as nursery:
                await nursery.start(one.run)
                one.set_entries([entry.address])
                await wait_until(lambda: len(entry.peers('agent')) == 2)
                nursery.cancel_scope.cancel()
        await wait_until(lambda: not entry.peers('agent'))


@pytest.mark.parametrize(
    'address',
    [
        'tcp://127.0.0.1:{wrapped}',
        'tcp://127.0.0.1:0',
        'tcp://127.0.0.1:-1',
        'tcp://127.0.0.1',
        'tcp://:7000',
        'ipc://peer',
        'tcp://127.0.0.1:1;127.0.0.1:7000',
        'tcp://127.0.0.1:70\x0000',
        '\u20ac',
    ],
)
async def test_odd_address_of_an_entry_is_refused(address):
    """Guards against a connection to another port, and a failed process.

    libzmq takes the lowest 16 bits of a port that is too large.
    """
    one = agent()
    before = refused('address')
    async with hubs(one) as entry:
        await wait_until(lambda: entry.peers('agent'))
        port = int(entry.address.rpartition(':')[2])
        one.set_entries([address.format(wrapped=port + 65536)])
        await wait_until(lambda: not entry.peers('agent'))
        await trio.sleep(0.3)
        assert entry.peers('agent') == ()
        assert refused('address') == before + 1
        one.set_entries([entry.address])
        await wait_until(lambda: entry.peers('agent'))


async def test_message_of_another_boot_is_refused():
    """Guards against a heartbeat from an earlier boot of an agent."""
    one = agent()
    seen = []

    async def on_update(peer, message, payload):
        seen.append(message.boot_id)

    async with hubs(one) as entry:
        entry.subscribe(messages.BackendUpdate, on_update)
        await wait_until(lambda: one.peers('entry'))
        await one.send('entry-1', messages.BackendUpdate('old', ()))
        await one.send('entry-1', messages.BackendUpdate(one.boot_id, ()))
        await wait_until(lambda: seen)
        assert seen == [one.boot_id]


async def test_stalled_peer_blocks_no_other():
    """Guards against one full queue that blocks sends to all peers."""
    one = agent()
    got = []

    async def on_credit(peer, message, payload):
        got.append(message.chunks)

    async with hubs(one) as entry:
        one.subscribe(messages.Credit, on_credit)
        hello = paths.hello('stalled', 'agent')()
        routing_id = f'stalled/{hello.boot_id}'.encode()

        def small(sock):
            sock.rcvhwm = 1
            sock.rcvbuf = 4096

        with raw_dealer(entry.address, routing_id, small) as stalled:
            stalled.send(messages.pack(hello))
            await wait_until(lambda: len(entry.peers('agent')) == 2)
            failed = trio.Event()

            async def flood():
                chunk = messages.ResponseChunk('r', 1, 0)
                with contextlib.suppress(errors.PeerUnreachable):
                    while True:
                        await entry.send('stalled', chunk, b'x' * 90_000)
                failed.set()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(flood)
                count = 0
                while not failed.is_set():
                    await entry.send('agent-1', messages.Credit('r', 1, count))
                    count += 1
                    await trio.sleep(0.005)
            await wait_until(lambda: got == list(range(count)))
            assert count > 5


async def test_restarted_peer_replaces_its_predecessor():
    """Guards against deadlines in the clock of an earlier boot."""
    first = agent()
    disconnected = []
    async with hubs(first) as entry:
        entry.listen(
            lambda _: None, lambda peer: disconnected.append(peer.boot_id)
        )
        await wait_until(lambda: entry.peers('agent'))
        assert entry.to_peer_clock('agent-1', trio.current_time() + 5)
        async with trio.open_nursery() as nursery:
            second = agent()
            await nursery.start(second.run)
            second.set_entries([entry.address])
            await wait_until(lambda: disconnected == [first.boot_id])
            assert entry.find_peer('agent-1').boot_id == second.boot_id
            nursery.cancel_scope.cancel()


async def test_silent_peer_is_dropped_and_may_return():
    """Guards against requests to a hung peer, and a failed reconnect."""
    async with hubs() as entry:
        hello = paths.hello('frozen', 'agent')()
        routing_id = f'frozen/{hello.boot_id}'.encode()
        with raw_dealer(entry.address, routing_id) as sock:
            sock.send(messages.pack(hello))
            await wait_until(lambda: entry.peers('agent'))
            await wait_until(lambda: not entry.peers('agent'))
            with pytest.raises(errors.PeerUnreachable):
                await entry.send('frozen', messages.Credit('r', 1, 1))
            with pytest.raises(errors.PeerUnreachable):
                entry.to_peer_clock('frozen', 1.0)
            sock.send(messages.pack(messages.Credit('r', 1, 1)))
            answer = None
            while not isinstance(answer, messages.ProtocolError):
                answer = await receive(sock)
            assert answer.reason == 'hello expected'
            sock.send(messages.pack(hello))
            await wait_until(lambda: entry.peers('agent'))


async def test_agent_reconnects_to_a_restarted_entry():
    """Guards against a connection that outlives the entry's boot."""
    one = agent()
    async with hubs(one) as entry:
        await wait_until(lambda: one.peers('entry'))
        address, boot_id = entry.address, entry.boot_id
        async with trio.open_nursery() as nursery:
            other = paths.hub(
                'entry-2',
                'entry',
                listen='tcp://127.0.0.1:0',
                limits=SHORT_LIMITS,
            )
            other_address = await nursery.start(other.run)
            one.set_entries([address, other_address])
            await wait_until(lambda: len(one.peers('entry')) == 2)
            one.set_entries([other_address])
            await wait_until(lambda: len(one.peers('entry')) == 1)
            nursery.cancel_scope.cancel()
        await wait_until(lambda: not one.peers('entry'))
        async with trio.open_nursery() as nursery:
            again = paths.hub(
                'entry-2', 'entry', listen=other_address, limits=SHORT_LIMITS
            )
            await nursery.start(again.run)
            await wait_until(lambda: one.peers('entry'))
            assert one.find_peer('entry-2').boot_id not in (
                boot_id,
                other.boot_id,
            )
            nursery.cancel_scope.cancel()


@pytest.fixture
def keys(tmp_path):
    """Make keys for the entry and two agents, one of them not allowed."""
    allowed, secret = tmp_path / 'allowed', tmp_path / 'secret'
    allowed.mkdir()
    secret.mkdir()
    for name in ('server', 'entry-1', 'agent-1', 'agent-2', 'stranger'):
        zmq.auth.create_certificates(secret, name)
        if name.startswith(('entry', 'agent')):
            (secret / f'{name}.key').rename(allowed / f'{name}.key')

    def files(name, server='server.key'):
        return adapters.CurveFiles(
            secret / f'{name}.key_secret', secret / server, allowed
        )

    return files


async def test_only_the_owner_of_a_key_gets_an_answer(keys):
    """Guards against unknown processes and impersonated node ids."""
    entry = paths.hub(
        'entry-1',
        'entry',
        listen='tcp://127.0.0.1:0',
        limits=SHORT_LIMITS,
        curve=keys('entry-1', 'server.key_secret'),
    )
    good = agent(curve=keys('agent-1'))
    unknown = agent('stranger', curve=keys('stranger'))
    borrowed = agent('agent-1', curve=keys('agent-2'))
    plain = agent('agent-2')
    async with hubs(unknown, borrowed, plain, entry=entry):
        await trio.sleep(1)
        assert not entry.peers('agent')
        for hub in (unknown, borrowed, plain):
            assert not hub.peers('entry')
        async with trio.open_nursery() as nursery:
            await nursery.start(good.run)
            good.set_entries([entry.address])
            await wait_until(lambda: good.peers('entry'))
            peer = entry.find_peer('agent-1')
            assert peer is not None and peer.boot_id == good.boot_id
            nursery.cancel_scope.cancel()


async def test_keys_can_be_left_out_only_on_purpose():
    """Guards against an insecure port because of a missing setting."""
    with pytest.raises(errors.ConfigError):
        paths.hub('entry-1', 'entry', insecure=False)


async def test_port_that_opens_late_is_reached_soon():
    """Guards against waiting for the Hello of a port that refuses.

    Without the fast attempts, an attempt at a closed port takes 2 s.
    """
    with socket.create_server(('127.0.0.1', 0)) as probe:
        port = probe.getsockname()[1]
    address = f'tcp://127.0.0.1:{port}'
    limits = adapters.PeerLimits(fast_reconnect_s=3.0)
    early = agent(limits=limits)
    entry = paths.hub('entry-1', 'entry', listen=address, limits=limits)
    async with trio.open_nursery() as nursery:
        await nursery.start(early.run)
        early.set_entries([address])
        await trio.sleep(0.5)
        await nursery.start(entry.run)
        with trio.fail_after(1.0):
            while not entry.peers('agent'):
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('fast_s', 'age_s', 'longest_s', 'hello_wait_s'),
    [
        (0.0, 0.0, 0.3, 2.0),
        (3.0, 0.0, 0.2, 0.7),
        (3.0, 2.9, 0.2, 0.7),
        (3.0, 3.0, 0.3, 2.0),
    ],
)
def test_attempts_slow_down_after_a_while(
    fast_s, age_s, longest_s, hello_wait_s
):
    """Guards against an entry that is down being tried fast for ever."""
    limits = adapters.PeerLimits(fast_reconnect_s=fast_s)
    pace = _reconnect.pace(limits, 10.0, 10.0 + age_s)
    assert pace.longest_pause_s == pytest.approx(longest_s)
    assert pace.hello_wait_s == hello_wait_s


PASS_S = 0.02
MESSAGES = 150


async def _keep_busy(pass_s=PASS_S):
    """Take processor time in each pass of the event loop."""
    while True:
        time.sleep(pass_s)  # noqa: ASYNC251 - it has to block
        await trio.lowlevel.checkpoint()


@pytest.mark.parametrize('receiver', ['entry', 'agent'])
async def test_busy_process_reads_all_waiting_messages(receiver):
    """Guards against one message of a peer for each pass of the event loop.

    On a scheduler short of processor time a pass took 25 ms and more, so that
    the reports of all agents waited for up to 11 s (issue 34).
    """
    limits = dataclasses.replace(SHORT_LIMITS, queue_messages=2 * MESSAGES)
    sender = agent(limits=limits)
    entry = paths.hub(
        'entry-1', 'entry', listen='tcp://127.0.0.1:0', limits=limits
    )
    target = entry
    if receiver == 'agent':
        sender, target = entry, sender
    numbers = []

    async def handle(peer, message, payload):
        numbers.append(message.query_id)

    target.subscribe(messages.JobStateQuery, handle)
    async with hubs(*{sender, target} - {entry}, entry=entry):
        await wait_until(lambda: sender.find_peer(target.node_id))
        async with trio.open_nursery() as nursery:
            for number in range(MESSAGES):
                query = messages.JobStateQuery(number)
                await sender.send(target.node_id, query)
            began_at = trio.current_time()
            nursery.start_soon(_keep_busy)
            await wait_until(lambda: len(numbers) == MESSAGES)
            nursery.cancel_scope.cancel()
    assert numbers == list(range(MESSAGES))
    assert trio.current_time() - began_at < MESSAGES * PASS_S / 4


async def test_busy_process_drops_no_peer_whose_messages_wait(monkeypatch):
    """Guards against a peer that is dropped because its messages wait unread.

    A pass of the loop takes 0.05 s and reads one message, as on a host where
    each takes longer than a batch may. The messages of 16 peers then wait
    for longer than a peer may be silent.
    """
    monkeypatch.setattr(_zmq_sockets, 'MAX_BATCH', 1)
    lost = []
    async with hubs() as entry:
        with contextlib.ExitStack() as stack:
            socks = []
            for number in range(16):
                hello = paths.hello(f'peer-{number}', 'agent')()
                routing_id = f'peer-{number}/{hello.boot_id}'.encode()
                sock = stack.enter_context(
                    raw_dealer(entry.address, routing_id)
                )
                socks.append((sock, hello))
            entry.listen(lambda peer: None, lost.append)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_keep_busy, 0.05)
                for sock, hello in socks:
                    sock.send(messages.pack(hello))
                    for _ in range(7):  # the queue of a peer has 8
                        sock.send(messages.pack(messages.Credit('r', 1, 1)))
                await trio.sleep(4.0)  # the last is read after 6.4 s
                nursery.cancel_scope.cancel()
            assert len(entry.peers('agent')) == len(socks)
            assert not lost
