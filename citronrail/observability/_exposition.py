"""Lists and exports the metrics of a process."""

import collections.abc
import dataclasses
import importlib
import pkgutil
import typing

import prometheus_client

import citronrail

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
_PREFIX = 'citronrail_'


@dataclasses.dataclass(frozen=True)
class Metric:
    """A metric as listed in docs/METRICS.md.

    ``name`` is the name in queries, without the suffixes that the exposition
    format adds to histograms.
    """

    name: str
    kind: str
    labels: tuple[str, ...]
    text: str


def exposition() -> bytes:
    """Return the metrics of this process in Prometheus' text format."""
    return prometheus_client.generate_latest()


def import_metrics() -> None:
    """Import every module of the package that defines metrics.

    These are the modules whose names end in ``metrics``.
    """
    for module in pkgutil.walk_packages(
        citronrail.__path__, f'{citronrail.__name__}.'
    ):
        if module.name.endswith('metrics'):
            importlib.import_module(module.name)


def metrics() -> tuple[Metric, ...]:
    """Return the metrics that this package defines.

    :returns: all metrics registered in this process, sorted by name.
    """
    import_metrics()
    found = {
        collector: names
        for collector, names in _registered()
        if any(name.startswith(_PREFIX) for name in names)
    }
    return tuple(
        sorted(
            (_metric(collector) for collector in found),
            key=lambda metric: metric.name,
        )
    )


def sample_names() -> frozenset[str]:
    """Return the names of all samples of the metrics.

    :returns: such as ``citronrail_routing_request_seconds_bucket``.
    """
    import_metrics()
    return frozenset(
        name
        for _, names in _registered()
        for name in names
        if name.startswith(_PREFIX)
    )


def _registered() -> collections.abc.Iterable[tuple[typing.Any, list[str]]]:
    registry: typing.Any = prometheus_client.REGISTRY
    return list(registry._collector_to_names.items())


def _metric(collector: typing.Any) -> Metric:
    family = collector.describe()[0]
    name = family.name
    if family.type == 'counter':
        name += '_total'
    labels = tuple(getattr(collector, '_labelnames', ()))
    return Metric(name, family.type, labels, family.documentation)
