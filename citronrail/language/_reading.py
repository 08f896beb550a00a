"""Reads options and literals of commands, knowing where they stand."""

import collections.abc
import dataclasses
import typing

import lark

from citronrail.language import _literals
from citronrail.language import _nodes
from citronrail.model import resources

MAX_CONDITION_DEPTH = 40
MAX_COUNT = 1_000_000
DEFAULT_MEMORY_MB = 1024
T = typing.TypeVar('T')


class Misplaced(ValueError):
    """Text with the right form but a wrong meaning.

    :param message: what is wrong.
    :param token: where it stands; None for the start of the text.
    """

    def __init__(self, message: str, token: lark.Token | None) -> None:
        super().__init__(message)
        self.message = message
        self.token = token


@dataclasses.dataclass(frozen=True)
class Option:
    """An option of a command, with the word that names it."""

    key: str
    value: typing.Any
    token: lark.Token


@dataclasses.dataclass(frozen=True)
class Named:
    """A name and where it stands."""

    text: str
    token: lark.Token


def read(token: lark.Token, reader: collections.abc.Callable[[str], T]) -> T:
    """Read a literal; a wrong one is misplaced."""
    try:
        return reader(str(token))
    except (ValueError, ArithmeticError) as exc:
        raise Misplaced(str(exc), token) from exc


def count(token: lark.Token, least: int) -> int:
    """Read a whole number of things."""
    value = read(token, _literals.number)
    if not isinstance(value, int) or not least <= value <= MAX_COUNT:
        raise Misplaced(
            f'expected a whole number from {least} to {MAX_COUNT}', token
        )
    return value


def unique(
    options: collections.abc.Iterable[Option],
) -> dict[str, typing.Any]:
    """Return options by key; none may be given twice."""
    found: dict[str, typing.Any] = {}
    for option in options:
        if option.key in found:
            raise Misplaced(f'{option.token} is given twice', option.token)
        found[option.key] = option.value
    return found


def resources_of(found: dict[str, typing.Any]) -> resources.Resources:
    """Take the amounts out of options, with defaults."""
    return resources.Resources(
        found.pop('millicores', _literals.MILLICORES_PER_CORE),
        found.pop('memory_mb', DEFAULT_MEMORY_MB),
        found.pop('accelerators', 0),
    )


def require(
    found: dict[str, typing.Any], name: Named, *keys: tuple[str, str]
) -> None:
    """Check that options are given that have no default."""
    for key, words in keys:
        if key not in found:
            raise Misplaced(f'"{words}" is missing', name.token)


def bounded(
    condition: _nodes.Condition, token: lark.Token | None = None
) -> _nodes.Condition:
    """Refuse nesting on which recursive functions would fail."""
    if depth(condition) > MAX_CONDITION_DEPTH:
        raise Misplaced('the condition is nested too deeply', token)
    return condition


def depth(condition: _nodes.Condition) -> int:
    """Return how deeply a condition is nested."""
    match condition:
        case _nodes.And(operands) | _nodes.Or(operands):
            return 1 + max(depth(operand) for operand in operands)
        case _nodes.Not(operand):
            return 1 + depth(operand)
    return 1


def count_version(token: lark.Token) -> int:
    """Read a settings version."""
    value = read(token, _literals.number)
    if not isinstance(value, int) or value < 0:
        raise Misplaced('expected a settings version', token)
    return value


def positive_ms(token: lark.Token) -> int:
    """Read a length of time above zero, in milliseconds."""
    value = read(token, _literals.duration_ms)
    if value < 1:
        raise Misplaced('expected a time above zero', token)
    return value


def service_times(found: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Convert the times among options to the units of services."""
    if 'run_ms' in found:
        found['max_run_s'] = found.pop('run_ms') / 1000
    if 'latency_ms' in found:
        found['latency_target_ms'] = float(found.pop('latency_ms'))
    return found
