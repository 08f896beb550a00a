"""Events of the adapters to the store, workers, peers and HTTP."""

from citronrail.observability import _events

STORE_ENDPOINT_FAILED = _events.EventKind(
    1600, 'WARNING', 'store endpoint {endpoint} failed at {path}: {reason}'
)
