"""Metrics of calls to the platform."""

import prometheus_client

CALLS = prometheus_client.Counter(
    'citronrail_platform_calls',
    'Calls to the platform by peer and result',
    ['peer', 'result'],
)
