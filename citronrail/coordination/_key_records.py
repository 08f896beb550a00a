"""Immutable key records and their conversion to and from messages."""

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
    """Limits of a keeper; times in seconds.

    :param lifetime_s: maximum age of an accepted key.
    :param future_margin_s: time by which a key may lie in the future.
    :param entry_skew_s: maximum difference between the entries' Unix clocks.
    :param takeover_hold_s: maximum ``max_run_s`` of all services.
    :param max_records: maximum number of records.
    :param max_answer_bytes: maximum size of an answer that is stored for
        repeated requests.
    :param max_stored_bytes: maximum total size of stored answers.
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
    """An answer stored for repeated requests; empty unless ``kept``."""

    status: int = 0
    headers: messages.Headers = ()
    body: bytes = b''
    kept: bool = False


@dataclasses.dataclass(frozen=True)
class Record:
    """State of one key; times on the local monotonic clock.

    ``verdict`` is ``in progress``, ``done`` or ``unknown``. No granted run
    lasts beyond ``run_ends_at``. ``start_before`` is the start deadline of the
    grant. ``forget_unix`` is the Unix time at which the record of an
    idempotency key is dropped.
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
    """Reply to a reservation; ``body`` is the stored answer's body.

    ``reply.start_before`` is a time on this process's clock.
    """

    reply: messages.ReserveReply
    body: bytes = b''


def refused(
    msg: messages.ReserveKey, verdict: str, reason: str
) -> Reservation:
    return Reservation(messages.ReserveReply(msg.request_id, verdict, reason))


def repeated(msg: messages.ReserveKey, answer: Answer) -> Reservation:
    """Return a reservation that carries the stored answer."""
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
    record_key: tuple[str, str], record: Record, now: _key_age.Moment
) -> messages.KeyRecord:
    """Convert a record to a message with relative times."""
    kind, key = record_key
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
    """Convert a message to a record.

    Times are relative, so a transfer delay only extends the lifetime.
    """
    run_ends_at = now.local + _peer_clock.lengthened(message.run_ends_in_s)
    return Record(
        message.kind,
        message.request_id,
        message.fingerprint,
        message.verdict,
        # The successor never repeats a grant of the previous owner.
        float('-inf'),
        run_ends_at,
        now.unix + _peer_clock.lengthened(message.expires_in_s),
        Answer(
            message.status, message.headers, message.body, message.status > 0
        ),
    )


def granted(msg: messages.ReserveKey, start_before: float) -> Reservation:
    """Return a reservation that grants a run."""
    return Reservation(
        messages.ReserveReply(
            msg.request_id, 'granted', start_before=start_before
        )
    )
