"""When a range whose owner's lease has expired may be taken over."""

import dataclasses

from citronrail.coordination import _extension
from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _peer_clock
from citronrail.coordination import _promises
from citronrail.model import identifiers
from citronrail.model import messages

# Covers pauses of the former owner between checking its deadline and acting,
# and the time until it notices a lease that ended before its time.
TAKEOVER_MARGIN_S = 2.0


@dataclasses.dataclass(frozen=True)
class TakeoverDecision:
    """Whether to claim now; ``ask`` are the members to query if not."""

    allowed: bool
    reason: str = ''
    ask: tuple[claims.Member, ...] = ()


class TakeoverTracker:
    """Follows the ranges without holder until they may be claimed.

    :param me: this process.
    :param book: promises that this process gave.
    """

    def __init__(self, me: claims.Member, book: _promises.PromiseBook) -> None:
        self._me = me
        self._book = book
        self._free_since: dict[messages.RangeClaim, float] = {}
        self._wait_until: dict[messages.RangeClaim, float] = {}

    def held(self, range_id: identifiers.RangeId) -> None:
        """Take note that a range has a holder."""
        for known in (self._free_since, self._wait_until):
            for claim in [c for c in known if c.range_id == range_id]:
                del known[claim]

    def free(
        self,
        range_id: identifiers.RangeId,
        record: claims.OwnerRecord,
        now: float,
    ) -> None:
        """Take note that a range has no holder, whoever is to claim it.

        :param range_id: the range.
        :param record: its record in the store.
        :param now: local time in seconds.
        """
        claim = messages.RangeClaim(range_id, record.fencing)
        if claim not in self._free_since:
            self.held(range_id)
            self._free_since[claim] = now

    def answered(
        self,
        claim: messages.RangeClaim,
        reply: messages.TakeoverReply,
        now: float,
    ) -> None:
        """Take note of the answer of a member to a query.

        The wait counts from the receipt, which is later than the end of the
        promise counted from the sending.

        :param claim: the claim that was asked about.
        :param reply: the answer.
        :param now: local time of its receipt.
        """
        if reply.still_owner or claim not in self._free_since:
            return
        until = now + _peer_clock.lengthened(reply.promise_left_s)
        self._wait_until.setdefault(claim, until)

    def decide(
        self,
        range_id: identifiers.RangeId,
        record: claims.OwnerRecord,
        now: float,
    ) -> TakeoverDecision:
        """Decide whether a range without holder may be claimed.

        :param range_id: the range.
        :param record: its record in the store.
        :param now: local time in seconds.
        :returns: the decision.
        """
        if record.released:
            return TakeoverDecision(True)
        claim = messages.RangeClaim(range_id, record.fencing)
        self.free(range_id, record, now)
        free_since = self._free_since[claim]
        if now < free_since + TAKEOVER_MARGIN_S:
            return TakeoverDecision(False, 'the owner may be paused')
        others = [m for m in record.members if m != record.owner]
        if not others:
            return TakeoverDecision(True)
        if any(m.node_id == self._me.node_id for m in others):
            # Without this entry's promise the owner can't extend.
            if self._book.refuse(claim, now) > 0.0:
                return TakeoverDecision(False, 'own promise still lasts')
            return TakeoverDecision(True)
        return self._decide_by_answers(claim, free_since, tuple(others), now)

    def _decide_by_answers(
        self,
        claim: messages.RangeClaim,
        free_since: float,
        members: tuple[claims.Member, ...],
        now: float,
    ) -> TakeoverDecision:
        wait_until = self._wait_until.get(claim)
        if wait_until is not None:
            if now >= wait_until:
                return TakeoverDecision(True)
            return TakeoverDecision(False, 'a promise still lasts')
        longest_s = _peer_clock.lengthened(_extension.MAX_EXTENSION_S)
        if now >= free_since + longest_s:
            return TakeoverDecision(True)
        return TakeoverDecision(False, 'no member has answered', members)
