"""Tests of the placement policies."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import settings
from citronrail.model import specs
from citronrail.scheduling import _interference as interference
from citronrail.scheduling import _placement as placement
from citronrail.scheduling import _placement_admission as admission
from citronrail.scheduling import _placement_score as score
from citronrail.scheduling import _placement_types as types

POLICIES = [
    placement.LearnedPlacement(),
    placement.LearnedPlacement(processor_sharing=2.0),
    placement.FirstFitPlacement(),
    placement.LeastLoadedPlacement(),
    placement.RandomPlacement(),
]
CLASSES = [identifiers.WorkClass(name) for name in ('seat', 'plan', 'feed')]
TEAM = identifiers.TeamName('rota')


def _host(index, **fields):
    return types.Candidate(
        identifiers.NodeId(f'w{index}'),
        identifiers.DataCentreName(f'dc{index % 3}'),
        f'r{index // 3}',
        fields.pop('capacity', resources.Resources(16_000, 60_000)),
        **fields,
    )


def _request(index, work_class=CLASSES[1], **fields):
    declared = fields.pop('declared', resources.Resources(2000, 4000))
    return types.PlacementRequest(
        specs.TaskId('job', index), TEAM, work_class, declared, **fields
    )


def _context(seed=1, **fields):
    return types.PlacementContext(0.0, random.Random(seed), **fields)


amounts = st.builds(
    resources.Resources,
    st.integers(0, 20_000),
    st.integers(0, 70_000),
    st.integers(0, 2),
)
hosts = st.lists(
    st.tuples(amounts, st.booleans(), st.booleans(), st.floats(0, 1)),
    min_size=1,
    max_size=8,
)
requests = st.lists(
    st.tuples(
        amounts, st.none() | amounts, st.sampled_from([None, 'seats', 'feed'])
    ),
    max_size=20,
)


@pytest.mark.parametrize('policy', POLICIES, ids=str)
@given(host_specs=hosts, task_specs=requests, seed=st.integers(0, 2**32))
def test_placements_respect_capacity_and_availability(
    policy, host_specs, task_specs, seed
):
    """Guards against overcommitted hosts and starts on unavailable hosts."""
    candidates = [
        _host(i, capacity=cap, in_service=up, accepting=ok, load=load)
        for i, (cap, up, ok, load) in enumerate(host_specs)
    ]
    tasks = [
        _request(i, declared=size, estimated=observed, service=service)
        for i, (size, observed, service) in enumerate(task_specs)
    ]
    decisions = placement.choose_all(policy, tasks, candidates, _context(seed))
    by_name = {item.node_id: item for item in candidates}
    used = {}
    replicas = set()
    for task, decision in zip(tasks, decisions, strict=True):
        if isinstance(decision, types.NotPlaced):
            continue
        host = by_name[decision.node_id]
        assert host.in_service
        assert host.accepting
        total = used.get(host.node_id, resources.Resources())
        used[host.node_id] = total + decision.reservation
        assert used[host.node_id].fits_in(host.capacity)
        if task.service:
            assert (task.service, host.node_id) not in replicas
            replicas.add((task.service, host.node_id))


@pytest.mark.parametrize('policy', POLICIES, ids=str)
def test_decisions_are_deterministic_for_a_seed(policy):
    """Guards against decisions that a seed can't reproduce."""
    tasks = [_request(i) for i in range(30)]
    candidates = [_host(i) for i in range(10)]
    first = placement.choose_all(policy, tasks, candidates, _context(7))
    again = placement.choose_all(policy, tasks, candidates, _context(7))
    assert first == again


def test_learned_placement_separates_interfering_work_from_services():
    """Guards against ignoring measured interference."""
    seat, plan, feed = CLASSES
    samples = [
        interference.Measurement(seat, 2.5, {plan: 1.0}, float(at))
        for at in range(30)
    ] + [
        interference.Measurement(seat, 1.0, {feed: 1.0}, float(at))
        for at in range(30)
    ]
    model = interference.learn(interference.InterferenceModel(), samples, 30.0)
    replica = types.Occupant(
        specs.TaskId('service:seats', 0),
        seat,
        resources.Resources(2000, 2000),
        identifiers.ServiceName('seats'),
    )
    candidates = [_host(0).with_occupant(replica), _host(1)]
    context = _context(interference=model)
    policy = placement.LearnedPlacement()
    chosen = policy.choose(_request(0, plan), candidates, context)
    assert chosen.node_id == 'w1'
    packed = policy.choose(_request(1, feed), candidates, context)
    assert packed.node_id in ('w0', 'w1')


def test_replicas_spread_over_data_centres():
    """Guards against losing a service with a single data centre."""
    tasks = [
        _request(i, CLASSES[0], service=identifiers.ServiceName('seats'))
        for i in range(3)
    ]
    candidates = [_host(i) for i in range(9)]
    decisions = placement.choose_all(
        placement.LearnedPlacement(), tasks, candidates, _context()
    )
    by_name = {item.node_id: item for item in candidates}
    assert len({by_name[d.node_id].data_centre for d in decisions}) == 3


@given(count=st.integers(50, 400), share=st.floats(0.0, 0.5))
def test_trials_stay_within_the_configured_share(count, share):
    """Guards against too many placements that test unmeasured pairs."""
    cfg = score.ScoreSettings(trial_share=share)
    ledger = types.TrialLedger()
    trials = 0
    for index in range(count):
        context = _context(trials=ledger)
        trial = score._is_trial_allowed(cfg, _request(index), context)
        trials += trial
        ledger = score.record_placement(
            ledger, types.Placed('w0', resources.Resources(), 1.0, trial)
        )
    assert trials <= share * count + 1


def test_memory_is_the_larger_of_declared_and_observed():
    """Guards against exhausting the memory of a host."""
    for observed, reserved in ((9000, 9000), (1000, 4000)):
        request = _request(0, estimated=resources.Resources(1500, observed))
        amount = placement.reservation_of(
            placement.LearnedPlacement(), request
        )
        assert amount == resources.Resources(1500, reserved)


@pytest.mark.parametrize(
    ('name', 'parameters'),
    [
        ('best', {}),
        ('random', {'sample': 3}),
        ('learned', {'speed': 1}),
        ('learned', {'trial_share': 0.9}),
        ('learned', {'service_weight': -1.0}),
        ('learned', {'service_weight': 'high'}),
        ('learned', {'processors': 'guessed'}),
        ('learned', {'processor_sharing': 9}),
    ],
)
def test_invalid_policy_settings_are_rejected(name, parameters):
    """Guards against an operator's command that makes all placements fail."""
    with pytest.raises(errors.ConfigError):
        placement.placement_policy(settings.PolicySettings(name, parameters))


def test_unschedulable_task_is_rejected_with_a_reason():
    """Guards against a job that stays pending without an explanation."""
    candidates = [_host(i, in_service=False) for i in range(3)]
    large = _request(0, declared=resources.Resources(99_000, 1))
    rejection = admission.check_schedulable(large, candidates)
    assert '99000 millicores' in rejection.reason
    assert admission.check_schedulable(_request(1), candidates) is None
    elsewhere = _request(2, data_centres=('oviedo',))
    assert (
        'oviedo' in admission.check_schedulable(elsewhere, candidates).reason
    )
