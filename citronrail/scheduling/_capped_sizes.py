"""Reservations that some worker can hold."""

import collections.abc

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.scheduling import _policies

PROCESSOR_SHARE = 0.5
MEMORY_SHARE = 0.9


def capped(
    reservation: resources.Resources,
    declared: resources.Resources,
    capacities: collections.abc.Iterable[resources.Resources],
) -> resources.Resources:
    """Bound what a reservation may grow to beyond its declared size.

    Workers always hold something else, such as replicas of services, so a
    task that reserved a whole worker would wait for ever.

    :param reservation: amounts from the estimate.
    :param declared: the declared size.
    :param capacities: what each worker holds.
    :returns: at most half of the processors and nine tenths of the memory of
        the largest worker that holds the declared size, and never less than
        that size.
    """
    fitting = [item for item in capacities if declared.fits_in(item)]
    if not fitting:
        return reservation
    largest = max(fitting, key=lambda item: (item.memory_mb, item.millicores))
    bound = resources.Resources(
        int(PROCESSOR_SHARE * largest.millicores),
        int(MEMORY_SHARE * largest.memory_mb),
        reservation.accelerators,
    )
    return resources.Resources(
        max(
            declared.millicores, min(reservation.millicores, bound.millicores)
        ),
        max(declared.memory_mb, min(reservation.memory_mb, bound.memory_mb)),
        reservation.accelerators,
    )


class CappedEstimator:
    """An estimator whose reservations fit into some known worker.

    :param estimator: the estimates.
    :param capacities: gives what each known worker holds.
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
        wanted = self._estimator.reservation(team, work_class, declared)
        if wanted == declared:
            return declared
        return capped(wanted, declared, self._capacities())
