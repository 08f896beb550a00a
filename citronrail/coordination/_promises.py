"""Promises to other entries not to take their ranges over."""

from citronrail.coordination import _peer_clock
from citronrail.model import identifiers
from citronrail.model import messages

PROMISE_S = 3.0

Claimed = tuple[identifiers.NodeId, messages.RangeClaim]


class PromiseBook:
    """Promises that this entry gave and those that it refuses for good.

    A refusal lasts as long as the process. A restarted process has forgotten
    its promises, so it counts as having given one just before its start; it
    need not remember refusals, since owners accept promises only of the boot
    that they knew when they last read the store.

    :param started_at: local time of the process's start.
    """

    def __init__(self, started_at: float) -> None:
        self._initial_until = started_at + _peer_clock.lengthened(PROMISE_S)
        self._promised: dict[Claimed, float] = {}
        self._refused: dict[identifiers.RangeId, messages.RangeClaim] = {}

    def promise(
        self,
        owner: identifiers.NodeId,
        claim: messages.RangeClaim,
        now: float,
    ) -> bool:
        """Promise not to take a range over nor to help another to.

        The promise lasts from now for the promise time, by this clock; the
        owner counts the same time from before it asked.

        :param owner: who asks.
        :param claim: the range and the owner's token.
        :param now: local time in seconds.
        :returns: False if it is refused.
        """
        refused = self._refused.get(claim.range_id)
        if refused is not None and refused.fencing >= claim.fencing:
            return False
        self._drop_ended(now)
        until = now + _peer_clock.lengthened(PROMISE_S)
        self._promised[owner, claim] = until
        return True

    def refuse(self, claim: messages.RangeClaim, now: float) -> float:
        """Give no further promise for a claim or an older one.

        :param claim: the range and the token of the owner to end.
        :param now: local time in seconds.
        :returns: seconds from now until the last promise has ended.
        """
        refused = self._refused.get(claim.range_id)
        if refused is None or refused.fencing < claim.fencing:
            self._refused[claim.range_id] = claim
        until = self._initial_until
        for (_, promised), promised_until in self._promised.items():
            if (
                promised.range_id == claim.range_id
                and promised.fencing <= claim.fencing
            ):
                until = max(until, promised_until)
        return max(0.0, until - now)

    def _drop_ended(self, now: float) -> None:
        ended = [key for key, until in self._promised.items() if until <= now]
        for key in ended:
            del self._promised[key]
