"""Decisions on resuming and taking over a leadership.

Load answered: outages of the store that are shorter than the remaining
validity of a lease in the store, and the loss of all entries at once.
"""

import dataclasses
import enum

from citronrail import ports
from citronrail.workflow import _documents as documents


@dataclasses.dataclass(frozen=True)
class Claim:
    """The leader key as this entry wrote it.

    :param revision: revision of the key.
    :param lease_id: lease to which the key is attached.
    """

    revision: int
    lease_id: int


class Verdict(enum.Enum):
    """What a leader does after its store lease was renewed late."""

    RESUME = 'resume'
    RENEW_AGAIN = 'renew again'
    END = 'end'


def judge_renewal(
    claim: Claim,
    item: ports.KeyValue | None,
    deadline: float,
    now: float,
) -> Verdict:
    """Decide whether a leadership is valid again.

    The key was read after the store had renewed the lease. While the lease
    lives, no other entry can write the key, because claims are conditional on
    its absence.

    :param claim: the leader key as this entry wrote it.
    :param item: the leader key in the store, None if it is absent.
    :param deadline: local time until which the renewal grants the lease.
    :param now: local time in seconds, after the key was read.
    """
    if item is None:
        return Verdict.END
    if (item.revision, item.lease_id) != (claim.revision, claim.lease_id):
        return Verdict.END
    if now >= deadline:
        return Verdict.RENEW_AGAIN
    return Verdict.RESUME


def holds_dead_claim(
    leader: documents.LeaderRecord | None, own: documents.LeaderRecord
) -> bool:
    """Whether the leader key was written by a process that has ended.

    An entry binds its peer port before it takes part in elections. Another
    process that named the same address has therefore lost its port, and with
    it all connections over which it could send orders. The node ID is
    compared as well, in case an address was assigned to another entry. A
    claim of this very process is dead, too, while it has no term: the
    response to the claim was lost.

    :param leader: the record in the leader key, None if there is none.
    :param own: the record that this entry writes.
    """
    return (
        leader is not None
        and leader.address == own.address
        and leader.node_id == own.node_id
    )
