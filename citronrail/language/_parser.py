"""Reads commands of the operators' language into frozen nodes."""

import functools
import importlib.resources
import typing

import lark

from citronrail import errors
from citronrail.language import _builder
from citronrail.language import _nodes

MAX_COMMAND_CHARACTERS = 64 * 1024
MAX_SCRIPT_CHARACTERS = 4 * 1024 * 1024
_STEP = 'language.parse'
_SHOWN_LINE_CHARACTERS = 120
_MAX_EXPECTED_WORDS = 12

_WORDS = {
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
    """Read any number of commands separated by ``;``.

    :param text: the commands; ``#`` starts a comment.
    :returns: the commands in order.
    :raises citronrail.errors.CommandSyntaxError: if the text is wrong; the
        message shows the line, the place and what was expected.
    """
    if len(text) > MAX_SCRIPT_CHARACTERS:
        raise _error(
            text, 1, 1, f'more than {MAX_SCRIPT_CHARACTERS} characters'
        )
    try:
        tree: typing.Any = _parser().parse(text)
    except _builder.Misplaced as exc:
        raise _misplaced(text, exc) from exc
    except lark.exceptions.VisitError as exc:
        if not isinstance(exc.orig_exc, _builder.Misplaced):
            raise
        raise _misplaced(text, exc.orig_exc) from exc
    except lark.exceptions.UnexpectedInput as exc:
        raise _unexpected(text, exc) from exc
    return typing.cast(tuple[_nodes.Command, ...], tree)


def parse(text: str) -> _nodes.Command:
    """Read exactly one command.

    :param text: the command; one ``;`` may end it.
    :returns: its node.
    :raises citronrail.errors.CommandSyntaxError: if the text is wrong, too
        long, or holds no command or several.
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
    """Return the words that have a meaning of their own.

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
    source = importlib.resources.files('citronrail.language')
    return lark.Lark(
        source.joinpath('grammar.lark').read_text(encoding='utf-8'),
        start='script',
        parser='lalr',
        lexer='contextual',
        transformer=_builder.Builder(),
        propagate_positions=False,
        maybe_placeholders=False,
    )


@functools.cache
def _literal_words() -> dict[str, str]:
    return {
        terminal.name: f'"{terminal.pattern.value}"'
        for terminal in _parser().terminals
        if isinstance(terminal.pattern, lark.lexer.PatternStr)
    }


def _describe(names: typing.Iterable[str]) -> tuple[str, ...]:
    literals = _literal_words()
    words = {_WORDS.get(name) or literals.get(name, name) for name in names}
    return tuple(sorted(words, key=lambda word: (word.startswith('"'), word)))


def _unexpected(
    text: str, exc: lark.exceptions.UnexpectedInput
) -> errors.CommandSyntaxError:
    match exc:
        case lark.exceptions.UnexpectedToken(token=token) if (
            token.type == '$END'
        ):
            lines = text.split('\n')
            found, line, column = 'the end', len(lines), len(lines[-1]) + 1
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


def _misplaced(
    text: str, exc: _builder.Misplaced
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
    expected = _describe(allowed)
    lines = text.split('\n')
    source = lines[line - 1] if line <= len(lines) else ''
    # A window around the place keeps the caret on the screen.
    skipped = max(0, column - _SHOWN_LINE_CHARACTERS // 2)
    shown = source[skipped : skipped + _SHOWN_LINE_CHARACTERS]
    caret = ' ' * (column - 1 - skipped) + '^'
    message = (
        f'line {line}, column {column}: {_short(problem)}\n'
        f'  {_printable(shown)}\n  {caret}'
    )
    if expected:
        words = ', '.join(expected[:_MAX_EXPECTED_WORDS])
        more = ', ...' if len(expected) > _MAX_EXPECTED_WORDS else ''
        message += f'\nexpected: {words}{more}'
    return errors.CommandSyntaxError(
        message, step=_STEP, line=line, column=column, expected=expected
    )


def _short(text: str) -> str:
    printable = _printable(text)
    if len(printable) <= _SHOWN_LINE_CHARACTERS:
        return printable
    return printable[: _SHOWN_LINE_CHARACTERS - 3] + '...'


def _printable(text: str) -> str:
    return ''.join(char if char.isprintable() else ' ' for char in text)
