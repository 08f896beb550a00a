"""Tests of the interference model."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs
from citronrail.scheduling import _interference as interference

SEAT = identifiers.WorkClass('seat')
PLAN = identifiers.WorkClass('plan')
FEED = identifiers.WorkClass('feed')


def _measured(slowdown, co_runners, at, load=0.5):
    return interference.Measurement(SEAT, slowdown, co_runners, at, load)


def test_predictions_of_unmeasured_pairs_are_conservative():
    """Guards against treating an unmeasured pair as free of interference."""
    model = interference.InterferenceModel()
    conservative = interference.pair_excess(model, (SEAT, PLAN), 0.5, 0.0)
    mean = interference.pair_excess(model, (SEAT, PLAN), 0.5, 0.0, 0.0)
    assert conservative > mean > 0.0
    assert not interference.is_measured(model, (SEAT, PLAN), 0.0)


@given(
    harmful=st.floats(0.3, 1.0),
    harmless=st.floats(0.0, 0.1),
    seed=st.integers(0, 2**32),
)
def test_slowdown_is_attributed_to_the_pairs_that_cause_it(
    harmful, harmless, seed
):
    """Guards against attributing a slowdown to the wrong co-runner class."""
    rng = random.Random(seed)
    samples = []
    for at in range(200):
        counts = {
            PLAN: float(rng.randint(0, 3)),
            FEED: float(rng.randint(0, 3)),
        }
        actual = 1.0 + counts[PLAN] * harmful + counts[FEED] * harmless
        present = {key: value for key, value in counts.items() if value}
        samples.append(
            _measured(actual * rng.uniform(0.95, 1.05), present, at)
        )
    model = interference.learn(
        interference.InterferenceModel(), samples, 200.0
    )
    plan = interference.pair_excess(model, (SEAT, PLAN), 0.5, 200.0, 0.0)
    feed = interference.pair_excess(model, (SEAT, FEED), 0.5, 200.0, 0.0)
    assert plan == pytest.approx(harmful, abs=0.15)
    assert feed == pytest.approx(harmless, abs=0.15)


def test_model_learns_the_dependence_on_host_load():
    """Guards against predictions that ignore the load of the host."""
    rng = random.Random(1)
    samples = []
    for at in range(300):
        load = rng.uniform(0.1, 0.9)
        samples.append(_measured(1.0 + 0.8 * load, {PLAN: 1.0}, at, load))
    model = interference.learn(
        interference.InterferenceModel(), samples, 300.0
    )
    quiet = interference.pair_excess(model, (SEAT, PLAN), 0.1, 300.0, 0.0)
    busy = interference.pair_excess(model, (SEAT, PLAN), 0.9, 300.0, 0.0)
    assert busy > quiet + 0.3


@given(age=st.floats(0.0, 1e6))
def test_estimates_decay_to_the_prior(age):
    """Guards against outdated estimates of a pair whose behaviour changed."""
    cfg = interference.InterferenceSettings()
    samples = [_measured(3.0, {PLAN: 1.0}, at) for at in range(100)]
    model = interference.learn(
        interference.InterferenceModel(cfg), samples, 100.0
    )
    later = interference.pair_excess(
        model, (SEAT, PLAN), 0.5, 100.0 + age, 0.0
    )
    decay = 0.5 ** (age / cfg.half_life_s)
    assert later - cfg.prior_excess <= 2.0 * decay + 0.01
    if age > 4 * cfg.half_life_s:
        now = 100.0 + age
        assert not interference.is_measured(model, (SEAT, PLAN), now)


@given(
    slowdown=st.floats(allow_nan=True, allow_infinity=True),
    at=st.floats(-1e5, 1e5),
    count=st.floats(0.01, 50.0),
    load=st.floats(0.0, 1.0),
)
def test_any_measurement_keeps_predictions_finite(slowdown, at, count, load):
    """Guards against an outlier that invalidates all later predictions."""
    model = interference.learn(
        interference.InterferenceModel(),
        [_measured(slowdown, {PLAN: count}, at, load)] * 5,
        1000.0,
    )
    excess = interference.pair_excess(model, (SEAT, PLAN), load, 1000.0)
    assert 0.0 <= excess < 100.0


def test_delayed_record_is_attributed_to_its_own_co_runners():
    """Guards against attributing a late record to current co-runners."""
    usage = messages.TaskUsage(
        specs.AttemptId(specs.TaskId('service:seats', 0), 1),
        SEAT,
        resources.Resources(),
        2.5,
        (PLAN, PLAN, FEED),
        40.0,
        (1.0, 0.5, 1.0),
    )
    item = interference.measurement(usage, clock_offset_s=100.0)
    assert item.co_runners == {PLAN: 1.5, FEED: 1.0}
    assert item.measured_at == 140.0


def test_delayed_record_has_less_weight():
    """Guards against a delayed report that overrides recent measurements."""
    recent = [_measured(1.0, {PLAN: 1.0}, 5000.0 + at) for at in range(50)]
    model = interference.learn(
        interference.InterferenceModel(), recent, 5050.0
    )
    updated = interference.learn(
        model, [_measured(3.0, {PLAN: 1.0}, 4500.0)], 5050.0
    )
    moved = interference.pair_excess(updated, (SEAT, PLAN), 0.5, 5050.0, 0.0)
    assert moved < 0.25
