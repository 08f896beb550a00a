"""Events of commands and queries (1500 to 1599)."""

from citronrail.observability import _events

COMMAND_RECEIVED = _events.EventKind(
    1501, 'INFO', 'command {command_id} received: {text}'
)
COMMAND_DONE = _events.EventKind(
    1502, 'INFO', 'command {command_id} done: {message}'
)
COMMAND_NOT_RUN = _events.EventKind(
    1503, 'INFO', 'command {command_id} not run: {message}'
)
COMMAND_UNKNOWN = _events.EventKind(
    1504, 'WARNING', 'outcome of command {command_id} is unknown: {message}'
)
COMMAND_REPEATED = _events.EventKind(
    1505, 'INFO', 'command {command_id} repeated; earlier result returned'
)
COMMAND_FORWARDED = _events.EventKind(
    1506, 'DEBUG', 'command {command_id} forwarded to {peer}'
)
FORWARD_RECEIVED = _events.EventKind(
    1507, 'DEBUG', 'command {command_id} received from entry {peer}'
)
FORWARD_UNANSWERED = _events.EventKind(
    1508, 'WARNING', 'command {command_id}: no reply from {peer}: {reason}'
)
FORWARD_REFUSED = _events.EventKind(
    1509, 'WARNING', 'command {command_id} from entry {peer} refused: {reason}'
)
QUERY_INCOMPLETE = _events.EventKind(
    1510, 'WARNING', 'query {command_id} is incomplete: {message}'
)
