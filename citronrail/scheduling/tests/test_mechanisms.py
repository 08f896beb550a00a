"""Shows for each safety mechanism which guarantee it provides.

Each scenario runs twice: with the mechanism enabled the guarantee holds, with
the mechanism disabled the same scenario violates it.
"""

import collections
import dataclasses
import math

import pytest
import trio

from citronrail import coordination
from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _agent_loss
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _dispatch
from citronrail.scheduling import _inbox
from citronrail.scheduling import _moves
from citronrail.scheduling import _shard_runner
from citronrail.scheduling import _start_guard
from citronrail.scheduling import _task_runner
from citronrail.scheduling import _task_starter
from citronrail.scheduling import _task_table
from citronrail.scheduling.tests import _cluster
from citronrail.scheduling.tests import _facts

WITH_AND_WITHOUT = pytest.mark.parametrize(
    'enabled', [True, False], ids=['enabled', 'disabled']
)


async def _run(scenario, agents=3, entries=1, prepare=None):
    """Run a scenario in a cluster and return the cluster."""
    async with trio.open_nursery() as nursery:
        cluster = _cluster.Cluster(nursery, agents=agents)
        if prepare is not None:
            prepare(cluster)
        await cluster.start()
        for number in range(1, entries + 1):
            await cluster.add_entry(f'entry{number}', own_shard=number == 1)
        await trio.sleep(4.0)
        await scenario(cluster)
        cluster.history()
        nursery.cancel_scope.cancel()
    return cluster


def _duplicate_runs(cluster):
    return _facts.overlaps(cluster.history(), lambda attempt: attempt.task)


@WITH_AND_WITHOUT
async def test_ledger_prevents_overcommitted_hosts(
    enabled, monkeypatch, autojump_clock
):
    """Guards against relying on the owner's stale view of free resources."""
    if not enabled:
        monkeypatch.setattr(
            coordination.CapacityLedger,
            'admit',
            lambda self, attempt, amount: coordination.Admission(True),
        )
    # The owner never sees the resources that its starts have reserved.
    monkeypatch.setattr(
        'citronrail.scheduling._reservations.Reservations.free',
        lambda self, view, now: _cluster.CAPACITY,
    )

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=30, run_s=20.0), 'c'
        )
        await trio.sleep(10.0)

    cluster = await _run(scenario)
    over = [a for a in cluster.agents.values() if a.worker.core.over_capacity]
    assert bool(over) is not enabled


@WITH_AND_WITHOUT
async def test_ledger_is_rebuilt_after_a_restart(
    enabled, monkeypatch, autojump_clock
):
    """Guards against a restarted agent that treats its host as empty."""
    if not enabled:

        def clear_ledger(self):
            self._ledger.rebuild(())

        monkeypatch.setattr(
            _task_table.TaskTable, 'rebuild_ledger', clear_ledger
        )

    async def scenario(cluster):
        scheduler = cluster.owner.scheduler
        await scheduler.submit(_cluster.job(tasks=4, run_s=60.0), 'c1')
        await trio.sleep(5.0)
        await cluster.restart_agent(cluster.agents['agent0'])
        await scheduler.submit(_cluster.job('late', tasks=4), 'c2')
        await trio.sleep(5.0)

    cluster = await _run(scenario, agents=1)
    assert (
        bool(cluster.agents['agent0'].worker.core.over_capacity) is not enabled
    )


@WITH_AND_WITHOUT
async def test_lost_agent_keeps_its_tasks_until_leases_expire(
    enabled, monkeypatch, autojump_clock
):
    """Guards against two runs of an exclusive task during a partition."""
    if not enabled:
        monkeypatch.setattr(_agent_loss, 'TASKS_END_AFTER_S', 3.0)

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=1, run_s=120.0, exclusive=True), 'c'
        )
        await trio.sleep(3.0)
        host = next(
            a for a in cluster.agents.values() if a.worker.core.tasks().running
        )
        await cluster.partition_agent(host, 40.0)
        await trio.sleep(5.0)

    cluster = await _run(scenario)
    starts = sum(1 for r in cluster.history() if r.event == 'start')
    assert starts == 2
    assert bool(_duplicate_runs(cluster)) is not enabled


@WITH_AND_WITHOUT
async def test_leases_are_renewed_only_while_acknowledged(
    enabled, monkeypatch, autojump_clock
):
    """Guards against a partitioned agent that keeps its tasks running."""
    if not enabled:
        monkeypatch.setattr(_task_runner, 'ACK_VALIDITY_S', math.inf)

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=1, run_s=120.0, exclusive=True), 'c'
        )
        await trio.sleep(3.0)
        host = next(
            a for a in cluster.agents.values() if a.worker.core.tasks().running
        )
        await cluster.partition_agent(host, 40.0)

    cluster = await _run(scenario)
    assert bool(_duplicate_runs(cluster)) is not enabled


class _EarlyReturningDocument(coordination.GroupCommitDocument):
    """Document whose commit returns before the change is durable."""

    async def commit(self, change):
        self._value = change(self._value)
        return self._value


@WITH_AND_WITHOUT
async def test_start_is_sent_only_after_its_commit(
    enabled, monkeypatch, autojump_clock
):
    """Guards against an attempt that the next owner doesn't know."""
    if not enabled:
        monkeypatch.setattr(
            coordination, 'GroupCommitDocument', _EarlyReturningDocument
        )

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=1, run_s=60.0, exclusive=True), 'c'
        )
        while not any(r.event == 'start' for r in cluster.history()):
            await trio.sleep(0.01)
        cluster.kill_entry('entry1')
        await trio.sleep(10.0)
        # The caller got no answer from the dead entry and submits again.
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=1, run_s=60.0, exclusive=True), 'c'
        )
        await trio.sleep(5.0)

    cluster = await _run(scenario, entries=2)
    starts = sum(1 for r in cluster.history() if r.event == 'start')
    assert (starts == 1) is enabled


@WITH_AND_WITHOUT
async def test_refused_start_stays_refused(
    enabled, monkeypatch, autojump_clock
):
    """Guards against a duplicated start that runs after it was refused."""
    if not enabled:
        monkeypatch.setattr(
            _start_guard.StartGuard,
            'already_seen',
            lambda self, attempt: False,
        )

    def prepare(cluster):
        original = cluster.network.post

        def post(sender, receiver, data, payload):
            original(sender, receiver, data, payload)
            if data.startswith(b'\x92\xa9StartTask'):
                cluster.nursery.start_soon(
                    later, original, sender, receiver, data, payload
                )

        async def later(original, *message):
            await trio.sleep(1.0)
            original(*message)

        cluster.network.post = post

    async def scenario(cluster):
        # Agents refuse starts while their permits are paused.
        cluster.pause_permits = True
        await trio.sleep(3.0)
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=1, run_s=60.0), 'c'
        )
        await trio.sleep(0.6)
        cluster.pause_permits = False
        await trio.sleep(8.0)

    cluster = await _run(scenario, prepare=prepare)
    assert bool(_duplicate_runs(cluster)) is not enabled


@WITH_AND_WITHOUT
async def test_expired_permit_prevents_starts_in_a_data_centre(
    enabled, monkeypatch, autojump_clock
):
    """Guards against starts if owner and agent both missed the change."""
    if not enabled:
        monkeypatch.setattr(
            _cluster.Permits,
            '__setattr__',
            lambda self, name, value: object.__setattr__(
                self, name, math.inf if name == 'permit_until' else value
            ),
        )

    async def scenario(cluster):
        # Permits and settings no longer reach the agents, but starts do.
        cluster.pause_permits = True
        cluster.owner_settings = cluster.settings
        cluster.set_data_centre('Leicester', False)
        await trio.sleep(3.0)
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=6, run_s=30.0), 'c'
        )
        await trio.sleep(5.0)

    cluster = await _run(scenario, agents=1)
    starts = [r for r in cluster.history() if r.event == 'start']
    assert bool(starts) is not enabled


@WITH_AND_WITHOUT
async def test_evicted_work_resumes_from_its_checkpoint(
    enabled, monkeypatch, autojump_clock
):
    """Guards against work that is lost or repeated because of a move."""
    if not enabled:
        original = _attempt_changes._retry_entry

        def without_checkpoint(index, live, end, now):
            entry = original(index, live, end, now)
            return _attempt_changes.structs.replace(entry, checkpoint='')

        monkeypatch.setattr(
            _attempt_changes, '_retry_entry', without_checkpoint
        )

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=6, run_s=20.0), 'c'
        )
        await trio.sleep(8.0)
        cluster.set_data_centre('Leicester', False)
        await trio.sleep(40.0)

    cluster = await _run(scenario)
    history = cluster.history()
    evicted = sum(1 for r in history if r.event == 'checkpointed')
    resumed = _facts.resumes(history)
    assert evicted > 0
    assert set(_facts.finishes(history).values()) == {1}
    worked = collections.Counter()
    for span in _facts.spans(history):
        worked[span.attempt.task] += span.end - span.begin
    no_repeated_work = all(work < 20.0 + 1.0 for work in worked.values())
    assert no_repeated_work is enabled
    if enabled:
        assert len(resumed) == evicted
        assert set(resumed.values()) == {1}


@WITH_AND_WITHOUT
async def test_service_stays_available_while_its_data_centre_is_drained(
    enabled, monkeypatch, autojump_clock
):
    """Guards against a replica stopped before its replacement runs."""
    if not enabled:
        original = _moves.plan_moves

        def stop_first(*args):
            plan = original(*args)
            return dataclasses.replace(
                plan, replaced=(), moves=(*plan.moves, *plan.replaced)
            )

        monkeypatch.setattr(_moves, 'plan_moves', stop_first)

    async def scenario(cluster):
        cluster.set_service(
            specs.ServiceSpec(
                identifiers.ServiceName('seats'),
                identifiers.TeamName('cantabrico'),
                identifiers.WorkClass('seats'),
                1,
                resources.Resources(1000, 1000),
            )
        )
        await trio.sleep(4.0)
        host = next(
            a for a in cluster.agents.values() if a.worker.core.services()
        )
        cluster.set_data_centre(host.data_centre, False)
        await trio.sleep(15.0)
        assert not host.worker.core.services()

    cluster = await _run(scenario)
    runs = sorted(_facts.spans(cluster.history()), key=lambda span: span.begin)
    assert len(runs) == 2
    assert (runs[1].begin < runs[0].end) is enabled


@WITH_AND_WITHOUT
def test_report_of_an_older_attempt_is_refused(enabled, monkeypatch):
    """Guards against counting a task as finished while it still runs."""
    task = specs.TaskId('rota', 0)
    state = _attempt_changes.assign(
        _shard_with_job(), [_attempt_changes.Assignment(task, 'a')], 1.0
    )
    lost = _attempt_changes.AttemptEnd(specs.AttemptId(task, 1), 'lost')
    state = _attempt_changes.record_end(state, lost, 2.0)
    state = _attempt_changes.assign(
        state, [_attempt_changes.Assignment(task, 'b')], 3.0
    )
    if not enabled:
        monkeypatch.setattr(
            _attempt_changes,
            'find_live',
            lambda state, attempt: state.groups['rota'].live[0],
        )
    late_end = _attempt_changes.AttemptEnd(
        specs.AttemptId(task, 1), 'finished'
    )
    state = _attempt_changes.record_end(state, late_end, 4.0)
    assert bool(state.groups['rota'].live) is enabled


def _shard_with_job():
    return _attempt_changes._job_changes.submit_job(
        _attempt_changes._shard_state.ShardState(),
        _cluster.job(tasks=1),
        'c',
        0.0,
    )


@WITH_AND_WITHOUT
async def test_new_owner_ignores_a_stale_initial_read(
    enabled, monkeypatch, autojump_clock
):
    """Guards against dropped results after a read of a stale state."""
    if not enabled:

        async def skip_first_commit(self, change):
            if change is _shard_runner._no_change:
                return self.value
            return await original(self, change)

        original = coordination.GroupCommitDocument.commit
        monkeypatch.setattr(
            coordination.GroupCommitDocument, 'commit', skip_first_commit
        )

    async def scenario(cluster):
        await cluster.owner.scheduler.submit(
            _cluster.job(tasks=1, run_s=1.5), 'c'
        )
        await trio.sleep(1.0)
        cluster.kill_entry('entry1')
        # The next owner reads the shard as it was before the submission.
        cluster.store.set_faults(stale_by=4)
        await trio.sleep(20.0)
        cluster.store.set_faults(stale_by=0)
        await trio.sleep(20.0)
        rows.extend(cluster.owner.scheduler.rows('jobs'))

    rows = []
    cluster = await _run(scenario, entries=2)
    assert [r.event for r in cluster.history()] == ['start', 'finished']
    assert ([row.state for row in rows] == ['finished']) is enabled


@WITH_AND_WITHOUT
async def test_attempt_unknown_to_the_shard_is_stopped(
    enabled, monkeypatch, autojump_clock
):
    """Guards against an attempt that runs but that no owner tracks."""
    if not enabled:
        monkeypatch.setattr(
            _inbox._MessageInterpreter,
            '_on_hello',
            lambda self, node, hello: None,
        )
    unknown_attempt = specs.AttemptId(specs.TaskId('gone', 0), 1)
    states = []

    async def scenario(cluster):
        agent = cluster.agents['agent0']
        now = trio.current_time()
        agent.worker.core.start(
            unknown_attempt,
            _cluster.SHARD,
            specs.TaskSpec(
                identifiers.TeamName('harrowfield'),
                identifiers.WorkClass('batch'),
                resources.Resources(1000, 1000),
                3600.0,
            ),
            now + 5.0,
            now + 10.0,
        )
        await cluster.restart_agent(agent)
        await trio.sleep(20.0)
        states.extend(t.attempt for t in agent.worker.core.tasks().running)

    await _run(scenario)
    assert (states == []) is enabled


@WITH_AND_WITHOUT
async def test_resumed_owner_starts_nothing(
    enabled, monkeypatch, autojump_clock
):
    """Guards against delayed messages of an owner that was paused.

    With the mechanism disabled starts have no deadline, and agents neither
    compare fencing tokens nor record the attempts that they have seen.
    """
    # In a process that is really paused, the timeout could not fire.
    monkeypatch.setattr(_dispatch, 'SEND_TIMEOUT_S', math.inf)
    if not enabled:
        monkeypatch.setattr(
            _start_guard.StartGuard, 'is_fenced', lambda *args: False
        )
        monkeypatch.setattr(
            _start_guard.StartGuard, 'already_seen', lambda *args: False
        )
        monkeypatch.setattr(
            _start_guard.StartGuard, 'refusal', lambda *args: ''
        )
        monkeypatch.setattr(
            _task_starter, 'min', lambda *args: max(args) + 60.0, raising=False
        )

    def prepare(cluster):
        cluster.limits = dataclasses.replace(cluster.limits, round_s=0.05)

    async def scenario(cluster):
        owner = cluster.owner
        await owner.scheduler.submit(
            _cluster.job(tasks=1, run_s=120.0, exclusive=True), 'c'
        )
        # Pending tasks have rows without a worker.
        while not any(r.worker for r in owner.scheduler.rows('tasks')):
            # Pauses the process between its commit and the start message.
            owner.hub.stopped = True
            await trio.sleep(0.001)
        await cluster.pause_entry(owner, 20.0)
        await trio.sleep(10.0)

    cluster = await _run(scenario, entries=2, prepare=prepare)
    starts = [r for r in cluster.history() if r.event == 'start']
    assert starts
    assert bool(_duplicate_runs(cluster)) is not enabled
