"""Traffic counters of peer connections, by message class."""

import collections.abc

import prometheus_client

from citronrail.adapters import _metrics


class PeerTraffic:
    """Counts messages and bytes of frames in one direction.

    :param direction: ``sent`` or ``received``.
    """

    def __init__(self, direction: str) -> None:
        self._direction = direction
        # Cached, since looking up the labels costs more than counting.
        self._counters: dict[
            type, tuple[prometheus_client.Counter, prometheus_client.Counter]
        ] = {}

    def count(self, kind: type, sizes: collections.abc.Iterable[int]) -> None:
        """Count one message.

        :param kind: its registered class.
        :param sizes: bytes in each of its frames, without routing id.
        """
        counters = self._counters.get(kind)
        if counters is None:
            labels = (self._direction, kind.__name__)
            counters = (
                _metrics.PEER_MESSAGES.labels(*labels),
                _metrics.PEER_BYTES.labels(*labels),
            )
            self._counters[kind] = counters
        counters[0].inc()
        counters[1].inc(sum(sizes))
