"""Reservations that some worker can hold."""

import collections.abc

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.scheduling import _policies


def capped(
    reservation: resources.Resources,
    declared: resources.Resources,
    capacities: collections.abc.Iterable[resources.Resources],
) -> resources.Resources:
    """Cut a reservation that grew beyond every worker to the largest one.

    A task whose estimate exceeds every worker would otherwise wait for ever;
    on the largest worker it has the best chance that exists.

    :param reservation: amounts from the estimate.
    :param declared: the declared size.
    :param capacities: what each worker holds.
    :returns: ``reservation``, or the smallest cut that one worker can hold.
    """
    fitting = [item for item in capacities if declared.fits_in(item)]
    if not fitting or any(reservation.fits_in(item) for item in fitting):
        return reservation
    largest = max(fitting, key=lambda item: (item.memory_mb, item.millicores))
    return resources.Resources(
        min(reservation.millicores, largest.millicores),
        min(reservation.memory_mb, largest.memory_mb),
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
