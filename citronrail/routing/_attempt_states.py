"""States of the attempts of a request, and decisions based on them."""

import collections.abc
import dataclasses

from citronrail.model import messages
from citronrail.model import outcome as outcomes


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The attempt was never sent."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """The agent confirmed that it has not run and will not run the attempt."""

    reason: str
    leaving: bool = False
    full: bool = False


@dataclasses.dataclass(frozen=True)
class Cancelled:
    """The agent recorded the cancellation before the run started."""


@dataclasses.dataclass(frozen=True)
class Lost:
    """Sent, with no conclusive reply; a run may be in progress."""

    reason: str
    timed_out: bool = False


@dataclasses.dataclass(frozen=True)
class Failed:
    """The run failed; ``ended`` if it is known to be no longer in progress."""

    reason: str
    ended: bool
    timed_out: bool = False


@dataclasses.dataclass(frozen=True)
class Started:
    """The start of the response has arrived."""

    status: int
    headers: messages.Headers


@dataclasses.dataclass(frozen=True)
class Complete:
    """The complete response has arrived."""

    status: int


AttemptState = (
    NotSent | Refused | Cancelled | Lost | Failed | Started | Complete
)


def outcome_of(
    attempts: collections.abc.Iterable[AttemptState],
) -> outcomes.Outcome:
    """Return the outcome of a request from the states of its attempts.

    ``not run`` requires certainty about every attempt: a single one that was
    sent and not confirmed as refused or cancelled makes it ``unknown``.

    :param attempts: state of each attempt.
    :returns: the outcome to report to the caller.
    """
    result = outcomes.Outcome.NOT_RUN
    for attempt in attempts:
        match attempt:
            case Complete():
                return outcomes.Outcome.DONE
            case NotSent() | Refused() | Cancelled():
                continue
            case Lost() | Failed() | Started():
                result = outcomes.Outcome.UNKNOWN
    return result


def certainly_ended(attempts: collections.abc.Iterable[AttemptState]) -> bool:
    """Return whether no attempt can still be in progress.

    :param attempts: state of each attempt.
    :returns: True only if every attempt is known to have ended.
    """
    return all(
        not isinstance(attempt, Lost | Started)
        and not (isinstance(attempt, Failed) and not attempt.ended)
        for attempt in attempts
    )


def may_retry(
    attempts: collections.abc.Sequence[AttemptState],
    *,
    idempotent: bool,
    exclusive: bool,
) -> bool:
    """Return whether a retry preserves the guarantees of the request.

    :param attempts: states of the attempts so far.
    :param idempotent: whether the request may run more than once.
    :param exclusive: whether runs must not overlap.
    :returns: True if one more attempt is allowed.
    """
    outcome = outcome_of(attempts)
    if outcome is outcomes.Outcome.NOT_RUN:
        return True
    if outcome is outcomes.Outcome.DONE or not idempotent:
        return False
    return not exclusive or certainly_ended(attempts)
