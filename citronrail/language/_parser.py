"""Parses commands of the operators' language into immutable nodes."""

import functools
import importlib.resources
import typing

import lark

from citronrail import errors
from citronrail.language import _builder
from citronrail.language import _nodes
from citronrail.language import _parse_helpers

MAX_COMMAND_CHARACTERS = 64 * 1024
MAX_SCRIPT_CHARACTERS = 4 * 1024 * 1024
_STEP = 'language.parse'
_MAX_SHOWN_CHARACTERS = 120
_MAX_SHOWN_TERMINALS = 12

_TERMINAL_DESCRIPTIONS = {
    'NAME': 'a name',
    'STRING': 'a quoted text',
    'NUMBER': 'a number',
    'MEMORY': 'memory such as 512MB or 2GB',
    'DURATION': 'a time such as 90s or 10m',
    'TIME': 'a point of time such as 2026-12-05T04:00:00Z',
    'OPERATOR': 'one of = != < <= > >= ~',
    'DATA_CENTRE': '"data_centre"',
    'BACKEND_SERVERS': '"backend_servers"',
    '$END': 'the end of the command',
}


def parse_script(text: str) -> tuple[_nodes.Command, ...]:
    """Parse any number of commands separated by ``;``.

    :param text: the commands; ``#`` starts a comment.
    :returns: the commands in order.
    :raises citronrail.errors.CommandSyntaxError: if the text is invalid; the
        message shows the line, the position and what was expected.
    """
    if len(text) > MAX_SCRIPT_CHARACTERS:
        raise _error(
            text, 1, 1, f'more than {MAX_SCRIPT_CHARACTERS} characters'
        )
    try:
        commands: typing.Any = _parser().parse(text)
    except _parse_helpers.SemanticError as exc:
        raise _semantic_error(text, exc) from exc
    except lark.exceptions.VisitError as exc:
        if not isinstance(exc.orig_exc, _parse_helpers.SemanticError):
            raise
        raise _semantic_error(text, exc.orig_exc) from exc
    except lark.exceptions.UnexpectedInput as exc:
        raise _unexpected_input(text, exc) from exc
    return typing.cast(tuple[_nodes.Command, ...], commands)


def parse(text: str) -> _nodes.Command:
    """Parse exactly one command.

    :param text: the command, optionally terminated by ``;``.
    :returns: its node.
    :raises citronrail.errors.CommandSyntaxError: if the text is invalid
        or too long, or contains no command or more than one.
    """
    if len(text) > MAX_COMMAND_CHARACTERS:
        raise _error(
            text, 1, 1, f'more than {MAX_COMMAND_CHARACTERS} characters'
        )
    commands = parse_script(text)
    if len(commands) != 1:
        raise _error(text, 1, 1, f'expected one command, got {len(commands)}')
    return commands[0]


@functools.cache
def keywords() -> frozenset[str]:
    """Return the keywords of the language.

    :returns: all literal words of the grammar.
    """
    return frozenset(
        terminal.pattern.value
        for terminal in _parser().terminals
        if isinstance(terminal.pattern, lark.lexer.PatternStr)
        and terminal.pattern.value.isalpha()
    ) | {'data_centre', 'data_centres', 'backend_server', 'backend_servers'}


@functools.cache
def _parser() -> lark.Lark:
    package = importlib.resources.files('citronrail.language')
    return lark.Lark(
        package.joinpath('grammar.lark').read_text(encoding='utf-8'),
        start='script',
        parser='lalr',
        lexer='contextual',
        transformer=_builder.Builder(),
        propagate_positions=False,
        maybe_placeholders=False,
    )


@functools.cache
def _literal_terminals() -> dict[str, str]:
    return {
        terminal.name: f'"{terminal.pattern.value}"'
        for terminal in _parser().terminals
        if isinstance(terminal.pattern, lark.lexer.PatternStr)
    }


def _describe_terminals(names: typing.Iterable[str]) -> tuple[str, ...]:
    literals = _literal_terminals()
    descriptions = {
        _TERMINAL_DESCRIPTIONS.get(name) or literals.get(name, name)
        for name in names
    }
    return tuple(
        sorted(descriptions, key=lambda word: (word.startswith('"'), word))
    )


def _unexpected_input(
    text: str, exc: lark.exceptions.UnexpectedInput
) -> errors.CommandSyntaxError:
    match exc:
        case lark.exceptions.UnexpectedToken(token=token) if (
            token.type == '$END'
        ):
            lines = text.split('\n')
            found, line, column = (
                'the end',
                len(lines),
                len(lines[-1]) + 1,
            )
            allowed = set(exc.accepts or exc.expected)
        case lark.exceptions.UnexpectedToken(token=token):
            found, line, column = f'"{token}"', exc.line, exc.column
            allowed = set(exc.accepts or exc.expected)
        case lark.exceptions.UnexpectedCharacters():
            found, line, column = f'"{exc.char}"', exc.line, exc.column
            allowed = set(exc.allowed or ())
        case _:
            found, line, column, allowed = 'the text', 1, 1, set()
    return _error(
        text, line, column, f'{found} is not understood here', allowed
    )


def _semantic_error(
    text: str, exc: _parse_helpers.SemanticError
) -> errors.CommandSyntaxError:
    line = exc.token.line if exc.token else None
    column = exc.token.column if exc.token else None
    return _error(text, line or 1, column or 1, exc.message)


def _error(
    text: str,
    line: int,
    column: int,
    problem: str,
    allowed: typing.Iterable[str] = (),
) -> errors.CommandSyntaxError:
    expected = _describe_terminals(allowed)
    lines = text.split('\n')
    line_text = lines[line - 1] if line <= len(lines) else ''
    # A long line is cut to a window around the error position.
    offset = max(0, column - _MAX_SHOWN_CHARACTERS // 2)
    shown = line_text[offset : offset + _MAX_SHOWN_CHARACTERS]
    caret = ' ' * (column - 1 - offset) + '^'
    message = (
        f'line {line}, column {column}: {_truncate(problem)}\n'
        f'  {_printable(shown)}\n  {caret}'
    )
    if expected:
        descriptions = ', '.join(expected[:_MAX_SHOWN_TERMINALS])
        ellipsis = ', ...' if len(expected) > _MAX_SHOWN_TERMINALS else ''
        message += f'\nexpected: {descriptions}{ellipsis}'
    return errors.CommandSyntaxError(
        message, step=_STEP, line=line, column=column, expected=expected
    )


def _truncate(text: str) -> str:
    printable = _printable(text)
    if len(printable) <= _MAX_SHOWN_CHARACTERS:
        return printable
    return printable[: _MAX_SHOWN_CHARACTERS - 3] + '...'


def _printable(text: str) -> str:
    return ''.join(char if char.isprintable() else ' ' for char in text)
