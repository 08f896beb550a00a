"""Messages about idempotency and exclusive keys, between entries."""

import dataclasses

from citronrail.model import identifiers
from citronrail.model.messages import _registry
from citronrail.model import outcome as outcomes


@_registry.message
class ReserveKey:
    """Entry to range owner: asks whether a request may run.

    ``key`` is the idempotency key, ``exclusive`` the exclusive key; either
    may be ''. ``hold_s`` bounds how long a run may last.
    """

    request_id: identifiers.RequestId
    range_id: identifiers.RangeId
    key: str
    exclusive: str
    fingerprint: str
    hold_s: float
    finish_before: float


@_registry.message
class ReserveReply:
    """Range owner to entry.

    ``verdict`` is ``granted``, ``in progress``, ``done``, ``not run``,
    ``unknown``, ``conflict`` or ``not owner``. For ``done`` the stored status
    and headers are given, and frame 1 is the stored body. A granted run must
    start before ``start_before``.
    """

    request_id: identifiers.RequestId
    verdict: str
    reason: str = ''
    start_before: float = 0.0
    status: int = 0
    headers: _registry.Headers = ()


@_registry.message
class CompleteKey:
    """Entry to range owner: the outcome of a granted request.

    Frame 1 is the body of the response if it is small enough to be stored.
    ``ended`` means that no run is in progress any more.
    """

    request_id: identifiers.RequestId
    range_id: identifiers.RangeId
    key: str
    exclusive: str
    outcome: outcomes.Outcome
    ended: bool
    status: int = 0
    headers: _registry.Headers = ()


@dataclasses.dataclass(frozen=True)
class KeyRecord:
    """State of an idempotency or exclusive key.

    ``verdict`` is ``in progress``, ``done`` or ``unknown``. Ages count back
    from the sending of the message; ``expires_in_s`` counts forward, as does
    ``run_ends_in_s``, after which no granted run can be in progress. A record
    of kind ``takeover`` states what the sender itself did not know: keys
    created before ``expires_in_s`` from the sending (mostly negative) may have
    run unless there is a record of them, and exclusive keys may be held until
    ``run_ends_in_s``.
    """

    key: str
    kind: str
    request_id: identifiers.RequestId
    fingerprint: str
    verdict: str
    expires_in_s: float
    status: int = 0
    headers: _registry.Headers = ()
    body: bytes = b''
    run_ends_in_s: float = 0.0


@_registry.message
class KeyHandover:
    """Former range owner to its successor: the records of a range."""

    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    records: tuple[KeyRecord, ...]
    final: bool


@_registry.message
class KeyHandoverAck:
    """Successor to the former owner."""

    range_id: identifiers.RangeId
    accepted: bool
