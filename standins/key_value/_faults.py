"""Fault switches of the stand-in store."""

import dataclasses


@dataclasses.dataclass
class Faults:
    """Active faults, set by tests or by the admin path.

    :param outage: every call fails without effect and watches end.
    :param pause_leases: leases don't expire during an outage; their remaining
        time counts from its end.
    :param hang: calls get no response until it is switched off.
    :param delay_s: seconds added to each call, before it takes effect.
    :param lose_answers: number of upcoming writes whose response is lost after
        they took effect.
    :param lose_every: lose the response of every n-th write, 0 for none.
    :param stale_by: number of revisions by which reads lag behind.
    """

    outage: bool = False
    pause_leases: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_every: int = 0
    stale_by: int = 0
