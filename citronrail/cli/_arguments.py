"""Arguments of the command-line tool."""

import argparse
import collections.abc
import dataclasses
import re

from citronrail.cli import _exit_codes

ENTRY_VARIABLE = 'CITRONRAIL_ENTRY'
DEFAULT_ENTRY = 'http://127.0.0.1:8090'
DEFAULT_TIMEOUT_S = 15.0
MAX_TIMEOUT_S = 600.0
RUN = 'run'
PROMPT = 'prompt'
_URL = re.compile(r'https?://[A-Za-z0-9.\-\[\]:]+:\d{1,5}/?')
_TAKE_VALUE = ('--entry', '--output', '--timeout')

EPILOG = f"""\
examples:
  citronrail 'show workers'
  citronrail 'show tasks where state = running count by worker'
  citronrail 'start job orders-0412 team harrowfield class orders \\
      tasks 40 cores 1 memory 512MB run time 90s'
  citronrail 'drain data_centre leicester'
  citronrail --file commands.txt
  citronrail                              # asks for commands
  citronrail status
  citronrail timeline --trace trace.json  # open it in a trace viewer
  citronrail check-config entry.json
  citronrail explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
  eval "$(citronrail completion bash)"

{ENTRY_VARIABLE} names the entries, separated by commas, if --entry is not \
given.

{_exit_codes.EXPLANATION}
"""


@dataclasses.dataclass(frozen=True)
class Common:
    """Options that every subcommand has.

    ``timeout_s`` bounds each command, all tries included.
    """

    entries: tuple[str, ...]
    output: str
    timeout_s: float


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the whole tool.

    :returns: a parser whose subcommand ``run`` is meant when the first word
        is no subcommand; see :func:`with_subcommand`.
    """
    parser = argparse.ArgumentParser(
        prog='citronrail',
        usage='citronrail [options] [COMMAND | SUBCOMMAND ...]',
        description='Asks and changes a citronrail scheduler: the state of '
        'tasks, jobs, services and workers, and its configuration.',
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common(parser, top=True)
    subcommands = parser.add_subparsers(dest='subcommand', metavar='')
    _add_run(subcommands)
    _add_others(subcommands)
    return parser


def with_subcommand(
    arguments: collections.abc.Sequence[str], known: frozenset[str]
) -> list[str]:
    """Insert the subcommand that is meant when none is given.

    :param arguments: arguments without the program's name.
    :param known: names of the subcommands.
    :returns: arguments with a subcommand.
    """
    position = 0
    while position < len(arguments):
        word = arguments[position]
        if word in _TAKE_VALUE:
            position += 2
            continue
        if word in ('-h', '--help'):
            return list(arguments)
        if not word.startswith('-') or word in _RUN_OPTIONS:
            break
        if word.split('=')[0] in _RUN_OPTIONS:
            break
        position += 1
    before, after = arguments[:position], arguments[position:]
    if not after:
        return [*before, PROMPT]
    if after[0] in known:
        return list(arguments)
    return [*before, RUN, *after]


_RUN_OPTIONS = ('--file', '-f', '--keep-going', '--command-id')
_Subcommands = argparse._SubParsersAction  # the only name that it has


def _add_common(parser: argparse.ArgumentParser, *, top: bool) -> None:
    def default(value: object) -> object:
        # A subcommand must not overwrite what was given before its name.
        return value if top else argparse.SUPPRESS

    parser.add_argument(
        '--entry',
        action='append',
        dest='entries' if top else 'later_entries',
        type=_url,
        metavar='URL',
        default=default(None),
        help='operators\' port of an entry, such as http://10.20.0.5:8090; '
        'give several to survive the loss of one',
    )
    parser.add_argument(
        '--output',
        choices=('table', 'json'),
        default=default('table'),
        help='how to print results (default: table)',
    )
    parser.add_argument(
        '--timeout',
        type=_seconds,
        metavar='SECONDS',
        default=default(DEFAULT_TIMEOUT_S),
        help='longest time for a command, all tries included '
        f'(default: {DEFAULT_TIMEOUT_S:g})',
    )


def _add_run(
    subcommands: '_Subcommands[argparse.ArgumentParser]',
) -> None:
    run = subcommands.add_parser(
        RUN,
        help='run a command; meant when the first word is no subcommand',
        epilog=_exit_codes.EXPLANATION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common(run, top=False)
    run.add_argument(
        'words', nargs='*', metavar='COMMAND', help='best put in quotes'
    )
    run.add_argument(
        '-f',
        '--file',
        metavar='FILE',
        help='run the commands of a file, separated by ";"; "-" reads '
        'standard input',
    )
    run.add_argument(
        '--keep-going',
        action='store_true',
        help='go on after a command that was not done',
    )
    run.add_argument(
        '--command-id',
        metavar='ID',
        help='repeat a single command whose outcome is unknown; it is not '
        'carried out a second time',
    )
    prompt = subcommands.add_parser(PROMPT, help='ask for commands')
    _add_common(prompt, top=False)


def _add_others(
    subcommands: '_Subcommands[argparse.ArgumentParser]',
) -> None:
    status = subcommands.add_parser(
        'status', help='show the entries, workers and data centres at a glance'
    )
    _add_common(status, top=False)
    timeline = subcommands.add_parser(
        'timeline', help='collect the events of all processes'
    )
    _add_common(timeline, top=False)
    timeline.add_argument(
        '--process',
        action='append',
        type=_url,
        metavar='URL',
        default=[],
        help='also ask this process for /timeline directly',
    )
    timeline.add_argument(
        '--cause',
        metavar='ID',
        help='only events of this request, task, job, command or event, and '
        'what they led to',
    )
    timeline.add_argument(
        '--last',
        type=_seconds,
        metavar='SECONDS',
        help='only events of the last seconds',
    )
    timeline.add_argument(
        '--trace',
        metavar='FILE',
        help='write trace-event JSON, for Chrome\'s trace viewer or Perfetto',
    )
    check = subcommands.add_parser(
        'check-config', help='check the settings file of a process'
    )
    check.add_argument('files', nargs='+', metavar='FILE')
    explain = subcommands.add_parser(
        'explain', help='tell from log files what became of a job or task'
    )
    explain.add_argument('id', metavar='ID', help='job id or task name')
    explain.add_argument(
        'logs',
        nargs='*',
        metavar='FILE',
        help='log files of the processes; "-" or none reads standard input',
    )
    completion = subcommands.add_parser(
        'completion', help='print the completion script of a shell'
    )
    completion.add_argument('shell', choices=('bash', 'zsh', 'fish'))


def common(
    args: argparse.Namespace, environment: collections.abc.Mapping[str, str]
) -> Common:
    """Return the options that every subcommand has.

    :param args: parsed arguments.
    :param environment: environment variables.
    :returns: the options; entries come from the arguments, else from the
        environment, else from the default.
    :raises argparse.ArgumentTypeError: if the environment names no URL.
    """
    given = [*(args.entries or ()), *getattr(args, 'later_entries', ())]
    if not given:
        named = environment.get(ENTRY_VARIABLE, '').replace(',', ' ')
        given = [_url(word) for word in named.split()]
    unique = tuple(dict.fromkeys(given or [DEFAULT_ENTRY]))
    return Common(unique, args.output, args.timeout)


def _url(text: str) -> str:
    if not _URL.fullmatch(text):
        raise argparse.ArgumentTypeError(
            f'{text!r} is not of the form http://IP:PORT'
        )
    return text.rstrip('/')


def _seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value <= MAX_TIMEOUT_S:
        raise argparse.ArgumentTypeError(
            f'{text!r} is not a number of seconds up to {MAX_TIMEOUT_S:g}'
        )
    return value
