"""Tests of the scheduler's features for users and operators, end to end."""

import dataclasses

import pytest
import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail import observability
from citronrail import scheduling
from citronrail.scheduling import _policies
from citronrail.scheduling.tests import _cluster
from citronrail.scheduling.tests import _facts


class _StubPressurePolicy:
    """Pressure policy that returns the actions chosen by the test."""

    def __init__(self, decide) -> None:
        self.decide = decide

    def relieve(self, running, agents, waiting, now):
        return self.decide(running)


async def _run(scenario, agents=3, entries=1, prepare=None):
    async with trio.open_nursery() as nursery:
        cluster = _cluster.Cluster(nursery, agents=agents)
        if prepare is not None:
            prepare(cluster)
        await cluster.start()
        for number in range(1, entries + 1):
            await cluster.add_entry(f'entry{number}', own_shard=number == 1)
        await trio.sleep(4.0)
        await scenario(cluster)
        nursery.cancel_scope.cancel()


def _row(cluster, job='rota'):
    rows = cluster.owner.scheduler.rows('jobs')
    return next(row for row in rows if row.job == job)


def _service(replicas=2, **fields):
    return specs.ServiceSpec(
        identifiers.ServiceName('seats'),
        identifiers.TeamName('cantabrico'),
        identifiers.WorkClass('seats'),
        replicas,
        resources.Resources(1000, 1000),
        **fields,
    )


def _agents_with_service(cluster):
    return [a for a in cluster.agents.values() if a.worker.core.services()]


async def test_urgent_work_starts_within_3_s_behind_a_queue(autojump_clock):
    """Guards against urgent tasks that wait behind thousands of others."""

    async def scenario(cluster):
        scheduler = cluster.owner.scheduler
        await scheduler.submit(_cluster.job('bulk', 5000, run_s=4.0), 'c1')
        await trio.sleep(6.0)
        submitted_at = trio.current_time()
        await scheduler.submit(
            _cluster.job('gate', 1, priority=specs.Priority.URGENT), 'c2'
        )
        await trio.sleep(6.0)
        started = [
            record.at
            for record in cluster.history()
            if record.event == 'start' and record.attempt.task.owner == 'gate'
        ]
        assert len(started) == 1
        assert started[0] - submitted_at <= 4.0 + 1.0
        free_at = min(
            record.at
            for record in cluster.history()
            if record.event == 'finished' and record.at >= submitted_at
        )
        assert started[0] - max(submitted_at, free_at) <= 3.0

    await _run(scenario)


async def test_unsatisfiable_size_is_refused_with_a_reason(autojump_clock):
    """Guards against a job that stays pending forever without an error."""

    async def scenario(cluster):
        spec = _cluster.job(size=resources.Resources(5000, 1))
        with pytest.raises(errors.CommandRefused, match='no worker has'):
            await cluster.owner.scheduler.submit(spec, 'c')
        assert cluster.owner.scheduler.rows('jobs') == ()

    await _run(scenario)


async def test_cancellation_races_with_starts_and_ends(autojump_clock):
    """Guards against tasks that start or are counted twice after a cancel."""

    async def scenario(cluster):
        scheduler = cluster.owner.scheduler
        for number in range(20):
            name = f'job{number}'
            await scheduler.submit(
                _cluster.job(name, 12, run_s=0.3 + number * 0.01), name
            )
            await trio.sleep(number * 0.05)
            result = await scheduler.cancel(
                lambda job, name=name: job.job_id == name, f'x{number}'
            )
            again = await scheduler.cancel(
                lambda job, name=name: job.job_id == name, f'x{number}'
            )
            assert (again.tasks, again.failed) == (result.tasks, ())
        await trio.sleep(10.0)
        finished = _facts.finishes(cluster.history())
        for number in range(20):
            row = _row(cluster, f'job{number}')
            assert row.running == row.pending == 0
            assert row.finished + row.cancelled == 12
            done = [t for t in finished if t.owner == f'job{number}']
            assert len(done) == row.finished
        assert not _facts.overlaps(cluster.history(), lambda a: a.task)

    await _run(scenario)


async def test_single_tasks_of_a_job_are_cancelled(autojump_clock):
    """Guards against cancelling the other tasks of the same job."""

    async def scenario(cluster):
        scheduler = cluster.owner.scheduler
        await scheduler.submit(_cluster.job('rota', 40, run_s=20.0), 'c')
        await trio.sleep(5.0)
        pending = _row(cluster).pending
        assert pending
        for _ in range(2):
            result = await scheduler.cancel_tasks(
                lambda row: row.state == 'pending', 'x'
            )
            assert (result.tasks, result.failed) == (pending, ())
        states = {row.state for row in scheduler.rows('tasks')}
        assert states == {'running', 'cancelled'}
        await trio.sleep(40.0)
        row = _row(cluster)
        assert (row.state, row.cancelled) == ('finished', pending)
        assert row.finished == 40 - pending

    await _run(scenario)


async def test_pressure_policy_throttles_and_evicts(autojump_clock):
    """Guards against throttles or evictions that don't reach the worker.

    Also checks that a new owner lifts a throttle that it doesn't know.
    """
    pending_actions = []

    def decide(running):
        found, pending_actions[:] = list(pending_actions), []
        return tuple(make(view) for make, view in zip(found, running))

    def prepare(cluster):
        cluster.policies = lambda: dataclasses.replace(
            scheduling.default_policies(), pressure=_StubPressurePolicy(decide)
        )

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=1, run_s=60.0), 'c'
        )
        await trio.sleep(3.0)
        pending_actions.append(
            lambda view: _policies.Throttle(view.attempt, 0.5)
        )
        await trio.sleep(3.0)
        assert _states(cluster) == ['throttled']
        cluster.kill_entry('entry1')
        await trio.sleep(15.0)
        assert _states(cluster) == ['running']
        pending_actions.append(
            lambda view: _policies.Evict(view.attempt, 'pressure')
        )
        await trio.sleep(5.0)
        resumed = _facts.resumes(cluster.history())
        assert list(resumed.values()) == [1]
        assert _states(cluster) == ['running']

    await _run(scenario, entries=2, prepare=prepare)


def _states(cluster):
    return [
        task.state
        for agent in cluster.agents.values()
        for task in agent.worker.core.tasks().running
    ]


async def test_job_that_fails_everywhere_is_parked(autojump_clock):
    """Guards against endless retries of a job that fails on all workers."""

    async def scenario(cluster):
        argument = '{"run_s": 0.2, "fail": "no headcount"}'
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=2, argument=argument), 'c'
        )
        await trio.sleep(40.0)
        row = _row(cluster)
        assert row.state == 'parked'
        assert 'no headcount' in row.reason
        workers = {
            agent.name
            for agent in cluster.agents.values()
            if agent.worker.core.history
        }
        assert len(workers) == 3
        await cluster.owner.scheduler.resume(identifiers.JobId('rota'))
        assert _row(cluster).state == 'active'

    await _run(scenario)


async def test_drained_worker_is_emptied_and_gets_no_tasks(autojump_clock):
    """Guards against tasks that stay on or start at a drained worker."""

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=8, run_s=30.0), 'c'
        )
        await trio.sleep(4.0)
        cluster.settings = dataclasses.replace(
            cluster.settings,
            version=cluster.settings.version + 1,
            drained_workers=(identifiers.NodeId('agent1'),),
        )
        await trio.sleep(8.0)
        agent = cluster.agents['agent1']
        drained_at = trio.current_time()
        assert agent.worker.core.tasks().running == ()
        await trio.sleep(60.0)
        assert _row(cluster).state == 'finished'
        assert not [
            record
            for record in agent.worker.core.history
            if record.event == 'start' and record.at > drained_at - 5.0
        ]

    await _run(scenario)


async def test_task_without_checkpoints_may_finish_in_a_drain(autojump_clock):
    """Guards against discarding the work of a task that is about to finish."""

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=6, run_s=30.0, checkpointable=False), 'c'
        )
        await trio.sleep(4.0)
        cluster.set_data_centre('Leicester', False)
        await trio.sleep(40.0)
        assert _row(cluster).state == 'finished'
        starts = [r for r in cluster.history() if r.event == 'start']
        assert len(starts) == 6

    await _run(scenario)


async def test_lost_checkpoint_restarts_the_task_once(autojump_clock):
    """Guards against a task that is refused forever or restarted twice."""
    recorder = observability.Recorder('test')
    observability.use_recorder(recorder)

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=3, run_s=20.0), 'c'
        )
        await trio.sleep(5.0)
        cluster.checkpoints.get = _checkpoint_store_without_data(
            cluster.checkpoints
        )
        cluster.set_data_centre('Leicester', False)
        await trio.sleep(60.0)
        lost = len(cluster.checkpoints.kept)
        assert lost
        row = _row(cluster)
        assert (row.state, row.finished) == ('finished', 3)
        starts = [r for r in cluster.history() if r.event == 'start']
        assert len(starts) == 3 + lost
        assert not any(record.detail for record in starts)
        events = [r for r in recorder.records() if r.number == 1419]
        assert len(events) == lost
        assert len({record.text for record in events}) == lost

    await _run(scenario)


def _checkpoint_store_without_data(checkpoints):
    """Return a ``get`` of a checkpoint store that has lost its data."""

    async def get(token):
        await trio.lowlevel.checkpoint()
        assert token in checkpoints.kept

    return get


async def test_replicas_follow_the_configured_count(autojump_clock):
    """Guards against services with too few or too many replicas."""

    async def scenario(cluster):
        for wanted in (3, 1, 2, 0):
            cluster.set_service(_service(wanted))
            await trio.sleep(6.0)
            assert len(_states(cluster)) == wanted
        cluster.set_service(_service(3))
        await trio.sleep(6.0)
        places = {agent.data_centre for agent in _agents_with_service(cluster)}
        assert len(places) == 3, 'replicas are spread over data centres'
        cluster.set_service(_service(3, draining=True))
        await trio.sleep(6.0)
        assert _states(cluster) == []

    await _run(scenario)


async def test_changed_service_is_replaced_one_by_one(autojump_clock):
    """Guards against replicas of the old size and against missing ones."""

    def running(cluster):
        return [
            task.spec.resources.millicores
            for agent in cluster.agents.values()
            for task in agent.worker.core.tasks().running
        ]

    async def scenario(cluster):
        cluster.set_service(_service(3))
        await trio.sleep(6.0)
        assert running(cluster) == [1000] * 3
        changed = _service(3)
        for spec in (
            dataclasses.replace(
                changed, resources=resources.Resources(1500, 1000)
            ),
            dataclasses.replace(
                changed,
                data_centres=(identifiers.DataCentreName('Leicester'),),
            ),
        ):
            before = len([r for r in cluster.history() if r.event == 'start'])
            cluster.set_service(spec)
            for _ in range(300):
                await trio.sleep(0.1)
                assert 3 <= len(running(cluster)) <= 4
            assert running(cluster) == [spec.resources.millicores] * 3
            starts = [r for r in cluster.history() if r.event == 'start']
            assert len(starts) - before == 3
        assert {a.data_centre for a in _agents_with_service(cluster)} == {
            'Leicester'
        }

    await _run(scenario, agents=6)


async def test_move_is_logged_once_however_long_it_takes(autojump_clock):
    """Guards against a timeline event for each second of a move."""
    recorder = observability.Recorder('test')
    observability.use_recorder(recorder)

    async def scenario(cluster):
        cluster.set_service(_service(2))
        await trio.sleep(6.0)
        cluster.pause_permits = True  # no replacement can start
        for name in _cluster.DATA_CENTRES:
            cluster.set_data_centre(name, False)
        await trio.sleep(20.0)
        events = [r.text for r in recorder.records() if r.number == 1415]
        assert len(events) == len(set(events)) == 2

    await _run(scenario)


async def test_replica_is_replaced_after_its_host_is_lost(autojump_clock):
    """Guards against a service that lacks a replica after a host failure."""

    async def scenario(cluster):
        cluster.set_service(_service(2))
        await trio.sleep(5.0)
        lost = _agents_with_service(cluster)[0]
        cluster.nursery.start_soon(cluster.partition_agent, lost, 60.0)
        await trio.sleep(35.0)
        assert lost not in _agents_with_service(cluster)
        assert len(_agents_with_service(cluster)) == 2
        await trio.sleep(40.0)
        assert len(_states(cluster)) == 2

    await _run(scenario)


async def _used_agents(agents, seconds):
    """Return the names of the agents that run any task within a time.

    The agents are sampled repeatedly: the tasks of a full host end together,
    so that a single sample may find it empty.
    """
    used = set()
    for _ in range(round(seconds / 0.1)):
        await trio.sleep(0.1)
        used |= {a.name for a in agents if a.worker.core.tasks().running}
    return used


async def _check_ramp(cluster, ramping_s):
    agents_here = [
        agent
        for agent in cluster.agents.values()
        if agent.data_centre == 'Leicester'
    ]
    used = await _used_agents(agents_here, ramping_s)
    assert 0 < len(used) < len(agents_here)
    await trio.sleep(32.0 - ramping_s)
    assert len(await _used_agents(agents_here, 4.0)) == len(agents_here)


async def test_returned_data_centre_is_ramped_up(autojump_clock):
    """Guards against a burst of tasks on hosts that return to service."""

    async def scenario(cluster):
        cluster.set_data_centre('Leicester', False)
        await trio.sleep(3.0)
        await cluster.owner.scheduler.submit(
            _cluster.job('bulk', 3000, run_s=3.0), 'c'
        )
        await trio.sleep(10.0)
        cluster.set_data_centre('Leicester', True)
        await _check_ramp(cluster, 6.0)

    await _run(scenario, agents=12)


async def test_new_owner_ramps_a_return_it_did_not_see(autojump_clock):
    """Guards against a burst of tasks if the owner changes during a ramp."""

    async def scenario(cluster):
        cluster.set_data_centre('Leicester', False)
        await trio.sleep(3.0)
        await cluster.owner.scheduler.submit(
            _cluster.job('bulk', 5000, run_s=3.0), 'c'
        )
        await trio.sleep(10.0)
        cluster.set_data_centre('Leicester', True)
        cluster.kill_entry('entry1')
        await cluster.add_entry('entry2', own_shard=False)
        await _check_ramp(cluster, 15.0)

    await _run(scenario, agents=12)


async def test_drain_hands_over_without_losing_reports(autojump_clock):
    """Guards against lost reports in a planned change of owner."""

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=12, run_s=2.0), 'c'
        )
        await trio.sleep(2.5)
        entry = cluster.owner
        await entry.scheduler.drain()
        cluster.kill_entry(entry.name)
        await trio.sleep(30.0)
        assert _row(cluster).state == 'finished'
        starts = [r for r in cluster.history() if r.event == 'start']
        assert len(starts) == 12

    await _run(scenario, entries=2)


async def test_cancel_reports_shards_that_are_not_loaded(autojump_clock):
    """Guards against a cancellation that silently skips a shard."""

    async def scenario(cluster):
        cluster.kill_entry('entry1')
        cluster.store.set_faults(hang=True)
        entry = await cluster.add_entry('entry2', own_shard=False)
        cluster.store.set_faults(hang=False)
        await cluster.take_over(entry)
        cluster.store.set_faults(hang=True)
        await trio.sleep(0.5)
        result = await entry.scheduler.cancel(lambda job: True, 'x')
        assert result == scheduling.CancelResult(0, (_cluster.SHARD,))
        cluster.store.set_faults(hang=False)

    await _run(scenario)


async def test_replicas_spread_once_more_workers_are_known(autojump_clock):
    """Guards against a service that loses all replicas with one worker.

    A service that started before the owner knew all agents had 12 of 12
    replicas on one host, and they were never moved.
    """

    async def scenario(cluster):
        cluster.set_service(_service(3))
        await trio.sleep(10.0)
        assert len(_agents_with_service(cluster)) == 1
        for number in (1, 2):
            await cluster.add_agent(f'late{number}', number)
        await trio.sleep(150.0)
        assert len(_agents_with_service(cluster)) == 3
        assert len(_states(cluster)) == 3

    await _run(scenario, agents=1)
