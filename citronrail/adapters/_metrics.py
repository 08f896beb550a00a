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
PEER_MESSAGES = prometheus_client.Counter(
    'citronrail_adapters_peer_messages_total',
    'Messages exchanged with peers, by direction and kind.',
    ['direction', 'kind'],
)
PEER_BYTES = prometheus_client.Counter(
    'citronrail_adapters_peer_bytes_total',
    'Bytes in frames exchanged with peers, before encryption and framing.',
    ['direction', 'kind'],
)
HTTP_REQUESTS_ENDED = prometheus_client.Counter(
    'citronrail_adapters_http_requests_ended_total',
    'Requests in progress at the end of a drain, by port and what '
    'became of them.',
    ['port', 'end'],
)
