"""Events of membership and peers (1100 to 1199)."""

from citronrail.observability import _events

AGENT_JOINED = _events.EventKind(
    1101, 'INFO', 'agent {peer} joined with boot id {boot}'
)
BOOT_ID_MISMATCH = _events.EventKind(
    1102, 'WARNING', 'dropped a message of {peer} with an unexpected boot id'
)
ENTRIES_CHANGED = _events.EventKind(
    1103, 'INFO', 'list of entries changed to {entries} entries'
)
SETTINGS_RECEIVED = _events.EventKind(
    1104, 'INFO', 'settings version {version} received from {peer}'
)
