"""When an entry may acknowledge heartbeats of agents.

An acknowledgement lets an agent renew the leases of its tasks. Running tasks
must survive an outage of the store, so an entry goes on after its own store
lease has expired. Other entries must still be able to tell when it has
certainly stopped, or they could start a task anew while it runs.
"""

import collections.abc

CONTACT_S = 3.0
# Longest outage of the store that running tasks survive. It is also the
# longest wait before lost tasks are started again after every entry has been
# replaced without a planned stop.
OUTAGE_LIMIT_S = 1800.0


def may_acknowledge(
    now: float,
    lease_holds: bool,
    last_contact: float,
    contacts: collections.abc.Iterable[float],
) -> bool:
    """Tell whether an entry may acknowledge agents now.

    :param now: local time in seconds.
    :param lease_holds: whether its own store lease certainly lasts.
    :param last_contact: local time of its last contact with the store.
    :param contacts: for each other member, the sending time of the latest
        heartbeat which that member certainly received.
    :returns: True while the lease lasts; after that while every other member
        has lately heard of this entry, within the limit of an outage.
    """
    if lease_holds:
        return True
    if now > last_contact + OUTAGE_LIMIT_S:
        return False
    return all(now < contact + CONTACT_S for contact in contacts)
