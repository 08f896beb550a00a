"""Literals of the command language: text to value and back."""

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
# More repetitions in one pattern can take seconds on a single long cell.
MAX_PATTERN_REPEATS = 4
_REPEATED_GROUP = re.compile(r'(?<!\\)\)[*+{]')
_REPEAT = re.compile(r'(?<!\\)[*+{]')


def whole(text: str, unit: str, factors: dict[str, int]) -> int:
    """Read an amount with a unit.

    :param text: such as ``1.5GB``.
    :param unit: name of the smallest unit, for the error.
    :param factors: the smallest units in each unit.
    :returns: the amount in the smallest unit.
    :raises ValueError: if it isn't a whole number of the smallest unit.
    """
    match = _AMOUNT.fullmatch(text)
    if match is None or match[2] not in factors:
        raise ValueError(f'expected a number with one of {", ".join(factors)}')
    amount = decimal.Decimal(match[1]) * factors[match[2]]
    if amount != amount.to_integral_value():
        raise ValueError(f'{text} is not a whole number of {unit}')
    return int(amount)


def memory_mb(text: str) -> int:
    """Read an amount of memory such as ``512MB`` or ``2GB``.

    :param text: the amount with its unit.
    :returns: the amount in MB, 1024 MB to the GB.
    :raises ValueError: if it is no whole number of MB or too large.
    """
    amount = whole(text, 'MB', _MB_BY_UNIT)
    if amount > MAX_MEMORY_MB:
        raise ValueError(f'{text} is more than any worker holds')
    return amount


def duration_ms(text: str) -> int:
    """Read a length of time such as ``90s``, ``10m`` or ``250ms``.

    :param text: the time with its unit.
    :returns: milliseconds.
    :raises ValueError: if it is no whole number of ms or above a year.
    """
    amount = whole(text, 'ms', _MS_BY_UNIT)
    if amount > MAX_DURATION_MS:
        raise ValueError(f'{text} is more than a year')
    return amount


def unix_time(text: str) -> float:
    """Read an RFC 3339 time.

    :param text: such as ``2026-12-05T04:00:00Z``.
    :returns: Unix time in seconds.
    :raises ValueError: if there is no such time.
    """
    try:
        unix_s = datetime.datetime.fromisoformat(text).timestamp()
    except (ValueError, OverflowError) as exc:
        raise ValueError(f'{text} is no time of the calendar') from exc
    if not 0 <= unix_s < MAX_UNIX_S:
        raise ValueError(f'{text} is not between the years 1970 and 9999')
    return unix_s


def number(text: str) -> int | float:
    """Read a number.

    :param text: decimal digits, with a point or exponent for floats.
    :returns: an int if there is neither point nor exponent.
    :raises ValueError: if it is too large for a float.
    """
    if re.fullmatch(r'-?[0-9]+', text):
        return int(text)
    result = float(text)
    if not math.isfinite(result):
        raise ValueError(f'{text} is too large')
    return result


def millicores(text: str) -> int:
    """Read a number of processor cores.

    :param text: such as ``2`` or ``0.5``.
    :returns: thousandths of a core.
    :raises ValueError: if it is no whole number of thousandths.
    """
    amount = decimal.Decimal(text) * MILLICORES_PER_CORE
    if abs(amount) > 10**12 or amount != amount.to_integral_value():
        raise ValueError('cores have at most three decimals')
    return int(amount)


def string(text: str) -> str:
    """Read a quoted string with JSON escapes.

    :param text: the string with its quotes.
    :returns: its value.
    :raises ValueError: if an escape is wrong or can't be sent as UTF-8.
    """
    try:
        value = json.loads(text, strict=False)
        value.encode()
    except ValueError as exc:
        raise ValueError('the string has a wrong escape') from exc
    return str(value)


def check_pattern(pattern: str) -> None:
    """Check a regular expression before it is run on every row.

    Patterns whose time can explode on a long cell would stall the entry, so
    repeated groups are refused and repetitions are limited.

    :param pattern: a regular expression as in the module ``re``.
    :raises ValueError: if it is wrong, too long or too costly.
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
    """Write a quoted string.

    :param text: any text that UTF-8 can hold.
    :returns: the text in quotes, with JSON escapes.
    """
    return json.dumps(text, ensure_ascii=False)


def format_name(text: str, keywords: frozenset[str]) -> str:
    """Write a name, quoted where it could be taken for something else.

    :param text: the name.
    :param keywords: words that are always quoted.
    :returns: text that :func:`citronrail.language.parse` reads as the name.
    """
    if _BARE_NAME.fullmatch(text) and text not in keywords:
        return text
    return format_string(text)


def format_duration(milliseconds: int) -> str:
    """Write a length of time in the largest unit that keeps it whole.

    :param milliseconds: the time.
    :returns: such as ``90s``.
    """
    for unit in ('h', 'm', 's'):
        count, rest = divmod(milliseconds, _MS_BY_UNIT[unit])
        if rest == 0 and count > 1:
            return f'{count}{unit}'
    return f'{milliseconds}ms'


def format_memory(amount_mb: int) -> str:
    """Write an amount of memory in the largest unit that keeps it whole.

    :param amount_mb: the amount in MB.
    :returns: such as ``2GB``.
    """
    count, rest = divmod(amount_mb, _MB_BY_UNIT['GB'])
    return f'{count}GB' if count and not rest else f'{amount_mb}MB'


def format_cores(amount: int) -> str:
    """Write thousandths of a core as cores.

    :param amount: thousandths of a core.
    :returns: such as ``1.5``.
    """
    value = decimal.Decimal(amount) / MILLICORES_PER_CORE
    return f'{value.normalize():f}'


def format_time(unix_s: float) -> str:
    """Write a point of time in UTC as RFC 3339.

    :param unix_s: Unix time in seconds.
    :returns: such as ``2026-12-05T04:00:00Z``.
    """
    time = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return time.isoformat().replace('+00:00', 'Z')
