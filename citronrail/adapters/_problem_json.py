"""Encodes routing.Problem as HTTP problem responses (RFC 9457)."""

import msgspec
import quart

from citronrail.model import outcome as outcomes
from citronrail import routing

PROBLEM_TYPE = 'application/problem+json'
OUTCOME_HEADER = 'citronrail-outcome'
REQUEST_ID_HEADER = 'citronrail-request-id'


def response(problem: routing.Problem, request_id: str = '') -> quart.Response:
    """Create an HTTP response from a problem.

    :param problem: the problem.
    :param request_id: id of the request concerned, or ''.
    :returns: the response with status, headers and a JSON body.
    """
    headers = {OUTCOME_HEADER: problem.outcome.value}
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if problem.retry_after_s:
        headers['retry-after'] = str(problem.retry_after_s)
    return quart.Response(
        body(problem, request_id),
        status=problem.status,
        headers=headers,
        content_type=PROBLEM_TYPE,
    )


def body(problem: routing.Problem, request_id: str = '') -> bytes:
    """Encode a problem.

    :param problem: the problem.
    :param request_id: id of the request concerned, or ''.
    :returns: JSON with ``type``, ``title``, ``status``, ``detail``,
        ``outcome`` and ``request_id``.
    """
    return msgspec.json.encode(
        {
            'type': 'about:blank',
            'title': problem.title,
            'status': problem.status,
            'detail': problem.detail,
            'outcome': problem.outcome.value,
            'request_id': request_id,
        }
    )


def rejected_request(status: int, title: str, detail: str) -> routing.Problem:
    """Describe a request that is rejected without being run.

    :param status: HTTP status.
    :param title: summary of the problem.
    :param detail: details of the problem.
    """
    return routing.Problem(status, title, detail, outcomes.Outcome.NOT_RUN)
