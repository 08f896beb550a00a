"""Events of the daemon's life cycle (1000 to 1099)."""

from citronrail.observability import _events

STARTED = _events.EventKind(
    1001, 'INFO', 'process {node} started as {role} with boot id {boot}'
)
COMPONENT_STARTED = _events.EventKind(1002, 'DEBUG', '{component} started')
DRAIN_STARTED = _events.EventKind(
    1003, 'INFO', 'draining after signal {signal}'
)
COMPONENT_DRAINED = _events.EventKind(
    1004, 'INFO', '{component} drained in {seconds} s'
)
DRAIN_TIMED_OUT = _events.EventKind(
    1005, 'WARNING', '{component} did not drain before the deadline'
)
STOPPED = _events.EventKind(1006, 'INFO', 'process {node} stopped')
KILLED = _events.EventKind(
    1007, 'WARNING', 'second signal {signal}; stopping immediately'
)
COMPONENT_FAILED = _events.EventKind(
    1008, 'ERROR', '{component} failed: {reason}'
)
SEEDED = _events.EventKind(
    1009, 'INFO', 'random generator of {node} seeded with {seed}'
)
WORKER_NOT_READY = _events.EventKind(
    1011, 'WARNING', 'no response from the worker: {reason}'
)
POLICY_UNKNOWN = _events.EventKind(
    1012, 'ERROR', 'placement policy in the settings was not applied: {reason}'
)
RELOADED = _events.EventKind(1013, 'INFO', 'process {node} received SIGHUP')
SETTINGS_READ = _events.EventKind(
    1014, 'INFO', 'settings read again: {result}'
)
LOOP_LATE = _events.EventKind(
    1015,
    'WARNING',
    'event loop of {node} was up to {seconds} s late; it is short of '
    'processor time',
)
STOP_REPEATED = _events.EventKind(
    1016, 'INFO', 'signal {signal} during the drain; the drain goes on'
)
RELOAD_FAILED = _events.EventKind(
    1017, 'ERROR', 'reload after SIGHUP failed: {reason}'
)
REQUESTS_REFUSED = _events.EventKind(
    1018,
    'WARNING',
    '{count} requests answered with 503 since the last line: {reason}',
)
