"""Strict encoding of frozen data classes as msgpack and JSON."""

import typing

import msgspec

T = typing.TypeVar('T')

_ENCODER = msgspec.msgpack.Encoder()
_JSON_ENCODER = msgspec.json.Encoder()
_DECODERS: dict[typing.Any, msgspec.msgpack.Decoder[typing.Any]] = {}


def encode(value: object) -> bytes:
    """Encode a data class as msgpack.

    :param value: an instance of a data class of the model.
    :returns: the encoded bytes.
    """
    return _ENCODER.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Decode msgpack bytes into a data class.

    :param data: bytes made by :func:`encode`.
    :param kind: the expected data class.
    :returns: an instance of ``kind``.
    :raises msgspec.ValidationError: if the bytes do not match ``kind``.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = msgspec.msgpack.Decoder(kind)
        _DECODERS[kind] = decoder
    return typing.cast(T, decoder.decode(data))


def to_json(value: object) -> bytes:
    """Encode a data class as JSON.

    :param value: an instance of a data class of the model.
    :returns: UTF-8 encoded JSON.
    """
    return _JSON_ENCODER.encode(value)


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON into a data class.

    :param data: UTF-8 encoded JSON.
    :param kind: the expected data class.
    :returns: an instance of ``kind``.
    :raises msgspec.DecodeError: if the bytes are not JSON.
    :raises msgspec.ValidationError: if the JSON does not match ``kind``.
    """
    return msgspec.json.decode(data, type=kind)
