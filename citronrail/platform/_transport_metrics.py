"""Metrics of calls to the platform."""

import prometheus_client

CALLS = prometheus_client.Counter(
    'citronrail_platform_calls',
    'Calls to the platform by peer and result',
    ['peer', 'result'],
)
REFUSED = prometheus_client.Counter(
    'citronrail_platform_data_refused',
    'Data that was refused or skipped as malformed or out of range, by source',
    ['source'],
)
