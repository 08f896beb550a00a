"""Messages about range ownership during a store outage."""

from citronrail.model import identifiers
from citronrail.model.messages import _membership
from citronrail.model.messages import _registry


@_registry.message
class ExtendOwnership:
    """Range owner to every other entry while it cannot reach the store.

    Asks the receiver not to take over the ranges, nor to support a takeover
    by another entry, for the fixed promise time after receipt. The owner
    counts that time from before it sent the message. A message received
    after ``promise_until`` was delayed and gets no promise.
    """

    seq: int
    ranges: tuple[_membership.RangeClaim, ...]
    promise_until: float


@_registry.message
class ExtendOwnershipReply:
    """Entry to range owner: the ranges for which the promise was given."""

    seq: int
    promised: tuple[identifiers.RangeId, ...]


@_registry.message
class TakeoverQuery:
    """Entry to other entries before it takes over a range.

    The receiver makes no further promise to the claimed owner.
    """

    seq: int
    claim: _membership.RangeClaim


@_registry.message
class TakeoverReply:
    """Entry to the entry that wants to take over a range.

    ``promised_until`` is the end of the receiver's last promise, on the
    querying entry's clock; 0 if it gave none. It is a lower bound, so the
    querying entry waits ``promise_left_s`` from the receipt instead, which
    counts from the sending. ``still_owner`` is True when the receiver itself
    owns the range.
    """

    seq: int
    range_id: identifiers.RangeId
    promised_until: float
    still_owner: bool = False
    promise_left_s: float = 0.0
