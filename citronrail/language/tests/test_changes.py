"""Tests of configuration commands."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import errors
from citronrail import language
from citronrail.language import _changes
from citronrail.language import _checks
from citronrail.language import _validation
from citronrail.language.tests import strategies
from citronrail.model import codec
from citronrail.model import resources
from citronrail.model import settings as settings_model

SIZE = resources.Resources(16_000, 60_000, 2)
CONTEXT = _validation.ValidationContext(
    workers=tuple(
        _validation.KnownWorker(f'w{number}', centre, SIZE)
        for number, centre in enumerate(['leon', 'leon', 'gijon'])
    ),
    data_centres=('bilbao',),
    now_unix_s=1_000.0,
)
START = (
    'change team h quota cores 32 memory 100GB borrow;'
    'change team c quota cores 8 memory 20GB no borrow;'
    'start service seats team c class gate replicas 2 cores 2 memory 2GB'
)


def _run(settings, text, base_version=None, context=CONTEXT):
    for command in language.parse_script(text):
        after = _changes.apply_change(settings, command, context, base_version)
        version = settings.version + 1
        applied = settings_model.AppliedCommand(
            f'id-{version}', version, language.without_version(command)
        )
        settings = dataclasses.replace(
            after,
            version=version,
            recent_commands=(*settings.recent_commands, applied),
        )
    return settings


@pytest.fixture
def settings():
    """Settings at version 3 with two teams and a service."""
    return _run(settings_model.Settings(), START)


def test_service_commands(settings):
    """Guards the effect of each service command."""
    settings = _run(
        settings,
        'change service seats replicas 3 memory 4GB latency target 20ms;'
        'drain service seats',
    )
    seats = settings.services['seats']
    assert (seats.replicas, seats.resources.memory_mb) == (3, 4096)
    assert seats.latency_target_ms == 20.0
    assert seats.draining
    assert (
        not _run(settings, 'return service seats').services['seats'].draining
    )
    assert _run(settings, 'stop service seats').services == {}


def test_drain_return_and_policy_commands(settings):
    """Guards the effect of drain, return and policy commands."""
    settings = _run(
        settings,
        'drain data_centre leon; drain worker w2;'
        'change placement policy learned with margin = 0.2, strict = true',
    )
    assert not settings.data_centre_in_service('leon')
    assert settings.data_centres['leon'].changed_in == 4
    assert settings.drained_workers == ('w2',)
    assert settings.placement.parameters == {'margin': 0.2, 'strict': True}
    settings = _run(settings, 'return data_centre leon; return worker w2')
    assert settings.data_centre_in_service('leon')
    assert settings.data_centres['leon'].changed_in == 7
    assert settings.data_centres['leon'].changed_at == CONTEXT.now_unix_s
    assert settings.drained_workers == ()
    assert not _run(
        settings, 'drain data_centre oviedo unseen'
    ).data_centre_in_service('oviedo')


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        ('start service seats team c class gate', 'exists already.*id-3'),
        ('start service s team x class gate', 'no team "x"'),
        ('start service s team c class gate cores 17', 'fits no worker'),
        ('start service s team c class gate cores 0', 'above zero'),
        ('start service s team c class gate cores 5', 'quota of team "c"'),
        ('start service s team h class gate replicas 50', 'all teams'),
        ('start service "a b" team c class gate', 'the name of a service'),
        ('start service s team c class g data centres leom', 'mean "leon"'),
        (
            'drain data_centre leon;'
            'start service s team c class g data centres gijon, leon',
            'out of service since settings version 4',
        ),
        (
            'drain data_centre gijon;change service seats data centres gijon',
            'out of service since',
        ),
        ('change service seat replicas 1', 'mean "seats"'),
        ('change service seats replicas 5', 'quota of team "c"'),
        ('change team c quota cores 1 memory 1GB', 'services of team "c"'),
        ('change team n borrow', 'needs a quota'),
        ('stop service none', 'no service "none"'),
        ('stop service seats; stop service seats', 'no service.*id-4'),
        ('drain data_centre lean', 'mean "leon".*unseen'),
        ('drain worker w9', 'no worker "w9" was seen'),
        ('return worker w1', 'not drained'),
        ('drain data_centre leon if version 9', 'version 3, not 9'),
        (
            'drain data_centre leon if version 1',
            'version 3, not 1.*start service seats',
        ),
    ],
)
def test_invalid_command_is_refused_with_a_reason(settings, text, reason):
    """Guards each validation rule and its message."""
    with pytest.raises(errors.CommandRefused, match=reason):
        _run(settings, text)


def test_service_of_a_team_over_quota_can_be_reduced(settings):
    """Guards against a quota check that prevents reducing a service."""
    teams = {
        **settings.teams,
        'c': settings_model.TeamSettings(
            resources.Resources(1000, 1000), may_borrow=False
        ),
    }
    settings = dataclasses.replace(settings, teams=teams)
    after = _run(settings, 'change service seats replicas 1')
    assert after.services['seats'].replicas == 1
    _run(settings, 'change team h quota cores 1 memory 1GB')


def test_service_of_a_drained_data_centre_can_be_changed(settings):
    """Guards changes unrelated to placement while a data centre is drained."""
    settings = _run(
        settings,
        'change service seats data centres leon, gijon;'
        'drain data_centre leon; change service seats replicas 3',
    )
    assert settings.services['seats'].replicas == 3


CONFLICTS = [
    ('drain data_centre leon', 'return data_centre leon'),
    ('change service seats replicas 1', 'change service seats replicas 3'),
    ('stop service seats', 'change service seats replicas 3'),
    ('change balancing policy a', 'change balancing policy b'),
    ('change team c quota cores 9 memory 30GB', 'change team c borrow'),
]


@pytest.mark.parametrize(('winner', 'loser'), CONFLICTS)
def test_conflict_names_the_winner(settings, winner, loser):
    """Guards against overwriting a concurrent change that wasn't seen."""
    settings = _run(settings, 'drain data_centre leon')
    settings = _run(settings, winner)
    with pytest.raises(errors.CommandRefused) as raised:
        _run(settings, loser, base_version=4)
    assert winner in raised.value.message
    assert 'id-5' in raised.value.message
    if not winner.startswith('stop'):
        assert _run(settings, loser, base_version=5).version == 6


def test_equal_and_unrelated_commands_do_not_conflict(settings):
    """Guards against false conflicts."""
    settings = _run(settings, 'drain data_centre leon')
    settings = _run(settings, 'drain data_centre leon', base_version=3)
    settings = _run(settings, 'drain data_centre gijon', base_version=3)
    assert settings.version == 6


_COMMANDS = st.sampled_from(
    [
        *(part for pair in CONFLICTS for part in pair),
        *START.split(';'),
        'start service rota team h class rota cores 1 data centres leon',
        'start service feed team c class feed replicas 2 cores 1',
        'change service rota team c replicas 9',
        'change team c no borrow',
        'change team c quota cores 1 memory 1GB',
        'drain worker w0',
        'return worker w0',
    ]
)


def _check_invariants(settings):
    for name, spec in settings.services.items():
        assert name == spec.name
        assert spec.team in settings.teams
    assert len(set(settings.drained_workers)) == len(settings.drained_workers)
    for team in settings.teams:
        usage = _checks.team_usage(settings, team)
        assert usage.fits_in(_checks.quota_limit(settings, team))
    data = codec.encode(settings)
    assert codec.decode(data, settings_model.Settings) == settings


@hypothesis.given(
    st.lists(
        st.tuples(
            _COMMANDS.map(language.parse) | strategies.settings_commands,
            st.integers(0, 3),
        ),
        max_size=12,
    )
)
@hypothesis.settings(max_examples=150)
def test_any_command_sequence_preserves_the_invariants(history):
    """Guards against services without a team, quota or data centre."""
    settings = settings_model.Settings()
    for command, lag in history:
        before = codec.encode(settings)
        try:
            settings = _run(
                settings,
                language.format(command),
                max(0, settings.version - lag),
            )
        except errors.CommandRefused as exc:
            assert exc.message
            assert codec.encode(settings) == before
        _check_invariants(settings)
