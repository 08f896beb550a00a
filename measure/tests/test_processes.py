"""Tests of the comparison of policies on real processes."""

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from measure import _process_rounds as rounds
from measure import processes


def _round(policy: str, cycle: int, p99_ms: float, tasks: int) -> rounds.Round:
    return rounds.Round(
        'harrowfield',
        policy,
        cycle,
        10.0,
        p99_ms,
        100,
        0,
        100,
        tasks,
        tasks,
        0,
        1.0,
        {},
    )


def test_each_cycle_is_compared_with_itself() -> None:
    """Guards against ratios that include machine drift between cycles."""
    figures = (
        _round('learned', 0, 50.0, 10),
        _round('first_fit', 0, 100.0, 20),
        _round('learned', 1, 300.0, 30),
        _round('first_fit', 1, 400.0, 0),
    )
    found = {item.figure: item.by_cycle for item in processes.ratios(figures)}
    assert found['p99'] == pytest.approx((0.5, 0.75))
    assert found['wave tasks'] == pytest.approx((0.5, float('inf')))


@hypothesis.given(st.integers())
def test_a_wave_always_disturbs_a_service(seed: int) -> None:
    """Guards against an interference draw that makes placement irrelevant."""
    drawn = rounds.draw_interference(random.Random(seed))
    assert max(row[rounds.WAVE_CLASS] for row in drawn.values()) >= 0.4
