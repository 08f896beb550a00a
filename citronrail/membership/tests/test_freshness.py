"""Tests of the freshness bound behind start permits.

Permits keep tasks from starting in a data centre that is out of service.
"""

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
def test_freshness_bound_is_never_too_late(
    sent_at, way_there, confirmed_after, peer_waits, way_back, offset
):
    """Guards against a permit that outlives the settings it relies on.

    The clock offset of the peer and both message delays are arbitrary.
    """
    received = sent_at + way_there
    confirmed = received + min(confirmed_after, peer_waits)
    answered = received + peer_waits
    peer_confirmed = confirmed + offset
    peer_received = received + offset
    peer_answered = answered + offset
    bound = membership.freshness_lower_bound(
        sent_at, peer_answered - peer_received, peer_answered - peer_confirmed
    )
    assert way_back >= 0
    assert bound <= confirmed + 1e-6


def test_no_freshness_bound_without_an_echo():
    """Guards against trusting a peer that received no heartbeat."""
    assert membership.freshness_lower_bound(None, 0.0, 0.0) is None
