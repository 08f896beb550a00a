"""Conversions between the port's values and the gateway's JSON.

Keys and values are base64, 64-bit integers are strings, and fields with
their default value are left out, as in the etcd v3 JSON gateway.
"""

import base64
import typing

from citronrail import errors
from citronrail import ports

Json = dict[str, typing.Any]

CANCELLED = 1
INVALID_ARGUMENT = 3
DEADLINE_EXCEEDED = 4
NOT_FOUND = 5
OUT_OF_RANGE = 11
UNAVAILABLE = 14
HTTP_STATUS = {
    INVALID_ARGUMENT: 400,
    DEADLINE_EXCEEDED: 504,
    NOT_FOUND: 404,
    OUT_OF_RANGE: 400,
    UNAVAILABLE: 503,
}


class BadRequest(ValueError):
    """A request body that the gateway does not support."""


def from_base64(text: str) -> str:
    """Decode a key from base64."""
    return base64.b64decode(text, validate=True).decode()


def to_base64(data: bytes) -> str:
    """Encode bytes as base64."""
    return base64.b64encode(data).decode()


def prefix_of(body: Json) -> tuple[str, bool]:
    """Return the key of a range and whether it is a prefix.

    :raises BadRequest: for a range that is neither a key nor a prefix.
    """
    key = base64.b64decode(body.get('key', ''), validate=True)
    end = base64.b64decode(body.get('range_end', ''), validate=True)
    if not end:
        return key.decode(), False
    if end != key[:-1] + bytes([key[-1] + 1]):
        raise BadRequest('only prefix ranges are served')
    return key.decode(), True


def header(revision: int) -> Json:
    """Return a response header."""
    return {
        'cluster_id': '1',
        'member_id': '1',
        'revision': str(revision),
        'raft_term': '1',
    }


def key_value(item: ports.KeyValue) -> Json:
    """Return the JSON representation of a stored value."""
    fields = {
        'key': to_base64(item.key.encode()),
        'mod_revision': str(item.revision),
        'value': to_base64(item.value),
    }
    if item.lease_id:
        fields['lease'] = str(item.lease_id)
    return fields


def event(change: ports.WatchEvent) -> Json:
    """Return the JSON representation of a watch event."""
    item = ports.KeyValue(change.key, change.value or b'', change.revision)
    fields: Json = {'kv': key_value(item)}
    if change.value is None:
        fields['type'] = 'DELETE'
    return fields


def compares(body: Json) -> list[ports.Compare]:
    """Return the conditions of a transaction.

    :raises BadRequest: for a condition other than on an equal revision.
    """
    found = []
    for compare in body.get('compare', ()):
        if compare.get('target') != 'MOD' or (
            compare.get('result', 'EQUAL') != 'EQUAL'
        ):
            raise BadRequest('only equal mod_revision is served')
        revision = int(compare.get('mod_revision', '0'))
        found.append(ports.Compare(from_base64(compare['key']), revision))
    return found


def writes(body: Json) -> list[ports.Put | ports.Delete]:
    """Return the writes of a transaction.

    :raises BadRequest: for other operations than put and delete.
    """
    found: list[ports.Put | ports.Delete] = []
    for operation in body.get('success', ()):
        match operation:
            case {'request_put': put}:
                found.append(
                    ports.Put(
                        from_base64(put['key']),
                        base64.b64decode(put.get('value', ''), validate=True),
                        int(put.get('lease', '0')),
                    )
                )
            case {'request_delete_range': delete}:
                found.append(ports.Delete(from_base64(delete['key'])))
            case _:
                raise BadRequest('only put and delete are served')
    return found


def error(exc: Exception) -> tuple[Json, int]:
    """Return the body and the HTTP status for an error."""
    match exc:
        case errors.StoreValueTooLarge():
            code, text = INVALID_ARGUMENT, 'request is too large'
        case errors.LeaseLost():
            code, text = NOT_FOUND, 'requested lease not found'
        case errors.StoreCompacted():
            code, text = OUT_OF_RANGE, 'required revision has been compacted'
        case errors.StoreOutcomeUnknown():
            code, text = DEADLINE_EXCEEDED, 'request timed out'
        case errors.StoreUnavailable():
            code, text = UNAVAILABLE, 'no leader'
        case _:
            code, text = INVALID_ARGUMENT, str(exc)
    message = f'etcdserver: {text}'
    body = {'error': message, 'code': code, 'message': message}
    return body, HTTP_STATUS[code]
