"""Outlier detection: ejects agents whose backend servers fail."""

import dataclasses

CONSECUTIVE_FAILURES = 5
FAILURE_SHARE = 0.5
_DECAY = 0.9  # per response; averages over about the last 10 responses
_MIN_RESPONSES = 5.0
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
RAMP_S = 10.0  # time in which the load share of an agent ramps up to 1
INITIAL_SHARE = 0.05
MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Health:
    """Recent results of an agent's backend servers.

    ``failures`` and ``responses`` are exponentially decaying sums.
    ``ejected_until`` is a local time in seconds, 0 for an agent that was
    never ejected.
    """

    failures: float = 0.0
    responses: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


def after_success(health: Health) -> Health:
    """Record a successful response.

    :param health: state before the response.
    :returns: state after the response.
    """
    return dataclasses.replace(
        health,
        failures=health.failures * _DECAY,
        responses=health.responses * _DECAY + 1,
        consecutive_failures=0,
    )


def after_failure(health: Health, now: float) -> Health:
    """Record a failure, which ejects the agent if it is an outlier.

    The ejection time doubles each time that the agent fails again during or
    shortly after its ramp-up.

    :param health: state before the failure.
    :param now: local time in seconds.
    :returns: state after the failure.
    """
    failed = dataclasses.replace(
        health,
        failures=health.failures * _DECAY + 1,
        responses=health.responses * _DECAY + 1,
        consecutive_failures=health.consecutive_failures + 1,
    )
    if now < failed.ejected_until or not _is_outlier(failed, now):
        return failed
    returning = now < health.ejected_until + 2 * RAMP_S
    ejections = health.ejections + 1 if returning else 1
    seconds = min(MAX_EJECTION_S, BASE_EJECTION_S * 2 ** (ejections - 1))
    return Health(ejections=ejections, ejected_until=now + seconds)


def load_share(health: Health, now: float) -> float:
    """Return the share of its normal load that an agent may receive.

    :param health: state of the agent.
    :param now: local time in seconds.
    :returns: 0 while ejected, then a ramp up to 1.
    """
    if health.ejected_until == 0.0:
        return 1.0
    since = now - health.ejected_until
    if since < 0:
        return 0.0
    return min(1.0, INITIAL_SHARE + since / RAMP_S)


def _is_outlier(health: Health, now: float) -> bool:
    if load_share(health, now) < 1:
        return True  # a single failure during the ramp-up is enough
    if health.consecutive_failures >= CONSECUTIVE_FAILURES:
        return True
    return (
        health.responses >= _MIN_RESPONSES
        and health.failures / health.responses > FAILURE_SHARE
    )
