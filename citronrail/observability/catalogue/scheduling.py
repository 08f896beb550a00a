"""Events of the scheduler and of running tasks, 1400 to 1499."""

from citronrail import observability

JOB_SUBMITTED = observability.EventKind(
    1400, 'INFO', 'job {job} of team {team} submitted with {tasks} tasks'
)
JOB_REFUSED = observability.EventKind(
    1401, 'INFO', 'job {job} refused: {reason}'
)
JOBS_CANCELLED = observability.EventKind(
    1402, 'INFO', 'command {command} cancelled {tasks} tasks in range {range}'
)
JOB_PARKED = observability.EventKind(
    1403, 'WARNING', 'job {job} parked: {reason}'
)
JOB_ENDED = observability.EventKind(1404, 'INFO', 'job {job} {outcome}')
JOB_RESUMED = observability.EventKind(1405, 'INFO', 'job {job} resumed')
ATTEMPT_SENT = observability.EventKind(
    1411, 'DEBUG', 'start request for attempt {attempt} sent to {node}'
)
ATTEMPT_STARTED = observability.EventKind(
    1412, 'DEBUG', 'attempt {attempt} started on {node}'
)
ATTEMPT_REFUSED = observability.EventKind(
    1413, 'INFO', 'attempt {attempt} was not started on {node}: {reason}'
)
ATTEMPT_ENDED = observability.EventKind(
    1414, 'DEBUG', 'attempt {attempt} on {node} ended as {state}: {reason}'
)
ATTEMPT_MOVED = observability.EventKind(
    1415, 'INFO', 'attempt {attempt} is moved away from {node}: {reason}'
)
ATTEMPT_LOST = observability.EventKind(
    1416, 'WARNING', 'attempt {attempt} on {node} presumed ended: {reason}'
)
STALE_REPORT = observability.EventKind(
    1417, 'INFO', 'report of attempt {attempt} ignored: attempt is not live'
)
UNKNOWN_ATTEMPT = observability.EventKind(
    1418,
    'WARNING',
    'attempt {attempt} on {node} is not in the shard; stopping it',
)
CHECKPOINT_LOST = observability.EventKind(
    1419,
    'WARNING',
    'checkpoint of attempt {attempt} is lost according to {node}; its task '
    'restarts from the beginning',
)
REPLICA_REPLACED = observability.EventKind(
    1420, 'INFO', 'replica {replica} of {owner} replaces {replaced}'
)
SHARD_LOADED = observability.EventKind(
    1430,
    'INFO',
    'shard {range} loaded with {groups} groups and {live} live attempts',
)
SHARD_STOPPED = observability.EventKind(
    1431, 'INFO', 'shard {range} stopped: {reason}'
)
COMMIT_FAILED = observability.EventKind(
    1432, 'WARNING', 'commit to shard {range} failed: {reason}'
)
TASK_STARTED = observability.EventKind(
    1440, 'DEBUG', 'worker started attempt {attempt}'
)
TASK_REFUSED = observability.EventKind(
    1441, 'INFO', 'start of attempt {attempt} refused: {reason}'
)
TASK_START_NOT_CONFIRMED = observability.EventKind(
    1442,
    'WARNING',
    'worker did not confirm the start of attempt {attempt}: {reason}',
)
TASK_ADOPTED = observability.EventKind(
    1443, 'INFO', 'attempt {attempt} found running on the worker'
)
TASK_ENDED = observability.EventKind(
    1444, 'DEBUG', 'attempt {attempt} ended as {state}'
)
LEDGER_REBUILT = observability.EventKind(
    1445, 'INFO', 'capacity ledger rebuilt from {tasks} running tasks'
)
WORKER_UNREACHABLE = observability.EventKind(
    1446, 'WARNING', 'worker unreachable in call {step}: {reason}'
)
WORKER_RECOVERED = observability.EventKind(
    1447, 'INFO', 'worker answers again'
)
WORKER_RESTARTED = observability.EventKind(
    1448, 'WARNING', 'worker restarted with boot id {boot}'
)
LEASE_RENEWAL_SUSPENDED = observability.EventKind(
    1449,
    'WARNING',
    'no entry acknowledges heartbeats; worker lease renewal suspended',
)
