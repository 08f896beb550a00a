"""Decodes JSON objects of which one field is a list with odd items.

An item that is nested too deeply makes the decoder refuse the whole object.
The list is then split without recursion, so that the other items are read.
"""

import re
import typing

import msgspec

from citronrail import errors
from citronrail.model import codec

T = typing.TypeVar('T', bound=msgspec.Struct)

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[\[\]{},]', re.DOTALL)
_LIST_START = re.compile(rb'\s*:\s*\[')
_OPENING = (b'[', b'{')
_CLOSING = (b']', b'}')


def decode(data: bytes, kind: type[T], field: str) -> T:
    """Decode an object of which one field is a list of raw items.

    :param data: UTF-8 encoded JSON.
    :param kind: expected type; its field is a tuple of :class:`msgspec.Raw`.
    :param field: name of the field.
    :returns: the object; its items are not decoded yet.
    :raises citronrail.errors.Undecodable: if it is malformed apart from the
        items.
    """
    try:
        return codec.from_json(data, kind)
    except errors.Undecodable as exc:
        if not isinstance(exc.__cause__, RecursionError):
            raise
    start, end, items = _split(data, field)
    rest = codec.from_json(data[:start] + data[end:], kind)
    raws = tuple(msgspec.Raw(item) for item in items)
    return msgspec.structs.replace(rest, **{field: raws})


def _split(data: bytes, field: str) -> tuple[int, int, list[bytes]]:
    """Split the list in a field of the outermost object.

    :returns: start and end of the content of the list, and its items.
    :raises citronrail.errors.Undecodable: if there is no such list.
    """
    quoted = f'"{field}"'.encode()
    depth = 0
    start = -1  # of the content of the list
    item_start = 0
    items: list[bytes] = []
    for token in _TOKENS.finditer(data):
        text = token.group()
        if start < 0:
            if depth == 1 and text == quoted:
                opened = _LIST_START.match(data, token.end())
                if opened:
                    start = item_start = opened.end()
        elif depth == 2 and text in (b',', b']'):
            item = data[item_start : token.start()].strip()
            items += [item] if item else []
            item_start = token.end()
            if text == b']':
                return start, token.start(), items
        depth += (text in _OPENING) - (text in _CLOSING)
    raise errors.Undecodable(f'no list of {field}', step='json_lists.decode')
