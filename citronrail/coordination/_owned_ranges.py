"""Ranges that this process holds, with their deadlines."""

import collections.abc
import dataclasses
import typing

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _received_promises
from citronrail.coordination import _store_lease
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports


@dataclasses.dataclass(frozen=True)
class OwnedRange:
    """Snapshot of a held range.

    :param range_id: the range.
    :param fencing: fencing token of this ownership.
    :param deadline: local time until which the range is held; each renewal
        extends it, so look the range up again before acting.
    :param commits_allowed: True while the store lease is valid; False while
        only promises extend the ownership, which then covers idempotency and
        exclusive keys but no commits.
    :param guard: condition for store transactions.
    :param previous: the previous owner, None if there was none.
    :param handed_over: the previous owner released the range after its
        listeners had transferred their state.
    :param continued: no other process has owned the range since this process
        last did, so state kept from that time is complete.
    """

    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    deadline: float
    commits_allowed: bool
    guard: ports.Compare
    previous: identifiers.NodeId | None = None
    handed_over: bool = False
    continued: bool = False


class OwnershipListener(typing.Protocol):
    """Receives ownership changes; calls for one range never overlap."""

    async def acquired(self, owned: OwnedRange) -> None:
        """Start work on a range, or resume it after ``commits_lost``."""
        ...

    async def releasing(
        self, owned: OwnedRange, successor: identifiers.NodeId
    ) -> None:
        """Finish work on a range and transfer state to the successor."""
        ...

    async def commits_lost(self, owned: OwnedRange) -> None:
        """Stop commits; only key reservations may continue."""
        ...

    async def lost(self, range_id: identifiers.RangeId) -> None:
        """Stop work on a range; also called after a planned release."""
        ...


@dataclasses.dataclass
class HeldRange:
    """A claim and the lease that it is bound to.

    ``renewed_at`` is the local time at which the last successful renewal of
    that lease was sent; the maximum extension is measured from it.
    """

    range_id: identifiers.RangeId
    claim: claims.Claim
    lease_id: int
    previous: identifiers.NodeId | None
    handed_over: bool
    continued: bool
    renewed_at: float = _store_lease.NEVER

    @property
    def range_claim(self) -> messages.RangeClaim:
        """The claim in its message form."""
        return messages.RangeClaim(self.range_id, self.claim.fencing)


class HeldRanges:
    """Table of held ranges with deadlines on the local clock.

    :param lease: this process's store lease.
    :param promises: promises received from other entries.
    """

    def __init__(
        self,
        lease: _store_lease.StoreLease,
        promises: _received_promises.ReceivedPromises,
    ) -> None:
        self._lease = lease
        self._promises = promises
        self._held: dict[identifiers.RangeId, HeldRange] = {}
        # Entries that must all promise an extension; see RangeClaims.
        self.members: frozenset[claims.Member] = frozenset()

    def __contains__(self, range_id: identifiers.RangeId) -> bool:
        """Return whether a range is in the table, expired or not."""
        return range_id in self._held

    def get(self, range_id: identifiers.RangeId) -> HeldRange | None:
        """Return a range of the table, expired or not."""
        return self._held.get(range_id)

    def put(self, held: HeldRange) -> None:
        """Add or replace a held range."""
        replaced = self._held.get(held.range_id)
        if replaced is not None:
            self._promises.discard(replaced.range_claim)
        self._held[held.range_id] = held

    def drop(self, range_id: identifiers.RangeId) -> None:
        """Remove a range."""
        held = self._held.pop(range_id, None)
        if held is not None:
            self._promises.discard(held.range_claim)

    def all(self) -> tuple[HeldRange, ...]:
        """Return all ranges of the table, expired or not."""
        return tuple(self._held.values())

    def claims(self, now: float) -> tuple[messages.RangeClaim, ...]:
        """Return the claims that have not expired."""
        return tuple(
            held.range_claim
            for held in self._held.values()
            if self.deadline(held) > now
        )

    def commits_allowed(self, held: HeldRange) -> bool:
        """Return whether the store lease of a claim is still valid."""
        return held.lease_id == self._lease.lease_id and self._lease.holds

    def deadline(self, held: HeldRange) -> float:
        """Return the deadline of a range by its lease or by promises."""
        if held.lease_id == self._lease.lease_id:
            held.renewed_at = self._lease.last_contact
        promised = self._promises.promised_until(
            held.range_claim, self.members, held.renewed_at
        )
        if self.commits_allowed(held):
            return max(self._lease.held_until, promised)
        return promised

    def owned(self, now: float) -> tuple[OwnedRange, ...]:
        """Return the unexpired ranges, sorted by id."""
        found = (self._snapshot(held) for held in self._held.values())
        current = [owned for owned in found if owned.deadline > now]
        return tuple(sorted(current, key=lambda owned: owned.range_id))

    def find(
        self, range_id: identifiers.RangeId, now: float
    ) -> OwnedRange | None:
        """Return a range unless it is unknown or expired."""
        held = self._held.get(range_id)
        if held is None:
            return None
        owned = self._snapshot(held)
        return owned if owned.deadline > now else None

    def pop_expired(self, now: float) -> collections.abc.Iterator[HeldRange]:
        """Remove and yield the ranges whose deadline has passed."""
        for held in self.all():
            if self.deadline(held) <= now:
                self.drop(held.range_id)
                yield held

    def _snapshot(self, held: HeldRange) -> OwnedRange:
        return OwnedRange(
            held.range_id,
            held.claim.fencing,
            self.deadline(held),
            self.commits_allowed(held),
            held.claim.guard,
            held.previous,
            held.handed_over,
            held.continued,
        )
