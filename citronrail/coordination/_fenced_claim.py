"""Ownership in the store: a leased holder and a lasting record."""

import dataclasses

import msgspec

from citronrail.coordination import _store_calls
from citronrail import errors
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail import ports

RECORD_SUFFIX = '/record'
NOBODY = identifiers.NodeId('')


@dataclasses.dataclass(frozen=True)
class Member:
    """One run of an entry process."""

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId


@dataclasses.dataclass(frozen=True)
class Holder:
    """Value of an ownership key; it vanishes with its lease."""

    owner: Member
    fencing: identifiers.FencingToken
    lease_id: int


@dataclasses.dataclass(frozen=True)
class OwnerRecord:
    """What outlives the lease: the last owner and its fencing token.

    ``members`` are the entries that may have promised not to take over.
    ``released`` tells that the owner gave it up by itself, in favour of
    ``successor`` unless that is ''.
    """

    owner: Member
    fencing: identifiers.FencingToken
    members: tuple[Member, ...] = ()
    released: bool = False
    successor: identifiers.NodeId = NOBODY


@dataclasses.dataclass(frozen=True)
class Place:
    """What the store says of one ownership key; revision 0 if absent."""

    key: str
    holder: Holder | None = None
    holder_revision: int = 0
    record: OwnerRecord | None = None
    record_revision: int = 0

    @property
    def record_key(self) -> str:
        """Key of the lasting record."""
        return self.key + RECORD_SUFFIX

    @property
    def fencing(self) -> identifiers.FencingToken:
        """Highest token given out, 0 if none."""
        tokens = [x.fencing for x in (self.holder, self.record) if x]
        return max(tokens, default=identifiers.FencingToken(0))


@dataclasses.dataclass(frozen=True)
class Claim:
    """A successful claim; ``guard`` holds while nobody else took it."""

    fencing: identifiers.FencingToken
    guard: ports.Compare


def parse(key: str, items: tuple[ports.KeyValue, ...]) -> Place:
    """Make a place from stored values.

    :param key: the ownership key.
    :param items: values read at one revision, others are skipped.
    :returns: the place.
    :raises citronrail.errors.StoreError: if a value can't be decoded.
    """
    place = Place(key)
    try:
        for item in items:
            if item.key == key:
                place = dataclasses.replace(
                    place,
                    holder=codec.decode(item.value, Holder),
                    holder_revision=item.revision,
                )
            elif item.key == place.record_key:
                place = dataclasses.replace(
                    place,
                    record=codec.decode(item.value, OwnerRecord),
                    record_revision=item.revision,
                )
    except msgspec.DecodeError as exc:
        raise errors.StoreError(str(exc), step='claim.decode') from exc
    return place


async def read(store: ports.KeyValueStore, key: str) -> Place:
    """Read one place.

    :param store: store to read from.
    :param key: the ownership key.
    :returns: the place at one revision of the store.
    :raises citronrail.errors.StoreError: if it can't be read.
    """
    listing = await _store_calls.bounded(store.list(key), 'claim.read')
    return parse(key, listing.items)


async def claim(
    store: ports.KeyValueStore,
    place: Place,
    owner: Member,
    lease_id: int,
    members: tuple[Member, ...] = (),
) -> Claim | None:
    """Claim a place that nobody else holds.

    A lost answer is resolved by reading back.

    :param store: store to write to.
    :param place: the place as read; a holder must be ``owner`` itself.
    :param owner: the claiming process.
    :param lease_id: lease that the ownership depends on.
    :param members: entries that the owner may ask for promises.
    :returns: the claim, or None if another one came first.
    :raises citronrail.errors.StoreError: if the outcome isn't known.
    """
    if place.holder is not None and place.holder.owner != owner:
        return None
    fencing = identifiers.FencingToken(place.fencing + 1)
    holder = Holder(owner, fencing, lease_id)
    record = OwnerRecord(owner, fencing, members)
    compares = [
        ports.Compare(place.key, place.holder_revision),
        ports.Compare(place.record_key, place.record_revision),
    ]
    writes = [
        ports.Put(place.key, codec.encode(holder), lease_id),
        ports.Put(place.record_key, codec.encode(record)),
    ]
    try:
        result = await _store_calls.bounded(
            store.txn(compares, writes), 'claim.write'
        )
    except errors.StoreOutcomeUnknown:
        return await _read_back(store, place.key, holder)
    except errors.LeaseLost:
        return None
    if not result.succeeded:
        return await _read_back(store, place.key, holder)
    return Claim(fencing, ports.Compare(place.key, result.revision))


async def release(
    store: ports.KeyValueStore,
    key: str,
    claimed: Claim,
    owner: Member,
    successor: identifiers.NodeId = NOBODY,
) -> bool:
    """Give up a place.

    :param store: store to write to.
    :param key: the ownership key.
    :param claimed: the claim to give up.
    :param owner: the releasing process.
    :param successor: who should claim it next, or ''.
    :returns: False if the place was lost before.
    :raises citronrail.errors.StoreError: if the outcome isn't known.
    """
    record = OwnerRecord(
        owner, claimed.fencing, released=True, successor=successor
    )
    result = await _store_calls.bounded(
        store.txn(
            [claimed.guard],
            [
                ports.Delete(key),
                ports.Put(key + RECORD_SUFFIX, codec.encode(record)),
            ],
        ),
        'claim.release',
    )
    return result.succeeded


async def _read_back(
    store: ports.KeyValueStore, key: str, holder: Holder
) -> Claim | None:
    place = await read(store, key)
    if place.holder != holder:
        return None
    return Claim(holder.fencing, ports.Compare(key, place.holder_revision))
