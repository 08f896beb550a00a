"""Metrics of scheduling decisions, for operators."""

import prometheus_client

PLACEMENTS = prometheus_client.Counter(
    'citronrail_scheduling_placements_total',
    'Placement decisions by policy and result.',
    ['policy', 'result'],
)
PLACEMENT_TRIALS = prometheus_client.Counter(
    'citronrail_scheduling_placement_trials_total',
    'Placements that test an unmeasured pair of classes.',
)
PLACEMENT_ROUND_SECONDS = prometheus_client.Histogram(
    'citronrail_scheduling_placement_round_seconds',
    'Time taken by one round of placement decisions.',
    buckets=(0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 3.0),
)
EXPECTED_SLOWDOWN = prometheus_client.Histogram(
    'citronrail_scheduling_expected_slowdown_ratio',
    'Slowdown of the newcomer that was expected when it was placed.',
    buckets=(1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0),
)
MEASURED_SLOWDOWN = prometheus_client.Histogram(
    'citronrail_scheduling_measured_slowdown_ratio',
    'Measured slowdown of services and batch work.',
    ['kind'],
    buckets=(1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0),
)
USAGE_LAG_SECONDS = prometheus_client.Histogram(
    'citronrail_scheduling_usage_lag_seconds',
    'Age of measurements when they arrived.',
    buckets=(0.5, 1, 2, 5, 10, 30, 60, 300),
)
THROTTLES = prometheus_client.Counter(
    'citronrail_scheduling_throttles_total',
    'Tasks throttled under pressure, and limits lifted.',
    ['change'],
)
EVICTIONS = prometheus_client.Counter(
    'citronrail_scheduling_evictions_total',
    'Tasks evicted by reason: pressure, quota, urgent or drain.',
    ['reason'],
)
LOST_WORK_SECONDS = prometheus_client.Counter(
    'citronrail_scheduling_lost_work_seconds_total',
    'Work lost by evictions and failed hosts.',
)
WORKERS_ON_PROBATION = prometheus_client.Gauge(
    'citronrail_scheduling_workers_on_probation',
    'Workers that get only trial tasks.',
)
JOBS_PARKED = prometheus_client.Gauge(
    'citronrail_scheduling_jobs_parked',
    'Jobs that wait for an operator since they fail or can never run.',
)
BORROWED_MILLICORES = prometheus_client.Gauge(
    'citronrail_scheduling_borrowed_millicores',
    'Processors reserved by teams beyond their quotas.',
)
URGENT_WAIT_SECONDS = prometheus_client.Histogram(
    'citronrail_scheduling_urgent_wait_seconds',
    'Time from ready to started of urgent tasks.',
    buckets=(0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0),
)
RAMP_SHARE = prometheus_client.Gauge(
    'citronrail_scheduling_return_ramp_ratio',
    'Share of the hosts of a returned data centre that may be used.',
    ['data_centre'],
)
