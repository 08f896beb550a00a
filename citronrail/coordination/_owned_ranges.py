"""The ranges that this process holds and until when."""

import collections.abc
import dataclasses
import typing

from citronrail.coordination import _extension
from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _store_lease
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import ports


@dataclasses.dataclass(frozen=True)
class OwnedRange:
    """A range as held at one moment.

    :param range_id: the range.
    :param fencing: token of this ownership.
    :param deadline: local time until which it is surely held; it moves on
        with each renewal, so read it again before acting.
    :param commits_allowed: True while the store lease holds; False while it
        is held by promises, for keys only.
    :param guard: condition for store transactions.
    :param previous: the owner before, None if there never was one.
    :param handed_over: the previous owner gave it up by itself, after its
        listeners had handed their state over.
    :param continued: no other process has owned it since this process last
        did, so that state kept from then is complete.
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
    """Told of changes of ownership; calls for one range never overlap."""

    async def acquired(self, owned: OwnedRange) -> None:
        """Take up work on a range; also after ``commits_lost`` ended."""
        ...

    async def releasing(
        self, owned: OwnedRange, successor: identifiers.NodeId
    ) -> None:
        """Finish work on a range and hand state to the successor."""
        ...

    async def commits_lost(self, owned: OwnedRange) -> None:
        """Stop commits; the range is held for keys only."""
        ...

    async def lost(self, range_id: identifiers.RangeId) -> None:
        """Stop work on a range; also called after a release."""
        ...


@dataclasses.dataclass
class Held:
    """A claim and the lease that it was made under.

    ``renewed_at`` is the local time before that lease was last renewed; the
    longest extension counts from then.
    """

    range_id: identifiers.RangeId
    claim: claims.Claim
    lease_id: int
    previous: identifiers.NodeId | None
    handed_over: bool
    continued: bool
    renewed_at: float = _store_lease.NEVER

    @property
    def as_claim(self) -> messages.RangeClaim:
        """The claim as told to peers."""
        return messages.RangeClaim(self.range_id, self.claim.fencing)


class HeldRanges:
    """Table of held ranges; deadlines are judged by the local clock.

    :param lease: this process's store lease.
    :param ledger: promises of other entries.
    """

    def __init__(
        self,
        lease: _store_lease.StoreLease,
        ledger: _extension.ExtensionLedger,
    ) -> None:
        self._lease = lease
        self._ledger = ledger
        self._held: dict[identifiers.RangeId, Held] = {}
        # All entries that must promise; see RangeOwnership.
        self.members: frozenset[claims.Member] = frozenset()

    def __contains__(self, range_id: identifiers.RangeId) -> bool:
        """Tell whether a range is in the table, even if it has ended."""
        return range_id in self._held

    def get(self, range_id: identifiers.RangeId) -> Held | None:
        """Return a held range, even if it has ended."""
        return self._held.get(range_id)

    def put(self, held: Held) -> None:
        """Add or replace a held range."""
        old = self._held.get(held.range_id)
        if old is not None:
            self._ledger.forget(old.as_claim)
        self._held[held.range_id] = held

    def drop(self, range_id: identifiers.RangeId) -> None:
        """Remove a range."""
        held = self._held.pop(range_id, None)
        if held is not None:
            self._ledger.forget(held.as_claim)

    def all(self) -> tuple[Held, ...]:
        """Return the held ranges, even those that have ended."""
        return tuple(self._held.values())

    def claims(self, now: float) -> tuple[messages.RangeClaim, ...]:
        """Return the claims that still hold."""
        return tuple(
            held.as_claim
            for held in self._held.values()
            if self.deadline(held) > now
        )

    def commits_allowed(self, held: Held) -> bool:
        """Tell whether the store lease of a claim still holds."""
        return held.lease_id == self._lease.lease_id and self._lease.holds

    def deadline(self, held: Held) -> float:
        """Return until when a range is held, by lease or by promises."""
        if held.lease_id == self._lease.lease_id:
            held.renewed_at = self._lease.last_contact
        promised = self._ledger.until(
            held.as_claim, self.members, held.renewed_at
        )
        if self.commits_allowed(held):
            return max(self._lease.held_until, promised)
        return promised

    def owned(self, now: float) -> tuple[OwnedRange, ...]:
        """Return the ranges held now, in order."""
        found = (self._view(held) for held in self._held.values())
        current = [owned for owned in found if owned.deadline > now]
        return tuple(sorted(current, key=lambda owned: owned.range_id))

    def find(
        self, range_id: identifiers.RangeId, now: float
    ) -> OwnedRange | None:
        """Return a range if it is held now."""
        held = self._held.get(range_id)
        if held is None:
            return None
        owned = self._view(held)
        return owned if owned.deadline > now else None

    def ended(self, now: float) -> collections.abc.Iterator[Held]:
        """Remove and return the ranges whose deadline has passed."""
        for held in self.all():
            if self.deadline(held) <= now:
                self.drop(held.range_id)
                yield held

    def _view(self, held: Held) -> OwnedRange:
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
