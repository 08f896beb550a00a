"""Ramp after a data centre returns: its hosts fill gradually."""

import dataclasses

from citronrail.model import resources


@dataclasses.dataclass(frozen=True)
class RampSettings:
    """How fast a returned data centre is filled.

    ``first_share`` is the part of each host that may be reserved at once; it
    rises evenly to all of it after ``ramp_s`` seconds.
    ``starts_per_s`` bounds the starts in the data centre meanwhile, for each
    of its hosts.
    """

    first_share: float = 0.5
    ramp_s: float = 20.0
    starts_per_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class ReturnRamp:
    """State of one returned data centre; times are local, in seconds."""

    returned_at: float
    hosts: int
    started: int = 0


def share(ramp: ReturnRamp, cfg: RampSettings, now: float) -> float:
    """Return the part of each host that may be reserved now.

    :param ramp: the returned data centre.
    :param cfg: settings.
    :param now: local time in seconds.
    :returns: from ``first_share`` to 1.0.
    """
    if cfg.ramp_s <= 0.0:
        return 1.0
    passed = max(0.0, now - ramp.returned_at) / cfg.ramp_s
    return min(1.0, cfg.first_share + (1.0 - cfg.first_share) * passed)


def finished(ramp: ReturnRamp, cfg: RampSettings, now: float) -> bool:
    """Tell whether the ramp is over and may be forgotten.

    :param ramp: the returned data centre.
    :param cfg: settings.
    :param now: local time in seconds.
    :returns: True once hosts may be filled without limit.
    """
    return now >= ramp.returned_at + cfg.ramp_s


def starts_allowed(ramp: ReturnRamp, cfg: RampSettings, now: float) -> int:
    """Return how many more starts the data centre may get now.

    :param ramp: the returned data centre.
    :param cfg: settings.
    :param now: local time in seconds.
    :returns: at least 0; each host may get one start at once.
    """
    passed_s = max(0.0, now - ramp.returned_at)
    allowed = ramp.hosts * (1.0 + cfg.starts_per_s * passed_s)
    return max(0, int(allowed) - ramp.started)


def with_starts(ramp: ReturnRamp, count: int) -> ReturnRamp:
    """Count starts in the data centre.

    :param ramp: the returned data centre.
    :param count: number of starts.
    :returns: the new state.
    """
    return dataclasses.replace(ramp, started=ramp.started + count)


def ramped_capacity(
    capacity: resources.Resources,
    ramp: ReturnRamp,
    cfg: RampSettings,
    now: float,
) -> resources.Resources:
    """Return the capacity of a host that may be used now.

    :param capacity: full capacity of the host.
    :param ramp: the returned data centre.
    :param cfg: settings.
    :param now: local time in seconds.
    :returns: processors and memory cut to the share; accelerators whole.
    """
    part = share(ramp, cfg, now)
    return resources.Resources(
        int(capacity.millicores * part),
        int(capacity.memory_mb * part),
        capacity.accelerators,
    )
