"""Tests of the linear fits behind the capacity page."""

import pytest

from measure import _fit

XS = (5.0, 10.0, 20.0, 40.0)


def test_line_is_found():
    """Guards against extrapolation from a wrong slope."""
    found = _fit.fit_line(XS, [3.0 + 2.0 * x for x in XS])
    assert found.slope == pytest.approx(2.0)
    assert found.at(800.0) == pytest.approx(1603.0)
    assert found.bends_at is None


def test_bend_is_found():
    """Guards against a linear extrapolation past a breakpoint."""
    ys = [x if x <= 20 else 20 + 5 * (x - 20) for x in XS]
    assert _fit.fit_line(XS, ys).bends_at == 20.0


def test_scatter_is_no_bend():
    """Guards against a breakpoint reported for noise."""
    ys = [100.0, 102.0, 99.0, 101.0]
    assert _fit.fit_line(XS, ys).bends_at is None
