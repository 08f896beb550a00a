"""Decodes the documents that operators write to the store."""

import collections.abc
import dataclasses
import typing

import msgspec

from citronrail import errors
from citronrail.model import bounded
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.platform import _transport_metrics as metrics

PREFIX = 'op/'
CONFIG_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
ROUTES = 'routes'
SERVICES = 'services'
LIMITS = 'limits'
# Names on the wire of the attributes whose names differ.
WIRE_NAMES = {
    'max_attempts': 'maxAttempts',
    'objective_s': 'targetCompletionMs',
    'timeout_s': 'timeoutMs',
    'rejects_overload': 'rejectsOverload',
    'max_body_bytes': 'maxBodyBytes',
    'max_header_bytes': 'maxHeaderBytes',
}
WIRE_UNITS_PER_S = 1000  # of attributes that are times


_Item = typing.TypeVar('_Item', bound=msgspec.Struct)


class _Route(msgspec.Struct, frozen=True):
    name: bounded.Text
    host: bounded.Text
    prefix: bounded.Text
    service: bounded.Text
    priority: bounded.Amount = 0
    maxAttempts: bounded.Amount = 1  # noqa: N815 - name on the wire
    stretch: bounded.Number = 1.0
    targetCompletionMs: bounded.Number = 0.0  # noqa: N815 - name on the wire
    timeoutMs: bounded.Number = 0.0  # noqa: N815 - name on the wire


class _Service(msgspec.Struct, frozen=True):
    name: bounded.Text
    rejectsOverload: bool = False  # noqa: N815 - name on the wire
    standby: bool = False


class _Limits(msgspec.Struct, frozen=True):
    maxBodyBytes: bounded.Count = 262_144  # noqa: N815 - name on the wire


class _Config(msgspec.Struct, frozen=True):
    version: bounded.Count
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()


class _RawConfig(msgspec.Struct, frozen=True):
    """Configuration of which the routes and services are still encoded."""

    version: bounded.Count
    routes: tuple[msgspec.Raw, ...] = ()
    services: tuple[msgspec.Raw, ...] = ()
    limits: _Limits = _Limits()


class _CheckedLimits(_Limits, frozen=True):
    """Limits with those that no process uses."""

    maxHeaderBytes: bounded.Count = 0  # noqa: N815 - name on the wire


class CheckedDocument(_Config, frozen=True):
    """The configuration with all fields that are checked."""

    limits: _CheckedLimits = _CheckedLimits()


FIELD_NAMES = frozenset(_Config.__struct_fields__)


@dataclasses.dataclass(frozen=True)
class PartialConfig:
    """The parts of a configuration that can be decoded.

    ``config`` contains the valid routes and services; ``queue_indexes`` and
    ``pool_indexes`` are their positions in the document. Invalid limits have
    their defaults, and an invalid version is 0.
    """

    config: workflows.OperatorConfig
    queue_indexes: tuple[int, ...]
    pool_indexes: tuple[int, ...]


def decode_config(value: bytes) -> workflows.OperatorConfig:
    """Decode the operators' configuration.

    Routes and services that are malformed or out of range are logged, counted
    and skipped; the others apply.

    :param value: the stored document.
    :returns: the configuration.
    :raises citronrail.errors.ConfigError: if it is malformed, or has routes
        of which none can be used.
    """
    try:
        document = codec.from_json(value, _RawConfig, strict=False)
    except errors.Undecodable as exc:
        raise errors.ConfigError(exc.message, step='operators.config') from exc
    routes = tuple(_readable(document.routes, _Route))
    if document.routes and not routes:
        raise errors.ConfigError(
            'no route can be used', step='operators.config'
        )
    return workflows.OperatorConfig(
        version=document.version,
        queues=tuple(_queue(route) for route in routes),
        pools=tuple(
            _pool(item) for item in _readable(document.services, _Service)
        ),
        max_body_bytes=document.limits.maxBodyBytes,
    )


def _readable(
    raws: tuple[msgspec.Raw, ...], item_type: type[_Item]
) -> collections.abc.Iterator[_Item]:
    """Decode items; count, log and skip those that are malformed."""
    for raw in raws:
        try:
            yield codec.from_json(raw, item_type, strict=False)
        except errors.Undecodable as exc:
            metrics.REFUSED.labels('config item').inc()
            observability.emit(
                events.CONFIG_UNREADABLE, reason=f'{bytes(raw)[:80]!r}: {exc}'
            )


def decode_partially(document: typing.Any) -> PartialConfig:
    """Decode as much as possible of a configuration.

    :param document: the parsed JSON document.
    :returns: its valid parts.
    """
    if not isinstance(document, dict):
        document = {}
    routes = _valid_items(document.get(ROUTES), _Route)
    services = _valid_items(document.get(SERVICES), _Service)
    limits = _valid_item(document.get(LIMITS, {}), _CheckedLimits)
    limits = limits or _CheckedLimits()
    version = _valid_item({'version': document.get('version')}, _Config)
    return PartialConfig(
        workflows.OperatorConfig(
            version=version.version if version else 0,
            queues=tuple(_queue(route) for _, route in routes),
            pools=tuple(_pool(service) for _, service in services),
            max_body_bytes=limits.maxBodyBytes,
            max_header_bytes=limits.maxHeaderBytes,
        ),
        tuple(index for index, _ in routes),
        tuple(index for index, _ in services),
    )


def evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that a key marks as evacuated, or None."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def _valid_items(
    value: typing.Any, item_type: type[_Item]
) -> list[tuple[int, _Item]]:
    """Return the items that can be decoded, with their positions."""
    if not isinstance(value, list):
        return []
    items = ((n, _valid_item(item, item_type)) for n, item in enumerate(value))
    return [(n, item) for n, item in items if item is not None]


def _valid_item(value: typing.Any, item_type: type[_Item]) -> _Item | None:
    try:
        return msgspec.convert(value, item_type, strict=False)
    except msgspec.ValidationError:
        return None


def _pool(item: _Service) -> workflows.WorkerPool:
    return workflows.WorkerPool(
        identifiers.ServiceName(item.name), item.rejectsOverload, item.standby
    )


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
