"""Simulates a day of shared workers with each sharing variant."""

from loguru import logger
import pytest

from measure import _shared_workers as shared

LOAD = shared.Load(heavy_share=0.4)
SEEDS = (0, 5)
# Issue 11: required fraction of the best baseline's worth on such a load.
MIN_WORTH_RATIO = 0.98


@pytest.fixture(autouse=True)
def _no_log():
    logger.disable('citronrail')
    yield
    logger.enable('citronrail')


def _simulate(variant: shared.Variant) -> list[shared.Outcome]:
    return [shared.SharedWorkers(LOAD, n, variant).run() for n in SEEDS]


def test_sharing_is_worth_more_than_either_baseline():
    """Guards against starved filling tasks and slowed serving tasks.

    While learning ignored the uncertainty of interference, filling tasks
    earned 0.09 of their worth on a day of the ticketing site.
    """
    learned = _simulate(shared.Variant.LEARNED)
    unpaced = _simulate(shared.Variant.UNPACED)
    separate = _simulate(shared.Variant.APART)
    for learned_day, unpaced_day, separate_day in zip(
        learned, unpaced, separate
    ):
        assert learned_day.worth >= MIN_WORTH_RATIO * max(
            unpaced_day.worth, separate_day.worth
        )
        assert learned_day.harmed_s < unpaced_day.harmed_s
        assert learned_day.filling > separate_day.filling
