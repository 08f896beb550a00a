"""Tests of the adapters between the decisions and the protocols."""

import random
import time

import pytest

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.model import views
from citronrail.scheduling import _decision_adapters as adapters
from citronrail.scheduling import _decision_state as decision_state
from citronrail.scheduling import _placement_score as score
from citronrail.scheduling import _policies as protocols

SEAT = identifiers.WorkClass('seat')
PLAN = identifiers.WorkClass('plan')
SEATS = identifiers.ServiceName('seats')
UNIT = resources.Resources(1000, 1000)
CAPACITY = resources.Resources(4000, 4000)


def _agent(index, free=CAPACITY):
    return views.AgentView(
        identifiers.NodeId(f'w{index}'),
        identifiers.BootId('b'),
        identifiers.DataCentreName(f'dc{index % 2}'),
        f'r{index}',
        CAPACITY,
        free,
        messages.AgentLoad(),
        (),
        0.0,
    )


def _policies(name='learned'):
    return adapters.build_policies(
        settings.PolicySettings(name), random.Random(1)
    )


def _request(index, work_class=PLAN, **fields):
    return protocols.PlacementRequest(
        specs.TaskId('job', index), 'team', work_class, UNIT, 60.0, **fields
    )


def _usage(node, at, slowdown):
    """Return usage of a replica that is slowed by one co-running plan."""
    replica = specs.AttemptId(specs.TaskId('service:seats', node), 1)
    plan = specs.AttemptId(specs.TaskId('old', node), 1)
    return (
        messages.TaskUsage(replica, SEAT, UNIT, slowdown, (PLAN,), at),
        messages.TaskUsage(plan, PLAN, UNIT, 1.0, (SEAT,), at),
    )


def _running(index, node, **fields):
    return protocols.RunningView(
        specs.AttemptId(specs.TaskId('old', index), 1),
        identifiers.NodeId(node),
        'team',
        PLAN,
        fields.pop('priority', specs.Priority.NORMAL),
        UNIT,
        time.time() - 30.0,
        60.0,
        **fields,
    )


@pytest.mark.parametrize(
    'name', ['learned', 'first_fit', 'least_loaded', 'random']
)
def test_chosen_worker_runs_no_other_replica_of_the_service(name):
    """Guards against two replicas of a service on one host."""
    policies = _policies(name)
    request = _request(0, SEAT, service=SEATS, siblings=('w0',))
    agents = (_agent(0), _agent(1))
    assert policies.placement.choose(request, agents, 0.0) == 'w1'
    assert policies.placement.choose(request, agents[:1], 0.0) is None


def test_usage_reports_affect_later_placements():
    """Guards against placements that ignore measurements."""
    policies = _policies()
    for at in range(1, 30):
        for observer in policies.observers:
            observer.observe_usage('w0', _usage(0, float(at), 3.5), at + 2.0)
    agents = (_agent(0), _agent(1))
    assert policies.placement.choose(_request(1), agents, 32.0) == 'w1'
    single = (_agent(0),)
    assert policies.placement.choose(_request(2), single, 32.0) is None
    end = 32.0 + score.ScoreSettings().defer_s
    for observer in policies.observers:
        observer.observe_usage('w0', _usage(0, end - 2.0, 3.5), end - 1.0)
    assert policies.placement.choose(_request(2), single, end - 1.0) is None
    assert policies.placement.choose(_request(2), single, end) == 'w0'


def test_unknown_policy_is_rejected_and_the_previous_one_is_kept():
    """Guards against an invalid settings change that stops all placements."""
    policies = _policies()
    with pytest.raises(errors.ConfigError):
        policies.placement.use(settings.PolicySettings('best'))
    assert policies.placement.choose(_request(0), (_agent(0),), 0.0) == 'w0'


def test_replicas_are_ordered_first_and_borrowers_last():
    """Guards against batch tasks that delay the start of a service."""
    groups = tuple(
        protocols.PendingGroup(
            owner,
            team,
            PLAN,
            specs.Priority.NORMAL,
            UNIT,
            3,
            0.0,
            60.0,
            service=service,
        )
        for owner, team, service in (
            ('guest', 'guest', None),
            ('own', 'owner', None),
            ('service:seats', 'owner', SEATS),
        )
    )
    allowances = _policies().quotas.order(
        groups, {}, CAPACITY, {'owner': settings.TeamSettings(CAPACITY)}, 1.0
    )
    assert [item.owner for item in allowances] == [
        'service:seats',
        'own',
        'guest',
    ]
    assert [item.count for item in allowances] == [3, 3, 3]


def test_failing_worker_is_put_on_probation():
    """Guards against failures that aren't recorded in the worker's health."""
    health = _policies().health
    for index in range(4):
        assert health.healthy('w0', 0.0)
        task = specs.TaskId(f'job{index}', 0)
        health.record('w0', specs.AttemptId(task, 1), True, 1.0)
    assert not health.healthy('w0', 1.0)
    assert not health.may_start('w0', 2.0)
    assert health.may_start('w0', 40.0)


def test_pressure_throttles_and_then_evicts_batch_tasks():
    """Guards against pressure actions that the scheduler doesn't get."""
    policies = _policies()
    running = (_running(0, 'w0'), _running(1, 'w0'))
    actions = []
    for now in range(40):
        policies.observers[0].observe_usage(
            'w0', _usage(0, now - 1.0, 6.0), float(now)
        )
        actions += policies.pressure.relieve(
            running, (_agent(0),), (), float(now)
        )
    assert isinstance(actions[0], protocols.Throttle)
    evicted = [i.attempt for i in actions if isinstance(i, protocols.Evict)]
    assert len(evicted) == len(set(evicted)) == 2


def test_reclaimed_capacity_is_held_for_the_urgent_task():
    """Guards against reclaimed capacity that another task reserves first."""
    policies = _policies()
    full = _agent(0, resources.Resources())
    running = tuple(
        _running(i, 'w0', priority=specs.Priority.LOW) for i in range(4)
    )
    urgent = _request(9, priority=specs.Priority.URGENT)
    actions = policies.pressure.relieve(running, (full,), (urgent,), 0.0)
    assert len(actions) == 1
    repeated = policies.pressure.relieve(running, (full,), (urgent,), 1.0)
    assert repeated == ()
    agents_with_capacity = (_agent(0, UNIT),)
    assert (
        policies.placement.choose(_request(5), agents_with_capacity, 2.0)
        is None
    )
    assert policies.placement.choose(urgent, agents_with_capacity, 2.0) == 'w0'


def test_observed_sizes_change_the_reservation():
    """Guards against reservations that ignore observations."""
    policies = _policies()
    spec = specs.TaskSpec('team', PLAN, UNIT, 10.0)
    observed = resources.Resources(500, 3000)
    for _ in range(10):
        for observer in policies.observers:
            observer.observe_end(spec, 'finished', 100.0, observed, 0.0)
    size = policies.estimator.reservation('team', PLAN, UNIT)
    assert size.memory_mb >= 3000
    assert size.millicores == 500
    assert policies.estimator.run_s('team', PLAN, 10.0) == 100.0


@pytest.mark.parametrize(
    'name', ['learned', 'first_fit', 'least_loaded', 'random']
)
def test_replicas_may_share_a_worker_if_no_other_is_left(name):
    """Guards against a data centre that can't be drained.

    If a service has a replica on each worker, replacements for the replicas
    of a drained data centre have to share a worker with another replica.
    """
    agents = (_agent(1), _agent(2))
    request = _request(
        9,
        SEAT,
        service=SEATS,
        siblings=tuple(agent.node_id for agent in agents),
    )
    placement = _policies(name).placement
    for number, agent in enumerate(agents):
        first = _request(number, SEAT, service=SEATS)
        assert placement.choose(first, (agent,), 0.0) == agent.node_id
    assert placement.choose(request, agents, 0.0) is None
    chosen = placement.choose(request, agents, adapters.SIBLING_WAIT_S)
    assert chosen in {agent.node_id for agent in agents}


def test_tasks_of_a_job_share_one_deferral():
    """Guards against deferring the tasks of a job one after the other.

    With a separate deferral of up to 90 s for each task, 22 of 144 tasks of
    2.5 s were still pending after 60 s although workers were idle.
    """
    state = decision_state.DecisionState(random.Random(1))
    for index in range(3):
        state.record_deferral(specs.TaskId('job', index), 10.0 + index)
    assert state.waited_s(specs.TaskId('job', 9), 20.0) == 10.0
    assert state.waited_s(specs.TaskId('other', 0), 20.0) == 0.0
    long_ago = 10.0 + decision_state.DEFERRAL_EXPIRY_S
    assert state.waited_s(specs.TaskId('job', 9), long_ago + 1.0) == 0.0
