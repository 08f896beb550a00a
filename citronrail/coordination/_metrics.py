"""Metrics of coordination."""

import prometheus_client

STORE_CALLS = prometheus_client.Counter(
    'citronrail_coordination_store_calls',
    'Calls to the key-value store.',
    ['use', 'kind'],
)
STORE_CALLS_REFUSED = prometheus_client.Counter(
    'citronrail_coordination_store_calls_refused',
    'Calls held back because the call budget was spent.',
    ['use', 'kind'],
)
STORE_CALL_WAIT_S = prometheus_client.Histogram(
    'citronrail_coordination_store_call_wait_seconds',
    'Time that a call waited for the call budget.',
    ['use'],
    buckets=(0.001, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0),
)
RANGES_OWNED = prometheus_client.Gauge(
    'citronrail_coordination_ranges_owned_count',
    'Ranges that this entry holds.',
    ['held'],
)
