"""Events, logs, metrics and the timeline."""

from citronrail.observability._events import current_recorder
from citronrail.observability._events import emit
from citronrail.observability._events import EventKind
from citronrail.observability._events import EventRecord
from citronrail.observability._events import Recorder
from citronrail.observability._events import use_recorder

__all__ = [
    'EventKind',
    'EventRecord',
    'Recorder',
    'current_recorder',
    'emit',
    'use_recorder',
]
