"""Extension of ownership by promises while the store can't be reached."""

import collections.abc

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _peer_clock
from citronrail.coordination import _promises
from citronrail.model import identifiers
from citronrail.model import messages

MAX_EXTENSION_S = 120.0  # from the last contact with the store
ASK_INTERVAL_S = 1.0
MAX_ASKED = 8  # questions whose answers still count
NEVER = float('-inf')


class ExtensionLedger:
    """Counts the promises of all members for the ranges of one owner.

    The members are those in the range records, which a taker asks, and those
    of the latest read of the store. The ownership lasts until the earliest
    of their promises.
    """

    def __init__(self) -> None:
        self._seq = 0
        self._asked_at: dict[int, float] = {}
        self._promised: dict[
            tuple[messages.RangeClaim, claims.Member], float
        ] = {}
        self._questions: dict[
            int, dict[identifiers.RangeId, messages.RangeClaim]
        ] = {}

    def ask(self, ranges: tuple[messages.RangeClaim, ...], now: float) -> int:
        """Begin a question to all members, before it is sent.

        :param ranges: ranges to extend.
        :param now: local time in seconds.
        :returns: sequence number of the question.
        """
        self._seq += 1
        self._asked_at[self._seq] = now
        self._questions[self._seq] = {r.range_id: r for r in ranges}
        self._asked_at.pop(self._seq - MAX_ASKED, None)
        self._questions.pop(self._seq - MAX_ASKED, None)
        return self._seq

    def promised(
        self, member: claims.Member, reply: messages.ExtendOwnershipReply
    ) -> None:
        """Take note of a member's promises.

        :param member: the run of the entry that answered.
        :param reply: its answer.
        """
        asked_at = self._asked_at.get(reply.seq)
        if asked_at is None:
            return
        until = asked_at + _peer_clock.shortened(_promises.PROMISE_S)
        question = self._questions[reply.seq]
        for range_id in reply.promised:
            claim = question.get(range_id)
            if claim is None:
                continue
            key = (claim, member)
            self._promised[key] = max(self._promised.get(key, NEVER), until)

    def until(
        self,
        claim: messages.RangeClaim,
        members: collections.abc.Set[claims.Member],
        last_contact: float,
    ) -> float:
        """Return until when a range is held by promises.

        :param claim: the range and its token.
        :param members: all that must have promised.
        :param last_contact: local time of the last contact with the store.
        :returns: local time; minus infinity without members, since a sole
            entry can't extend.
        """
        if not members:
            return NEVER
        cap = last_contact + _peer_clock.shortened(MAX_EXTENSION_S)
        promises = (self._promised.get((claim, m), NEVER) for m in members)
        return min(cap, *promises)

    def forget(self, claim: messages.RangeClaim) -> None:
        """Drop the promises for a claim that has ended."""
        for key in [key for key in self._promised if key[0] == claim]:
            del self._promised[key]
