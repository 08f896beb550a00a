"""Prometheus metrics of commands and queries."""

import prometheus_client

COMMANDS = prometheus_client.Counter(
    'citronrail_language_commands_total',
    'Commands and queries by kind and outcome.',
    ['kind', 'outcome'],
)
COMMAND_SECONDS = prometheus_client.Histogram(
    'citronrail_language_command_seconds',
    'Time from receiving a command to its result.',
    ['kind'],
    buckets=(0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3, 10, 30),
)
IN_PROGRESS = prometheus_client.Gauge(
    'citronrail_language_commands_in_progress',
    'Commands and queries being carried out.',
)
FORWARDS = prometheus_client.Counter(
    'citronrail_language_forwards_total',
    'Commands sent to the owner of a range, by result.',
    ['result'],
)
CANCELLED = prometheus_client.Counter(
    'citronrail_language_cancelled_tasks_total',
    'Tasks cancelled by commands.',
)
REPEATED = prometheus_client.Counter(
    'citronrail_language_repeated_commands_total',
    'Commands that came again and got their earlier result.',
)
