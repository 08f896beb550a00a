"""Tests of the store reservations that the keeper is compared with."""

import pytest

from citronrail.coordination import _store_reservation
from citronrail import errors
from standins import key_value


async def test_reserve_promote_and_repeat(autojump_clock):
    """Guards the comparison against a faulty implementation."""
    memory = key_value.MemoryStore()
    design = _store_reservation.StoreReservation(memory)
    first = await design.reserve('k', 'r1', 'f')
    assert first.verdict == 'granted'
    assert (await design.reserve('k', 'r1', 'f')) == first
    assert (await design.reserve('k', 'r2', 'f')).verdict == 'in progress'
    assert (await design.reserve('k', 'r2', 'g')).verdict == 'conflict'
    await design.promote('k', first.token, b'answer')
    assert (await design.reserve('k', 'r2', 'f')).answer == b'answer'
    with pytest.raises(errors.Fenced):
        await design.promote('k', first.token, b'again')


async def test_expired_reservation_runs_twice(autojump_clock):
    """Shows the duplicate run that the keeper prevents."""
    memory = key_value.MemoryStore()
    design = _store_reservation.StoreReservation(memory)
    first = await design.reserve('k', 'r1', 'f')
    memory.lapse_leases()
    assert (await design.reserve('k', 'r2', 'f')).verdict == 'granted'
    with pytest.raises(errors.Fenced):
        await design.promote('k', first.token, b'late')


async def test_lost_answer_is_read_back(autojump_clock):
    """Guards the comparison against unnecessary refusals."""
    memory = key_value.MemoryStore()
    design = _store_reservation.StoreReservation(memory)
    assert (await design.reserve('a', 'r0', 'f')).verdict == 'granted'
    memory.set_faults(lose_answers=1)
    granted = await design.reserve('k', 'r1', 'f')
    assert granted.verdict == 'granted'
    assert await design.release('k', granted.token)
    assert (await design.reserve('k', 'r2', 'f')).verdict == 'granted'
