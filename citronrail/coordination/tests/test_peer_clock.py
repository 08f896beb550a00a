"""Guards deadlines between clocks that differ in offset and rate."""

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import coordination
from citronrail.coordination import _peer_clock
from citronrail import errors

RATES = st.floats(0.995, 1.005)  # the two clocks differ by 1% at most
TIMES = st.floats(0, 1e4)


def _converted_too_late(offset, rate, readings, deadline):
    """Tell whether the peer would act after the local deadline."""
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
    """Guards against a message executed after its deadline."""
    readings.sort(key=lambda reading: sum(reading))
    assert not _converted_too_late(offset, rate, readings, deadline)


def test_without_the_rate_margin_deadlines_come_late(monkeypatch):
    """Shows that the check above finds a missing margin."""
    monkeypatch.setattr(_peer_clock, 'CLOCK_RATE_MARGIN', 0.0)
    assert _converted_too_late(0.0, 0.995, [(0.0, 0.0)], 100.0)


@hypothesis.given(RATES, RATES, st.floats(0.1, 1e4))
def test_holder_ends_before_the_waiting_side(holder, waiter, interval_s):
    """Guards leases between clocks of different rates."""
    held = coordination.shortened(interval_s) / holder
    counted = interval_s / waiter
    assert held <= counted
    assert coordination.lengthened(interval_s) / waiter >= interval_s / holder


def test_other_boot_is_refused():
    """Guards against a deadline in the clock of a dead process."""
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
    """Guards the deadline against a reading held up in a socket."""
    clocks = coordination.PeerClock()
    clocks.observe('p', 'b', 100.0, 10.0)
    clocks.observe('p', 'b', 101.0, 30.0)
    assert clocks.to_peer_clock('p', 30.0) > 119.0
