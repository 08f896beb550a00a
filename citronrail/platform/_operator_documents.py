"""Decodes the documents that operators write to the store."""

import msgspec

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import workflows

PREFIX = 'op/'
CONFIG_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    maxAttempts: int = 1  # noqa: N815 - name on the wire
    stretch: float = 1.0
    targetCompletionMs: float = 0.0  # noqa: N815 - name on the wire
    timeoutMs: float = 0.0  # noqa: N815 - name on the wire


class _Service(msgspec.Struct, frozen=True):
    name: str
    rejectsOverload: bool = False  # noqa: N815 - name on the wire
    standby: bool = False


class _Limits(msgspec.Struct, frozen=True):
    maxBodyBytes: int = 262_144  # noqa: N815 - name on the wire


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()


def decode_config(value: bytes) -> workflows.OperatorConfig:
    """Decode the operators' configuration.

    :param value: the stored document.
    :returns: the configuration.
    :raises citronrail.errors.ConfigError: if it is malformed.
    """
    try:
        document = msgspec.json.decode(value, type=_Config, strict=False)
    except msgspec.DecodeError as exc:
        raise errors.ConfigError(str(exc), step='operators.config') from exc
    return workflows.OperatorConfig(
        version=document.version,
        queues=tuple(_queue(route) for route in document.routes),
        pools=tuple(
            workflows.WorkerPool(
                identifiers.ServiceName(item.name),
                item.rejectsOverload,
                item.standby,
            )
            for item in document.services
        ),
        max_body_bytes=document.limits.maxBodyBytes,
    )


def evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that a key marks as evacuated, or None."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def _queue(route: _Route) -> workflows.Queue:
    return workflows.Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=identifiers.ServiceName(route.service),
        priority=route.priority,
        max_attempts=route.maxAttempts,
        stretch=route.stretch,
        objective_s=route.targetCompletionMs / 1000,
        timeout_s=route.timeoutMs / 1000,
    )
