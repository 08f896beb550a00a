"""Tests of settings: versions never decrease, commands apply once."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from citronrail import coordination
from citronrail.coordination import _settings_document as document
from citronrail.coordination import _settings_follower as followers
from citronrail.coordination import _settings_writer as writers
from citronrail.coordination.tests import _simulated
from citronrail import errors
from citronrail.model import settings as models
from citronrail import ports
from standins import key_value

SLOW = hypothesis.settings(max_examples=30, deadline=None)


def _append_worker(node):
    """Return a change whose repeated application is visible."""

    def change(settings):
        workers = (*settings.drained_workers, node)
        return dataclasses.replace(settings, drained_workers=workers)

    return change


async def _put(memory, version):
    settings = models.Settings(version=version)
    memory.state.txn(
        [], [ports.Put(document.SETTINGS_KEY, document.encode(settings))]
    )
    memory._notify()


class AcceptsStaleReads(coordination.SettingsFollower):
    """Accepts stale reads."""

    def _accept(self, stored, read_started_at):
        self._settings = stored.settings
        self._fresh_at = read_started_at
        return True


class DatesByReply(coordination.SettingsFollower):
    """Dates a confirmation by the arrival of the reply."""

    def _accept(self, stored, read_started_at):
        return super()._accept(stored, trio.current_time())


async def _follow(kind, faults):
    """Follow changes under faults and return violations."""
    memory = key_value.MemoryStore()
    follower = kind(memory)
    written = [(trio.current_time(), 0)]
    violations = []

    async def write():
        for version in range(1, 40):
            await trio.sleep(0.33)
            await _put(memory, version)
            written.append((trio.current_time(), version))

    async def check():
        highest = 0
        while True:
            version, fresh_at = follower.settings.version, follower.fresh_at
            if version < highest:
                violations.append('went down')
            highest = max(highest, version)
            # Stale reads violate the guarantees of the store; a follower can
            # detect them only by comparing with a revision it has seen.
            if not memory.faults.stale_by and any(
                at < fresh_at and number > version for at, number in written
            ):
                violations.append('not the latest')
            await trio.sleep(0.03)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        nursery.start_soon(check)
        nursery.start_soon(_simulated.apply_faults, memory, faults)
        await write()
        await trio.sleep(30)
        assert follower.settings.version == 39
        assert follower.fresh_at > trio.current_time() - 1
        nursery.cancel_scope.cancel()
    return violations


@SLOW
@hypothesis.given(_simulated.FAULTS)
def test_follower_version_never_decreases(faults):
    """Guards against reverted settings while watches and reads fail."""
    violations = _simulated.run(_follow, coordination.SettingsFollower, faults)
    assert 'went down' not in violations
    if not any('stale_by' in switches for _, switches in faults):
        assert violations == []


@pytest.mark.parametrize(
    'kind, faults, violation',
    [
        (AcceptsStaleReads, [(3.0, {'stale_by': 2}), (3.0, {})], 'went down'),
        (DatesByReply, [(1.0, {'delay_s': 0.4})] * 9, 'not the latest'),
    ],
)
def test_defective_followers_are_detected(kind, faults, violation):
    """Checks that the test above detects both defects."""
    if kind is DatesByReply:
        # The reply must be delayed after the store has read the value.
        memory_read = key_value.MemoryStore.list

        async def late_answer(self, prefix):
            listing = await memory_read(self, prefix)
            await trio.sleep(self.faults.delay_s)
            return listing

        patch = pytest.MonkeyPatch()
        patch.setattr(key_value.MemoryStore, 'list', late_answer)
        patch.setattr(followers, 'WATCH_RETRY_S', 100.0)
        patch.setattr(key_value.MemoryStore, 'watch', _no_watch)
        try:
            assert violation in _simulated.run(_follow, kind, faults)
            assert (
                _simulated.run(_follow, coordination.SettingsFollower, faults)
                == []
            )
        finally:
            patch.undo()
        return
    assert violation in _simulated.run(_follow, kind, faults)


def _no_watch(self, prefix, start):
    raise errors.StoreUnavailable('no watch', step='store.watch')


async def test_settings_from_a_peer_are_applied(autojump_clock):
    """Guards against reverting to older settings from a peer."""
    follower = coordination.SettingsFollower(key_value.MemoryStore())
    follower.observe(models.Settings(version=5), 10.0)
    follower.observe(models.Settings(version=4), 20.0)
    assert (follower.settings.version, follower.fresh_at) == (5, 10.0)
    follower.observe(models.Settings(version=5), 15.0)
    assert follower.fresh_at == 15.0
    with trio.move_on_after(1):
        await follower.changed(5)
        pytest.fail('there is no newer version')


async def test_unreadable_settings_keep_the_known_ones(autojump_clock):
    """Guards running entries against a corrupt document."""
    memory = key_value.MemoryStore()
    await _put(memory, 3)
    follower = coordination.SettingsFollower(memory)
    async with trio.open_nursery() as nursery:
        await nursery.start(follower.run)
        memory.state.txn([], [ports.Put(document.SETTINGS_KEY, b'{"v')])
        memory._notify()
        await trio.sleep(5)
        assert follower.settings.version == 3
        assert follower.fresh_at < trio.current_time() - 4
        nursery.cancel_scope.cancel()


class SkipsVersionCheck(coordination.SettingsWriter):
    """Repeats a write without checking the version first."""

    def _check_version(self, command_id, current, progress):
        """Accept any version."""


async def _race_operators(kind, faults, seed):
    """Race three operators; return reported outcomes and settings."""
    memory = key_value.MemoryStore()
    reported = {}

    async def operate(name):
        rng = random.Random(f'{seed}{name}')
        writer = kind(memory, None, rng)
        for number in range(5):
            await trio.sleep(rng.random())
            command = f'{name}{number}'
            try:
                await writer.apply(
                    command,
                    _append_worker(command),
                    f'drain {command}',
                    deadline=trio.current_time() + 3,
                )
                reported[command] = 'done'
            except errors.CommandConflict as exc:
                reported[command] = 'not run'
                assert exc.winner_id and exc.winner_id != command
            except errors.CitronrailError as exc:
                reported[command] = exc.outcome.value

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_simulated.apply_faults, memory, faults)
        async with trio.open_nursery() as operators:
            for name in 'xyz':
                operators.start_soon(operate, name)
        await trio.sleep(60)  # delayed writes take effect
        nursery.cancel_scope.cancel()
    memory.set_faults(**_simulated.NO_FAULTS)
    stored = await document.read(memory)
    return reported, stored.settings


def _violations(reported, settings):
    applied = settings.drained_workers
    found = [f'{x} doubled' for x in applied if applied.count(x) > 1]
    for command, outcome in reported.items():
        if outcome == 'done' and command not in applied:
            found.append(f'{command} reported but lost')
        if outcome == 'not run' and command in applied:
            found.append(f'{command} ran but was reported as not run')
    if settings.version != len(applied):
        found.append('a version was skipped or reused')
    return found


@hypothesis.given(_simulated.FAULTS, st.integers(0, 99))
@hypothesis.settings(max_examples=100)
def test_racing_operators_get_correct_outcomes(faults, seed):
    """Guards against duplicate, lost and misreported commands."""
    reported, settings = _simulated.run(
        _race_operators, coordination.SettingsWriter, faults, seed
    )
    assert len(reported) == 15
    assert _violations(reported, settings) == []


def test_missing_command_lookup_is_detected(monkeypatch):
    """Checks that the test above detects a missing read-back."""
    monkeypatch.setattr(
        writers, '_find_command', lambda settings, command_id: None
    )
    reported, settings = _simulated.run(
        _race_operators,
        SkipsVersionCheck,
        [(0.1, {'lose_every': 2}), (9.0, {})],
        1,
    )
    assert any('doubled' in found for found in _violations(reported, settings))


async def test_expected_version_and_winner(autojump_clock):
    """Guards operators against overwriting changes they have not seen."""
    memory = key_value.MemoryStore()
    writer = coordination.SettingsWriter(memory, None, random.Random(1))
    deadline = trio.current_time() + 5
    first = await writer.apply(
        'c1',
        _append_worker('a'),
        'drain a',
        expected_version=0,
        deadline=deadline,
    )
    assert first.version == 1
    again = await writer.apply(
        'c1', _append_worker('a'), 'x', deadline=deadline
    )
    assert again == first
    with pytest.raises(errors.CommandConflict, match='drain a') as caught:
        await writer.apply(
            'c2',
            _append_worker('b'),
            'drain b',
            expected_version=0,
            deadline=deadline,
        )
    assert (caught.value.winner_id, caught.value.version) == ('c1', 1)
    with pytest.raises(errors.CommandRefused):
        await writer.apply(
            'c3',
            _append_worker('b'),
            'drain b',
            expected_version=9,
            deadline=deadline,
        )


async def test_refusal_by_the_change_is_raised(autojump_clock):
    """Guards the error message that the operator sees."""

    def refuse(settings):
        raise errors.CommandRefused('no such team', step='quota')

    writer = coordination.SettingsWriter(
        key_value.MemoryStore(), None, random.Random(1)
    )
    with pytest.raises(errors.CommandRefused, match='no such team'):
        await writer.apply(
            'c', refuse, 'quota', deadline=trio.current_time() + 5
        )
