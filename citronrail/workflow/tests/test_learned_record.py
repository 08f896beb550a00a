"""Tests of the size of the learned factors in the store (LOST)."""

import trio

from citronrail.model import workflows
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _state_writer
from citronrail.workflow.tests import _cluster

DIGEST = 'f' * 100  # registries append one to the name of an image
MAX_BYTES = 50_000


def _learned(serving=60, best_effort=104) -> _interference.PairFactors:
    """Return factors of all pairs; the last images are the newest."""
    factors = _interference.PairFactors()
    for number in range(best_effort):
        task = _interference.BestEffortTask(
            f'b{number:03}{DIGEST}', 0.5, 100, 0.5
        )
        for other in range(serving):
            image = f's{other:03}{DIGEST}'
            measured = factors.observe_tail(image, 0.5)
            factors.learn(image, measured, (task,), 1.0)
    return factors


def test_stored_factors_stay_within_their_bound():
    """Guards against commits that the store refuses for their size.

    The scheduling entry repeated them until its leadership ended, and so did
    the next one.
    """
    learned = _learned().snapshot(MAX_BYTES)
    size = len(documents.encode(learned))
    assert 0.8 * MAX_BYTES < size <= MAX_BYTES
    assert len(learned.rest_ratios) == 60
    names = {row[1] for row in learned.factors}
    assert f'b103{DIGEST}' in names
    assert f'b000{DIGEST}' not in names


def test_long_names_of_other_scripts_are_counted_in_bytes():
    """Guards against a bound in characters."""
    factors = _interference.PairFactors()
    for number in range(200):
        factors.observe_tail(f'{number}' + '\u0bb9' * 250, 0.5)
    size = len(documents.encode(factors.snapshot(MAX_BYTES)))
    assert size <= MAX_BYTES


def test_few_factors_are_stored_and_restored_whole():
    """Guards against a successor that learns again what fits."""
    factors = _learned(serving=3, best_effort=4)
    learned = factors.snapshot(MAX_BYTES)
    assert (len(learned.factors), len(learned.rest_ratios)) == (12, 3)
    restored = _interference.PairFactors()
    restored.restore(learned, 1.0)
    assert restored.snapshot(MAX_BYTES) == learned


def test_memory_of_factors_is_bounded(monkeypatch):
    """Guards against memory that grows with each new name of an image."""
    monkeypatch.setattr(_interference, 'MAX_PAIRS', 10)
    monkeypatch.setattr(_interference, 'MAX_IMAGES', 3)
    learned = _learned(serving=5, best_effort=5).snapshot(MAX_BYTES)
    assert (len(learned.factors), len(learned.rest_ratios)) == (10, 3)


async def test_commit_with_learned_factors_fits_small_stores(autojump_clock):
    """Guards against a bound that is above that of the store."""
    state = _scheduler_state.SchedulerState(lambda name: _cluster.QUEUE)
    record = documents.JobRecord('a', 'q', 'pool', 0.0, _cluster.one_step())
    state.add_job(record, 0.0, 0.0)
    state.dirty.add(state.jobs['a'])
    writer = _state_writer.StateWriter(
        state,
        _learned(),
        workflows.Bounds(max_value_bytes=100_000),
        (),
        lambda: 0.0,
    )
    await trio.sleep(1.0)
    sizes = {put.key: len(put.value) for put in writer.due_writes()}
    assert 0 < sizes[documents.FACTORS_KEY] <= 100_000
