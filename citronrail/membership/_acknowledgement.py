"""Decides when an entry may acknowledge heartbeats of agents.

An acknowledgement lets an agent renew the leases of its tasks. Running tasks
must survive an outage of the store, so an entry continues to acknowledge after
its own store lease has expired. Other entries must still be able to bound when
it stops; otherwise they could restart a task that is still running.
"""

import collections.abc

CONTACT_TIMEOUT_S = 3.0
# Longest store outage that running tasks survive. It is also the longest delay
# before lost tasks are restarted when all entries were replaced without a
# planned stop.
OUTAGE_LIMIT_S = 1800.0


def may_acknowledge(
    now: float,
    lease_holds: bool,
    last_contact: float,
    contacts: collections.abc.Iterable[float],
) -> bool:
    """Return whether an entry may acknowledge agents now.

    :param now: local time in seconds.
    :param lease_holds: whether its store lease is valid by the local deadline.
    :param last_contact: local time of its last contact with the store.
    :param contacts: for each other member, the sending time of the latest
        heartbeat that the member has confirmed.
    :returns: True while the lease is valid, and afterwards, up to
        :data:`OUTAGE_LIMIT_S`, while every other member has recently confirmed
        a heartbeat of this entry.
    """
    if lease_holds:
        return True
    if now > last_contact + OUTAGE_LIMIT_S:
        return False
    return all(now < contact + CONTACT_TIMEOUT_S for contact in contacts)
