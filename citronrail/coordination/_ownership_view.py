"""What the store says of entries and ranges."""

import dataclasses

import msgspec

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
        """Identity of this run of the entry."""
        return claims.Member(self.node_id, self.boot_id)


@dataclasses.dataclass(frozen=True)
class OwnershipView:
    """Entries and ranges as read from the store.

    ``revision`` is the lower one of the two reads.
    """

    entries: tuple[EntryMember, ...] = ()
    places: tuple[claims.Place, ...] = ()
    revision: int = 0

    def holder_of(self, range_id: identifiers.RangeId) -> claims.Holder | None:
        """Return who held a range, None if nobody did."""
        if not 0 <= range_id < len(self.places):
            return None
        return self.places[range_id].holder


@dataclasses.dataclass(frozen=True)
class MembershipState:
    """The entries as last read, and the state of the own store lease.

    ``revision`` is that of the read, 0 before the first, and ``read_at`` the
    local time before the read left. ``lease_holds`` tells whether the own
    membership key certainly lasts, ``joined_at`` when it was written, and
    ``last_contact`` is the local time before the last renewal that was
    answered. ``has_history`` tells whether any range was ever owned.
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
    """Read entries and ranges.

    :param store: store to read from.
    :param range_count: number of ranges.
    :returns: the view; entries are read first, so a holder whose entry is
        missing joined in between.
    :raises citronrail.errors.StoreError: if it can't be read.
    """
    listed = await _store_calls.bounded(
        store.list(ENTRIES_PREFIX), 'ownership.entries'
    )
    try:
        entries = tuple(
            codec.decode(item.value, EntryMember) for item in listed.items
        )
    except msgspec.DecodeError as exc:
        raise errors.StoreError(str(exc), step='ownership.entries') from exc
    ranges = await _store_calls.bounded(
        store.list(RANGES_PREFIX), 'ownership.ranges'
    )
    places = tuple(
        claims.parse(range_key(number), ranges.items)
        for number in range(range_count)
    )
    revision = min(listed.revision, ranges.revision)
    return OwnershipView(entries, places, revision)
