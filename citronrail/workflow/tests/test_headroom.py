"""Tests of the division of headroom among best-effort tasks in order."""

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail.workflow import _interference

COUNT = 4
SHARES = st.tuples(*[st.floats(0.0, 0.5)] * COUNT)
HEADROOMS = st.lists(
    st.builds(_interference.Headroom, st.floats(-0.5, 1.0), SHARES),
    max_size=3,
)
RATIOS = st.tuples(*[st.floats(0.0, 1.0)] * COUNT)
HARMLESS = _interference.HARMLESS_UTILISATION


@hypothesis.given(HEADROOMS, RATIOS)
def test_tasks_add_no_more_than_is_left(headrooms, ratios):
    """Guards against serving tasks that are pressed beyond their setpoint."""
    paces = _interference.divide_in_order(headrooms, ratios)
    assert all(0.0 <= pace <= most for pace, most in zip(paces, ratios))
    for item in headrooms:
        harmless = sum(x for x in item.added if x <= HARMLESS)
        harmful = sum(
            pace * x for pace, x in zip(paces, item.added) if x > HARMLESS
        )
        left = max(0.0, item.left - harmless)
        assert harmful <= left + 1e-9


@hypothesis.given(HEADROOMS, RATIOS, st.floats(0.031, 0.5))
def test_later_task_takes_nothing_from_earlier_ones(headrooms, ratios, share):
    """Guards against an old job that is slowed down by each new one."""
    alone = [
        _interference.Headroom(item.left, (*item.added, 0.0))
        for item in headrooms
    ]
    joined = [
        _interference.Headroom(item.left, (*item.added, share))
        for item in headrooms
    ]
    before = _interference.divide_in_order(alone, (*ratios, 1.0))
    after = _interference.divide_in_order(joined, (*ratios, 1.0))
    assert after[:COUNT] == pytest.approx(before[:COUNT])
