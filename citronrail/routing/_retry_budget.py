"""Token bucket for retries and hedged attempts."""

import dataclasses

TOKENS_PER_SUCCESS = 0.1  # extra attempts added per success
MAX_TOKENS = 10.0  # extra attempts, limits the burst after a failure
MAX_EXTRA_SHARE = 0.19  # keeps attempts below 1.2 times the requests
_WINDOW_REQUESTS = 1000.0


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Budget of extra attempts: retries and hedged attempts.

    Successes add tokens, so that the budget is soon exhausted when all
    backend servers fail. The share of requests also limits extra attempts
    while successes and failures alternate. ``requests`` and
    ``extra_attempts`` are halved together periodically, so that old traffic
    counts less.
    """

    tokens: float = 0.0
    requests: float = 0.0
    extra_attempts: float = 0.0


def with_request(budget: RetryBudget) -> RetryBudget:
    """Record the first attempt of a request.

    :param budget: the current budget.
    :returns: the updated budget.
    """
    scale = 0.5 if budget.requests >= _WINDOW_REQUESTS else 1.0
    return RetryBudget(
        budget.tokens,
        budget.requests * scale + 1,
        budget.extra_attempts * scale,
    )


def with_success(budget: RetryBudget) -> RetryBudget:
    """Record a successful response of a backend server.

    :param budget: the current budget.
    :returns: the updated budget.
    """
    tokens = min(MAX_TOKENS, budget.tokens + TOKENS_PER_SUCCESS)
    return dataclasses.replace(budget, tokens=tokens)


def allows(budget: RetryBudget) -> bool:
    """Return whether the budget allows one more extra attempt.

    :param budget: the current budget.
    """
    return (
        budget.tokens >= 1
        and budget.extra_attempts + 1 <= budget.requests * MAX_EXTRA_SHARE
    )


def with_extra_attempt(budget: RetryBudget) -> RetryBudget:
    """Charge an extra attempt that :func:`allows` permitted.

    :param budget: the current budget.
    :returns: the updated budget.
    """
    return dataclasses.replace(
        budget,
        tokens=budget.tokens - 1,
        extra_attempts=budget.extra_attempts + 1,
    )
