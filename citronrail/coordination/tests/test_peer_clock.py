"""Tests of deadlines between clocks that differ in offset and rate."""

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import coordination
from citronrail.coordination import _peer_clock
from citronrail import errors

RATES = st.floats(0.995, 1.005)  # the two clocks differ by at most 1%
TIMES = st.floats(0, 1e4)


def _is_converted_late(offset, rate, readings, deadline):
    """Return whether the converted deadline is after the local one."""
    clocks = coordination.PeerClock()

    def peer_clock(local):
        return offset + local * rate

    for sent_at, delay in readings:
        clocks.observe('p', 'b', peer_clock(sent_at), sent_at + delay)
    converted = clocks.to_peer_clock('p', deadline)
    return converted > peer_clock(deadline) + 1e-6


@hypothesis.given(
    st.floats(-1e6, 1e6),
    RATES,
    st.lists(st.tuples(TIMES, TIMES), min_size=1, max_size=5),
    TIMES,
)
def test_deadline_is_never_later_on_the_peer(offset, rate, readings, deadline):
    """Guards against executing a message after its deadline."""
    readings.sort(key=lambda reading: sum(reading))
    assert not _is_converted_late(offset, rate, readings, deadline)


def test_missing_rate_margin_is_detected(monkeypatch):
    """Checks that the test above detects a missing margin."""
    monkeypatch.setattr(_peer_clock, 'CLOCK_RATE_MARGIN', 0.0)
    assert _is_converted_late(0.0, 0.995, [(0.0, 0.0)], 100.0)


@hypothesis.given(RATES, RATES, st.floats(0.1, 1e4))
def test_holder_stops_before_waiter_proceeds(holder, waiter, interval_s):
    """Guards leases between clocks of different rates."""
    held = coordination.shortened(interval_s) / holder
    counted = interval_s / waiter
    assert held <= counted
    assert coordination.lengthened(interval_s) / waiter >= interval_s / holder


def test_reading_of_other_boot_is_not_used():
    """Guards against a deadline on the clock of an earlier process."""
    clocks = coordination.PeerClock()
    with pytest.raises(errors.PeerUnreachable):
        clocks.to_peer_clock('p', 1.0)
    clocks.observe('p', 'one', 5.0, 1.0)
    clocks.observe('p', 'two', 0.5, 2.0)
    assert clocks.to_peer_clock('p', 2.0, 'two') == 0.5
    with pytest.raises(errors.PeerUnreachable):
        clocks.to_peer_clock('p', 2.0, 'one')
    clocks.forget('p')
    with pytest.raises(errors.PeerUnreachable):
        clocks.to_peer_clock('p', 2.0)


def test_late_reading_does_not_loosen_the_bound():
    """Guards the deadline against a reading delayed in a socket."""
    clocks = coordination.PeerClock()
    clocks.observe('p', 'b', 100.0, 10.0)
    clocks.observe('p', 'b', 101.0, 30.0)
    assert clocks.to_peer_clock('p', 30.0) > 119.0
