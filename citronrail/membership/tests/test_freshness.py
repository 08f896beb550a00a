"""Guards the permits that keep tasks out of a data centre taken out."""

import hypothesis
from hypothesis import strategies as st

from citronrail import membership

_TIMES = st.floats(0, 1000)
_DELAYS = st.floats(0, 100)


@hypothesis.given(
    sent_at=_TIMES,
    way_there=_DELAYS,
    confirmed_after=st.floats(-100, 100),
    peer_waits=_DELAYS,
    way_back=_DELAYS,
    offset=st.floats(-1e4, 1e4),
)
def test_news_never_count_as_fresher_than_they_are(
    sent_at, way_there, confirmed_after, peer_waits, way_back, offset
):
    """Guards against a permit that outlives the settings behind it.

    The peer's clock differs by any offset and both ways take any time.
    """
    received = sent_at + way_there
    confirmed = received + min(confirmed_after, peer_waits)
    answered = received + peer_waits
    peer_confirmed = confirmed + offset
    peer_received = received + offset
    peer_answered = answered + offset
    bound = membership.fresh_at_least(
        sent_at, peer_answered - peer_received, peer_answered - peer_confirmed
    )
    assert way_back >= 0
    assert bound <= confirmed + 1e-6


def test_news_without_an_echo_prove_nothing():
    """Guards against trusting a peer that never got our heartbeat."""
    assert membership.fresh_at_least(None, 0.0, 0.0) is None
