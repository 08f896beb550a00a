"""Limits on sends beyond the first of each request."""

import dataclasses

SHARE_OF_SUCCESSES = 0.1  # extra sends earned by a success
MAX_SAVED = 10.0  # extra sends that can be saved up for a bad moment
MAX_SHARE_OF_REQUESTS = 0.19  # keeps all sends under 1.2 times the requests
_WINDOW_REQUESTS = 1000.0


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Extra sends that may still be made.

    Successes earn extra sends, so that none is left soon after every backend
    server fails. The share of requests bounds them also while successes and
    failures mix. ``requests`` and ``extra`` are halved together now and
    then, so that old traffic counts less.
    """

    saved: float = 0.0
    requests: float = 0.0
    extra: float = 0.0


def with_request(budget: RetryBudget) -> RetryBudget:
    """Note the first send of a request.

    :param budget: the budget so far.
    :returns: the budget after it.
    """
    scale = 0.5 if budget.requests >= _WINDOW_REQUESTS else 1.0
    return RetryBudget(
        budget.saved, budget.requests * scale + 1, budget.extra * scale
    )


def with_success(budget: RetryBudget) -> RetryBudget:
    """Note a request that was answered by a healthy backend server.

    :param budget: the budget so far.
    :returns: the budget after it.
    """
    saved = min(MAX_SAVED, budget.saved + SHARE_OF_SUCCESSES)
    return dataclasses.replace(budget, saved=saved)


def allows(budget: RetryBudget) -> bool:
    """Tell whether one more extra send fits.

    :param budget: the budget so far.
    """
    return (
        budget.saved >= 1
        and budget.extra + 1 <= budget.requests * MAX_SHARE_OF_REQUESTS
    )


def with_extra(budget: RetryBudget) -> RetryBudget:
    """Note an extra send that :func:`allows` permitted.

    :param budget: the budget so far.
    :returns: the budget after it.
    """
    return dataclasses.replace(
        budget, saved=budget.saved - 1, extra=budget.extra + 1
    )
