"""Limits reservations to what a worker can hold."""

import collections.abc

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.scheduling import _policies

MAX_PROCESSOR_SHARE = 0.5
MAX_MEMORY_SHARE = 0.9


def cap_reservation(
    reservation: resources.Resources,
    declared: resources.Resources,
    capacities: collections.abc.Iterable[resources.Resources],
) -> resources.Resources:
    """Cap an estimated reservation that exceeds the declared size.

    Workers usually run other tasks as well, such as replicas of services, so
    that a task that reserves a whole worker would never start.

    :param reservation: estimated amounts.
    :param declared: declared size.
    :param capacities: capacities of the workers.
    :returns: at most half of the processors and nine tenths of the memory of
        the largest worker that fits the declared size, but not less than the
        declared size.
    """
    feasible = [item for item in capacities if declared.fits_in(item)]
    if not feasible:
        return reservation
    largest = max(feasible, key=lambda item: (item.memory_mb, item.millicores))
    limit = resources.Resources(
        int(MAX_PROCESSOR_SHARE * largest.millicores),
        int(MAX_MEMORY_SHARE * largest.memory_mb),
        reservation.accelerators,
    )
    return resources.Resources(
        max(
            declared.millicores, min(reservation.millicores, limit.millicores)
        ),
        max(declared.memory_mb, min(reservation.memory_mb, limit.memory_mb)),
        reservation.accelerators,
    )


class CappedEstimator:
    """An estimator whose reservations are capped.

    :param estimator: the estimator to wrap.
    :param capacities: returns the capacities of all known workers.
    """

    def __init__(
        self,
        estimator: _policies.Estimator,
        capacities: collections.abc.Callable[
            [], collections.abc.Iterable[resources.Resources]
        ],
    ) -> None:
        self._estimator = estimator
        self._capacities = capacities

    def run_s(
        self,
        team: identifiers.TeamName,
        work_class: identifiers.WorkClass,
        declared_run_s: float,
    ) -> float:
        """Return the expected run time in seconds."""
        return self._estimator.run_s(team, work_class, declared_run_s)

    def reservation(
        self,
        team: identifiers.TeamName,
        work_class: identifiers.WorkClass,
        declared: resources.Resources,
    ) -> resources.Resources:
        """Return the amount to reserve for a task."""
        estimated = self._estimator.reservation(team, work_class, declared)
        if estimated == declared:
            return declared
        return cap_reservation(estimated, declared, self._capacities())
