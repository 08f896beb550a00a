"""Tests of the cap on estimated reservations."""

import hypothesis
from hypothesis import strategies as st

from citronrail.model import resources
from citronrail.scheduling import _capped_sizes

_AMOUNTS = st.builds(
    resources.Resources,
    st.integers(0, 9000),
    st.integers(0, 9000),
    st.integers(0, 3),
)


@hypothesis.given(
    declared=_AMOUNTS,
    estimated=_AMOUNTS,
    capacities=st.lists(_AMOUNTS, max_size=5),
)
def test_capped_reservation_of_a_schedulable_task_fits_a_worker(
    declared, estimated, capacities
):
    """Guards against estimated sizes with which a task can never start.

    With ten times the declared processors, the estimate exceeded each worker,
    and 10 of 24 tasks never started. A cap at the capacity of a whole worker
    did not help, since each worker also ran a replica of a service.
    """
    estimated = estimated.maximum(declared)
    estimated = resources.Resources(
        estimated.millicores, estimated.memory_mb, declared.accelerators
    )
    reservation = _capped_sizes.cap_reservation(
        estimated, declared, capacities
    )
    runnable = any(declared.fits_in(item) for item in capacities)
    assert reservation.fits_in(estimated)
    assert declared.fits_in(reservation)
    assert not runnable or any(
        reservation.fits_in(item) for item in capacities
    )


class _TenfoldEstimator:
    """An estimator that returns ten times the declared processors."""

    def run_s(self, team, work_class, declared_run_s):
        return declared_run_s

    def reservation(self, team, work_class, declared):
        return resources.Resources(
            10 * declared.millicores, declared.memory_mb
        )


def test_estimator_returns_capped_reservations():
    """Guards against a scheduler that uses estimates without the cap."""
    worker = resources.Resources(4000, 8000)
    estimator = _capped_sizes.CappedEstimator(
        _TenfoldEstimator(), lambda: [worker]
    )
    declared = resources.Resources(500, 300)
    reservation = estimator.reservation('team', 'class', declared)
    assert reservation == resources.Resources(2000, 300)
