"""What becomes of a request, given the answer of its keys' owner."""

import dataclasses

from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.routing import _requests


@dataclasses.dataclass(frozen=True)
class KeyAnswer:
    """Answer of a keeper; ``reply.start_before`` is on the local clock."""

    reply: messages.ReserveReply
    body: bytes = b''


@dataclasses.dataclass(frozen=True)
class Granted:
    """The request may run if it starts before a local time in seconds."""

    start_before: float


@dataclasses.dataclass(frozen=True)
class Replayed:
    """The request was answered before; this is its stored answer."""

    status: int
    headers: messages.Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotGranted:
    """The request must not run now."""

    problem: _requests.Problem


Reservation = Granted | Replayed | NotGranted


@dataclasses.dataclass(frozen=True)
class StoredAnswer:
    """An answer that is small enough to be kept."""

    status: int
    headers: messages.Headers
    body: bytes


def not_granted(
    answer: KeyAnswer | None, wish: messages.ReserveKey
) -> Reservation:
    """Decide on a request whose key was not granted.

    :param answer: answer of the owner, None if it can't be reached.
    :param wish: the reservation that was asked for.
    :returns: a stored answer or what to tell the caller.
    """
    if answer is None:
        return _refusal(503, 'The owner of the key cannot be reached', '', 1)
    reply = answer.reply
    match reply.verdict:
        case 'done' if reply.status:
            return Replayed(reply.status, reply.headers, answer.body)
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
                outcome=_while_in_progress(wish),
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


def _while_in_progress(wish: messages.ReserveKey) -> outcomes.Outcome:
    """Return the outcome to report while another request holds the key.

    A request with the same idempotency key is the same request, so its
    outcome is not known yet; one that only shares the exclusive key was not
    run.
    """
    if wish.key:
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
