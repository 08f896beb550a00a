"""Events of the request path, numbers from 1300."""

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
    1304, 'WARNING', 'The answer to {request} broke off: {reason}'
)
AGENT_EJECTED = _events.EventKind(
    1305, 'WARNING', 'Agent {peer} gets no requests for {seconds} s'
)
RETRY_BUDGET_SPENT = _events.EventKind(
    1306, 'WARNING', 'Request {request} is not retried, the budget is spent'
)
KEY_NOT_COMPLETED = _events.EventKind(
    1307, 'WARNING', 'The end of {request} could not be noted at {owner}'
)
REQUEST_CANCELLED = _events.EventKind(
    1308, 'DEBUG', 'Cancelled {request} at {peer}: {outcome}'
)
EXCLUSIVE_RUN_OVERDUE = _events.EventKind(
    1309, 'WARNING', 'No end of the exclusive run {request} was reported'
)
ROUTER_DRAINING = _events.EventKind(
    1310, 'INFO', 'No new requests, {count} are in progress'
)
DUPLICATE_RUN_DROPPED = _events.EventKind(
    1320, 'WARNING', 'Dropped a second copy of {request} from {peer}'
)
BACKEND_ANNOUNCED = _events.EventKind(
    1321, 'INFO', 'Backend server {address} serves {service}'
)
BACKEND_LEAVING = _events.EventKind(
    1322, 'INFO', 'Backend server {address} leaves {service}'
)
BACKEND_LAPSED = _events.EventKind(
    1323, 'WARNING', 'Backend server {address} of {service} went silent'
)
RUNNER_DRAINING = _events.EventKind(
    1324, 'INFO', 'No new runs, {count} are in progress'
)
FEED_ENDED = _events.EventKind(
    1325, 'INFO', 'Ended the feed {request} after a whole event'
)
KEYS_HANDED_OVER = _events.EventKind(
    1340,
    'INFO',
    'Handed {count} keys of range {range_id} to {successor}: {accepted}',
)
