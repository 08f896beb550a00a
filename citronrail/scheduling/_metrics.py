"""Metrics of job shards at entries and of running tasks at agents."""

import prometheus_client

ROUND_SECONDS = prometheus_client.Histogram(
    'citronrail_scheduling_round_seconds',
    'Time spent in one placement round',
    buckets=(0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0),
)
COMMIT_SECONDS = prometheus_client.Histogram(
    'citronrail_scheduling_commit_seconds',
    'Time until a change of a shard was durable',
    buckets=(0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 3.0, 10.0),
)
START_DELAY_SECONDS = prometheus_client.Histogram(
    'citronrail_scheduling_start_delay_seconds',
    'Time from the assignment of an attempt to the confirmed start',
    buckets=(0.05, 0.1, 0.3, 1.0, 3.0, 10.0),
)
ATTEMPTS_ENDED = prometheus_client.Counter(
    'citronrail_scheduling_attempts_total',
    'Ends of attempts, by state',
    ['state'],
)
SHARD_BYTES = prometheus_client.Gauge(
    'citronrail_scheduling_shard_bytes',
    'Encoded size of a shard',
    ['range'],
)
PENDING_TASKS = prometheus_client.Gauge(
    'citronrail_scheduling_pending_tasks',
    'Tasks without an attempt',
    ['range'],
)
LIVE_ATTEMPTS = prometheus_client.Gauge(
    'citronrail_scheduling_live_attempts',
    'Attempts that may be running',
    ['range'],
)
STARTS_HANDLED = prometheus_client.Counter(
    'citronrail_scheduling_starts_total',
    'Starts seen by this agent, by outcome',
    ['outcome'],
)
UNACKNOWLEDGED_REPORTS = prometheus_client.Gauge(
    'citronrail_scheduling_reports_kept_count',
    'Reports not yet acknowledged by an owner',
)
WORKER_CALL_SECONDS = prometheus_client.Histogram(
    'citronrail_scheduling_worker_call_seconds',
    'Duration of calls to the worker',
    ['call'],
    buckets=(0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 3.0),
)
