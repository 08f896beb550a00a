"""Promises received from other entries during a store outage.

While the store is unreachable, an owner extends its ownership by promises of
the other entries not to take its ranges over.
"""

import collections.abc

from citronrail.coordination import _fenced_claim as claims
from citronrail.coordination import _granted_promises
from citronrail.coordination import _peer_clock
from citronrail.model import identifiers
from citronrail.model import messages

MAX_EXTENSION_S = 120.0  # since the last contact with the store
REQUEST_INTERVAL_S = 1.0
MAX_OPEN_REQUESTS = 8  # requests whose replies are still accepted
NEVER = float('-inf')


class ReceivedPromises:
    """Expiry times of the promises made to this owner.

    Every member must have promised: the members in the range records, whom an
    entry asks before a takeover, and those of the latest read of the store.
    The ownership ends when the first of their promises expires.
    """

    def __init__(self) -> None:
        self._seq = 0
        self._requested_at: dict[int, float] = {}
        self._promised: dict[
            tuple[messages.RangeClaim, claims.Member], float
        ] = {}
        self._requested_claims: dict[
            int, dict[identifiers.RangeId, messages.RangeClaim]
        ] = {}

    def open_request(
        self, ranges: tuple[messages.RangeClaim, ...], now: float
    ) -> int:
        """Register a request to all members before it is sent.

        :param ranges: ranges to extend.
        :param now: local time in seconds.
        :returns: sequence number of the request.
        """
        self._seq += 1
        self._requested_at[self._seq] = now
        self._requested_claims[self._seq] = {r.range_id: r for r in ranges}
        self._requested_at.pop(self._seq - MAX_OPEN_REQUESTS, None)
        self._requested_claims.pop(self._seq - MAX_OPEN_REQUESTS, None)
        return self._seq

    def record_reply(
        self, member: claims.Member, reply: messages.ExtendOwnershipReply
    ) -> None:
        """Record the promises in a member's reply.

        :param member: identity of the replying entry process.
        :param reply: the reply.
        """
        requested_at = self._requested_at.get(reply.seq)
        if requested_at is None:
            return
        until = requested_at + _peer_clock.shortened(
            _granted_promises.PROMISE_S
        )
        requested = self._requested_claims[reply.seq]
        for range_id in reply.promised:
            claim = requested.get(range_id)
            if claim is None:
                continue
            key = (claim, member)
            self._promised[key] = max(self._promised.get(key, NEVER), until)

    def promised_until(
        self,
        claim: messages.RangeClaim,
        members: collections.abc.Set[claims.Member],
        last_contact: float,
    ) -> float:
        """Return the deadline up to which promises extend a claim.

        :param claim: the range and its fencing token.
        :param members: entries that must all have promised.
        :param last_contact: local time of the last contact with the store.
        :returns: local time; minus infinity without members, since a single
            entry cannot extend its ownership.
        """
        if not members:
            return NEVER
        latest = last_contact + _peer_clock.shortened(MAX_EXTENSION_S)
        promises = (self._promised.get((claim, m), NEVER) for m in members)
        return min(latest, *promises)

    def discard(self, claim: messages.RangeClaim) -> None:
        """Discard the promises for a claim that has ended."""
        for key in [key for key in self._promised if key[0] == claim]:
            del self._promised[key]
