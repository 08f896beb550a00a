"""Heartbeats of workers, and those that another writer may send."""

import random
import typing

import msgspec

from citronrail.model import messages

Heartbeat = dict[str, typing.Any]

OPTIONAL_FIELDS = ('clockMs', 'born')
_ODD_VALUES: tuple[typing.Any, ...] = ([1], {'x': 1}, None, 'odd', 2**64, -7)


def heartbeat(
    life: messages.WorkerLife, address: str, sequence: int
) -> Heartbeat:
    """Return the heartbeat of a worker as it stands in a body.

    :param life: what the worker announces.
    :param address: ``IP:PORT`` of the worker.
    :param sequence: number of the heartbeat.
    """
    return {
        'service': life.service,
        'addr': address,
        'zone': life.data_centre,
        'version': 'v1',
        'slots': 8,
        'state': life.state,
        'coldLeftMs': 0,
        'capacity': {
            'cpu': life.cpu_millis,
            'memMb': life.memory_mb,
            'gpu': life.accelerators,
        },
        'labels': list(life.labels),
        'clockMs': 1000,
        'seq': sequence,
        'born': life.born_ms,
    }


def malformed_body(rng: random.Random, sound: Heartbeat) -> bytes:
    """Return a body that names no worker to use.

    :param rng: chooses what is wrong: a field that is missing or of another
        type, a service or state that isn't named, or unreadable bytes.
    :param sound: a sound heartbeat.
    """
    field = rng.choice([name for name in sound if name not in OPTIONAL_FIELDS])
    match rng.randrange(6):
        case 0:
            rest = {k: v for k, v in sound.items() if k != field}
            return msgspec.json.encode(rest)
        case 1:
            # An odd text is as good as another version or address.
            odd = [
                value
                for value in _ODD_VALUES
                if type(value) is not type(sound[field])
            ]
            return msgspec.json.encode(sound | {field: rng.choice(odd)})
        case 2:
            return msgspec.json.encode(sound | {'service': 'not-named'})
        case 3:
            return msgspec.json.encode(sound | {'state': 'asleep'})
        case 4:
            body = msgspec.json.encode(sound)
            return body[: rng.randrange(len(body))]
        case _:
            return msgspec.json.encode(rng.choice(_ODD_VALUES))
