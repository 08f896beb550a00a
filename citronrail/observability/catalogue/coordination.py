"""Events of leases, settings, shard documents, ranges and keys."""

from citronrail.observability import _events

LEASE_GRANTED = _events.EventKind(
    1200, 'INFO', 'store lease {lease_id} granted for {ttl_s} s'
)
LEASE_LOST = _events.EventKind(
    1201, 'WARNING', 'store lease {lease_id} lost: {reason}'
)
STORE_CALL_FAILED = _events.EventKind(
    1202, 'WARNING', 'store call failed: {reason}'
)
SETTINGS_CHANGED = _events.EventKind(
    1210, 'INFO', 'settings version {version} is active'
)
SETTINGS_STALE_READ = _events.EventKind(
    1211,
    'WARNING',
    'ignored a stale read of the settings: version {seen} after {known}',
)
SETTINGS_WATCH_LOST = _events.EventKind(
    1212, 'WARNING', 'settings watch lost: {reason}'
)
SETTINGS_UNREADABLE = _events.EventKind(
    1213, 'ERROR', 'stored settings cannot be decoded: {reason}'
)
COMMAND_APPLIED = _events.EventKind(
    1214, 'INFO', 'command {command_id} created settings version {version}'
)
COMMAND_CONFLICT = _events.EventKind(
    1215, 'WARNING', 'command {command_id} conflicts with {winner}'
)
COMMAND_UNRESOLVED = _events.EventKind(
    1216, 'ERROR', 'outcome of command {command_id} is unknown: {reason}'
)
COMMIT_OUTCOME_UNKNOWN = _events.EventKind(
    1220, 'WARNING', 'commit of {key} timed out, checking its outcome'
)
COMMITS_FENCED = _events.EventKind(
    1221, 'WARNING', 'commits of {key} stopped: {reason}'
)
DOCUMENT_LARGE = _events.EventKind(
    1222, 'WARNING', '{key} has {size} bytes, limit {limit}'
)
COMMITS_CLOSED = _events.EventKind(
    1223, 'INFO', 'commits of {key} stopped for a planned release'
)
RANGE_ACQUIRED = _events.EventKind(
    1230, 'INFO', 'range {range_id} acquired with fencing token {fencing}'
)
RANGE_RELEASING = _events.EventKind(
    1231, 'INFO', 'range {range_id} is being handed over to {successor}'
)
RANGE_RELEASED = _events.EventKind(1232, 'INFO', 'range {range_id} released')
RANGE_LOST = _events.EventKind(
    1233, 'WARNING', 'range {range_id} lost: {reason}'
)
RANGE_KEYS_ONLY = _events.EventKind(
    1234,
    'WARNING',
    'range {range_id} accepts keys only, by promises of {members} members',
)
TAKEOVER_DELAYED = _events.EventKind(
    1235, 'INFO', 'takeover of range {range_id} delayed: {reason}'
)
PROMISE_REFUSED = _events.EventKind(
    1236, 'INFO', 'refused to extend range {range_id} of {owner}'
)
LISTENER_FAILED = _events.EventKind(
    1237, 'ERROR', 'ownership listener failed for range {range_id}: {reason}'
)
STORE_BUDGET_EXCEEDED = _events.EventKind(
    1240, 'WARNING', 'store call budget exhausted, refused a {call} for {use}'
)
KEY_TABLE_FULL = _events.EventKind(
    1250, 'WARNING', 'key table of range {range_id} is full'
)
