"""Entry point of the program ``citronrail``."""

import argparse
import collections.abc
import os
import pathlib
import sys

import argcomplete
from argcomplete import shell_integration
import trio

from citronrail.cli import _arguments
from citronrail.cli import _check_config
from citronrail.cli import _exit_codes
from citronrail.cli import _explain
from citronrail.cli import _prompt
from citronrail.cli import _run
from citronrail.cli import _status
from citronrail.cli import _timeline_command
from citronrail import errors

SUBCOMMANDS = frozenset(
    {
        _arguments.RUN,
        _arguments.PROMPT,
        'status',
        'timeline',
        'check-config',
        'completion',
        'explain',
    }
)
EXIT_INTERRUPTED = 130


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run the command-line tool.

    :param argv: arguments without the program name; None for those of the
        process.
    :returns: the exit status; see :mod:`_exit_codes`.
    """
    parser = _arguments.make_parser()
    argcomplete.autocomplete(parser)
    arguments = sys.argv[1:] if argv is None else argv
    try:
        args = parser.parse_args(
            _arguments.with_subcommand(arguments, SUBCOMMANDS)
        )
        return int(_dispatch(parser, args, _run.standard_streams()))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of the output, such as "head", closed the pipe early.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(_exit_codes.ExitCode.DONE)


def _dispatch(
    parser: argparse.ArgumentParser,
    args: argparse.Namespace,
    streams: _run.Streams,
) -> _exit_codes.ExitCode | _exit_codes.CheckExitCode:
    match args.subcommand:
        case 'check-config':
            return _check_config.check_config(
                args.files,
                streams,
                against=args.against,
                output_format=args.output,
            )
        case 'explain':
            return _explain_id(parser, args, streams)
        case 'completion':
            streams.stdout.write(
                shell_integration.shellcode(['citronrail'], shell=args.shell)
            )
            return _exit_codes.ExitCode.DONE
    try:
        options = _arguments.common_options(args, os.environ)
    except argparse.ArgumentTypeError as exc:
        parser.error(f'{_arguments.ENTRY_VARIABLE}: {exc}')
    match args.subcommand:
        case 'status':
            return trio.run(_status.show_status, options, streams)
        case 'timeline':
            return _run_timeline(args, options, streams)
        case _arguments.PROMPT:
            return _prompt.run_prompt(options, streams)
    return _run_commands(parser, args, options, streams)


def _explain_id(
    parser: argparse.ArgumentParser,
    args: argparse.Namespace,
    streams: _run.Streams,
) -> _exit_codes.ExitCode:
    try:
        logs = [_read_text(path).splitlines() for path in args.logs or ['-']]
    except (OSError, UnicodeDecodeError) as exc:
        parser.error(str(exc))
    return _explain.explain(args.id, logs, streams)


def _run_timeline(
    args: argparse.Namespace,
    options: _arguments.CommonOptions,
    streams: _run.Streams,
) -> _exit_codes.ExitCode:
    async def show() -> _exit_codes.ExitCode:
        return await _timeline_command.show_timeline(
            options,
            streams,
            processes=args.process,
            cause=args.cause,
            last_s=args.last,
            trace=args.trace,
        )

    return trio.run(show)


def _run_commands(
    parser: argparse.ArgumentParser,
    args: argparse.Namespace,
    options: _arguments.CommonOptions,
    streams: _run.Streams,
) -> _exit_codes.ExitCode:
    if args.file and args.words:
        parser.error('give either a command or --file')
    try:
        text = _read_text(args.file) if args.file else ' '.join(args.words)
    except (OSError, UnicodeDecodeError) as exc:
        parser.error(f'{args.file}: {exc}')
    try:
        commands = _run.read_commands(text)
    except errors.CommandSyntaxError as exc:
        return _run.print_syntax_error(exc, streams)
    if args.command_id and len(commands) != 1:
        parser.error('--command-id requires exactly one command')

    async def run() -> _exit_codes.ExitCode:
        return await _run.run_commands(
            commands,
            options,
            streams,
            keep_going=args.keep_going,
            command_id=args.command_id,
        )

    return trio.run(run)


def _read_text(path: str) -> str:
    if path == '-':
        return sys.stdin.read()
    return pathlib.Path(path).read_text(encoding='utf-8')
