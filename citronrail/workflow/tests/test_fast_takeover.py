"""Tests of resumed leaderships and of failovers after a loss of all entries.

Load: a store outage of a few seconds with jobs open, and the loss of all
processes at once.
"""

import contextlib
import dataclasses
import time

import pytest
import trio

from citronrail.model import load_settings
from citronrail.model import messages
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _takeover
from citronrail.workflow.tests import _cluster
from standins import task_worker

FAST = load_settings.LoadSettings(fast_takeover=True)
JOBS = [f'{number:016x}' for number in range(40)]
FIRST_TASK = '{}.0.0.0'


class LinkedStore:
    """The store as one entry reaches it; ``cut`` delays its calls."""

    def __init__(self, cluster: 'GuardedCluster', name: str) -> None:
        self._cluster = cluster
        self._name = name
        self.cut = False

    def __getattr__(self, method):
        async def call(*args):
            if method == 'txn' and any(
                write.key == documents.COMMIT_KEY for write in args[1]
            ):
                self._cluster.check_valid(self._name, 'commit')
            while self.cut:
                await trio.sleep(0.01)
            return await getattr(self._cluster.store, method)(*args)

        return call

    @contextlib.asynccontextmanager
    async def watch(self, prefix, start_revision):
        async with self._cluster.store.watch(prefix, start_revision) as events:
            yield self._delayed(events)

    async def _delayed(self, events):
        async for batch in events:
            while self.cut:
                await trio.sleep(0.01)
            yield batch


class GuardedCluster(_cluster.SimulatedCluster):
    """A cluster that records acts on a leadership that isn't valid."""

    def __init__(self, **kwargs) -> None:
        super().__init__(**kwargs)
        self.invalid_acts: list[str] = []
        self.default_plan = task_worker.TaskPlan(work_s=8.0)

    def store_of(self, name):
        return LinkedStore(self, name)

    def check_valid(self, name, kind):
        """Record an act of an entry whose leadership isn't valid."""
        term = self.entries[name].election.term
        if term is None or not term._leadership.valid:
            self.invalid_acts.append(f'{kind} of {name}')

    def start_entry(self, name):
        entry = super().start_entry(name)
        send = entry.hub.send

        async def checked_send(peer, message, payload=None):
            if isinstance(message, messages.WorkerOrders):
                if message.starts:
                    self.check_valid(name, 'start')
                leadership = entry.election.term._leadership
                if (
                    message.lease_until_ms
                    and trio.current_time() > leadership.extend_until
                ):
                    self.invalid_acts.append(f'extension by {name}')
            await send(peer, message, payload)

        entry.hub.send = checked_send
        return entry

    async def watch_leaders(self) -> None:
        """Record times at which two entries hold a valid leadership."""
        while True:
            terms = [e.election.term for e in self.entries.values()]
            valid = [t for t in terms if t and t._leadership.valid]
            if len(valid) > 1:
                self.invalid_acts.append('two leaders')
            await trio.sleep(0.01)


async def _loaded_cluster(nursery, load=FAST, jobs=3, **kwargs):
    cluster = GuardedCluster(
        **{'entries': 3, 'workers': 3, 'load': load, **kwargs}
    )
    await cluster.start(nursery)
    for job_id in JOBS[:jobs]:
        await cluster.submit(job_id, _cluster.one_step(3, estimate_s=8.0))
    await cluster.until(lambda: len(cluster.history.tasks) == 3 * jobs)
    return cluster


async def _time_of_first_start(cluster, job_id):
    """Return how long after now the first task of a job starts."""
    began_at = trio.current_time()
    task = FIRST_TASK.format(job_id)
    while task not in cluster.history.tasks:
        assert trio.current_time() < began_at + 20.0
        await trio.sleep(0.01)
    return trio.current_time() - began_at


def _assert_no_task_run_twice(cluster):
    assert cluster.history.violations == []
    starts = [len(r.starts) for r in cluster.history.tasks.values()]
    assert set(starts) == {1}


def _token(cluster):
    return cluster.leader.election.term._leadership.fencing


async def _store_job(cluster, job_id):
    """Store a job that the leader learns of only from the store."""
    cluster.plans[job_id] = task_worker.TaskPlan(work_s=1.0)
    record = documents.JobRecord(
        job_id, 'queue', 'pool', time.time(), _cluster.one_step(1)
    )
    await cluster.store.txn(
        [],
        [ports.Put(documents.JOB_PREFIX + job_id, documents.encode(record))],
    )


async def _complete_all(cluster, *job_ids):
    for job_id in job_ids:
        await cluster.until_state(job_id, 'completed')
    _assert_no_task_run_twice(cluster)
    assert cluster.invalid_acts == []


async def _start_after_outage(nursery, load, outage_s, pauses):
    cluster = await _loaded_cluster(nursery, load)
    token = _token(cluster)
    # Ends in the outage, so that a commit is under way when the lease lapses.
    cluster.plans[JOBS[11]] = task_worker.TaskPlan(work_s=1.0)
    await cluster.submit(JOBS[11], _cluster.one_step(1))
    await _time_of_first_start(cluster, JOBS[11])
    cluster.store.set_faults(outage=True, pause_leases=pauses)
    await trio.sleep(outage_s)
    cluster.store.set_faults(outage=False)
    await _store_job(cluster, JOBS[10])
    seconds = await _time_of_first_start(cluster, JOBS[10])
    resumed = _token(cluster) == token
    for job_id in (*JOBS[:3], JOBS[10], JOBS[11]):
        await cluster.until_state(job_id, 'completed')
    _assert_no_task_run_twice(cluster)
    if load.fast_takeover:
        assert cluster.invalid_acts == []
    return seconds, resumed


@pytest.mark.parametrize(
    ('outage_s', 'pauses', 'before_s', 'after_s', 'resumes'),
    [
        (1.0, True, 0.25, 0.05, True),
        (1.0, False, 0.25, 0.05, True),
        (3.0, True, 2.0, 0.2, True),
        (3.0, False, 0.35, 0.2, False),
        (5.0, True, 2.0, 0.2, True),
        (5.0, False, 0.35, 0.2, False),
    ],
)
async def test_starts_go_on_after_an_outage(
    outage_s, pauses, before_s, after_s, resumes, autojump_clock
):
    """Guards against starts that wait for a lease after the store is back.

    The leases in the store pause during its outage, or they expire.
    """
    for load, limit_s in ((load_settings.OFF, before_s), (FAST, after_s)):
        async with trio.open_nursery() as nursery:
            seconds, resumed = await _start_after_outage(
                nursery, load, outage_s, pauses
            )
            nursery.cancel_scope.cancel()
        assert limit_s - 0.25 < seconds < limit_s
    assert resumed == resumes


@pytest.mark.parametrize('cut_s', [1.4, 1.9, 1.98, 2.0, 2.02, 2.1, 4.0])
async def test_one_leader_acts_when_a_lease_ends(cut_s, autojump_clock):
    """Guards against a leader that resumes while another has claimed.

    Only the leader's calls are delayed, about as long as its lease lasts.
    """
    async with trio.open_nursery() as nursery:
        cluster = await _loaded_cluster(nursery)
        nursery.start_soon(cluster.watch_leaders)
        leader, token = cluster.leader, _token(cluster)
        leader.store.cut = True
        await trio.sleep(cut_s)
        leader.store.cut = False
        await _store_job(cluster, JOBS[10])
        await _complete_all(cluster, *JOBS[:3], JOBS[10])
        replaced = _token(cluster) != token
        assert replaced or cut_s < 2.1
        assert leader is cluster.leader or leader.election.term is None
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('paused_s', [1.0, 2.5, 6.0, 30.0])
async def test_paused_leader_does_nothing_on_its_old_lease(
    paused_s, autojump_clock
):
    """Guards against a leader that acts on a lease that ran out in a pause.

    The clock jumps while jobs wait to be placed and committed.
    """
    async with trio.open_nursery() as nursery:
        cluster = await _loaded_cluster(nursery)
        nursery.start_soon(cluster.watch_leaders)
        cluster.plans.update(
            {job: task_worker.TaskPlan(work_s=1.0) for job in JOBS[5:10]}
        )
        for number, job_id in enumerate(JOBS[5:10]):
            await cluster.submit(job_id, _cluster.one_step(2))
            await trio.sleep(0.01 * number)
            autojump_clock.jump(paused_s if number == 2 else 0.0)
        for job_id in (*JOBS[:3], *JOBS[5:10]):
            await cluster.until_state(job_id, 'completed')
        assert cluster.history.violations == []
        assert cluster.invalid_acts == []
        nursery.cancel_scope.cancel()


async def _lose_all(cluster, restarted=None):
    """Kill all processes, and start them again 0.7 s later."""
    agents = {name: agent.worker for name, agent in cluster.agents.items()}
    entries = list(cluster.entries)
    for name in entries:
        cluster.kill_entry(name)
    for name in agents:
        cluster.kill_agent(name)
    await trio.sleep(0.7)
    for name in restarted or entries:
        cluster.start_entry(name)
    for name, worker in agents.items():
        cluster.start_agent(name, worker)


@pytest.mark.parametrize(
    ('load', 'restarts_leader', 'least_s', 'limit_s'),
    [
        (load_settings.OFF, True, 1.0, 2.2),
        (FAST, True, 0.0, 0.4),
        # Another address doesn't prove that the leader is dead.
        (FAST, False, 0.9, 2.0),
    ],
    ids=['off', 'same address', 'other address'],
)
async def test_loss_of_all_processes(
    load, restarts_leader, least_s, limit_s, autojump_clock
):
    """Guards against waiting for the lease of a process that is dead."""
    async with trio.open_nursery() as nursery:
        cluster = await _loaded_cluster(nursery, load, jobs=30, workers=6)
        nursery.start_soon(cluster.watch_leaders)
        leader = cluster.leader.name
        others = [name for name in cluster.entries if name != leader]
        await _lose_all(cluster, None if restarts_leader else others)
        await _store_job(cluster, JOBS[35])
        seconds = await _time_of_first_start(cluster, JOBS[35])
        assert least_s <= seconds < limit_s
        for job_id in (*JOBS[:30], JOBS[35]):
            await cluster.until_state(job_id, 'completed')
        _assert_no_task_run_twice(cluster)
        assert 'two leaders' not in cluster.invalid_acts
        nursery.cancel_scope.cancel()


async def test_reports_before_the_jobs_are_loaded_stop_no_run(autojump_clock):
    """Guards against a successor that stops runs of jobs not loaded yet."""
    async with trio.open_nursery() as nursery:
        cluster = await _loaded_cluster(nursery)
        cluster.store.set_faults(delay_s=0.2)
        cluster.kill_entry(cluster.leader.name)
        await _complete_all(cluster, *JOBS[:3])
        nursery.cancel_scope.cancel()


CLAIM = _takeover.Claim(revision=7, lease_id=3)
KEY = ports.KeyValue(documents.LEADER_KEY, b'', 7, 3)
OWN = documents.LeaderRecord('e0', 'boot-2', 'tcp://e0')


@pytest.mark.parametrize(
    ('item', 'now', 'verdict'),
    [
        (KEY, 1.9, _takeover.Verdict.RESUME),
        (KEY, 2.0, _takeover.Verdict.RENEW_AGAIN),
        (None, 1.0, _takeover.Verdict.END),
        (dataclasses.replace(KEY, revision=8), 1.0, _takeover.Verdict.END),
        (dataclasses.replace(KEY, lease_id=4), 1.0, _takeover.Verdict.END),
    ],
)
def test_only_the_own_key_and_lease_are_resumed(item, now, verdict):
    """Guards against resuming on another key, lease or an old renewal."""
    assert _takeover.judge_renewal(CLAIM, item, 2.0, now) is verdict


@pytest.mark.parametrize(
    ('leader', 'dead'),
    [
        (None, False),
        (documents.LeaderRecord('e0', 'boot-1', 'tcp://e0'), True),
        (documents.LeaderRecord('e1', 'boot-1', 'tcp://e1'), False),
        (documents.LeaderRecord('e1', 'boot-1', 'tcp://e0'), False),
    ],
)
def test_only_a_predecessor_at_the_own_address_is_dead(leader, dead):
    """Guards against ending the lease of a leader that may live."""
    assert _takeover.holds_dead_claim(leader, OWN) is dead


@pytest.mark.parametrize('load', [load_settings.OFF, FAST], ids=['off', 'on'])
async def test_term_ends_once_a_listing_shows_no_leader(
    load, autojump_clock, nursery
):
    """Guards against accepted jobs that wait for a leader that isn't one.

    The lease expires in an outage, and the only entry learns of it from a
    listing, as all watches were lost.
    """
    cluster = _cluster.SimulatedCluster(entries=1, load=load)
    await cluster.start(nursery)
    await cluster.submit(JOBS[0], _cluster.one_step(1))
    await cluster.until_state(JOBS[0], 'completed')
    cluster.store.set_faults(outage=True)
    await trio.sleep(2.5)
    cluster.store.set_faults(outage=False)
    await cluster.submit(JOBS[1], _cluster.one_step(1))
    took_s = await _time_of_first_start(cluster, JOBS[1])
    assert took_s <= 3.0
    nursery.cancel_scope.cancel()
