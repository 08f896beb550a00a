"""Reads the settings file that the platform writes for each process."""

import dataclasses
import os
import pathlib
import typing

import yaml

from citronrail import errors
from citronrail.model import bounded
from citronrail.model import load_settings
from citronrail.model import workflows

PATH_VARIABLE = 'CITRONRAIL_CONFIG'
BYTES_PER_MB = 1_000_000
MAX_DEPTH = 50  # of nested collections
LOAD_SETTINGS_VARIABLE = 'CITRONRAIL_LOAD_SETTINGS'


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of one process.

    Addresses are ``IP:PORT``, or '' if the process has none.
    """

    path: str  # of the settings file
    node_id: str
    machine_class: str
    data_centre: str
    ip: str
    callers_address: str
    ready_address: str
    announcements_address: str
    peer_ports: tuple[int, int]  # first and last port for internal use
    store_address: str
    worker_address: str  # of the worker on this host
    service: str  # of that worker
    advice_address: str
    processor_share: float  # of one core at full speed
    bounds: workflows.Bounds
    load: load_settings.LoadSettings = load_settings.OFF


def load(path: str) -> Settings:
    """Read and check the settings file.

    :param path: path of a YAML file.
    :returns: the settings.
    :raises citronrail.errors.ConfigError: if it, or the file of the load
        settings, is missing or malformed.
    """
    try:
        document = _parse(pathlib.Path(path).read_text())
        if not isinstance(document, dict):
            raise ValueError('the top level is not a mapping')
        return _settings(path, document)
    except (
        OSError,
        yaml.YAMLError,
        KeyError,
        TypeError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise errors.ConfigError(
            f'{path}: {exc!r}', step='settings.load'
        ) from exc


def _parse(text: str) -> typing.Any:
    """Parse YAML that isn't nested too deeply, which would end the process.

    :raises ValueError: if it is nested too deeply.
    """
    loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
    depth = 0
    for event in yaml.parse(text, Loader=loader):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise ValueError('it is nested too deeply')
    return yaml.load(text, Loader=loader)


def _settings(path: str, document: dict[str, typing.Any]) -> Settings:
    listen = document.get('listen') or {}
    limits = document.get('limits') or {}
    first, last = document['internalPortRange']
    return Settings(
        path=path,
        node_id=str(document['node']),
        machine_class=str(document['class']),
        data_centre=str(document['zone']),
        ip=str(document['ip']),
        callers_address=str(listen.get('front') or ''),
        ready_address=str(listen.get('ready') or ''),
        announcements_address=str(listen.get('control') or ''),
        peer_ports=(_port(first), _port(last)),
        store_address=str(document['platform']['addr']),
        worker_address=str(document.get('app') or ''),
        service=str(document.get('service') or ''),
        advice_address=str(document.get('advice') or ''),
        processor_share=_number(limits.get('cpuShare', 1.0))
        * _number(limits.get('cores', 1)),
        bounds=_bounds(
            document.get('bounds') or {}, document['platform'], limits
        ),
        load=load_settings.load(
            os.environ.get(LOAD_SETTINGS_VARIABLE, '')
        ).for_store(_number(document['platform'].get('writesPerS', 0.0))),
    )


def _bounds(
    document: dict[str, typing.Any],
    store: dict[str, typing.Any],
    limits: dict[str, typing.Any],
) -> workflows.Bounds:
    defaults = workflows.Bounds()

    def seconds(name: str, default_s: float) -> float:
        value = document.get(name)
        if value is None:
            return default_s
        return _number(value) / (1000.0 if _is_in_ms(name) else 1.0)

    return workflows.Bounds(
        max_lease_s=seconds('maxHoldMs', defaults.max_lease_s),
        stop_s=seconds('stopMs', defaults.stop_s),
        gang_wait_s=seconds('gangTimeoutMs', defaults.gang_wait_s),
        evacuate_s=seconds('evacuateMs', defaults.evacuate_s),
        drain_s=seconds('drainMs', defaults.drain_s),
        keep_ended_s=seconds('status_s', defaults.keep_ended_s),
        grace_s=seconds('graceS', defaults.grace_s),
        remote_factor=seconds('remoteFactor', defaults.remote_factor),
        checkpoint_s=seconds('checkpointS', defaults.checkpoint_s),
        restore_s=seconds('restoreMs', defaults.restore_s),
        harm_s=seconds('harmMs', defaults.harm_s),
        pace_s=seconds('paceMs', defaults.pace_s),
        max_value_bytes=int(
            _number(store.get('valueBytes') or defaults.max_value_bytes)
        ),
        memory_bytes=int(BYTES_PER_MB * _number(limits.get('memoryMb') or 0)),
    )


def _port(value: typing.Any) -> int:
    port = int(value)
    if not 0 < port <= bounded.MAX_PORT:
        raise ValueError(f'{port} is no port')
    return port


def _number(value: typing.Any) -> float:
    number = float(value)
    if not 0.0 <= number <= bounded.MAX_NUMBER:
        raise ValueError(f'{number} is out of range')
    return number


def _is_in_ms(name: str) -> bool:
    return name.lower().endswith('ms')
