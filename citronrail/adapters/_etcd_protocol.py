"""JSON requests and responses of the etcd v3 gateway."""

import base64
import collections.abc
import math
import typing

from citronrail import errors
from citronrail.model import codec
from citronrail import ports

Json = dict[str, typing.Any]

INVALID_ARGUMENT = 3
NOT_FOUND = 5
OUT_OF_RANGE = 11
MAX_VALUE_BYTES = 1024 * 1024


def key_range(prefix: str) -> Json:
    """Return the range of all keys that start with a prefix."""
    data = prefix.encode()
    end = data[:-1] + bytes([data[-1] + 1])
    return {'key': _to_base64(data), 'range_end': _to_base64(end)}


def single_key(key: str) -> Json:
    """Return the range of one key."""
    return {'key': _to_base64(key.encode())}


def txn_body(
    compares: collections.abc.Sequence[ports.Compare],
    writes: collections.abc.Sequence[ports.Put | ports.Delete],
) -> Json:
    """Return the body of a transaction.

    :raises citronrail.errors.StoreValueTooLarge: if a value is too large.
    """
    return {
        'compare': [
            {
                'key': _to_base64(compare.key.encode()),
                'target': 'MOD',
                'result': 'EQUAL',
                'mod_revision': str(compare.revision),
            }
            for compare in compares
        ],
        'success': [_operation(write) for write in writes],
    }


def grant_body(ttl_s: float) -> Json:
    """Return the body of a lease grant; the TTL is rounded up to seconds."""
    return {'TTL': str(max(1, math.ceil(ttl_s))), 'ID': '0'}


def lease_body(lease_id: int) -> Json:
    """Return the body of a call about a lease."""
    return {'ID': str(lease_id)}


def watch_body(prefix: str, start_revision: int) -> Json:
    """Return the body that creates a watch."""
    start = str(max(1, start_revision))
    return {'create_request': {**key_range(prefix), 'start_revision': start}}


def revision_of(answer: Json) -> int:
    """Return the store's revision from a response header."""
    return int(answer['header']['revision'])


def items(answer: Json) -> tuple[ports.KeyValue, ...]:
    """Return the key-value pairs in a range response."""
    return tuple(_item(kv) for kv in answer.get('kvs', ()))


def events(result: Json) -> tuple[ports.WatchEvent, ...]:
    """Return the events in a watch response.

    :raises citronrail.errors.StoreCompacted: if the requested history
        has been compacted.
    :raises citronrail.errors.StoreUnavailable: if the watch has ended.
    """
    if int(result.get('compact_revision', '0')):
        raise errors.StoreCompacted(
            f'history up to {result["compact_revision"]} is gone',
            step='store.watch',
        )
    if result.get('canceled'):
        raise errors.StoreUnavailable(
            f'watch ended: {result.get("cancel_reason", "")}',
            step='store.watch',
        )
    return tuple(_event(event) for event in result.get('events', ()))


def definite_failure(
    status: int, body: bytes
) -> errors.CitronrailError | None:
    """Return the error of a call that certainly had no effect.

    :param status: HTTP status.
    :param body: body of the response.
    :returns: the error, or None if the call may have had an effect.
    """
    try:
        answer = codec.from_json(body, dict)
        code, text = int(answer['code']), str(answer.get('message', ''))
    except (ValueError, KeyError, TypeError, OverflowError):
        return None
    match code:
        case _ if code == INVALID_ARGUMENT and 'too large' in text:
            return errors.StoreValueTooLarge(text, step='store.call')
        case _ if code == NOT_FOUND:
            return errors.LeaseLost(text, step='store.call')
        case _ if code in (INVALID_ARGUMENT, OUT_OF_RANGE):
            return errors.StoreUnavailable(
                f'refused with {status}: {text}', step='store.call'
            )
        case _:
            return None


def _operation(write: ports.Put | ports.Delete) -> Json:
    match write:
        case ports.Put(key, value, lease_id):
            if len(value) > MAX_VALUE_BYTES:
                raise errors.StoreValueTooLarge(
                    f'{len(value)} bytes for {key!r} exceed 1 MB',
                    step='store.txn',
                )
            put = {
                'key': _to_base64(key.encode()),
                'value': _to_base64(value),
                'lease': str(lease_id),
            }
            return {'request_put': put}
        case ports.Delete(key):
            return {'request_delete_range': single_key(key)}


def _item(kv: Json) -> ports.KeyValue:
    return ports.KeyValue(
        base64.b64decode(kv['key']).decode(),
        base64.b64decode(kv.get('value', '')),
        int(kv['mod_revision']),
        int(kv.get('lease', '0')),
    )


def _event(event: Json) -> ports.WatchEvent:
    item = _item(event['kv'])
    deleted = event.get('type') == 'DELETE'
    return ports.WatchEvent(
        item.key, None if deleted else item.value, item.revision
    )


def _to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()
