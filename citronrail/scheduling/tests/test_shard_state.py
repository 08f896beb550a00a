"""Tests of the invariants of a job shard."""

import collections
import dataclasses
import random
import time
import tracemalloc

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _attempt_changes as attempts
from citronrail.scheduling import _batch
from citronrail.scheduling import _context
from citronrail.scheduling import _followup
from citronrail.scheduling import _index_intervals as intervals
from citronrail.scheduling import _job_changes as jobs
from citronrail.scheduling import _moves
from citronrail.scheduling import _replica_changes as replicas
from citronrail.scheduling import _rows
from citronrail.scheduling import _shard_state as shards
from citronrail.scheduling import _task_cancel as task_cancel
from citronrail.scheduling.tests import _cluster

NODES = tuple(identifiers.NodeId(f'node{n}') for n in range(4))
ENDS = ('refused', 'finished', 'failed', 'stopped', 'checkpointed', 'lost')


def _selected(state, predicate):
    return trio.run(task_cancel.select_tasks, state, predicate, {})


def _service(replicas_wanted=2, **fields):
    return specs.ServiceSpec(
        identifiers.ServiceName('seats'),
        identifiers.TeamName('cantabrico'),
        identifiers.WorkClass('seats'),
        replicas_wanted,
        resources.Resources(500, 500),
        **fields,
    )


class _RandomChanges:
    """Applies random changes to a shard and records all attempts."""

    def __init__(self, rng):
        self.rng = rng
        self.now = 0.0
        self.state = shards.ShardState()
        self.numbers = {}
        self.finished = set()
        self.tokens = {}
        self.resumed = {}

    def step(self):
        """Apply one random change."""
        self.now += self.rng.random() * 5.0
        choice = self.rng.choice(
            (
                self.submit,
                self.assign,
                self.assign,
                self.assign,
                self.confirm,
                self.confirm,
                self.end,
                self.end,
                self.end,
                self.stale_end,
                self.move,
                self.cancel,
                self.cancel_tasks,
                self.services,
                self.replace,
                self.resume,
            )
        )
        choice()
        self.state = jobs.archive_ended_jobs(self.state, self.now)
        self.check()

    def submit(self):
        if len(self.state.groups) > 3:
            return
        number = self.rng.randrange(10**9)
        spec = _cluster.job(
            f'job{number}',
            self.rng.randint(1, 6),
            exclusive=self.rng.random() < 0.3,
        )
        for _ in range(self.rng.randint(1, 2)):
            self.state = jobs.submit_job(
                self.state, spec, f'c{number}', self.now
            )

    def live(self):
        return list(_followup.live_attempts(self.state))

    def assign(self):
        wanted = [
            attempts.Assignment(
                specs.TaskId(owner, self.rng.randint(0, 6)),
                self.rng.choice(NODES),
            )
            for owner in self.state.groups
            for _ in range(3)
        ]
        before = {attempt for attempt, _ in self.live()}
        self.state = attempts.assign(self.state, wanted, self.now)
        for attempt, live in self.live():
            if attempt in before:
                continue
            last = self.numbers.get(attempt.task, 0)
            assert attempt.number > last, 'attempt numbers must increase'
            self.numbers[attempt.task] = attempt.number
            assert attempt.task not in self.finished, 'a finished task ran'
            if live.checkpoint:
                key = (attempt.task, live.checkpoint)
                assert self.tokens[attempt.task] == live.checkpoint
                self.resumed[key] = self.resumed.get(key, 0) + 1

    def pick_live(self):
        found = self.live()
        return self.rng.choice(found) if found else (None, None)

    def confirm(self):
        attempt, _ = self.pick_live()
        if attempt:
            self.state = attempts.confirm_started(
                self.state, attempt, self.now
            )

    def end(self):
        attempt, live = self.pick_live()
        if not attempt:
            return
        end_state = self.rng.choice(ENDS)
        token = f'{attempt}' if end_state == 'checkpointed' else ''
        group = self.state.groups[attempt.task.owner]
        if end_state == 'finished' and group.job:
            self.finished.add(attempt.task)
        if token:
            self.tokens[attempt.task] = token
        self.state = attempts.record_end(
            self.state,
            attempts.AttemptEnd(
                attempt,
                end_state,
                checkpoint=token,
                healthy=self.rng.random() < 0.7,
            ),
            self.now,
        )
        assert attempts.find_live(self.state, attempt) is None
        del live

    def stale_end(self):
        attempt, _ = self.pick_live()
        if not attempt:
            return
        old = specs.AttemptId(attempt.task, attempt.number - 1)
        before = self.state.groups
        self.state = attempts.record_end(
            self.state, attempts.AttemptEnd(old, 'finished'), self.now
        )
        assert self.state.groups == before, 'a stale report was accepted'

    def move(self):
        attempt, _ = self.pick_live()
        if attempt:
            self.state = attempts.move_attempts(
                self.state, (attempt,), 'evicted', self.now
            )

    def cancel(self):
        if self.rng.random() < 0.8 or not self.state.groups:
            return
        owner = self.rng.choice(list(self.state.groups))
        command = f'x{self.rng.randrange(10**9)}'
        for _ in range(2):
            self.state = jobs.cancel_jobs(
                self.state,
                lambda job: job.job_id == owner,
                command,
                'cancelled',
                self.now,
            )

    def cancel_tasks(self):
        if self.rng.random() < 0.6:
            return
        state = self.rng.choice(('pending', 'running', 'parked'))
        selection = _selected(
            self.state, lambda r: r.state == state and r.task.endswith('1')
        )
        if self.rng.random() < 0.5:
            self.assign()
        command = f'y{self.rng.randrange(10**9)}'
        for _ in range(2):
            self.state = task_cancel.cancel_selected(
                self.state, selection, command, 'cancelled', self.now
            )

    def services(self):
        self.state = replicas.adjust_service(
            self.state, _service(), self.rng.randint(0, 3), self.now
        )

    def replace(self):
        attempt, _ = self.pick_live()
        if not attempt or not attempt.task.owner.startswith('service:'):
            return
        owner = attempt.task.owner
        self.state = replicas.replace_replica(
            self.state, owner, attempt.task.index, 'moved'
        )
        self.state = replicas.stop_replaced_replica(
            self.state, owner, attempt.task.index, self.now
        )

    def resume(self):
        for owner, group in self.state.groups.items():
            if group.phase is shards.GroupPhase.PARKED:
                self.state = jobs.resume_job(self.state, owner)
                return

    def check(self):
        """Check the invariants that hold after every change."""
        assert shards.decode(shards.encode(self.state)) == self.state
        for group in self.state.groups.values():
            if group.job is None:
                continue
            indexes_by_state = [
                *intervals.indexes(group.pending),
                *group.waiting,
                *group.live,
                *intervals.indexes(group.finished),
                *intervals.indexes(group.cancelled),
                *intervals.indexes(group.parked),
            ]
            assert sorted(indexes_by_state) == list(
                range(group.job.task_count)
            )
            assert not group.job.exclusive or len(group.live) <= 1
        for job in self.state.ended:
            assert job.finished + job.cancelled > 0
            done = sum(1 for t in self.finished if t.owner == job.job_id)
            assert job.finished == done


@hypothesis.given(st.integers(0, 2**32))
@hypothesis.settings(max_examples=120)
def test_every_task_is_in_exactly_one_state(seed):
    """Guards against tasks lost or duplicated by any order of changes."""
    changes = _RandomChanges(random.Random(seed))
    for _ in range(120):
        changes.step()


@hypothesis.given(
    st.sets(st.integers(0, 40)), st.sets(st.integers(0, 40)), st.data()
)
def test_intervals_behave_like_sets(first, second, data):
    """Guards against indexes lost when intervals are split or merged."""
    left = intervals.union((), ((i, i + 1) for i in first))
    right = intervals.union((), ((i, i + 1) for i in second))
    assert (
        set(intervals.indexes(intervals.union(left, right))) == first | second
    )
    assert (
        set(intervals.indexes(intervals.difference(left, second)))
        == first - second
    )
    index = data.draw(st.integers(0, 41))
    assert intervals.contains(left, index) == (index in first)
    removed = intervals.union((), ((n, n + 1) for n in second))
    kept = intervals.subtract(left, removed)
    assert list(intervals.indexes(kept)) == sorted(first - second)
    both = intervals.intersect(left, removed)
    assert list(intervals.indexes(both)) == sorted(first & second)
    assert intervals.size(left) == len(first)
    assert list(intervals.first_indexes(left, 5)) == sorted(first)[:5]
    assert all(a[1] < b[0] for a, b in zip(left, left[1:]))


def _target_size_shard():
    """Return a shard of the target size: 1,750 running, 15,000 pending."""
    state = shards.ShardState()
    for number in range(60):
        spec = _cluster.job(
            f'nightly-capacity-plan-{number}', 300, argument='x' * 200
        )
        state = jobs.submit_job(state, spec, f'command-{number}', 1.0)
    for number in range(60):
        wanted = [
            attempts.Assignment(
                specs.TaskId(f'nightly-capacity-plan-{number}', index),
                identifiers.NodeId(f'wolverhampton-rack7-host{index}'),
            )
            for index in range(30)
        ]
        state = attempts.assign(state, wanted, 1_700_000_000.5)
    return state


def test_target_size_fits_in_a_store_value():
    """Guards against a shard that exceeds the store's limit of 1 MB."""
    state = _target_size_shard()
    assert shards.live_count(state) >= 1_750
    assert len(shards.encode(state)) < 400_000


def test_thousands_of_tasks_are_cancelled_in_one_change():
    """Guards against a stored record or a change per cancelled task."""
    state = _target_size_shard()
    started_at = time.perf_counter()
    changed = jobs.cancel_jobs(state, lambda job: True, 'c', 'burst', 2.0)
    assert time.perf_counter() - started_at < 5.0
    assert jobs.affected_tasks(changed, 'c') == 18_000
    assert shards.live_count(changed) == 1_800
    assert len(shards.encode(changed)) < len(shards.encode(state)) * 1.2


def test_thousands_of_single_tasks_are_cancelled_in_one_change():
    """Guards against cancelling whole jobs and against quadratic time."""
    state = _target_size_shard()
    selection = _selected(
        state, lambda row: row.state == 'pending' and row.task[-1] in '02468'
    )
    assert selection.chosen, 'pending tasks have no rows'
    # A task that was pending when it was selected starts before the commit.
    started = specs.TaskId('nightly-capacity-plan-0', 30)
    node = identifiers.NodeId('late')
    state = attempts.assign(state, [attempts.Assignment(started, node)], 2.0)
    started_at = time.perf_counter()
    changed = task_cancel.cancel_selected(state, selection, 'c', 'x', 2.0)
    assert time.perf_counter() - started_at < 5.0
    assert jobs.affected_tasks(changed, 'c') == 60 * 135 - 1
    assert shards.live_count(changed) == 1_801
    for group in changed.groups.values():
        assert group.phase is shards.GroupPhase.ACTIVE
        assert all(
            a.state is not shards.LiveState.STOPPING
            for a in group.live.values()
        )
    assert len(shards.encode(changed)) < shards.MAX_ENCODED_BYTES
    assert changed == task_cancel.cancel_selected(
        changed, selection, 'c', 'x', 3.0
    )


def test_tasks_in_every_state_have_a_row_created_on_demand():
    """Guards against missing rows and against a table held in memory."""
    state = _target_size_shard()
    task = specs.TaskId('nightly-capacity-plan-0', 0)
    for name in ('finished', 'lost'):
        state = attempts.record_end(
            state, attempts.AttemptEnd(specs.AttemptId(task, 1), name), 3.0
        )
        task = specs.TaskId(task.owner, task.index + 1)
    selection = _selected(state, lambda row: row.task.endswith('-1/299'))
    state = task_cancel.cancel_selected(state, selection, 'c', 'x', 2.0)
    tracemalloc.start()
    try:
        counts = collections.Counter(
            row.state for row in _rows.rows(state, 'tasks', {})
        )
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert counts == {
        'assigned': 1_798,
        'finished': 1,
        'pending': 16_200,
        'cancelled': 1,
    }
    assert peak_bytes < 500_000


def test_task_that_fails_everywhere_is_parked_with_its_job():
    """Guards against a job that fails forever on healthy workers."""
    state = jobs.submit_job(
        shards.ShardState(), _cluster.job(tasks=1), 'c', 0.0
    )
    for number, node in enumerate(NODES[:3], 1):
        task = specs.TaskId('rota', 0)
        state = attempts.assign(
            state, [attempts.Assignment(task, node)], float(number)
        )
        end = attempts.AttemptEnd(specs.AttemptId(task, number), 'failed')
        state = _batch.Batch(ended=(end,)).apply(state, float(number))
    group = state.groups['rota']
    assert group.phase is shards.GroupPhase.PARKED
    assert 'failed on 3 workers' in group.reason
    resumed = jobs.resume_job(state, 'rota').groups['rota']
    assert resumed.waiting[0].number == 3


def test_failures_on_an_unhealthy_worker_do_not_park():
    """Guards against parking jobs because of a worker on which all fail."""
    state = jobs.submit_job(
        shards.ShardState(), _cluster.job(tasks=1), 'c', 0.0
    )
    task = specs.TaskId('rota', 0)
    for number in range(1, 30):
        state = attempts.assign(
            state, [attempts.Assignment(task, NODES[0])], float(number)
        )
        end = attempts.AttemptEnd(
            specs.AttemptId(task, number), 'failed', healthy=False
        )
        state = attempts.record_end(state, end, float(number))
    assert state.groups['rota'].phase is shards.GroupPhase.ACTIVE


def test_replica_stops_only_after_its_replacement_runs():
    """Guards against a service that is unavailable during a move."""
    state = replicas.adjust_service(shards.ShardState(), _service(1), 1, 0.0)
    owner = 'service:seats'

    def run(state, index, number=1):
        task = specs.TaskId(owner, index)
        state = attempts.assign(
            state, [attempts.Assignment(task, NODES[index])], 1.0
        )
        return attempts.confirm_started(
            state, specs.AttemptId(task, number), 1.0
        )

    state = run(state, 0)
    for _ in range(2):
        state = replicas.replace_replica(state, owner, 0, 'drained')
    state = replicas.adjust_service(state, _service(1), 1, 2.0)
    group = state.groups[owner]
    assert list(group.waiting) == [1]
    assert group.live[0].state is shards.LiveState.RUNNING
    state = replicas.stop_replaced_replica(state, owner, 1, 2.0)
    assert state.groups[owner].live[0].state is shards.LiveState.RUNNING
    state = replicas.stop_replaced_replica(run(state, 1), owner, 1, 3.0)
    group = state.groups[owner]
    assert group.live[0].state is shards.LiveState.STOPPING
    assert group.live[1].state is shards.LiveState.RUNNING
    assert replicas.adjust_service(state, _service(1), 1, 4.0) is state


@pytest.mark.parametrize('backends, answers', [(1, False), (2, True)])
def test_replacement_on_the_same_worker_needs_its_own_backend(
    backends, answers
):
    """Guards against mistaking the old backend server for the new one."""
    state = replicas.adjust_service(shards.ShardState(), _service(1), 1, 1.0)
    for index in range(2):
        task = specs.TaskId('service:seats', index)
        state = attempts.assign(
            state, [attempts.Assignment(task, NODES[0])], 1.0
        )
        state = attempts.confirm_started(state, specs.AttemptId(task, 1), 2.0)
        state = replicas.replace_replica(state, task.owner, 0, 'changed')
    view = views.AgentView(
        NODES[0],
        identifiers.BootId('boot'),
        identifiers.DataCentreName('Leicester'),
        'rack',
        resources.Resources(4000, 4000),
        resources.Resources(4000, 4000),
        messages.AgentLoad(),
        (messages.BackendState(identifiers.ServiceName('seats'), 1),)
        * backends,
        2.0,
    )
    limits = _context.Limits()
    moves = _moves.plan_moves(
        state, {NODES[0]: view}, {}, limits, None, 2.0, 2.0
    )
    assert bool(moves.ready) is answers


@pytest.mark.parametrize(
    'change',
    [
        {'resources': resources.Resources(700, 500)},
        {'work_class': identifiers.WorkClass('gate')},
        {'data_centres': (identifiers.DataCentreName('Leicester'),)},
    ],
)
def test_change_of_a_service_makes_its_replicas_outdated(change):
    """Guards against replicas that keep an outdated size, class or place."""
    spec = _service()
    state = replicas.adjust_service(shards.ShardState(), spec, 2, 1.0)
    wanted = [
        attempts.Assignment(specs.TaskId('service:seats', index), NODES[0])
        for index in range(2)
    ]
    state = attempts.assign(state, wanted, 1.0)
    for item in wanted:
        attempt = specs.AttemptId(item.task, 1)
        assert replicas.outdated_replica(state.groups[item.task.owner]) is None
        state = attempts.confirm_started(state, attempt, 2.0)
    for fields, outdated in (({'max_run_s': 9.0}, None), (change, 0)):
        spec = dataclasses.replace(spec, **fields)
        state = replicas.adjust_service(state, spec, 2, 3.0)
        group = state.groups['service:seats']
        assert replicas.outdated_replica(group) == outdated
    state = replicas.replace_replica(state, group.owner, 0, 'changed')
    group = state.groups['service:seats']
    assert replicas.outdated_replica(group) is None, 'two at once'


@pytest.mark.parametrize(
    'spec',
    [
        _cluster.job(tasks=0),
        _cluster.job('service:seats'),
        _cluster.job(argument='x' * 5000),
        _cluster.job(size=resources.Resources(-1, 0)),
    ],
)
def test_malformed_jobs_are_refused(spec):
    """Guards against jobs that a shard can't store or run."""
    with pytest.raises(errors.CommandRefused):
        jobs.submit_job(shards.ShardState(), spec, 'c', 0.0)


def test_job_id_is_accepted_once():
    """Guards against a second job of the same name by another command."""
    state = jobs.submit_job(shards.ShardState(), _cluster.job(), 'c1', 0.0)
    assert jobs.submit_job(state, _cluster.job(), 'c1', 1.0) is state
    with pytest.raises(errors.CommandRefused):
        jobs.submit_job(state, _cluster.job(), 'c2', 1.0)
