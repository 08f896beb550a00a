"""Events of request routing, numbered from 1300."""

from citronrail.observability import _events

ANSWER_DROPPED = _events.EventKind(
    1300, 'WARNING', 'Dropped {message} from {peer} for {request}: {reason}'
)
REQUEST_REFUSED = _events.EventKind(
    1302, 'DEBUG', 'Request {request} was refused by {peer}: {reason}'
)
ATTEMPT_FAILED = _events.EventKind(
    1303, 'WARNING', 'Attempt {request} at {peer} failed: {reason}'
)
ANSWER_INCOMPLETE = _events.EventKind(
    1304, 'WARNING', 'The response to {request} ended early: {reason}'
)
AGENT_EJECTED = _events.EventKind(
    1305,
    'WARNING',
    'Agent {peer} is ejected from load balancing for {seconds} s',
)
RETRY_BUDGET_SPENT = _events.EventKind(
    1306,
    'WARNING',
    'Request {request} is not retried, the retry budget is exhausted',
)
KEY_NOT_COMPLETED = _events.EventKind(
    1307,
    'WARNING',
    'The outcome of {request} could not be reported to {owner}',
)
REQUEST_CANCELLED = _events.EventKind(
    1308, 'DEBUG', 'Cancelled {request} at {peer}: {outcome}'
)
EXCLUSIVE_RUN_OVERDUE = _events.EventKind(
    1309,
    'WARNING',
    'The end of the exclusive run {request} was not reported in time',
)
ROUTER_DRAINING = _events.EventKind(
    1310, 'INFO', 'Draining the entry: no new requests, {count} in progress'
)
DUPLICATE_RUN_DROPPED = _events.EventKind(
    1320, 'WARNING', 'Dropped a duplicate of {request} from {peer}'
)
BACKEND_ANNOUNCED = _events.EventKind(
    1321, 'INFO', 'Backend server {address} announced itself for {service}'
)
BACKEND_LEAVING = _events.EventKind(
    1322, 'INFO', 'Backend server {address} is leaving {service}'
)
BACKEND_LAPSED = _events.EventKind(
    1323,
    'WARNING',
    'Announcements of backend server {address} of {service} expired',
)
RUNNER_DRAINING = _events.EventKind(
    1324, 'INFO', 'Draining the agent: no new runs, {count} in progress'
)
FEED_ENDED = _events.EventKind(
    1325, 'INFO', 'Ended the event stream {request} after a complete event'
)
KEYS_HANDED_OVER = _events.EventKind(
    1340,
    'INFO',
    'Sent {count} keys of range {range_id} to {successor}, '
    'accepted: {accepted}',
)
