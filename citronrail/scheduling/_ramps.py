"""Gradual ramp-up of data centres that return to service."""

import collections.abc
import math

from citronrail.model import identifiers
from citronrail.model import settings as settings_model
from citronrail import observability
from citronrail.observability.catalogue import decisions as events
from citronrail.scheduling import _context
from citronrail.scheduling import _decision_metrics as metrics


def ramps(
    settings: settings_model.Settings,
    limits: _context.Limits,
    unix_now: float,
) -> dict[str, float]:
    """Return the share of its agents that each returned data centre may use.

    Without a ramp, tasks would move to a returned data centre in one burst,
    onto hosts with cold caches. The time of the return is stored in the
    settings, so that a process that takes over a range later also ramps.

    :param settings: latest settings.
    :param limits: duration of a ramp and the share at its start.
    :param unix_now: Unix time in seconds.
    :returns: shares below 1.0; data centres without a ramp are omitted.
    """
    shares = {}
    for name, state in settings.data_centres.items():
        elapsed_s = unix_now - state.changed_at
        # A time of return that lies further in the future than the duration
        # of a ramp indicates a wrong clock, with which the ramp might
        # never end.
        if not state.in_service or elapsed_s < -limits.ramp_s:
            continue
        share = ramp_share(elapsed_s, limits)
        if share < 1.0:
            shares[name] = share
    return shares


def report(
    before: collections.abc.Mapping[str, float],
    after: collections.abc.Mapping[str, float],
    limits: _context.Limits,
) -> None:
    """Update the metrics, and log ramps that have begun or ended.

    :param before: previous shares.
    :param after: current shares.
    :param limits: duration of a ramp.
    """
    for name, share in after.items():
        metrics.RAMP_SHARE.labels(name).set(share)
        if name not in before:
            observability.emit(
                events.DATA_CENTRE_RAMP_STARTED,
                data_centre=name,
                ramp_s=limits.ramp_s,
            )
    for name in before:
        if name not in after:
            metrics.RAMP_SHARE.labels(name).set(1.0)
            observability.emit(events.DATA_CENTRE_RAMP_ENDED, data_centre=name)


def ramp_share(elapsed_s: float, limits: _context.Limits) -> float:
    """Return the share of its workers that a data centre may use.

    :param elapsed_s: seconds since its return.
    :param limits: duration of a ramp and the share at its start.
    :returns: share that increases linearly to 1.0.
    """
    if limits.ramp_s <= 0.0:
        return 1.0
    first_share = limits.ramp_first_share
    progress = max(0.0, elapsed_s) / limits.ramp_s
    return min(1.0, first_share + (1.0 - first_share) * progress)


def usable(
    nodes: collections.abc.Iterable[identifiers.NodeId], share: float
) -> frozenset[identifiers.NodeId]:
    """Return the workers of a data centre that may be used, at least one.

    They are the first ones by name, so that a worker that may be used remains
    so as the share increases.

    :param nodes: node ids of the workers' agents.
    :param share: from :func:`ramp_share`.
    :returns: node ids.
    """
    names = sorted(nodes)
    return frozenset(names[: math.ceil(len(names) * share)])
