"""Guards the changes of the configuration."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import errors
from citronrail import language
from citronrail.language import _changes
from citronrail.language import _checks
from citronrail.language import _facts
from citronrail.language.tests import strategies
from citronrail.model import codec
from citronrail.model import resources
from citronrail.model import settings as settings_model

SIZE = resources.Resources(16_000, 60_000, 2)
FACTS = _facts.Facts(
    workers=tuple(
        _facts.SeenWorker(f'w{number}', centre, SIZE)
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


def _run(settings, text, seen_version=None, facts=FACTS):
    for command in language.parse_script(text):
        after = _changes.changed(settings, command, facts, seen_version)
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
    """Settings with two teams and a service, version 3."""
    return _run(settings_model.Settings(), START)


def test_life_of_a_service(settings):
    """Guards the effect of each command on services."""
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


def test_life_of_places_and_policies(settings):
    """Guards the effect of draining, returning and policies."""
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
    assert settings.data_centres['leon'].changed_at == FACTS.now_unix_s
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
def test_wrong_command_is_refused_with_the_reason(settings, text, reason):
    """Guards each check, and that the operator learns why."""
    with pytest.raises(errors.CommandRefused, match=reason):
        _run(settings, text)


def test_service_over_its_quota_may_shrink(settings):
    """Guards against a service stuck at a size that is too large."""
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
    """Guards changes that don't touch the place during an evacuation."""
    settings = _run(
        settings,
        'change service seats data centres leon, gijon;'
        'drain data_centre leon; change service seats replicas 3',
    )
    assert settings.services['seats'].replicas == 3


RACES = [
    ('drain data_centre leon', 'return data_centre leon'),
    ('change service seats replicas 1', 'change service seats replicas 3'),
    ('stop service seats', 'change service seats replicas 3'),
    ('change balancing policy a', 'change balancing policy b'),
    ('change team c quota cores 9 memory 30GB', 'change team c borrow'),
]


@pytest.mark.parametrize(('winner', 'loser'), RACES)
def test_loser_of_a_race_is_told_the_winner(settings, winner, loser):
    """Guards against a second command that undoes an unseen first one."""
    settings = _run(settings, 'drain data_centre leon')
    settings = _run(settings, winner)
    with pytest.raises(errors.CommandRefused) as caught:
        _run(settings, loser, seen_version=4)
    assert winner in caught.value.message
    assert 'id-5' in caught.value.message
    if not winner.startswith('stop'):
        assert _run(settings, loser, seen_version=5).version == 6


def test_equal_and_unrelated_commands_do_not_conflict(settings):
    """Guards against false conflicts."""
    settings = _run(settings, 'drain data_centre leon')
    settings = _run(settings, 'drain data_centre leon', seen_version=3)
    settings = _run(settings, 'drain data_centre gijon', seen_version=3)
    assert settings.version == 6


_VOCABULARY = st.sampled_from(
    [
        *(part for race in RACES for part in race),
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
        assert usage.fits_in(_checks.loan_limit(settings, team))
    data = codec.encode(settings)
    assert codec.decode(data, settings_model.Settings) == settings


@hypothesis.given(
    st.lists(
        st.tuples(
            _VOCABULARY.map(language.parse) | strategies.settings_commands,
            st.integers(0, 3),
        ),
        max_size=12,
    )
)
@hypothesis.settings(max_examples=150)
def test_any_history_keeps_the_invariants(history):
    """Guards services without team, quota or place, whatever is tried."""
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
