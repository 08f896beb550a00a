"""Metrics of workflows."""

import prometheus_client

REQUESTS = prometheus_client.Counter(
    'citronrail_workflow_requests',
    'Requests of callers by kind and result',
    ['kind', 'result'],
)
REQUEST_SECONDS = prometheus_client.Histogram(
    'citronrail_workflow_request_seconds',
    'Time that a request of a caller took, by kind',
    ['kind'],
)
JOBS_ABSENT = prometheus_client.Counter(
    'citronrail_workflow_jobs_absent',
    'Questions for a state answered with "no such job", by source',
    ['source'],
)
STATES_NOT_SHOWN = prometheus_client.Counter(
    'citronrail_workflow_states_not_shown',
    'Questions for a state that could not be answered, by result',
    ['result'],
)
REQUESTS_LATE = prometheus_client.Counter(
    'citronrail_workflow_requests_late',
    "Requests answered after the caller's deadline, by kind",
    ['kind'],
)
JOBS_FOUND_LATE = prometheus_client.Counter(
    'citronrail_workflow_jobs_found_late',
    'Jobs that the scheduling entry learned of only by a later listing',
)
JOBS_ENDED = prometheus_client.Counter(
    'citronrail_workflow_jobs_ended',
    'Jobs that ended, by status',
    ['status'],
)
DOCUMENTS_REFUSED = prometheus_client.Counter(
    'citronrail_workflow_documents_refused',
    'Documents that the store will never accept',
)
JOBS_FAILED = prometheus_client.Counter(
    'citronrail_workflow_jobs_failed',
    'Jobs that ended as failed, by cause: failed runs, crashes, or storage',
    ['cause'],
)
JOB_SECONDS = prometheus_client.Histogram(
    'citronrail_workflow_job_seconds',
    'Time from the acceptance of a job to its end, by status',
    ['status'],
    buckets=(0.5, 1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144),
)
RUNS_ASSIGNED = prometheus_client.Counter(
    'citronrail_workflow_runs_assigned', 'Runs assigned to workers'
)
RUNS_ENDED = prometheus_client.Counter(
    'citronrail_workflow_runs_ended',
    'Runs that ended, by how they ended',
    ['how'],
)
RUNS_STOPPED = prometheus_client.Counter(
    'citronrail_workflow_runs_stopped',
    'Runs that the scheduler ordered to stop, by reason',
    ['reason'],
)
WAITING_TASK_SECONDS = prometheus_client.Counter(
    'citronrail_workflow_waiting_task_seconds',
    'Seconds that tasks whose turn had come had no run, by reason',
    ['reason'],
)
REPORT_AGE_SECONDS = prometheus_client.Histogram(
    'citronrail_workflow_report_age_seconds',
    'Age of the oldest order that an applied report does not reflect',
    buckets=(0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20),
)
ROUND_SECONDS = prometheus_client.Histogram(
    'citronrail_workflow_round_seconds',
    'Time of a scheduling round with its commit and the sending of orders',
    buckets=(0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10),
)
WORKERS_LOST = prometheus_client.Counter(
    'citronrail_workflow_workers_lost',
    'Worker incarnations that were replaced without having drained',
)
RUNS_LOST = prometheus_client.Counter(
    'citronrail_workflow_runs_lost',
    'Runs that were lost with their worker',
)
TASKS_GIVEN_UP = prometheus_client.Counter(
    'citronrail_workflow_tasks_given_up',
    'Tasks that were given up because they crash their workers',
)
BEST_EFFORT_STOPS = prometheus_client.Counter(
    'citronrail_workflow_best_effort_stops',
    'Best-effort runs stopped because serving tasks leave no room for them',
)
SHRUNK_STOPS = prometheus_client.Counter(
    'citronrail_workflow_shrunk_stops',
    'Runs stopped because their worker is over its capacity',
)
PREEMPTIONS = prometheus_client.Counter(
    'citronrail_workflow_preemptions',
    'Runs stopped because a task of higher priority waits',
)
LISTENER_FAILURES = prometheus_client.Counter(
    'citronrail_workflow_listener_failures',
    'Errors of listeners of the store, which are skipped, by prefix',
    ['prefix'],
)
INCARNATIONS_REFUSED = prometheus_client.Counter(
    'citronrail_workflow_incarnations_refused',
    'Announced incarnations that the worker itself did not confirm',
)
RECORDS_REFUSED = prometheus_client.Counter(
    'citronrail_workflow_records_refused',
    'Stored records that were skipped as malformed or out of range, by type',
    ['kind'],
)
WAITS_WITH_ROOM = prometheus_client.Counter(
    'citronrail_workflow_waits_with_room',
    'Times that a job with nothing running was logged although there is room, '
    'by reason',
    ['reason'],
)
OVERDUE_STARTS = prometheus_client.Counter(
    'citronrail_workflow_overdue_starts',
    'Runs assigned because their job had nothing running for too long, by '
    'what had kept them waiting',
    ['reason'],
)
LAST_RUNS_KEPT = prometheus_client.Counter(
    'citronrail_workflow_last_runs_kept',
    'Times that a run was not stopped beside serving tasks, as its job would '
    'have had nothing running although there is room',
)
COMMIT_SECONDS = prometheus_client.Histogram(
    'citronrail_workflow_commit_seconds',
    'Time that a commit of the scheduling entry took',
)
STORE_REACHABLE = prometheus_client.Gauge(
    'citronrail_workflow_store_reachable_ratio',
    'Whether this entry reaches the store, 1 or 0',
)
STORE_LOSSES = prometheus_client.Counter(
    'citronrail_workflow_store_losses',
    'Times that this entry lost the store',
)
RELAYS = prometheus_client.Counter(
    'citronrail_workflow_relays',
    'Requests relayed to a peer or performed for one, by side and verdict',
    ['side', 'verdict'],
)
STATE_BYTES = prometheus_client.Gauge(
    'citronrail_workflow_state_bytes',
    'Memory that the jobs of the scheduling entry take, by its model',
)
STATE_LIMIT_BYTES = prometheus_client.Gauge(
    'citronrail_workflow_state_limit_bytes',
    'Size of that state up to which entries accept jobs, 0 for any size',
)
JOBS_UNLOADED = prometheus_client.Gauge(
    'citronrail_workflow_jobs_unloaded',
    'Stored jobs for which the scheduling entry has no memory',
)
JOBS_DEFERRED = prometheus_client.Gauge(
    'citronrail_workflow_jobs_deferred',
    'Waiting jobs that are deferred so that others end in time',
)
LEADERSHIPS = prometheus_client.Counter(
    'citronrail_workflow_leaderships',
    'Times that this entry became the scheduling entry',
)
LEADERSHIPS_RESUMED = prometheus_client.Counter(
    'citronrail_workflow_leaderships_resumed',
    'Leaderships of this entry that resumed after their lease had lapsed',
)
DEAD_CLAIMS_ENDED = prometheus_client.Counter(
    'citronrail_workflow_dead_claims_ended',
    'Leases of dead processes at the address of this entry that it ended',
)
