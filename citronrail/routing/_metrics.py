"""Metrics of the request path."""

import prometheus_client

_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)

REQUESTS = prometheus_client.Counter(
    'citronrail_routing_requests_total',
    'Requests of callers, by how they ended.',
    ['outcome'],
)
REQUEST_SECONDS = prometheus_client.Histogram(
    'citronrail_routing_request_seconds',
    'Time from accepting a request to the end of its answer.',
    buckets=_SECONDS,
)
IN_PROGRESS = prometheus_client.Gauge(
    'citronrail_routing_requests_in_progress_count',
    'Requests of callers that are in progress.',
)
SENDS = prometheus_client.Counter(
    'citronrail_routing_sends_total',
    'Attempts sent to agents, by why.',
    ['cause'],
)
ANSWERS_DROPPED = prometheus_client.Counter(
    'citronrail_routing_answers_dropped_total',
    'Messages of agents that belong to no open attempt, by kind.',
    ['kind'],
)
RUNS = prometheus_client.Counter(
    'citronrail_routing_runs_total',
    'Requests at this agent, by how they ended.',
    ['result'],
)
SLOTS_USED = prometheus_client.Gauge(
    'citronrail_routing_slots_used_count',
    'Requests that a backend server works on.',
)
QUEUED = prometheus_client.Gauge(
    'citronrail_routing_queued_count',
    'Requests that wait for a slot.',
)
