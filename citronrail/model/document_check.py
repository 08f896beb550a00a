"""Finds all fields of a JSON document that its decoder rejects.

A decoder stops at the first error. A check of a file reports all of them, and
also unknown fields whose names resemble a known one, which a decoder that
ignores unknown fields doesn't notice.
"""

import collections.abc
import dataclasses
import difflib
import re
import typing

import msgspec

from citronrail import errors

_STEP = 'document.check'
_PATH_IN_MESSAGE = re.compile(r' - at `[^`]*`$')


@dataclasses.dataclass(frozen=True)
class FieldProblem:
    """A problem of one field.

    :param field: path such as ``routes[2].name``; '' for the document.
    :param text: the problem.
    :param fatal: whether the decoder rejects the document because of it.
    """

    field: str
    text: str
    fatal: bool = True


def parse_json(data: bytes) -> typing.Any:
    """Parse a JSON document.

    :param data: the document.
    :returns: its value.
    :raises citronrail.errors.ConfigError: if it is not valid JSON.
    """
    try:
        return msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        raise errors.ConfigError(
            f'is not valid JSON: {exc}', step=_STEP
        ) from exc
    except RecursionError as exc:
        raise errors.ConfigError('is nested too deeply', step=_STEP) from exc


def problems(
    value: typing.Any,
    document_type: type[msgspec.Struct],
    *,
    strict: bool,
    path: str = '',
) -> tuple[FieldProblem, ...]:
    """Return the problems of a document.

    :param value: the parsed document.
    :param document_type: type that the decoder decodes it to.
    :param strict: whether the decoder is strict; see :mod:`msgspec`.
    :param path: path of ``value`` in the file.
    """
    if not isinstance(value, dict):
        return (FieldProblem(path, 'is not an object'),)
    fields = msgspec.structs.fields(document_type)
    names = [field.encode_name for field in fields]
    found = list(_unknown_fields(value, document_type, names, path))
    for field in fields:
        field_path = _join(path, field.encode_name)
        if field.encode_name in value:
            found += _value_problems(
                value[field.encode_name], field.type, strict, field_path
            )
        elif field.required:
            found.append(FieldProblem(field_path, 'is missing'))
    return tuple(found)


def _unknown_fields(
    value: dict[str, typing.Any],
    document_type: type[msgspec.Struct],
    names: list[str],
    path: str,
) -> collections.abc.Iterator[FieldProblem]:
    forbidden = document_type.__struct_config__.forbid_unknown_fields
    missing = [name for name in names if name not in value]
    for name in value:
        if name in names:
            continue
        close = _closest(name, missing)
        if forbidden or close:
            hint = f'; did you mean `{close}`?' if close else ''
            yield FieldProblem(
                _join(path, name), f'is unknown{hint}', forbidden
            )


def _closest(name: str, candidates: list[str]) -> str:
    by_folded = {candidate.casefold(): candidate for candidate in candidates}
    found = difflib.get_close_matches(name.casefold(), by_folded, 1)
    return by_folded[found[0]] if found else ''


def _value_problems(
    value: typing.Any, value_type: typing.Any, strict: bool, path: str
) -> collections.abc.Iterator[FieldProblem]:
    if _is_struct(value_type):
        yield from problems(value, value_type, strict=strict, path=path)
        return
    arguments = typing.get_args(value_type)
    if (
        typing.get_origin(value_type) is tuple
        and _is_struct(arguments[0])
        and isinstance(value, list)
    ):
        for index, item in enumerate(value):
            yield from problems(
                item, arguments[0], strict=strict, path=f'{path}[{index}]'
            )
        return
    try:
        msgspec.convert(value, value_type, strict=strict)
    except msgspec.ValidationError as exc:
        text = _PATH_IN_MESSAGE.sub('', str(exc))
        yield FieldProblem(path, text[:1].lower() + text[1:])


def _is_struct(value_type: typing.Any) -> bool:
    return isinstance(value_type, type) and issubclass(
        value_type, msgspec.Struct
    )


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
