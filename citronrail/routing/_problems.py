"""What a caller is told when there is no answer of a backend server."""

import collections.abc

from citronrail.model import outcome as outcomes
from citronrail.routing import _requests
from citronrail.routing import _verdicts

RETRY_AFTER_S = 1


def not_run(detail: str) -> _requests.Problem:
    """Describe a request that was certainly not run.

    :param detail: why.
    """
    return _requests.Problem(
        503,
        'The request was not run',
        detail,
        outcomes.Outcome.NOT_RUN,
        RETRY_AFTER_S,
    )


def bad_request(detail: str) -> _requests.Problem:
    """Describe a request that cannot be understood.

    :param detail: what is wrong with it.
    """
    return _requests.Problem(
        400,
        'The request is malformed',
        detail,
        outcomes.Outcome.NOT_RUN,
    )


def after_attempts(
    attempts: collections.abc.Sequence[_verdicts.Verdict], detail: str
) -> _requests.Problem:
    """Describe a request without an answer, given all of its attempts.

    :param attempts: what is known of each attempt.
    :param detail: why there was no further attempt, or ''.
    """
    reason = _last_reason(attempts)
    text = '; '.join(part for part in (reason, detail) if part)
    if _verdicts.outcome_of(attempts) is outcomes.Outcome.NOT_RUN:
        return not_run(text)
    timed_out = any(
        isinstance(attempt, _verdicts.Lost | _verdicts.Failed)
        and attempt.timed_out
        for attempt in attempts
    )
    return _requests.Problem(
        504 if timed_out else 502,
        'It is not known whether the request was run',
        text,
        outcomes.Outcome.UNKNOWN,
    )


def _last_reason(attempts: collections.abc.Sequence[_verdicts.Verdict]) -> str:
    for attempt in reversed(attempts):
        match attempt:
            case (
                _verdicts.NotSent(reason)
                | _verdicts.Refused(reason)
                | _verdicts.Lost(reason)
                | _verdicts.Failed(reason)
            ):
                return reason
            case _verdicts.Cancelled():
                return 'the time is over'
    return ''
