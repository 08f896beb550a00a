"""Events of scheduling decisions, 1450 to 1499."""

from citronrail.observability import _events

WORKER_ON_PROBATION = _events.EventKind(
    1450,
    'WARNING',
    'worker {node_id} is on probation after {failures} failed tasks',
)
WORKER_TRIAL_STARTED = _events.EventKind(
    1451, 'INFO', 'worker {node_id} runs the trial task {task}'
)
WORKER_HEALTHY = _events.EventKind(
    1452, 'INFO', 'worker {node_id} is healthy again'
)
JOB_PARKED = _events.EventKind(
    1453,
    'WARNING',
    'job {job_id} is parked: {reason}',
)
JOB_REFUSED = _events.EventKind(
    1454, 'WARNING', 'job {job_id} can never run: {reason}'
)
TASK_THROTTLED = _events.EventKind(
    1455,
    'INFO',
    'task {task} on {node_id} is limited to {share} of its processors',
)
TASK_EVICTED = _events.EventKind(
    1456, 'WARNING', 'task {task} is evicted from {node_id}: {reason}'
)
CAPACITY_RECLAIMED = _events.EventKind(
    1457,
    'INFO',
    '{count} tasks are evicted from {node_id} for task {task} of team {team}',
)
DATA_CENTRE_RAMP_STARTED = _events.EventKind(
    1458, 'INFO', 'data centre {data_centre} ramps up over {ramp_s} s'
)
DATA_CENTRE_RAMP_ENDED = _events.EventKind(
    1459, 'INFO', 'the ramp of data centre {data_centre} has ended'
)
