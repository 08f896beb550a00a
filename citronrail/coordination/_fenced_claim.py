"""Ownership records in the store and the transactions on them.

An ownership key is bound to a lease and names the current holder. A record
beside it is not bound to a lease and keeps the last owner and its token.
"""

import dataclasses


from citronrail.coordination import _store_calls
from citronrail import errors
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail import ports

RECORD_SUFFIX = '/record'
NO_NODE = identifiers.NodeId('')


@dataclasses.dataclass(frozen=True)
class Member:
    """Identity of one run of an entry process."""

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId


@dataclasses.dataclass(frozen=True)
class Holder:
    """Value of an ownership key, which is deleted with its lease."""

    owner: Member
    fencing: identifiers.FencingToken
    lease_id: int


@dataclasses.dataclass(frozen=True)
class OwnerRecord:
    """Last owner and its fencing token; not bound to a lease.

    ``members`` are the entries that may have promised not to take over.
    ``released`` is set when the owner released the key voluntarily;
    ``successor`` is the intended next owner, or ''.
    """

    owner: Member
    fencing: identifiers.FencingToken
    members: tuple[Member, ...] = ()
    released: bool = False
    successor: identifiers.NodeId = NO_NODE


@dataclasses.dataclass(frozen=True)
class OwnershipState:
    """Stored state of one ownership key; revision 0 means absent."""

    key: str
    holder: Holder | None = None
    holder_revision: int = 0
    record: OwnerRecord | None = None
    record_revision: int = 0

    @property
    def record_key(self) -> str:
        """Key of the owner record."""
        return self.key + RECORD_SUFFIX

    @property
    def fencing(self) -> identifiers.FencingToken:
        """Highest fencing token issued so far; 0 if none."""
        tokens = [x.fencing for x in (self.holder, self.record) if x]
        return max(tokens, default=identifiers.FencingToken(0))


@dataclasses.dataclass(frozen=True)
class Claim:
    """A successful claim; ``guard`` fails after any later claim."""

    fencing: identifiers.FencingToken
    guard: ports.Compare


def parse_state(key: str, items: tuple[ports.KeyValue, ...]) -> OwnershipState:
    """Decode the state of an ownership key.

    :param key: the ownership key.
    :param items: values read at one revision; unrelated keys are ignored.
    :returns: the decoded state.
    :raises citronrail.errors.StoreError: if a value cannot be decoded.
    """
    state = OwnershipState(key)
    try:
        for item in items:
            if item.key == key:
                state = dataclasses.replace(
                    state,
                    holder=codec.decode(item.value, Holder),
                    holder_revision=item.revision,
                )
            elif item.key == state.record_key:
                state = dataclasses.replace(
                    state,
                    record=codec.decode(item.value, OwnerRecord),
                    record_revision=item.revision,
                )
    except errors.Undecodable as exc:
        raise errors.StoreError(str(exc), step='claim.decode') from exc
    return state


async def read_state(store: ports.KeyValueStore, key: str) -> OwnershipState:
    """Read the state of an ownership key.

    :param store: store to read from.
    :param key: the ownership key.
    :returns: the state at one revision of the store.
    :raises citronrail.errors.StoreError: if the read fails.
    """
    listing = await _store_calls.with_timeout(store.list(key), 'claim.read')
    return parse_state(key, listing.items)


async def claim(
    store: ports.KeyValueStore,
    state: OwnershipState,
    owner: Member,
    lease_id: int,
    members: tuple[Member, ...] = (),
) -> Claim | None:
    """Claim an ownership key that has no other holder.

    If the reply is lost, the key is read back to find the outcome.

    :param store: store to write to.
    :param state: state as last read; its holder must be absent or ``owner``.
    :param owner: the claiming process.
    :param lease_id: lease that the ownership key is bound to.
    :param members: entries that the owner may ask for promises.
    :returns: the claim, or None if another process claimed the key first.
    :raises citronrail.errors.StoreError: if the outcome is unknown.
    """
    if state.holder is not None and state.holder.owner != owner:
        return None
    fencing = identifiers.FencingToken(state.fencing + 1)
    holder = Holder(owner, fencing, lease_id)
    record = OwnerRecord(owner, fencing, members)
    compares = [
        ports.Compare(state.key, state.holder_revision),
        ports.Compare(state.record_key, state.record_revision),
    ]
    writes = [
        ports.Put(state.key, codec.encode(holder), lease_id),
        ports.Put(state.record_key, codec.encode(record)),
    ]
    try:
        result = await _store_calls.with_timeout(
            store.txn(compares, writes), 'claim.write'
        )
    except errors.StoreOutcomeUnknown:
        return await _read_back(store, state.key, holder)
    except errors.LeaseLost:
        return None
    if not result.succeeded:
        return await _read_back(store, state.key, holder)
    return Claim(fencing, ports.Compare(state.key, result.revision))


async def release(
    store: ports.KeyValueStore,
    key: str,
    claimed: Claim,
    owner: Member,
    successor: identifiers.NodeId = NO_NODE,
) -> bool:
    """Release an ownership key.

    :param store: store to write to.
    :param key: the ownership key.
    :param claimed: the claim to release.
    :param owner: the releasing process.
    :param successor: intended next owner, or ''.
    :returns: False if the claim had already been lost.
    :raises citronrail.errors.StoreError: if the outcome is unknown.
    """
    record = OwnerRecord(
        owner, claimed.fencing, released=True, successor=successor
    )
    result = await _store_calls.with_timeout(
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
    state = await read_state(store, key)
    if state.holder != holder:
        return None
    return Claim(holder.fencing, ports.Compare(key, state.holder_revision))
