"""Events, logs, metrics and the timeline."""

from citronrail.observability._alignment import align
from citronrail.observability._alignment import Bound
from citronrail.observability._alignment import Contradiction
from citronrail.observability._alignment import Offset
from citronrail.observability._catalogue import catalogued_events
from citronrail.observability._catalogue import CataloguedEvent
from citronrail.observability._events import current_recorder
from citronrail.observability._events import emit
from citronrail.observability._events import EventKind
from citronrail.observability._events import EventRecord
from citronrail.observability._events import Recorder
from citronrail.observability._events import use_recorder
from citronrail.observability._exposition import CONTENT_TYPE
from citronrail.observability._exposition import exposition
from citronrail.observability._exposition import Metric
from citronrail.observability._exposition import metrics
from citronrail.observability._exposition import sample_names
from citronrail.observability._line_writer import LineBudget
from citronrail.observability._line_writer import LineWriter
from citronrail.observability._log import LineCounters
from citronrail.observability._log import set_up_daemon_logging
from citronrail.observability._log import set_up_logging
from citronrail.observability._merged import Collected
from citronrail.observability._merged import merge
from citronrail.observability._merged import merged_to_json
from citronrail.observability._merged import MergedEvent
from citronrail.observability._merged import MergedTimeline
from citronrail.observability._timeline import ClockReading
from citronrail.observability._timeline import compress
from citronrail.observability._timeline import expand
from citronrail.observability._timeline import from_json
from citronrail.observability._timeline import ProcessTimeline
from citronrail.observability._timeline import snapshot
from citronrail.observability._timeline import to_json
from citronrail.observability._timeline_exchange import TimelineExchange
from citronrail.observability._timeline_exchange import TimelineSource
from citronrail.observability._trace_events import trace_events

__all__ = [
    'Bound',
    'CONTENT_TYPE',
    'CataloguedEvent',
    'ClockReading',
    'Collected',
    'Contradiction',
    'EventKind',
    'EventRecord',
    'LineBudget',
    'LineCounters',
    'LineWriter',
    'MergedEvent',
    'MergedTimeline',
    'Metric',
    'Offset',
    'ProcessTimeline',
    'Recorder',
    'TimelineExchange',
    'TimelineSource',
    'align',
    'catalogued_events',
    'compress',
    'current_recorder',
    'emit',
    'expand',
    'exposition',
    'from_json',
    'merge',
    'merged_to_json',
    'metrics',
    'sample_names',
    'set_up_daemon_logging',
    'set_up_logging',
    'snapshot',
    'to_json',
    'trace_events',
    'use_recorder',
]
