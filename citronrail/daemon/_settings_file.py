"""Reads the settings of a process and reports errors in them."""

import difflib
import pathlib
import re
import typing

import msgspec

from citronrail.daemon import _process_settings
from citronrail import errors

MAX_FILE_BYTES = 1024 * 1024
_STEP = 'settings.load'
_UNKNOWN = re.compile(r'Object contains unknown field `(.*?)`(.*)', re.DOTALL)
_UNITS = {
    '_s': 'seconds',
    '_ms': 'milliseconds',
    '_mb': 'MB',
    '_kb': 'KB',
    '_per_s': 'a second',
}


def load(path: str | pathlib.Path) -> _process_settings.ProcessSettings:
    """Read the settings of a process.

    :param path: a JSON file.
    :returns: the validated settings.
    :raises citronrail.errors.ConfigError: if the file cannot be read or is
        invalid; the message contains the file name, the JSON path and the
        allowed values.
    """
    try:
        with open(path, 'rb') as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        raise errors.ConfigError(
            f'{path}: cannot be read: {exc.strerror or exc}', step=_STEP
        ) from exc
    if len(data) > MAX_FILE_BYTES:
        raise errors.ConfigError(
            f'{path}: is larger than {MAX_FILE_BYTES} bytes', step=_STEP
        )
    return decode(data, str(path))


def decode(
    data: bytes, name: str = 'settings'
) -> _process_settings.ProcessSettings:
    """Decode the settings of a process.

    :param data: JSON.
    :param name: name of the file, for error messages.
    :returns: the validated settings.
    :raises citronrail.errors.ConfigError: as for :func:`load`.
    """
    try:
        return msgspec.json.decode(
            data, type=_process_settings.ProcessSettings
        )
    except msgspec.ValidationError as exc:
        problem = _format_problem(str(exc))
    except msgspec.DecodeError as exc:
        problem = f'is not valid JSON: {exc}'
    except UnicodeDecodeError as exc:
        problem = f'is not UTF-8: {exc}'
    except RecursionError:
        problem = 'is nested too deeply'
    raise errors.ConfigError(f'{name}: {problem}', step=_STEP)


def _format_problem(problem: str) -> str:
    """Add the path and the allowed names to a decoder message."""
    match = _UNKNOWN.fullmatch(problem)
    if match is None:
        return problem if ' at `$' in problem else f'{problem} - at `$`'
    path = re.search(r'at `(\$.*)`', match[2])
    where = path[1] if path else '$'
    allowed = _allowed_names(where)
    return (
        f'unknown name `{match[1]}` - at `{where}`'
        f'{_suggestion(match[1], allowed)}; allowed: {", ".join(allowed)}'
    )


def _allowed_names(path: str) -> tuple[str, ...]:
    """Return the names allowed at a JSON path such as ``$.times``."""
    kind: typing.Any = _process_settings.ProcessSettings
    for name in path.split('.')[1:]:
        hints = typing.get_type_hints(kind)
        kind = hints.get(name, kind)
        for option in typing.get_args(kind):
            if hasattr(option, '__struct_fields__'):
                kind = option
    return tuple(getattr(kind, '__struct_fields__', ()))


def _suggestion(name: str, allowed: tuple[str, ...]) -> str:
    stem = _stem(name)
    same = [option for option in allowed if _stem(option) == stem]
    close = same or difflib.get_close_matches(name[:100], allowed, n=1)
    if not close:
        return ''
    unit = next((_UNITS[end] for end in _UNITS if close[0].endswith(end)), '')
    return f'; did you mean `{close[0]}`{f" ({unit})" if unit else ""}?'


def _stem(name: str) -> str:
    for end in (*_UNITS, '_us', '_gb', '_min', '_h', '_bytes', '_seconds'):
        if name.endswith(end):
            return name.removesuffix(end)
    return name
