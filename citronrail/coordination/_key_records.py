"""Frozen records of keys and their form in messages."""

import dataclasses

from citronrail.coordination import _key_age
from citronrail.coordination import _peer_clock
from citronrail.model import identifiers
from citronrail.model import messages

TAKEOVER = 'takeover'
IDEMPOTENCY = 'idempotency'
EXCLUSIVE = 'exclusive'


@dataclasses.dataclass(frozen=True)
class KeeperLimits:
    """Bounds of a keeper; times in seconds.

    :param lifetime_s: age up to which a key is accepted.
    :param future_margin_s: how far a key may lie in the future.
    :param entry_skew_s: largest difference between entries' Unix clocks.
    :param takeover_hold_s: largest ``max_run_s`` of a service.
    :param max_records: number of keys kept at once.
    :param max_answer_bytes: largest answer kept for a repeated request.
    :param max_stored_bytes: sum of all answers kept.
    """

    lifetime_s: float = 600.0
    future_margin_s: float = 2.0
    entry_skew_s: float = 2.0
    takeover_hold_s: float = 30.0
    max_records: int = 200_000
    max_answer_bytes: int = 64 * 1024
    max_stored_bytes: int = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer kept for repeated requests."""

    status: int = 0
    headers: messages.Headers = ()
    body: bytes = b''
    kept: bool = False


@dataclasses.dataclass(frozen=True)
class Record:
    """State of one key; times on the local monotonic clock.

    ``verdict`` is ``in progress``, ``done`` or ``unknown``. After
    ``run_ends_at`` no granted run can be in progress. ``start_before`` is
    that of the grant. ``forget_unix`` is Unix time, used by idempotency keys.
    """

    kind: str
    request_id: identifiers.RequestId
    fingerprint: str
    verdict: str
    start_before: float
    run_ends_at: float
    forget_unix: float = 0.0
    answer: Answer = Answer()


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Reply to a reservation; ``body`` is that of the stored answer.

    ``reply.start_before`` is on this process's clock.
    """

    reply: messages.ReserveReply
    body: bytes = b''


def refused(
    msg: messages.ReserveKey, verdict: str, reason: str
) -> Reservation:
    return Reservation(messages.ReserveReply(msg.request_id, verdict, reason))


def repeated(msg: messages.ReserveKey, answer: Answer) -> Reservation:
    """Return a reservation that repeats a stored answer."""
    reason = '' if answer.kept else 'the answer was not kept'
    return Reservation(
        messages.ReserveReply(
            msg.request_id,
            'done',
            reason,
            status=answer.status,
            headers=answer.headers,
        ),
        answer.body,
    )


def to_message(
    place: tuple[str, str], record: Record, now: _key_age.Moment
) -> messages.KeyRecord:
    """Return the form of a record in messages."""
    kind, key = place
    run_ends_in_s = max(0.0, record.run_ends_at - now.local)
    expires_in_s = run_ends_in_s
    if kind == IDEMPOTENCY:
        expires_in_s = max(0.0, record.forget_unix - now.unix)
    return messages.KeyRecord(
        key,
        kind,
        record.request_id,
        record.fingerprint,
        record.verdict,
        expires_in_s,
        record.answer.status,
        record.answer.headers,
        record.answer.body,
        run_ends_in_s,
    )


def from_message(message: messages.KeyRecord, now: _key_age.Moment) -> Record:
    """Make a record; the time on the way only makes it last longer."""
    run_ends_at = now.local + _peer_clock.lengthened(message.run_ends_in_s)
    return Record(
        message.kind,
        message.request_id,
        message.fingerprint,
        message.verdict,
        # A grant of the former owner is never repeated by the successor.
        float('-inf'),
        run_ends_at,
        now.unix + _peer_clock.lengthened(message.expires_in_s),
        Answer(
            message.status, message.headers, message.body, message.status > 0
        ),
    )


def granted(msg: messages.ReserveKey, start_before: float) -> Reservation:
    """Return a reservation that allows a run."""
    return Reservation(
        messages.ReserveReply(
            msg.request_id, 'granted', start_before=start_before
        )
    )
