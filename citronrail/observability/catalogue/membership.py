"""Events of membership and peers (1100 to 1199)."""

from citronrail.observability import _events

AGENT_JOINED = _events.EventKind(
    1101, 'INFO', 'agent {peer} joined with boot id {boot}'
)
WRONG_BOOT = _events.EventKind(
    1102, 'WARNING', 'message of {peer} names another boot id; dropped'
)
ENTRIES_CHANGED = _events.EventKind(
    1103, 'INFO', 'list of entries changed to {entries} entries'
)
SETTINGS_TAKEN = _events.EventKind(
    1104, 'INFO', 'settings version {version} taken from {peer}'
)
