"""Guards settings: never going down, never applied twice, no false report."""

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


def _drain(node):
    """Append to a list, so that a doubled command shows."""

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


class AcceptsOldReads(coordination.SettingsFollower):
    """Takes every read for the latest."""

    def _accept(self, stored, asked_at):
        self._settings = stored.settings
        self._fresh_at = asked_at
        return True


class CountsFromTheAnswer(coordination.SettingsFollower):
    """Dates a confirmation by the arrival of the answer."""

    def _accept(self, stored, asked_at):
        return super()._accept(stored, trio.current_time())


async def _follow(kind, faults):
    """Follow changes under faults; return the violations."""
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
            # Reads of an older state are the store's breach; a follower can
            # recognise them only by a revision it has seen.
            if not memory.faults.stale_by and any(
                at < fresh_at and number > version for at, number in written
            ):
                violations.append('not the latest')
            await trio.sleep(0.03)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        nursery.start_soon(check)
        nursery.start_soon(_simulated.play, memory, faults)
        await write()
        await trio.sleep(30)
        assert follower.settings.version == 39
        assert follower.fresh_at > trio.current_time() - 1
        nursery.cancel_scope.cancel()
    return violations


@SLOW
@hypothesis.given(_simulated.FAULTS)
def test_follower_never_goes_down(faults):
    """Guards requirement 10 against watches, reads and stores that fail."""
    violations = _simulated.run(_follow, coordination.SettingsFollower, faults)
    assert 'went down' not in violations
    if not any('stale_by' in switches for _, switches in faults):
        assert violations == []


@pytest.mark.parametrize(
    'kind, faults, violation',
    [
        (AcceptsOldReads, [(3.0, {'stale_by': 2}), (3.0, {})], 'went down'),
        (CountsFromTheAnswer, [(1.0, {'delay_s': 0.4})] * 9, 'not the latest'),
    ],
)
def test_naive_followers_fail(kind, faults, violation):
    """Shows that the check above finds both faults."""
    if kind is CountsFromTheAnswer:
        # The answer must be held up after it was read.
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


async def test_news_from_a_peer_counts(autojump_clock):
    """Guards against old news that would set the settings back."""
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
    """Guards running entries against a damaged document."""
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


class WritesAgain(coordination.SettingsWriter):
    """Repeats a write without looking for the command first."""

    def _check_version(self, command_id, current, progress):
        """Take any version for the one expected."""


async def _race(kind, faults, seed):
    """Race three operators; return what each was told and the result."""
    memory = key_value.MemoryStore()
    told = {}

    async def operate(name):
        rng = random.Random(f'{seed}{name}')
        writer = kind(memory, None, rng)
        for number in range(5):
            await trio.sleep(rng.random())
            command = f'{name}{number}'
            try:
                await writer.apply(
                    command,
                    _drain(command),
                    f'drain {command}',
                    deadline=trio.current_time() + 3,
                )
                told[command] = 'done'
            except errors.CommandConflict as exc:
                told[command] = 'not run'
                assert exc.winner_id and exc.winner_id != command
            except errors.CitronrailError as exc:
                told[command] = exc.outcome.value

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_simulated.play, memory, faults)
        async with trio.open_nursery() as operators:
            for name in 'xyz':
                operators.start_soon(operate, name)
        await trio.sleep(60)  # late writes take effect
        nursery.cancel_scope.cancel()
    memory.set_faults(**_simulated.CALM)
    stored = await document.read(memory)
    return told, stored.settings


def _violations(told, settings):
    applied = settings.drained_workers
    found = [f'{x} doubled' for x in applied if applied.count(x) > 1]
    for command, outcome in told.items():
        if outcome == 'done' and command not in applied:
            found.append(f'{command} reported but lost')
        if outcome == 'not run' and command in applied:
            found.append(f'{command} ran but was reported as not run')
    if settings.version != len(applied):
        found.append('a version was skipped or reused')
    return found


@hypothesis.given(_simulated.FAULTS, st.integers(0, 99))
@hypothesis.settings(max_examples=100)
def test_racing_operators_get_the_truth(faults, seed):
    """Guards against doubled, lost and falsely reported commands."""
    told, settings = _simulated.run(
        _race, coordination.SettingsWriter, faults, seed
    )
    assert len(told) == 15
    assert _violations(told, settings) == []


def test_without_the_command_id_commands_double(monkeypatch):
    """Shows that the check above finds a missing read-back."""
    monkeypatch.setattr(writers, '_find', lambda settings, command_id: None)
    told, settings = _simulated.run(
        _race, WritesAgain, [(0.1, {'lose_every': 2}), (9.0, {})], 1
    )
    assert any('doubled' in found for found in _violations(told, settings))


async def test_expected_version_and_winner(autojump_clock):
    """Guards an operator against overwriting what they have not seen."""
    memory = key_value.MemoryStore()
    writer = coordination.SettingsWriter(memory, None, random.Random(1))
    deadline = trio.current_time() + 5
    first = await writer.apply(
        'c1', _drain('a'), 'drain a', expected_version=0, deadline=deadline
    )
    assert first.version == 1
    again = await writer.apply('c1', _drain('a'), 'x', deadline=deadline)
    assert again == first
    with pytest.raises(errors.CommandConflict, match='drain a') as caught:
        await writer.apply(
            'c2', _drain('b'), 'drain b', expected_version=0, deadline=deadline
        )
    assert (caught.value.winner_id, caught.value.version) == ('c1', 1)
    with pytest.raises(errors.CommandRefused):
        await writer.apply(
            'c3', _drain('b'), 'drain b', expected_version=9, deadline=deadline
        )


async def test_refusal_by_the_change_is_passed_on(autojump_clock):
    """Guards the reason that the operator is told."""

    def refuse(settings):
        raise errors.CommandRefused('no such team', step='quota')

    writer = coordination.SettingsWriter(
        key_value.MemoryStore(), None, random.Random(1)
    )
    with pytest.raises(errors.CommandRefused, match='no such team'):
        await writer.apply(
            'c', refuse, 'quota', deadline=trio.current_time() + 5
        )
