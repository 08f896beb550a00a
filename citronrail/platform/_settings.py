"""The settings file that the platform writes for each process."""

import dataclasses
import pathlib
import typing

import yaml

from citronrail import errors
from citronrail.model import workflows

PATH_VARIABLE = 'CITRONRAIL_CONFIG'


@dataclasses.dataclass(frozen=True)
class Settings:
    """What a process is told of itself, in the project's words.

    Addresses are ``IP:PORT`` or '' where the process has none.
    """

    path: str  # where the file was read
    node_id: str
    machine_class: str
    data_centre: str
    ip: str
    callers_address: str
    ready_address: str
    announcements_address: str
    peer_ports: tuple[int, int]  # first and last port for our own use
    store_address: str
    worker_address: str  # of the worker on this machine
    service: str  # of that worker
    advice_address: str
    processor_share: float  # of one core at full speed
    bounds: workflows.Bounds


def load(path: str) -> Settings:
    """Read and check the settings file.

    :param path: path of a YAML file.
    :returns: the settings.
    :raises citronrail.errors.ConfigError: if it is missing or malformed.
    """
    try:
        raw = yaml.load(
            pathlib.Path(path).read_text(),
            Loader=getattr(yaml, 'CSafeLoader', yaml.SafeLoader),
        )
        if not isinstance(raw, dict):
            raise ValueError('no table of settings')
        return _settings(path, raw)
    except (OSError, yaml.YAMLError, KeyError, TypeError, ValueError) as exc:
        raise errors.ConfigError(
            f'{path}: {exc!r}', step='settings.load'
        ) from exc


def _settings(path: str, raw: dict[str, typing.Any]) -> Settings:
    listen = raw.get('listen') or {}
    limits = raw.get('limits') or {}
    first, last = raw['internalPortRange']
    return Settings(
        path=path,
        node_id=str(raw['node']),
        machine_class=str(raw['class']),
        data_centre=str(raw['zone']),
        ip=str(raw['ip']),
        callers_address=str(listen.get('front') or ''),
        ready_address=str(listen.get('ready') or ''),
        announcements_address=str(listen.get('control') or ''),
        peer_ports=(int(first), int(last)),
        store_address=str(raw['platform']['addr']),
        worker_address=str(raw.get('app') or ''),
        service=str(raw.get('service') or ''),
        advice_address=str(raw.get('advice') or ''),
        processor_share=float(limits.get('cpuShare', 1.0))
        * float(limits.get('cores', 1)),
        bounds=_bounds(raw.get('bounds') or {}),
    )


def _bounds(raw: dict[str, typing.Any]) -> workflows.Bounds:
    default = workflows.Bounds()

    def seconds(name: str, otherwise: float) -> float:
        value = raw.get(name)
        if value is None:
            return otherwise
        return float(value) / (1000.0 if _in_ms(name) else 1.0)

    return workflows.Bounds(
        max_lease_s=seconds('maxHoldMs', default.max_lease_s),
        stop_s=seconds('stopMs', default.stop_s),
        gang_wait_s=seconds('gangTimeoutMs', default.gang_wait_s),
        evacuate_s=seconds('evacuateMs', default.evacuate_s),
        drain_s=seconds('drainMs', default.drain_s),
        keep_ended_s=seconds('status_s', default.keep_ended_s),
        grace_s=seconds('graceS', default.grace_s),
        remote_factor=seconds('remoteFactor', default.remote_factor),
        checkpoint_s=seconds('checkpointS', default.checkpoint_s),
        harm_s=seconds('harmMs', default.harm_s),
        pace_s=seconds('paceMs', default.pace_s),
    )


def _in_ms(name: str) -> bool:
    return name.lower().endswith('ms')
