"""Tests of the order by quotas and of reclaiming borrowed capacity."""

import random

from hypothesis import given
from hypothesis import strategies as st

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.scheduling import _placement as placement
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_types as types
from citronrail.scheduling import _quota_reclaim as quota_reclaim
from citronrail.scheduling import _quotas as quotas

CFG = quotas.QuotaSettings()
UNIT = resources.Resources(1000, 1000)
PLAN = identifiers.WorkClass('plan')


def _team(units, may_borrow=True):
    quota = resources.Resources(1000 * units, 1000 * units)
    return settings.TeamSettings(quota, may_borrow)


def _pending(team, index, **fields):
    return quotas.PendingTask(
        specs.TaskId(f'{team}-job', index), team, UNIT, **fields
    )


def _order(pending, teams, usage=None, now=0.0):
    return quotas.queue_order(pending, usage or {}, teams, now, CFG)


def _hosts(count):
    return [
        types.Candidate(
            identifiers.NodeId(f'w{i}'),
            identifiers.DataCentreName('dc'),
            'r',
            resources.Resources(4000, 4000),
        )
        for i in range(count)
    ]


def test_urgent_tasks_come_first_only_within_quota():
    """Guards against a team that marks all of its tasks as urgent."""
    teams = {'a': _team(1), 'b': _team(5)}
    urgent = specs.Priority.URGENT
    pending = [_pending('a', i, priority=urgent) for i in range(3)]
    pending += [_pending('b', i) for i in range(2)]
    order = _order(pending, teams)
    names = [(entry.task.team, entry.borrowed) for entry in order]
    assert names[0] == ('a', False)
    assert names[1:3] == [('b', False), ('b', False)]
    assert names[3:] == [('a', True), ('a', True)]


def test_least_slack_first_within_a_team():
    """Guards against missing a deadline that could be met."""
    pending = [
        _pending('a', 0),
        _pending('a', 1, finish_before=500.0),
        _pending('a', 2, finish_before=100.0),
    ]
    order = _order(pending, {'a': _team(9)})
    assert [entry.task.task.index for entry in order] == [2, 1, 0]


def test_team_that_may_not_borrow_stays_within_its_quota():
    """Guards against borrowing that an operator has disabled."""
    pending = [_pending('a', i) for i in range(5)]
    order = _order(pending, {'a': _team(2, may_borrow=False)})
    assert len(order) == 2


@given(
    counts=st.lists(st.integers(0, 30), min_size=2, max_size=35),
    units=st.lists(st.integers(0, 5), min_size=35, max_size=35),
    seed=st.integers(0, 2**32),
)
def test_each_task_is_listed_once_and_borrowers_last(counts, units, seed):
    """Guards against duplicate starts and borrowers ahead of owners."""
    teams = {f't{i}': _team(units[i]) for i in range(len(counts))}
    pending = [
        _pending(f't{i}', n) for i, c in enumerate(counts) for n in range(c)
    ]
    random.Random(seed).shuffle(pending)
    order = _order(pending, teams)
    listed = [entry.task.task for entry in order]
    assert len(listed) == len(set(listed)) == min(len(pending), 1000)
    borrowed = [entry.borrowed for entry in order]
    assert borrowed == sorted(borrowed)


@given(seed=st.integers(0, 2**32))
def test_no_task_starves(seed):
    """Guards against starvation of a team without quota."""
    rng = random.Random(seed)
    teams = {'rich': _team(100)}
    waiting = {_pending('poor', 0): 0.0}
    index = 0
    for now in range(0, 400):
        for _ in range(rng.randint(2, 4)):
            index += 1
            item = _pending('rich', index, ready_at=float(now))
            waiting[item] = float(now)
        order = _order(list(waiting), teams, now=float(now))
        for entry in order[:2]:
            del waiting[entry.task]
        if not any(item.team == 'poor' for item in waiting):
            break
    assert now <= CFG.starve_s + 1


def _running(count, team, host_of, **fields):
    return [
        quota_reclaim.RunningTask(
            specs.TaskId(f'{team}-run', i), team, host_of(i), UNIT, **fields
        )
        for i in range(count)
    ]


def _filled(hosts, running):
    filled = []
    for host in hosts:
        for item in running:
            if item.node_id == host.node_id:
                host = host.with_occupant(
                    types.Occupant(item.task, PLAN, item.reservation)
                )
        filled.append(host)
    return filled


@given(
    quota=st.integers(1, 8),
    lost=st.lists(st.floats(0, 100), min_size=8, max_size=8),
)
def test_borrowed_capacity_is_reclaimed_within_the_time_limit(quota, lost):
    """Guards against a team that can't use its quota while others borrow."""
    teams = {'owner': _team(quota), 'guest': _team(8 - quota)}
    hosts = _hosts(2)
    running = [
        quota_reclaim.RunningTask(
            specs.TaskId('guest', i),
            'guest',
            hosts[i % 2].node_id,
            UNIT,
            lost_s=lost[i],
        )
        for i in range(8)
    ]
    started = 0
    now = 0.0
    while started < quota:
        pending = [_pending('owner', i) for i in range(started, quota)]
        usage = quotas.team_use(
            (item.team, item.reservation) for item in running
        )
        claims = [
            types.PlacementRequest(e.task.task, e.task.team, PLAN, UNIT)
            for e in _order(pending, teams, usage, now)
            if quota_reclaim.may_reclaim(e, now, CFG)
        ]
        reclaims = quota_reclaim.reclaim(
            claims, _filled(hosts, running), running, usage, teams, 10
        )
        evicted = {v.task for item in reclaims for v in item.victims}
        running = [item for item in running if item.task not in evicted]
        for item in reclaims:
            running.append(
                quota_reclaim.RunningTask(
                    item.claimant, 'owner', item.node_id, UNIT
                )
            )
        started += len(reclaims)
        now += 1.0
        assert now <= CFG.give_back_s + 10
    borrowers = sum(item.team == 'guest' for item in running)
    assert borrowers == 8 - quota


def test_urgent_task_reclaims_from_the_lowest_priority_without_delay():
    """Guards against urgent tasks that wait for the end of a long task."""
    teams = {'a': _team(4), 'guest': _team(0)}
    hosts = _hosts(1)
    running = _running(3, 'guest', lambda _: 'w0')
    running += _running(
        1, 'other', lambda _: 'w0', priority=specs.Priority.LOW
    )
    usage = quotas.team_use((item.team, item.reservation) for item in running)
    urgent = _pending('a', 0, priority=specs.Priority.URGENT)
    entry = _order([urgent], teams, usage)[0]
    assert quota_reclaim.may_reclaim(entry, 0.0, CFG)
    request = types.PlacementRequest(urgent.task, 'a', PLAN, UNIT)
    reclaims = quota_reclaim.reclaim(
        [request], _filled(hosts, running), running, usage, teams, 10
    )
    assert [v.team for v in reclaims[0].victims] == ['other']


def test_services_and_urgent_tasks_are_never_evicted():
    """Guards against evicting services and urgent tasks."""
    teams = {'a': _team(4)}
    running = _running(
        2, 'guest', lambda _: 'w0', service=identifiers.ServiceName('seats')
    )
    running += _running(
        2, 'other', lambda _: 'w0', priority=specs.Priority.URGENT
    )
    usage = quotas.team_use((item.team, item.reservation) for item in running)
    request = types.PlacementRequest(specs.TaskId('a', 0), 'a', PLAN, UNIT)
    reclaims = quota_reclaim.reclaim(
        [request], _filled(_hosts(1), running), running, usage, teams, 10
    )
    assert reclaims == ()


@given(seed=st.integers(0, 2**32), small=st.integers(1, 4))
def test_large_task_starts_despite_a_stream_of_small_ones(seed, small):
    """Guards against starvation of a large task by small ones."""
    rng = random.Random(seed)
    hosts = _hosts(3)
    running = []
    whole = resources.Resources(4000, 4000)
    large = types.PlacementRequest(specs.TaskId('large', 0), 'a', PLAN, whole)
    hold = None
    task_index = 0
    for now in range(200):
        running = [(item, end) for item, end in running if end > now]
        tasks = [item for item, _ in running]
        filled = _filled(hosts, tasks)
        if hold is None:
            views = [
                quota_reclaim.RunningTask(
                    i.task, 'b', i.node_id, UNIT, ends_in_s=end - now
                )
                for i, end in running
            ]
            hold = quota_reclaim.hold_for_starved(
                large, whole, filled, views, 1e9
            )
        free = admission.with_holds(filled, [hold], large.task, now)
        context = types.PlacementContext(float(now), rng)
        policy = placement.FirstFitPlacement()
        if isinstance(policy.choose(large, free, context), types.Placed):
            break
        for _ in range(small * 3):
            task_index += 1
            request = types.PlacementRequest(
                specs.TaskId('s', task_index), 'b', PLAN, UNIT
            )
            left = admission.with_holds(filled, [hold], request.task, now)
            decision = policy.choose(request, left, context)
            if isinstance(decision, types.Placed):
                item = quota_reclaim.RunningTask(
                    request.task, 'b', decision.node_id, UNIT
                )
                running.append((item, now + rng.randint(5, 30)))
                filled = _filled(hosts, [i for i, _ in running])
    assert now <= 31


@given(position=st.integers(0, 20))
def test_unschedulable_task_does_not_block_others(position):
    """Guards against head-of-line blocking by an unschedulable task."""
    tasks = [
        types.PlacementRequest(specs.TaskId('s', i), 'a', PLAN, UNIT)
        for i in range(8)
    ]
    unschedulable = types.PlacementRequest(
        specs.TaskId('never', 0), 'a', PLAN, resources.Resources(1, 9999)
    )
    tasks.insert(position, unschedulable)
    decisions = placement.choose_all(
        placement.LearnedPlacement(),
        tasks,
        _hosts(2),
        types.PlacementContext(0.0, random.Random(1)),
    )
    placed = [isinstance(item, types.Placed) for item in decisions]
    assert sum(placed) == 8
