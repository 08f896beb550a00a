"""Metrics of the adapters."""

import prometheus_client

PEER_MESSAGES_REFUSED = prometheus_client.Counter(
    'citronrail_adapters_peer_messages_refused_total',
    'Messages of peers that were dropped, by reason.',
    ['reason'],
)
PEER_SENDS_FAILED = prometheus_client.Counter(
    'citronrail_adapters_peer_sends_failed_total',
    'Messages that could not be handed to a socket.',
)
PEERS_CONNECTED = prometheus_client.Gauge(
    'citronrail_adapters_peers_connected_count',
    'Connected peers, by role.',
    ['role'],
)
