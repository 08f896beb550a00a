"""Registry of message classes."""

import dataclasses
import typing

Headers = tuple[tuple[str, str], ...]
Cell = str | int | float | bool | None
M = typing.TypeVar('M')

KINDS: dict[str, type] = {}


@typing.dataclass_transform(frozen_default=True)
def message(cls: type[M]) -> type[M]:
    """Make a class a frozen data class and register it as a message."""
    frozen = dataclasses.dataclass(frozen=True)(cls)
    KINDS[cls.__name__] = frozen
    return frozen


def kinds() -> dict[str, type]:
    """Return the registered messages.

    :returns: a copy of the map from class name to data class.
    """
    return dict(KINDS)


@message
class ProtocolError:
    """Reply to a message that could not be decoded or used."""

    reason: str


class UnknownMessage(ValueError):
    """Bytes from a peer that are not a known message."""
