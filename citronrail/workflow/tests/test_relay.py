"""Tests of the relay: entries cut off from the store, with submissions."""

import collections
import dataclasses

import pytest
import trio

from citronrail.model import load_settings
from citronrail.model import messages
from citronrail import ports
from citronrail import workflow
from citronrail.workflow import _documents as documents
from citronrail.workflow import _entry_ring
from citronrail.workflow import _relay
from citronrail.workflow.tests import _cluster
from standins import key_value

RELAY = load_settings.LoadSettings(relay=True)
Fault = key_value.LinkFault
JOB = '00000000000000a1'
ENTRIES = 9
CUT_S = 12.0
LATE_S = 0.6
RATE_PER_S = 10


async def _start(nursery, **fields) -> _cluster.SimulatedCluster:
    fields.setdefault('entries', ENTRIES)
    cluster = _cluster.SimulatedCluster(load=RELAY, **fields)
    await cluster.start(nursery)
    await trio.sleep(3.0)  # directories and statuses have arrived
    return cluster


def _is_stored(cluster, job_id) -> bool:
    return cluster.store.state.get(documents.JOB_PREFIX + job_id) is not None


def _followers(cluster):
    """Return the entries without the leader."""
    return [e for e in cluster.entries.values() if e is not cluster.leader]


async def _submit(entry, job_id=JOB) -> tuple[workflow.Reply, float]:
    """Submit a job; return the reply and the seconds that it took."""
    began_at = trio.current_time()
    reply = await entry.service.submit(
        _cluster.QUEUE, job_id, _cluster.one_step(), began_at + 2.5
    )
    return reply, trio.current_time() - began_at


async def _submit_during(cluster, entries, duration_s):
    """Submit jobs at a rate to the entries in turn.

    :returns: verdict and seconds of each job, by its ID.
    """
    results = {}

    async def submit(number):
        job_id = f'{number:016x}'
        entry = entries[number % len(entries)]
        results[job_id] = await _submit(entry, job_id)

    async with trio.open_nursery() as nursery:
        for number in range(int(duration_s * RATE_PER_S)):
            nursery.start_soon(submit, number)
            await trio.sleep(1 / RATE_PER_S)
    return results


def _count(cluster, results) -> collections.Counter:
    """Count outcomes, and check that each one is certain."""
    counts = collections.Counter()
    for job_id, (reply, seconds) in results.items():
        counts[reply.verdict] += 1
        counts['late'] += seconds > LATE_S
        if reply.verdict is workflow.Verdict.NOT_RUN:
            assert not _is_stored(cluster, job_id)
            assert reply.retry_after_s in (0, 1, 2)
        if reply.verdict is workflow.Verdict.DONE:
            assert _is_stored(cluster, job_id)
    return counts


@pytest.mark.parametrize('fault', list(Fault)[1:], ids=lambda f: f.value)
@pytest.mark.parametrize(
    ('with_leader', 'apart'), [(False, False), (True, False), (False, True)]
)
async def test_third_of_the_entries_without_the_store(
    fault, with_leader, apart, autojump_clock, nursery
):
    """Guards against submissions that wait or fail although a peer can
    store them.
    """
    cluster = await _start(nursery)
    cut = _followers(cluster)[: 2 if with_leader else 3]
    cut += [cluster.leader] if with_leader else []
    for entry in cut:
        entry.link.set_fault(fault)
        for other in cut:
            cluster.network.faults(entry.name, other.name).cut = apart
    results = await _submit_during(cluster, cut, CUT_S)
    await trio.sleep(5.0)
    counts = _count(cluster, results)
    assert counts[workflow.Verdict.DONE] >= 0.97 * len(results)
    assert counts['late'] <= 0.03 * len(results)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('fault', list(Fault)[1:], ids=lambda f: f.value)
async def test_entries_without_store_and_peers(fault, autojump_clock, nursery):
    """Guards against "not run" for a job that is stored, and against
    responses that are delayed when nobody reaches the store.
    """
    cluster = await _start(nursery)
    cut = _followers(cluster)[:3]
    for entry in cut:
        entry.link.set_fault(fault)
        cluster.cut(entry.name)
    results = await _submit_during(cluster, cut, CUT_S)
    await trio.sleep(5.0)
    counts = _count(cluster, results)
    assert counts[workflow.Verdict.DONE] == 0 or fault is Fault.RESET
    # The peers' silence is noticed after 1.5 s; from then on a caller should
    # try another entry at once.
    late = list(results.values())[-20:]
    assert {reply.retry_after_s for reply, _ in late} == {0}
    assert counts[workflow.Verdict.NOT_RUN] >= 0.8 * len(results)
    for entry in cut:
        entry.link.set_fault(Fault.NONE)
        cluster.cut(entry.name, False)
    await trio.sleep(1.0)
    for number, entry in enumerate(cut):
        reply, seconds = await _submit(entry, f'{number + 1000:016x}')
        assert reply.verdict is workflow.Verdict.DONE
        assert seconds < 0.1
    nursery.cancel_scope.cancel()


@pytest.fixture
def seeded_task_order(seed):
    """Let trio run the tasks that are ready in an order given by a seed."""
    run = trio._core._run
    order = run._r.getstate()
    run._ALLOW_DETERMINISTIC_SCHEDULING = True
    run._r.seed(seed)
    yield
    run._ALLOW_DETERMINISTIC_SCHEDULING = False
    run._r.setstate(order)


def _may_store(cluster, entry) -> bool:
    """Whether an entry, or a peer that it reaches, reaches the store."""

    def is_linked(other) -> bool:
        there = cluster.network.faults(entry.name, other.name)
        back = cluster.network.faults(other.name, entry.name)
        return there.drop_share < 1.0 and back.drop_share < 1.0

    return any(
        other.link.fault is Fault.NONE and (other is entry or is_linked(other))
        for other in cluster.entries.values()
    )


@dataclasses.dataclass
class _Attempts:
    """Attempts to hand one job in.

    ``chances`` counts those that began while the store could be reached.
    """

    verdicts: list[workflow.Verdict] = dataclasses.field(default_factory=list)
    chances: int = 0

    @property
    def stored(self) -> bool:
        """Whether an attempt was successful."""
        return workflow.Verdict.DONE in self.verdicts


async def _submit_with_changing_faults(cluster, nursery):
    """Submit 200 jobs while faults begin and end at any time.

    Callers repeat each job at other entries, as they do. The tasks draw from
    one generator, so that their order decides the faults.

    :returns: the attempts of each job.
    """
    entries = list(cluster.entries.values())
    attempts = collections.defaultdict(_Attempts)

    async def change_faults():
        while True:
            entry = cluster.rng.choice(entries)
            entry.link.set_fault(cluster.rng.choice(list(Fault)))
            other = cluster.rng.choice(entries)
            faults = cluster.network.faults(entry.name, other.name)
            faults.drop_share = cluster.rng.choice((0.0, 0.3, 1.0))
            faults.double_share = faults.delay_s = cluster.rng.choice((0, 0.5))
            await trio.sleep(0.3)

    async def submit(number):
        job_id = f'{number:016x}'
        for _ in range(5):
            entry = cluster.rng.choice(entries)
            attempts[job_id].chances += _may_store(cluster, entry)
            reply, seconds = await _submit(entry, job_id)
            attempts[job_id].verdicts.append(reply.verdict)
            assert seconds <= 2.0
            if reply.verdict is workflow.Verdict.DONE:
                return
            await trio.sleep(reply.retry_after_s)

    with trio.CancelScope() as changes:
        nursery.start_soon(change_faults)
        async with trio.open_nursery() as callers:
            for number in range(200):
                callers.start_soon(submit, number)
                await trio.sleep(1 / RATE_PER_S)
        changes.cancel()
    for entry in entries:
        entry.link.set_fault(Fault.NONE)
    await trio.sleep(5.0)
    return attempts


@pytest.mark.usefixtures('seeded_task_order')
@pytest.mark.parametrize('seed', range(4))
async def test_changing_faults(seed, autojump_clock, nursery):
    """Guards against wrong outcomes when faults begin and end at any time."""
    cluster = await _start(nursery, seed=seed)
    attempts = await _submit_with_changing_faults(cluster, nursery)
    for job_id, found in attempts.items():
        if found.stored:
            assert _is_stored(cluster, job_id)
        elif workflow.Verdict.UNKNOWN not in found.verdicts:
            assert not _is_stored(cluster, job_id)
    nursery.cancel_scope.cancel()


@pytest.mark.usefixtures('seeded_task_order')
@pytest.mark.parametrize('seed', [0, 1, 2, 3, 37])
async def test_changing_faults_leave_most_jobs_stored(
    seed, autojump_clock, nursery
):
    """Guards against callers that give up while an entry reaches the store.

    Four of five entries are without it, at times all of them. A job has a
    chance if two of its attempts began while the store could be reached.
    """
    cluster = await _start(nursery, seed=seed)
    attempts = await _submit_with_changing_faults(cluster, nursery)
    stored = sum(found.stored for found in attempts.values())
    with_chance = sum(
        found.stored or found.chances > 1 for found in attempts.values()
    )
    assert with_chance >= 0.6 * len(attempts)
    assert stored >= 0.9 * with_chance
    nursery.cancel_scope.cancel()


async def test_entries_without_peers_still_store(autojump_clock, nursery):
    """Guards against a relay where the entry itself reaches the store."""
    cluster = await _start(nursery)
    cut = _followers(cluster)[:3]
    for entry in cut:
        cluster.cut(entry.name)
    results = await _submit_during(cluster, cut, CUT_S)
    counts = _count(cluster, results)
    assert counts[workflow.Verdict.DONE] == len(results)
    assert counts['late'] == 0
    nursery.cancel_scope.cancel()


async def test_store_down_for_all(autojump_clock, nursery):
    """Guards against held submissions and useless calls in an outage."""
    cluster = await _start(nursery)
    entries = list(cluster.entries.values())
    for entry in entries:
        entry.link.set_fault(Fault.REFUSED)
    await trio.sleep(1.0)
    calls = cluster.store.calls.copy()
    results = await _submit_during(cluster, entries, CUT_S)
    assert all(seconds < 0.05 for _, seconds in results.values())
    counts = _count(cluster, results)
    assert counts[workflow.Verdict.NOT_RUN] == len(results)
    assert all(reply.retry_after_s for reply, _ in results.values())
    assert cluster.store.calls == calls
    assert not workflow.serves_callers(entries[0].operators, entries[0].relay)
    nursery.cancel_scope.cancel()


async def test_lost_answer_then_the_same_submission_elsewhere(
    autojump_clock, nursery
):
    """Guards against a second job, or "not run", after a lost answer."""
    cluster = await _start(nursery, entries=4)
    entry, other, *_ = _followers(cluster)
    entry.link.set_fault(Fault.REFUSED)
    await trio.sleep(1.0)
    for name in cluster.entries:
        cluster.network.faults(name, entry.name).drop_share = 1.0
    reply, _ = await _submit(entry)
    assert reply.verdict is workflow.Verdict.UNKNOWN
    assert _is_stored(cluster, JOB)
    again, _ = await _submit(other)
    assert again.verdict is workflow.Verdict.DONE
    await cluster.until_state(JOB, 'completed')
    assert cluster.history.tasks.keys() == {f'{JOB}.0.0.0'}
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('first', 'fault', 'expected'),
    [
        (Fault.NONE, Fault.REFUSED, workflow.Verdict.DONE),
        (Fault.NONE, Fault.SILENT, workflow.Verdict.DONE),
        (Fault.SILENT, Fault.REFUSED, workflow.Verdict.UNKNOWN),
    ],
)
async def test_repeated_submission_is_not_rejected(
    first, fault, expected, autojump_clock, nursery
):
    """Guards against "not run" for a job that an earlier attempt stored."""
    cluster = await _start(nursery, entries=1)
    entry = cluster.entries['e0']
    entry.link.set_fault(first)
    await _submit(entry)
    entry.link.set_fault(fault)
    await trio.sleep(1.0)
    reply, _ = await _submit(entry)
    assert reply.verdict is expected
    other, _ = await _submit(entry, '00000000000000a2')
    assert other.verdict is workflow.Verdict.NOT_RUN
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('unfit', [False, True])
async def test_earlier_acknowledgement_is_not_repeated_for_ever(
    unfit, autojump_clock, nursery
):
    """Guards against a 2xx for a job that isn't stored any more.

    It ended, its keys were deleted, and then it is submitted once more.
    """
    cluster = await _start(nursery, entries=1, cpu_millis=1000)
    entry = cluster.entries['e0']
    reply, _ = await _submit(entry)
    assert reply.verdict is workflow.Verdict.DONE
    await trio.sleep(200.0)
    key = documents.JOB_PREFIX + JOB
    await cluster.store.txn([], [ports.Delete(key)])
    spec = _cluster.one_step(1, cpu_millis=9000 if unfit else 100)
    if not unfit:
        entry.link.set_fault(Fault.REFUSED)
        await trio.sleep(1.0)
    reply = await entry.service.submit(
        _cluster.QUEUE, JOB, spec, trio.current_time() + 2.5
    )
    assert reply.verdict is not workflow.Verdict.DONE
    nursery.cancel_scope.cancel()


async def test_cancellation_and_state_are_relayed(autojump_clock, nursery):
    """Guards against jobs that can't be cancelled or seen in a cut."""
    cluster = await _start(nursery, entries=4)
    entry = _followers(cluster)[0]
    await _submit(entry)
    entry.link.set_fault(Fault.SILENT)
    cluster.network.faults(cluster.leader.name, entry.name).cut = True
    await trio.sleep(2.0)
    began_at = trio.current_time()
    state = await entry.service.state(JOB, began_at + 2.5)
    assert state.verdict is workflow.Verdict.DONE
    reply = await entry.service.cancel(JOB, began_at + 2.5)
    assert reply.verdict is workflow.Verdict.DONE
    absent = await entry.service.cancel('f' * 16, began_at + 2.5)
    assert absent.verdict is workflow.Verdict.ABSENT
    assert trio.current_time() - began_at < 0.5
    assert workflow.serves_callers(entry.operators, entry.relay)
    nursery.cancel_scope.cancel()


async def test_leader_without_the_store_refuses_relays(
    autojump_clock, nursery
):
    """Guards against a relay that ends at an entry that is cut off too."""
    cluster = await _start(nursery, entries=2)
    leader, (entry,) = cluster.leader, _followers(cluster)
    replies = []

    async def on_reply(peer, reply, payload):
        replies.append(reply)

    entry.hub.subscribe(messages.RelayReply, on_reply)
    leader.link.set_fault(Fault.REFUSED)
    await trio.sleep(0.5)
    await entry.hub.send(
        leader.hub.node_id,
        messages.RelayRequest(7, 'submit', JOB, b'', 1.0),
    )
    await trio.sleep(0.1)
    assert [reply.verdict for reply in replies] == ['not run']
    assert leader.hub.node_id not in entry.ring.relay_peers()
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'request_',
    [
        messages.RelayRequest(7, 'submit', JOB, b'\xff\x00', 1.0),
        messages.RelayRequest(7, 'submit', JOB, b'', 1.0),
        messages.RelayRequest(7, 'other', JOB, b'', 1.0),
        messages.RelayRequest(7, 'cancel', '', b'', 1.0),
        messages.RelayRequest(7, 'state', JOB, b'', float('nan')),
        messages.RelayRequest(7, 'state', JOB, b'', -1.0),
        messages.RelayReply(7, 'no such verdict'),
        messages.EntryDirectory(2**62, (('zz', 'nowhere'),)),
    ],
)
async def test_malformed_message_ends_nothing(
    request_, autojump_clock, nursery
):
    """Guards against an entry that ends on a message of another version."""
    cluster = await _start(nursery, entries=3)
    entry, other = _followers(cluster)
    await other.hub.send(entry.hub.node_id, request_)
    await trio.sleep(0.5)
    assert not _is_stored(cluster, JOB)
    other.link.set_fault(Fault.REFUSED)
    await trio.sleep(1.0)
    reply, _ = await _submit(other)
    assert reply.verdict is workflow.Verdict.DONE
    nursery.cancel_scope.cancel()


async def test_stale_status_is_not_believed(autojump_clock, nursery):
    """Guards against relays to peers that have become silent."""
    cluster = await _start(nursery, entries=3)
    entry, other = _followers(cluster)
    assert other.hub.node_id in entry.ring.relay_peers()
    cluster.network.faults(other.name, entry.name).cut = True
    await trio.sleep(_entry_ring.MAX_STATUS_AGE_S + 0.1)
    assert other.hub.node_id not in entry.ring.relay_peers()
    assert entry.ring.is_silent(other.hub.node_id)
    nursery.cancel_scope.cancel()


async def test_copy_of_a_refused_relay_is_not_performed(
    autojump_clock, nursery
):
    """Guards against a job that is stored after "not run" was returned."""
    cluster = await _start(nursery, entries=2)
    leader, (entry,) = cluster.leader, _followers(cluster)
    record = documents.encode(
        documents.JobRecord(JOB, 'queue', 'pool', 0.0, _cluster.one_step())
    )
    request = messages.RelayRequest(7, 'submit', JOB, record, 1.0)
    leader.link.set_fault(Fault.REFUSED)
    await trio.sleep(0.5)
    await entry.hub.send(leader.hub.node_id, request)
    await trio.sleep(0.1)
    leader.link.set_fault(Fault.NONE)
    await trio.sleep(1.0)
    await entry.hub.send(leader.hub.node_id, request)
    await trio.sleep(1.0)
    assert not _is_stored(cluster, JOB)
    nursery.cancel_scope.cancel()


async def test_directory_with_entries_that_are_gone(autojump_clock, nursery):
    """Guards against an entry without peers after others have gone."""
    cluster = await _start(nursery, entries=6)
    entry = _followers(cluster)[0]
    connected = []
    entry.ring._connect = connected.append
    order = _entry_ring.successors(entry.name, cluster.entries)
    gone = [name for name in order if name != cluster.leader.name][:2]
    for name in gone:
        cluster.kill_entry(name)
    await trio.sleep(2 * _entry_ring.CONNECT_WAIT_S + 1.5)
    assert set(gone) < set(entry.ring.directory)
    left = [name for name in order if name not in gone][:2]
    assert set(connected[-1]) == {
        f'tcp://{name}' for name in (*left, cluster.leader.name)
    }
    entry.link.set_fault(Fault.REFUSED)
    await trio.sleep(1.0)
    reply, seconds = await _submit(entry)
    assert reply.verdict is workflow.Verdict.DONE
    assert seconds < LATE_S
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('own', 'nodes', 'expected'),
    [
        ('b', 'abcd', ('c', 'd', 'a')),
        ('d', 'abcd', ('a', 'b', 'c')),
        ('x', 'abcd', ('a', 'b', 'c', 'd')),
        ('a', 'a', ()),
        ('a', '', ()),
    ],
)
def test_ring_order(own, nodes, expected):
    """Guards against an entry that is its own neighbour."""
    assert _entry_ring.successors(own, nodes) == expected


def test_relay_order_crosses_data_centres():
    """Guards against asking only peers that lose the store together."""
    peers = [
        _entry_ring.RelayPeer(name, data_centre, name == 'c')
        for name, data_centre in [
            ('a', 'x'),
            ('c', 'x'),
            ('d', 'y'),
            ('e', 'x'),
        ]
    ]
    assert _entry_ring.relay_order('b', 'x', peers) == ('e', 'd', 'a', 'c')


@pytest.mark.parametrize(
    ('unanswered', 'verdicts', 'expected'),
    [
        (0, [], workflow.Verdict.NOT_RUN),
        (0, [workflow.Verdict.NOT_RUN] * 2, workflow.Verdict.NOT_RUN),
        (1, [workflow.Verdict.NOT_RUN], workflow.Verdict.UNKNOWN),
        (0, [workflow.Verdict.UNKNOWN], workflow.Verdict.UNKNOWN),
    ],
)
def test_only_answered_relays_are_certain(unanswered, verdicts, expected):
    """Guards against "not run" while a peer may still store the job."""
    assert _relay.combine(unanswered, verdicts) is expected


V = workflow.Verdict


@pytest.mark.parametrize(
    ('own', 'certain', 'relayed', 'expected'),
    [
        (None, True, V.NOT_RUN, V.NOT_RUN),
        (None, False, V.NOT_RUN, V.UNKNOWN),
        (None, True, V.UNKNOWN, V.UNKNOWN),
        (None, False, V.DONE, V.DONE),
        (None, False, V.UNFIT, V.UNKNOWN),
        (None, True, V.UNFIT, V.UNFIT),
        (V.NOT_RUN, True, V.NOT_RUN, V.NOT_RUN),
        (V.NOT_RUN, True, V.UNKNOWN, V.UNKNOWN),
        (V.UNKNOWN, False, V.NOT_RUN, V.UNKNOWN),
        (V.UNKNOWN, False, V.DONE, V.DONE),
        (V.DONE, False, V.UNKNOWN, V.DONE),
        (V.UNFIT, True, V.UNKNOWN, V.UNKNOWN),
        (V.UNFIT, True, V.NOT_RUN, V.UNFIT),
        (V.ABSENT, True, V.NOT_RUN, V.ABSENT),
    ],
)
def test_outcome_of_own_calls_and_relays(own, certain, relayed, expected):
    """Guards against a certain answer while a write may take effect."""
    assert _relay.outcome(own, certain, relayed) is expected


def test_periodic_messages_are_small():
    """Guards against traffic between data centres that grows unnoticed."""
    assert len(messages.pack(messages.StoreStatus(True))) <= 40
    entries = tuple((f'entry-{n}', f'tcp://10.0.{n}.1:9000') for n in range(9))
    directory = messages.EntryDirectory(123456, entries)
    assert len(messages.pack(directory)) <= 400
