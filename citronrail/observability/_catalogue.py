"""Collects the event kinds of all subsystems."""

import dataclasses
import importlib
import pkgutil

from citronrail.observability import _events
from citronrail.observability import catalogue


@dataclasses.dataclass(frozen=True)
class CataloguedEvent:
    """An event kind with its subsystem and its name in the code."""

    subsystem: str
    name: str
    kind: _events.EventKind


def catalogued_events() -> tuple[CataloguedEvent, ...]:
    """Return the event kinds of every module of the catalogue.

    :returns: the kinds sorted by number.
    """
    found = []
    for module in pkgutil.iter_modules(catalogue.__path__):
        imported = importlib.import_module(
            f'{catalogue.__name__}.{module.name}'
        )
        found += [
            CataloguedEvent(module.name, name, kind)
            for name, kind in vars(imported).items()
            if isinstance(kind, _events.EventKind)
        ]
    return tuple(sorted(found, key=lambda event: event.kind.number))
