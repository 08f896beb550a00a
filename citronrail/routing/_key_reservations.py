"""Results of key reservations and the responses that they lead to."""

import dataclasses

from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.routing import _requests


@dataclasses.dataclass(frozen=True)
class ReservationResult:
    """Reply of a key store; ``reply.start_before`` is on the local clock."""

    reply: messages.ReserveReply
    body: bytes = b''


@dataclasses.dataclass(frozen=True)
class Granted:
    """The request may run; ``start_before`` is a local time in seconds."""

    start_before: float


@dataclasses.dataclass(frozen=True)
class Replayed:
    """The request was answered earlier; this is the stored response."""

    status: int
    headers: messages.Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotGranted:
    """The request must not run now."""

    problem: _requests.Problem


Reservation = Granted | Replayed | NotGranted


@dataclasses.dataclass(frozen=True)
class StoredResponse:
    """A response that is small enough to be stored."""

    status: int
    headers: messages.Headers
    body: bytes


def not_granted(
    result: ReservationResult | None, reservation: messages.ReserveKey
) -> Reservation:
    """Return the result for a request whose key was not granted.

    :param result: reply of the owner, None if it did not reply.
    :param reservation: the requested reservation.
    :returns: the stored response or the problem to report.
    """
    if result is None:
        return _refusal(503, 'The owner of the key cannot be reached', '', 1)
    reply = result.reply
    match reply.verdict:
        case 'done' if reply.status:
            return Replayed(reply.status, reply.headers, result.body)
        case 'done':
            return _refusal(
                409,
                'The request was answered before',
                'Its answer was too large to be kept.',
                outcome=outcomes.Outcome.DONE,
            )
        case 'in progress':
            return _refusal(
                409,
                'A request with this key is in progress',
                reply.reason,
                1,
                outcome=_while_in_progress(reservation),
            )
        case 'conflict':
            return _refusal(
                422,
                'The key was used for a different request',
                reply.reason,
            )
        case 'unknown':
            return _refusal(
                409,
                'What became of the request with this key is not known',
                reply.reason,
                outcome=outcomes.Outcome.UNKNOWN,
            )
        case _:
            return _refusal(503, 'The request was refused', reply.reason, 1)


def _while_in_progress(reservation: messages.ReserveKey) -> outcomes.Outcome:
    """Return the outcome to report while another request holds the key.

    A request with the same idempotency key is a repetition, so its outcome is
    still unknown; one that only shares the exclusive key was not run.
    """
    if reservation.key:
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN


def _refusal(
    status: int,
    title: str,
    detail: str,
    retry_after_s: int = 0,
    *,
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN,
) -> NotGranted:
    return NotGranted(
        _requests.Problem(status, title, detail, outcome, retry_after_s)
    )
