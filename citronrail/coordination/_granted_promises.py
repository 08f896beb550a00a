"""Promises granted to other entries not to take over their ranges."""

from citronrail.coordination import _peer_clock
from citronrail.model import identifiers
from citronrail.model import messages

PROMISE_S = 3.0

OwnerClaim = tuple[identifiers.NodeId, messages.RangeClaim]


class GrantedPromises:
    """Promises that this entry granted, and claims it refuses to extend.

    A refusal lasts for the lifetime of the process. Promises are not stored,
    so a new process assumes that its predecessor granted one just before the
    start. Refusals need not survive a restart, because owners accept promises
    only from the boot id that they last read from the store.

    :param started_at: local time at which the process started.
    """

    def __init__(self, started_at: float) -> None:
        self._earlier_grants_until = started_at + _peer_clock.lengthened(
            PROMISE_S
        )
        self._promised: dict[OwnerClaim, float] = {}
        self._refused: dict[identifiers.RangeId, messages.RangeClaim] = {}

    def grant(
        self,
        owner: identifiers.NodeId,
        claim: messages.RangeClaim,
        now: float,
    ) -> bool:
        """Promise neither to take over a range nor to support a takeover.

        The promise lasts :data:`PROMISE_S` from now; the owner counts the same
        time from before it sent the request, so it stops earlier.

        :param owner: the requesting entry.
        :param claim: the range and the owner's fencing token.
        :param now: local time in seconds.
        :returns: False if the promise is refused.
        """
        refused = self._refused.get(claim.range_id)
        if refused is not None and refused.fencing >= claim.fencing:
            return False
        self._drop_expired(now)
        until = now + _peer_clock.lengthened(PROMISE_S)
        self._promised[owner, claim] = until
        return True

    def refuse(self, claim: messages.RangeClaim, now: float) -> float:
        """Refuse all further promises for a claim and for older ones.

        :param claim: the range and the fencing token of its former owner.
        :param now: local time in seconds.
        :returns: seconds from now until the last granted promise expires.
        """
        refused = self._refused.get(claim.range_id)
        if refused is None or refused.fencing < claim.fencing:
            self._refused[claim.range_id] = claim
        until = self._earlier_grants_until
        for (_, promised), promised_until in self._promised.items():
            if (
                promised.range_id == claim.range_id
                and promised.fencing <= claim.fencing
            ):
                until = max(until, promised_until)
        return max(0.0, until - now)

    def _drop_expired(self, now: float) -> None:
        expired = [
            key for key, until in self._promised.items() if until <= now
        ]
        for key in expired:
            del self._promised[key]
