"""Problem responses for requests without a backend server's response."""

import collections.abc

from citronrail.model import outcome as outcomes
from citronrail.routing import _attempt_states
from citronrail.routing import _requests

RETRY_AFTER_S = 1


def not_run(detail: str) -> _requests.Problem:
    """Build the problem for a request that is known not to have run.

    :param detail: the reason.
    """
    return _requests.Problem(
        503,
        'The request was not run',
        detail,
        outcomes.Outcome.NOT_RUN,
        RETRY_AFTER_S,
    )


def bad_request(detail: str) -> _requests.Problem:
    """Build the problem for a malformed request.

    :param detail: description of the error.
    """
    return _requests.Problem(
        400,
        'The request is malformed',
        detail,
        outcomes.Outcome.NOT_RUN,
    )


def after_attempts(
    attempts: collections.abc.Sequence[_attempt_states.AttemptState],
    detail: str,
) -> _requests.Problem:
    """Build the problem for a request whose attempts yielded no response.

    :param attempts: state of each attempt.
    :param detail: why there was no further attempt, or ''.
    """
    reason = _last_reason(attempts)
    text = '; '.join(part for part in (reason, detail) if part)
    if _attempt_states.outcome_of(attempts) is outcomes.Outcome.NOT_RUN:
        return not_run(text)
    timed_out = any(
        isinstance(attempt, _attempt_states.Lost | _attempt_states.Failed)
        and attempt.timed_out
        for attempt in attempts
    )
    return _requests.Problem(
        504 if timed_out else 502,
        'It is not known whether the request was run',
        text,
        outcomes.Outcome.UNKNOWN,
    )


def _last_reason(
    attempts: collections.abc.Sequence[_attempt_states.AttemptState],
) -> str:
    for attempt in reversed(attempts):
        match attempt:
            case (
                _attempt_states.NotSent(reason)
                | _attempt_states.Refused(reason)
                | _attempt_states.Lost(reason)
                | _attempt_states.Failed(reason)
            ):
                return reason
            case _attempt_states.Cancelled():
                return 'the time is over'
    return ''
