"""Helpers that convert parsed tokens to values and report their position."""

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


class SemanticError(ValueError):
    """Raised for text that matches the grammar but has an invalid value.

    :param message: description of the error.
    :param token: token to report; None for the start of the text.
    """

    def __init__(self, message: str, token: lark.Token | None) -> None:
        super().__init__(message)
        self.message = message
        self.token = token


@dataclasses.dataclass(frozen=True)
class Option:
    """An option of a command, with its keyword token."""

    key: str
    value: typing.Any
    token: lark.Token


@dataclasses.dataclass(frozen=True)
class NameToken:
    """A name with its token."""

    text: str
    token: lark.Token


def parse_literal(
    token: lark.Token, parse: collections.abc.Callable[[str], T]
) -> T:
    """Parse a literal and report an invalid one at its position."""
    try:
        return parse(str(token))
    except (ValueError, ArithmeticError) as exc:
        raise SemanticError(str(exc), token) from exc


def parse_count(token: lark.Token, minimum: int) -> int:
    """Parse a count within bounds."""
    value = parse_literal(token, _literals.parse_number)
    if not isinstance(value, int) or not minimum <= value <= MAX_COUNT:
        raise SemanticError(
            f'expected a whole number from {minimum} to {MAX_COUNT}', token
        )
    return value


def options_by_key(
    options: collections.abc.Iterable[Option],
) -> dict[str, typing.Any]:
    """Return option values by key and reject duplicate options."""
    values: dict[str, typing.Any] = {}
    for option in options:
        if option.key in values:
            raise SemanticError(f'{option.token} is given twice', option.token)
        values[option.key] = option.value
    return values


def pop_resources(values: dict[str, typing.Any]) -> resources.Resources:
    """Remove the resource options and return them with defaults applied."""
    return resources.Resources(
        values.pop('millicores', _literals.MILLICORES_PER_CORE),
        values.pop('memory_mb', DEFAULT_MEMORY_MB),
        values.pop('accelerators', 0),
    )


def require_options(
    values: dict[str, typing.Any], name: NameToken, *keys: tuple[str, str]
) -> None:
    """Check that the options without a default are present."""
    for key, keyword in keys:
        if key not in values:
            raise SemanticError(f'"{keyword}" is missing', name.token)


def check_depth(
    condition: _nodes.Condition, token: lark.Token | None = None
) -> _nodes.Condition:
    """Reject nesting so deep that recursive functions would overflow."""
    if depth(condition) > MAX_CONDITION_DEPTH:
        raise SemanticError('the condition is nested too deeply', token)
    return condition


def depth(condition: _nodes.Condition) -> int:
    """Return the nesting depth of a condition."""
    match condition:
        case _nodes.And(operands) | _nodes.Or(operands):
            return 1 + max(depth(operand) for operand in operands)
        case _nodes.Not(operand):
            return 1 + depth(operand)
    return 1


def parse_version(token: lark.Token) -> int:
    """Parse a settings version."""
    value = parse_literal(token, _literals.parse_number)
    if not isinstance(value, int) or value < 0:
        raise SemanticError('expected a settings version', token)
    return value


def parse_positive_ms(token: lark.Token) -> int:
    """Parse a positive duration, in milliseconds."""
    value = parse_literal(token, _literals.parse_duration_ms)
    if value < 1:
        raise SemanticError('expected a time above zero', token)
    return value


def convert_service_durations(
    values: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    """Convert duration options to the fields of a service."""
    if 'run_ms' in values:
        values['max_run_s'] = values.pop('run_ms') / 1000
    if 'latency_ms' in values:
        values['latency_target_ms'] = float(values.pop('latency_ms'))
    return values
