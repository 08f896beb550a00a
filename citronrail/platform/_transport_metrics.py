"""Metrics of calls to the platform and of requests of its callers."""

import prometheus_client

CALLS = prometheus_client.Counter(
    'citronrail_platform_calls',
    'Calls to the platform by peer and result',
    ['peer', 'result'],
)
REFUSED = prometheus_client.Counter(
    'citronrail_platform_requests_refused',
    'Requests of callers answered with 503 for the state of this process, by '
    'reason',
    ['reason'],
)
