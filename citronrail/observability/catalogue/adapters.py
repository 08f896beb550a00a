"""Events of the adapters, numbers from 1600."""

from citronrail.observability import _events

PEER_MESSAGE_REFUSED = _events.EventKind(
    1600, 'WARNING', 'Dropped a message from {peer}: {reason}'
)
PEER_CONNECTED = _events.EventKind(
    1601, 'INFO', 'Connected to {role} {peer} with boot id {boot_id}'
)
PEER_DISCONNECTED = _events.EventKind(
    1602, 'INFO', 'Lost the connection to {peer}: {reason}'
)
PEER_HANDLER_FAILED = _events.EventKind(
    1603, 'ERROR', 'Handling {message} from {peer} failed: {error}'
)
PEER_QUEUE_FULL = _events.EventKind(
    1604, 'WARNING', 'Inbox of {peer} is full; closing the connection'
)
PEER_REPORTED_ERROR = _events.EventKind(
    1605, 'WARNING', 'Peer {peer} rejected a message: {reason}'
)
PEER_KEY_REFUSED = _events.EventKind(
    1606, 'WARNING', 'The key used by {peer} belongs to {owner}'
)
PEER_PORT_OPEN = _events.EventKind(
    1607, 'INFO', 'Peer port listening on {address}'
)
PEER_PORT_INSECURE = _events.EventKind(
    1608, 'WARNING', 'Peer connections are not encrypted or authenticated'
)
HTTP_PORT_OPEN = _events.EventKind(
    1620, 'INFO', 'HTTP port for {name} listening on {address}'
)
HTTP_RESPONSE_BROKEN_OFF = _events.EventKind(
    1621, 'WARNING', 'Aborted the response to request {request_id}'
)
HTTP_PORT_CLOSED = _events.EventKind(
    1622, 'INFO', 'HTTP port for {name} is closed'
)
HTTP_CONNECTION_FAILED = _events.EventKind(
    1623, 'ERROR', 'Connection to the port for {name} failed: {reason}'
)
HTTP_REQUESTS_ENDED = _events.EventKind(
    1624,
    'WARNING',
    'The time for draining the port for {name} is up: {answered} requests in '
    'progress answered with 504, {cut} responses cut',
)
STORE_ENDPOINT_FAILED = _events.EventKind(
    1640, 'WARNING', 'Store endpoint {endpoint} failed for {path}: {reason}'
)
