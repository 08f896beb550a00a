"""Encoding of frozen data classes, and the one place that decodes.

Whatever is wrong with data of another process, decoding it raises
:class:`citronrail.errors.Undecodable` and nothing else. Types of
:mod:`citronrail.model.bounded` limit the values.
"""

import collections.abc
import typing

import msgspec

from citronrail import errors

T = typing.TypeVar('T')

MAX_REASON = 200  # characters of a reason, which may quote the data
# A nesting that is too deep is a RecursionError, which is no ValueError;
# msgspec's own errors and UnicodeDecodeError are.
_FAILURES = (ValueError, RecursionError, OverflowError)
_ENCODER = msgspec.msgpack.Encoder()
_JSON_ENCODER = msgspec.json.Encoder()
_DECODERS: dict[typing.Any, msgspec.msgpack.Decoder[typing.Any]] = {}
_JSON_DECODERS: dict[
    tuple[typing.Any, bool], msgspec.json.Decoder[typing.Any]
] = {}


def encode(value: object) -> bytes:
    """Encode a data class as msgpack.

    :param value: an instance of a data class of the model.
    :returns: the encoded bytes.
    """
    return _ENCODER.encode(value)


def decode(data: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode msgpack bytes into a data class.

    :param data: bytes made by :func:`encode`.
    :param kind: the expected data class.
    :returns: an instance of ``kind``.
    :raises citronrail.errors.Undecodable: if the bytes do not match ``kind``.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = msgspec.msgpack.Decoder(kind)
        _DECODERS[kind] = decoder
    return typing.cast(T, _checked(decoder.decode, data))


def to_json(value: object) -> bytes:
    """Encode a data class as JSON.

    :param value: an instance of a data class of the model.
    :returns: UTF-8 encoded JSON.
    """
    return _JSON_ENCODER.encode(value)


def from_json(
    data: bytes | msgspec.Raw, kind: type[T], *, strict: bool = True
) -> T:
    """Decode JSON into a data class.

    :param data: UTF-8 encoded JSON.
    :param kind: the expected data class.
    :param strict: whether text isn't converted to numbers.
    :returns: an instance of ``kind``.
    :raises citronrail.errors.Undecodable: if the bytes are not JSON or do not
        match ``kind``.
    """
    decoder = _JSON_DECODERS.get((kind, strict))
    if decoder is None:
        decoder = msgspec.json.Decoder(kind, strict=strict)
        _JSON_DECODERS[kind, strict] = decoder
    return typing.cast(T, _checked(decoder.decode, data))


def _checked(
    decode_data: collections.abc.Callable[[bytes | msgspec.Raw], T],
    data: bytes | msgspec.Raw,
) -> T:
    try:
        return decode_data(data)
    except _FAILURES as exc:
        raise errors.Undecodable(
            str(exc)[:MAX_REASON], step='codec.decode'
        ) from exc
