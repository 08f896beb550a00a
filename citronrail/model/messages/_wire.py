"""Encoding of messages for the wire."""

import msgspec

from citronrail.model import _compression
from citronrail.model import codec
from citronrail.model.messages import _membership
from citronrail.model.messages import _registry
from citronrail.model.messages import _tasks


class _Envelope(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
    kind: str
    body: msgspec.Raw


def pack(message: object) -> bytes:
    """Encode a message for the wire.

    :param message: an instance of a registered message.
    :returns: msgpack of ``[kind, body]``, compressed for periodic
        messages.
    """
    data = _ENCODER.encode((type(message).__name__, message))
    if isinstance(message, _COMPRESSED_MESSAGES):
        return _compression.compress(data)
    return data


def unpack(data: bytes) -> object:
    """Decode a message from the wire.

    :param data: one frame, as made by :func:`pack`.
    :returns: an instance of a registered message.
    :raises UnknownMessage: if the bytes are not a registered message.
    """
    try:
        envelope = codec.decode(_compression.expand(data), _Envelope)
        return codec.decode(envelope.body, _registry.KINDS[envelope.kind])
    except (ValueError, KeyError) as exc:  # Undecodable is a ValueError
        raise _registry.UnknownMessage(str(exc)) from exc


# Every agent sends these to every entry, so the traffic of an idle node is
# their size times the number of entries.
_COMPRESSED_MESSAGES = (
    _membership.Heartbeat,
    _membership.HeartbeatAck,
    _tasks.UsageReport,
)
_ENCODER = msgspec.msgpack.Encoder()
