"""What is known of the attempts of a request, and what follows from it."""

import collections.abc
import dataclasses

from citronrail.model import messages
from citronrail.model import outcome as outcomes


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Nothing was handed to a socket."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """The agent confirmed that it didn't run the attempt and never will."""

    reason: str
    leaving: bool = False
    full: bool = False


@dataclasses.dataclass(frozen=True)
class Cancelled:
    """The agent recorded the cancellation before the attempt started."""


@dataclasses.dataclass(frozen=True)
class Lost:
    """Sent, but nothing certain was heard; a run may be in progress."""

    reason: str
    timed_out: bool = False


@dataclasses.dataclass(frozen=True)
class Failed:
    """The run broke off; ``ended`` if no run is in progress any more."""

    reason: str
    ended: bool
    timed_out: bool = False


@dataclasses.dataclass(frozen=True)
class Started:
    """The answer began to arrive."""

    status: int
    headers: messages.Headers


@dataclasses.dataclass(frozen=True)
class Complete:
    """The whole answer arrived."""

    status: int


Verdict = NotSent | Refused | Cancelled | Lost | Failed | Started | Complete


def outcome_of(
    attempts: collections.abc.Iterable[Verdict],
) -> outcomes.Outcome:
    """Tell how a request ended, given all of its attempts.

    ``not run`` needs certainty about every attempt, so that a single one
    without a confirmed refusal makes the request ``unknown``.

    :param attempts: what is known of each attempt.
    :returns: the outcome to report.
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


def certainly_ended(attempts: collections.abc.Iterable[Verdict]) -> bool:
    """Tell whether no attempt can still be in progress.

    :param attempts: what is known of each attempt.
    :returns: True only if every attempt is known to have ended.
    """
    return all(
        not isinstance(attempt, Lost | Started)
        and not (isinstance(attempt, Failed) and not attempt.ended)
        for attempt in attempts
    )


def may_retry(
    attempts: collections.abc.Sequence[Verdict],
    *,
    idempotent: bool,
    exclusive: bool,
) -> bool:
    """Tell whether another attempt keeps every promise.

    :param attempts: what is known of the attempts so far.
    :param idempotent: whether a second run does no harm.
    :param exclusive: whether no two runs may overlap.
    :returns: True if one more attempt is allowed.
    """
    outcome = outcome_of(attempts)
    if outcome is outcomes.Outcome.NOT_RUN:
        return True
    if outcome is outcomes.Outcome.DONE or not idempotent:
        return False
    return not exclusive or certainly_ended(attempts)
