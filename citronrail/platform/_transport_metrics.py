"""Metrics of calls to the platform and of requests of its callers."""

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
REQUESTS_REFUSED = prometheus_client.Counter(
    'citronrail_platform_requests_refused',
    'Requests of callers answered with 503 for the state of this process, by '
    'reason',
    ['reason'],
)
