"""Entries and ranges as stored in the key-value store."""

import dataclasses


from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _store_calls
from citronrail import errors
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail import ports

ENTRIES_PREFIX = '/citronrail/entries/'
RANGES_PREFIX = '/citronrail/ranges/'


@dataclasses.dataclass(frozen=True)
class EntryMember:
    """Value of an entry's membership key."""

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId
    address: str
    draining: bool = False

    @property
    def member(self) -> claims.Member:
        """Identity of this run of the entry process."""
        return claims.Member(self.node_id, self.boot_id)


@dataclasses.dataclass(frozen=True)
class OwnershipView:
    """Entries and ranges as read from the store.

    ``revision`` is the lower revision of the two reads.
    """

    entries: tuple[EntryMember, ...] = ()
    range_states: tuple[claims.OwnershipState, ...] = ()
    revision: int = 0

    def holder_of(self, range_id: identifiers.RangeId) -> claims.Holder | None:
        """Return the holder of a range, or None."""
        if not 0 <= range_id < len(self.range_states):
            return None
        return self.range_states[range_id].holder


@dataclasses.dataclass(frozen=True)
class MembershipState:
    """The entries as last read, and the state of this entry's lease.

    ``revision`` is the revision of the read, 0 before the first one, and
    ``read_at`` the local time at which the read was sent. ``lease_holds`` is
    set while the lease of this entry's membership key is valid by the local
    deadline. ``joined_at`` is the local time at which that key was written,
    ``last_contact`` the time at which the last successful renewal was sent.
    ``has_history`` is set if any range was ever owned.
    """

    entries: tuple[EntryMember, ...]
    revision: int
    read_at: float
    lease_holds: bool
    joined_at: float
    last_contact: float
    has_history: bool


def entry_key(node_id: identifiers.NodeId) -> str:
    """Return the membership key of an entry."""
    return ENTRIES_PREFIX + node_id


def range_key(range_id: int) -> str:
    """Return the ownership key of a range."""
    return f'{RANGES_PREFIX}{range_id}'


async def read_view(
    store: ports.KeyValueStore, range_count: int
) -> OwnershipView:
    """Read the entries and ranges.

    :param store: store to read from.
    :param range_count: number of ranges.
    :returns: the view; entries are read first, so a holder that is not among
        them joined between the two reads.
    :raises citronrail.errors.StoreError: if a read fails.
    """
    listed = await _store_calls.with_timeout(
        store.list(ENTRIES_PREFIX), 'ownership.entries'
    )
    try:
        entries = tuple(
            codec.decode(item.value, EntryMember) for item in listed.items
        )
    except errors.Undecodable as exc:
        raise errors.StoreError(str(exc), step='ownership.entries') from exc
    ranges = await _store_calls.with_timeout(
        store.list(RANGES_PREFIX), 'ownership.ranges'
    )
    range_states = tuple(
        claims.parse_state(range_key(number), ranges.items)
        for number in range(range_count)
    )
    revision = min(listed.revision, ranges.revision)
    return OwnershipView(entries, range_states, revision)
