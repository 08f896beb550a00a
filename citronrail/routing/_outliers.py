"""Ejection of agents whose backend servers fail, and their return."""

import dataclasses

CONSECUTIVE_FAILURES = 5
FAILURE_SHARE = 0.5
_DECAY = 0.9  # weight of the past per answer; about the last 10 count
_MIN_ANSWERS = 5.0
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
RETURN_S = 10.0  # time in which a returning agent's share grows to 1
FIRST_SHARE = 0.05
MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Health:
    """How an agent's backend servers answered lately.

    ``failures`` and ``answers`` are decaying sums. ``ejected_until`` is a
    local time in seconds, 0 for an agent that was never ejected.
    """

    failures: float = 0.0
    answers: float = 0.0
    consecutive: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


def after_success(health: Health) -> Health:
    """Note a good answer.

    :param health: state before it.
    :returns: state after it.
    """
    return dataclasses.replace(
        health,
        failures=health.failures * _DECAY,
        answers=health.answers * _DECAY + 1,
        consecutive=0,
    )


def after_failure(health: Health, now: float) -> Health:
    """Note a failure; enough of them eject the agent.

    Each ejection lasts longer than the one before, as long as the agent
    fails again while it returns.

    :param health: state before it.
    :param now: local time in seconds.
    :returns: state after it.
    """
    failed = dataclasses.replace(
        health,
        failures=health.failures * _DECAY + 1,
        answers=health.answers * _DECAY + 1,
        consecutive=health.consecutive + 1,
    )
    if now < failed.ejected_until or not _is_outlier(failed, now):
        return failed
    returning = now < health.ejected_until + 2 * RETURN_S
    ejections = health.ejections + 1 if returning else 1
    seconds = min(MAX_EJECTION_S, BASE_EJECTION_S * 2 ** (ejections - 1))
    return Health(ejections=ejections, ejected_until=now + seconds)


def share(health: Health, now: float) -> float:
    """Return the share of its normal load that an agent may get.

    :param health: state of the agent.
    :param now: local time in seconds.
    :returns: 0 while ejected, then growing to 1.
    """
    if health.ejected_until == 0.0:
        return 1.0
    since = now - health.ejected_until
    if since < 0:
        return 0.0
    return min(1.0, FIRST_SHARE + since / RETURN_S)


def _is_outlier(health: Health, now: float) -> bool:
    if share(health, now) < 1:
        return True  # one failure while it returns is enough
    if health.consecutive >= CONSECUTIVE_FAILURES:
        return True
    return (
        health.answers >= _MIN_ANSWERS
        and health.failures / health.answers > FAILURE_SHARE
    )
