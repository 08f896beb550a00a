"""Guards the conversion of deadlines to a peer's clock."""

import hypothesis
from hypothesis import strategies as st

from citronrail.adapters import _peer_clock

SECONDS = st.floats(0, 1000, allow_nan=False)


@hypothesis.given(
    st.lists(st.tuples(SECONDS, SECONDS), min_size=1, max_size=5),
    SECONDS,
    st.floats(0.996, 1.004),
    st.floats(-1e5, 1e5),
)
def test_deadline_is_never_later_on_the_peers_clock(
    received, remaining, rate, start
):
    """Guards against a late run after slow messages and clock drift."""

    def peers_clock(local):
        return start + local * rate

    reading, now = None, 0.0
    for gap, delay in received:
        now += gap + delay
        new = _peer_clock.ClockReading(peers_clock(now - delay), now)
        reading = _peer_clock.select_reading(reading, new, now)
    deadline = now + remaining
    converted = reading.convert(deadline, now)
    assert converted <= peers_clock(deadline) + 1e-6


def test_latest_reading_alone_loses_time():
    """Guards against replacing a reading by one that arrived late."""
    good = _peer_clock.ClockReading(100.0, 10.0)
    held_up = _peer_clock.ClockReading(100.5, 12.0)
    best = _peer_clock.select_reading(good, held_up, 12.0)
    assert best.convert(20.0, 12.0) > held_up.convert(20.0, 12.0) + 1
