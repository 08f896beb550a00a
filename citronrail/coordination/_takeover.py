"""Decides when a range whose owner's lease has expired may be claimed."""

import dataclasses

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _granted_promises
from citronrail.coordination import _peer_clock
from citronrail.coordination import _received_promises
from citronrail.model import identifiers
from citronrail.model import messages

# Covers pauses of the former owner between checking its deadline and acting,
# and its delay in noticing a lease that ended before the deadline.
TAKEOVER_MARGIN_S = 2.0


@dataclasses.dataclass(frozen=True)
class TakeoverDecision:
    """Whether to claim now; if not, members to query, if any."""

    allowed: bool
    reason: str = ''
    query_members: tuple[claims.Member, ...] = ()


class TakeoverTracker:
    """Tracks ranges without a holder until they may be claimed.

    :param this_entry: identity of this process.
    :param granted: promises that this process granted.
    """

    def __init__(
        self,
        this_entry: claims.Member,
        granted: _granted_promises.GrantedPromises,
    ) -> None:
        self._this_entry = this_entry
        self._granted = granted
        self._free_since: dict[messages.RangeClaim, float] = {}
        self._promises_end_at: dict[messages.RangeClaim, float] = {}

    def mark_held(self, range_id: identifiers.RangeId) -> None:
        """Record that a range has a holder."""
        for table in (self._free_since, self._promises_end_at):
            for claim in [c for c in table if c.range_id == range_id]:
                del table[claim]

    def mark_free(
        self,
        range_id: identifiers.RangeId,
        record: claims.OwnerRecord,
        now: float,
    ) -> None:
        """Record that a range has no holder, whichever entry is to claim it.

        :param range_id: the range.
        :param record: its owner record in the store.
        :param now: local time in seconds.
        """
        claim = messages.RangeClaim(range_id, record.fencing)
        if claim not in self._free_since:
            self.mark_held(range_id)
            self._free_since[claim] = now

    def record_reply(
        self,
        claim: messages.RangeClaim,
        reply: messages.TakeoverReply,
        now: float,
    ) -> None:
        """Record a member's reply to a takeover query.

        The wait is measured from the receipt of the reply. It therefore ends
        after the promise, whose remaining time was computed before sending.

        :param claim: the queried claim.
        :param reply: the reply.
        :param now: local time of receipt.
        """
        if reply.still_owner or claim not in self._free_since:
            return
        until = now + _peer_clock.lengthened(reply.promise_left_s)
        self._promises_end_at.setdefault(claim, until)

    def decide(
        self,
        range_id: identifiers.RangeId,
        record: claims.OwnerRecord,
        now: float,
    ) -> TakeoverDecision:
        """Decide whether a range without a holder may be claimed.

        :param range_id: the range.
        :param record: its owner record in the store.
        :param now: local time in seconds.
        :returns: the decision.
        """
        if record.released:
            return TakeoverDecision(True)
        claim = messages.RangeClaim(range_id, record.fencing)
        self.mark_free(range_id, record, now)
        free_since = self._free_since[claim]
        if now < free_since + TAKEOVER_MARGIN_S:
            return TakeoverDecision(False, 'the former owner may be paused')
        others = [m for m in record.members if m != record.owner]
        if not others:
            return TakeoverDecision(True)
        if any(m.node_id == self._this_entry.node_id for m in others):
            # The owner cannot extend without a promise of this entry.
            if self._granted.refuse(claim, now) > 0.0:
                return TakeoverDecision(
                    False, 'a promise of this entry has not expired'
                )
            return TakeoverDecision(True)
        return self._decide_by_replies(claim, free_since, tuple(others), now)

    def _decide_by_replies(
        self,
        claim: messages.RangeClaim,
        free_since: float,
        members: tuple[claims.Member, ...],
        now: float,
    ) -> TakeoverDecision:
        promises_end_at = self._promises_end_at.get(claim)
        if promises_end_at is not None:
            if now >= promises_end_at:
                return TakeoverDecision(True)
            return TakeoverDecision(
                False, 'a promise of another entry has not expired'
            )
        max_extension_s = _peer_clock.lengthened(
            _received_promises.MAX_EXTENSION_S
        )
        if now >= free_since + max_extension_s:
            return TakeoverDecision(True)
        return TakeoverDecision(False, 'no member has replied', members)
