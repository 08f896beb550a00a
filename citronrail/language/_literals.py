"""Parses and formats the literals of the command language."""

import datetime
import decimal
import json
import math
import re

_MB_BY_UNIT = {'MB': 1, 'GB': 1024, 'TB': 1024 * 1024}
_MS_BY_UNIT = {
    'ms': 1,
    's': 1000,
    'm': 60_000,
    'h': 3_600_000,
    'd': 86_400_000,
}
_AMOUNT = re.compile(r'([0-9.]+)([A-Za-z]+)')
_BARE_NAME = re.compile(r'[A-Za-z_][A-Za-z0-9_.:@/-]*')
MILLICORES_PER_CORE = 1000
MAX_MEMORY_MB = 2**40
MAX_DURATION_MS = 1000 * 86_400 * 366
MAX_UNIX_S = 253_370_764_800  # 9999-01-01
MAX_PATTERN_LENGTH = 200
# Backtracking over more repetitions can take seconds on one long cell.
MAX_PATTERN_REPEATS = 4
_REPEATED_GROUP = re.compile(r'(?<!\\)\)[*+{]')
_REPEAT = re.compile(r'(?<!\\)[*+{]')


def parse_amount(text: str, unit: str, factors: dict[str, int]) -> int:
    """Parse an amount with a unit.

    :param text: the amount, such as ``1.5GB``.
    :param unit: name of the base unit, for the error message.
    :param factors: number of base units in each accepted unit.
    :returns: the amount in the base unit.
    :raises ValueError: if it isn't a whole number of the base unit.
    """
    match = _AMOUNT.fullmatch(text)
    if match is None or match[2] not in factors:
        raise ValueError(f'expected a number with one of {", ".join(factors)}')
    amount = decimal.Decimal(match[1]) * factors[match[2]]
    if amount != amount.to_integral_value():
        raise ValueError(f'{text} is not a whole number of {unit}')
    return int(amount)


def parse_memory_mb(text: str) -> int:
    """Parse an amount of memory such as ``512MB`` or ``2GB``.

    :param text: the amount with its unit.
    :returns: the amount in MB, 1024 MB to the GB.
    :raises ValueError: if it isn't a whole number of MB or is too large.
    """
    amount = parse_amount(text, 'MB', _MB_BY_UNIT)
    if amount > MAX_MEMORY_MB:
        raise ValueError(f'{text} is more than any worker holds')
    return amount


def parse_duration_ms(text: str) -> int:
    """Parse a duration such as ``90s``, ``10m`` or ``250ms``.

    :param text: the duration with its unit.
    :returns: milliseconds.
    :raises ValueError: if it isn't a whole number of ms or exceeds a year.
    """
    amount = parse_amount(text, 'ms', _MS_BY_UNIT)
    if amount > MAX_DURATION_MS:
        raise ValueError(f'{text} is more than a year')
    return amount


def parse_unix_time(text: str) -> float:
    """Parse an RFC 3339 timestamp.

    :param text: the timestamp, such as ``2026-12-05T04:00:00Z``.
    :returns: Unix time in seconds.
    :raises ValueError: if the timestamp isn't valid.
    """
    try:
        unix_s = datetime.datetime.fromisoformat(text).timestamp()
    except (ValueError, OverflowError) as exc:
        raise ValueError(f'{text} is no time of the calendar') from exc
    if not 0 <= unix_s < MAX_UNIX_S:
        raise ValueError(f'{text} is not between the years 1970 and 9999')
    return unix_s


def parse_number(text: str) -> int | float:
    """Parse a number.

    :param text: decimal digits; a decimal point or exponent makes a float.
    :returns: an int if there is neither a decimal point nor an exponent.
    :raises ValueError: if it is too large for a float.
    """
    if re.fullmatch(r'-?[0-9]+', text):
        return int(text)
    result = float(text)
    if not math.isfinite(result):
        raise ValueError(f'{text} is too large')
    return result


def parse_millicores(text: str) -> int:
    """Parse a number of processor cores.

    :param text: the number, such as ``2`` or ``0.5``.
    :returns: millicores.
    :raises ValueError: if it isn't a whole number of millicores.
    """
    amount = decimal.Decimal(text) * MILLICORES_PER_CORE
    if abs(amount) > 10**12 or amount != amount.to_integral_value():
        raise ValueError('cores have at most three decimals')
    return int(amount)


def parse_string(text: str) -> str:
    """Parse a quoted string with JSON escapes.

    :param text: the string with its quotes.
    :returns: its value.
    :raises ValueError: if an escape is invalid or can't be encoded in UTF-8.
    """
    try:
        value = json.loads(text, strict=False)
        value.encode()
    except ValueError as exc:
        raise ValueError('the string has a wrong escape') from exc
    return str(value)


def check_pattern(pattern: str) -> None:
    """Check that a regular expression is valid and cheap to match.

    A pattern with catastrophic backtracking would block the entry, so
    repeated groups are rejected and the number of repetitions is limited.

    :param pattern: a regular expression in the syntax of ``re``.
    :raises ValueError: if it is invalid, too long or too expensive.
    """
    if len(pattern) > MAX_PATTERN_LENGTH:
        raise ValueError(f'a pattern has at most {MAX_PATTERN_LENGTH} letters')
    if _REPEATED_GROUP.search(pattern):
        raise ValueError('a pattern may not repeat a group')
    if len(_REPEAT.findall(pattern)) > MAX_PATTERN_REPEATS:
        raise ValueError(
            f'a pattern has at most {MAX_PATTERN_REPEATS} repetitions'
        )
    try:
        re.compile(pattern)
    except (re.error, OverflowError, RecursionError) as exc:
        raise ValueError(f'wrong regular expression: {exc}') from exc


def format_string(text: str) -> str:
    """Format a quoted string.

    :param text: any text that can be encoded in UTF-8.
    :returns: the text in quotes, with JSON escapes.
    """
    return json.dumps(text, ensure_ascii=False)


def format_name(text: str, keywords: frozenset[str]) -> str:
    """Format a name, quoted unless it is a plain identifier.

    :param text: the name.
    :param keywords: words that are always quoted.
    :returns: text that :func:`citronrail.language.parse` parses as the name.
    """
    if _BARE_NAME.fullmatch(text) and text not in keywords:
        return text
    return format_string(text)


def format_duration(milliseconds: int) -> str:
    """Format a duration in the largest unit that gives a whole number.

    :param milliseconds: the duration.
    :returns: text such as ``90s``.
    """
    for unit in ('h', 'm', 's'):
        quotient, remainder = divmod(milliseconds, _MS_BY_UNIT[unit])
        if remainder == 0 and quotient > 1:
            return f'{quotient}{unit}'
    return f'{milliseconds}ms'


def format_memory(amount_mb: int) -> str:
    """Format an amount of memory in GB if that is a whole number, else MB.

    :param amount_mb: the amount in MB.
    :returns: text such as ``2GB``.
    """
    quotient, remainder = divmod(amount_mb, _MB_BY_UNIT['GB'])
    return f'{quotient}GB' if quotient and not remainder else f'{amount_mb}MB'


def format_cores(amount: int) -> str:
    """Format millicores as a number of cores.

    :param amount: millicores.
    :returns: text such as ``1.5``.
    """
    value = decimal.Decimal(amount) / MILLICORES_PER_CORE
    return f'{value.normalize():f}'


def format_time(unix_s: float) -> str:
    """Format a Unix time as an RFC 3339 timestamp in UTC.

    :param unix_s: Unix time in seconds.
    :returns: text such as ``2026-12-05T04:00:00Z``.
    """
    timestamp = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return timestamp.isoformat().replace('+00:00', 'Z')
