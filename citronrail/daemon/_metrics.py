"""Metrics of a process as a whole."""

import prometheus_client

LOOP_LAG_SECONDS = prometheus_client.Histogram(
    'citronrail_loop_lag_seconds',
    'How late the event loop woke a task that slept',
    buckets=(0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
)
