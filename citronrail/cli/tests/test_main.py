"""Tests of the command-line tool through its main function."""

import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

import pytest
import trio

from citronrail import adapters
from citronrail.cli import _arguments
from citronrail.cli import _main
from citronrail.cli import _output
from citronrail.cli import _prompt
from citronrail.cli import _run
from citronrail import language
from citronrail.language.tests import fakes
from citronrail import observability
from citronrail.observability.catalogue import daemon as events

EXAMPLES = pathlib.Path(__file__).parents[3] / 'docs' / 'examples'
TEAM = 'change team h quota cores 32 memory 100GB'


class _Timelines:
    def own(self):
        observability.emit(events.STOPPED, cause='c-1', node='e0')
        observability.emit(events.STOPPED, node='plan/3#1')
        return observability.snapshot('e0', 'b', 'entry')

    async def fetch(self, node_id):
        return observability.ProcessTimeline(node_id, 'b', 'agent', 5.0)


async def _with_entry(*calls):
    """Run the tool against a real HTTP port; return its exit codes."""
    codes = []
    network = fakes.Network(1)
    observability.use_recorder(observability.Recorder('e0'))
    app = adapters.operators_app(
        network.services['e0'],
        lambda: True,
        _Timelines(),
        lambda: (adapters.Process('w1', 'b', 'agent', 'leon'),),
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run)
        shutdown = trio.Event()
        port = await nursery.start(_serve, app, shutdown)
        for call in calls:
            entry = ['--entry', f'http://127.0.0.1:{port}']
            codes.append(
                await trio.to_thread.run_sync(_main.main, [*entry, *call])
            )
        shutdown.set()
        nursery.cancel_scope.cancel()
    return codes


async def _serve(app, shutdown, task_status=trio.TASK_STATUS_IGNORED):
    await adapters.serve(
        app,
        '127.0.0.1',
        0,
        name='test',
        shutdown=shutdown,
        task_status=task_status,
    )


async def test_commands_and_exit_codes(capsys, tmp_path):
    """Guards the exit code and output for each outcome."""
    script = tmp_path / 'commands.txt'
    script.write_text(
        '# two jobs\nstart job a team h class c;\n'
        'start job b team h class c tasks 2;\nstart job a team h class c;\n'
        'start job d team h class c'
    )
    codes = await _with_entry(
        [TEAM],
        ['--file', str(script)],
        ['show', 'jobs', 'order by job', '--output', 'json'],
        ['--file', str(script), '--keep-going'],
        ['show jobs count by team'],
        ['stop job zzz'],
        ['show tusks'],
        ['status'],
    )
    assert codes == [0, 1, 0, 1, 0, 1, 2, 0]
    captured = capsys.readouterr()
    rows = json.loads(
        next(ln for ln in captured.out.splitlines() if ln.startswith('{'))
    )['rows']
    assert [row[0] for row in rows] == ['a', 'b']
    assert re.search(r'^team +count\nh +3$', captured.out, re.MULTILINE)
    assert 'job exists already' in captured.err
    assert '  show tusks\n       ^\nexpected:' in captured.err
    assert 'data centres' in captured.out


async def test_timeline_and_trace(capsys, tmp_path):
    """Guards the collection from an entry and, through it, its peers."""
    trace = tmp_path / 'trace.json'
    codes = await _with_entry(
        ['timeline', '--cause', 'c-1'],
        ['timeline', '--trace', str(trace)],
        ['timeline', '--cause', 'plan'],
    )
    assert codes == [0, 0, 0]
    out = capsys.readouterr().out
    assert out.count('process plan/3#1 stopped') == 3
    assert 'CR1006 process e0 stopped' in out
    assert '<- c-1' in out
    written = json.loads(trace.read_text())
    assert {e['ph'] for e in written['traceEvents']} >= {'M', 'X', 'b', 'e'}


def test_exit_codes_for_unreachable_entries_and_usage_errors(capsys):
    """Guards the exit codes 2 and 4."""
    assert _main.main(['--entry', 'http://127.0.0.1:9', 'show tasks']) == 4
    assert _main.main(['--entry', 'http://127.0.0.1:9', 'status']) == 4
    for wrong in (
        ['--entry', 'nowhere', 'show tasks'],
        ['--timeout', 'x', 'show tasks'],
        ['--file', '/nonexistent/file'],
        ['--command-id', 'x', 'stop job a; stop job b'],
    ):
        with pytest.raises(SystemExit) as caught:
            _main.main(wrong)
        assert caught.value.code == 2
    with pytest.raises(SystemExit) as caught:
        _main.main(['--help'])
    assert caught.value.code == 0
    assert 'exit status' in capsys.readouterr().out


def test_check_config_and_completion(capsys, tmp_path):
    """Guards the subcommands that don't contact an entry."""
    wrong = tmp_path / 'wrong.json'
    wrong.write_text('{"rol": 1}')
    right = str(EXAMPLES / 'entry.json')
    assert _main.main(['check-config', right]) == 0
    assert _main.main(['check-config', right, str(wrong)]) == 2
    assert _main.main(['completion', 'bash']) == 0
    captured = capsys.readouterr()
    assert 'did you mean `role`' in captured.err
    assert 'complete' in captured.out


@pytest.mark.parametrize(
    ('line', 'expected'),
    [
        ('citronrail ti', ['timeline']),
        ('citronrail --output ', ['table', 'json']),
        ('citronrail timeline --tr', ['--trace']),
    ],
)
def test_shell_completion(line, expected, tmp_path):
    """Guards the structure of the parser that completion relies on."""
    found = tmp_path / 'words'
    subprocess.run(
        [sys.executable, '-m', 'citronrail.cli'],
        cwd=EXAMPLES.parents[1],
        check=False,
        env={
            **os.environ,
            '_ARGCOMPLETE': '1',
            '_ARGCOMPLETE_IFS': ' ',
            '_ARGCOMPLETE_STDOUT_FILENAME': str(found),
            'COMP_LINE': line,
            'COMP_POINT': str(len(line)),
        },
    )
    assert found.read_text().split() == expected


def test_examples_in_the_help_are_valid():
    """Guards against invalid commands in the help text."""
    found = 0
    parser = _arguments.make_parser()
    for line in _arguments.EPILOG.replace('\\\n', ' ').splitlines():
        words = shlex.split(line, comments=True)
        if words[:1] != ['citronrail']:
            continue
        args = parser.parse_args(
            _arguments.with_subcommand(words[1:], _main.SUBCOMMANDS)
        )
        if args.subcommand == 'run' and args.words:
            language.parse(args.words[0])
            found += 1
    assert found >= 4


def test_entries_from_options_take_precedence_over_environment():
    """Guards the selection of the entries for a command."""
    parser = _arguments.make_parser()

    def entries(arguments, value):
        args = parser.parse_args(
            _arguments.with_subcommand(arguments, _main.SUBCOMMANDS)
        )
        environment = {_arguments.ENTRY_VARIABLE: value} if value else {}
        return _arguments.common_options(args, environment).entries

    one, two = 'http://10.0.0.1:1', 'http://10.0.0.2:2'
    assert entries(['show tasks'], '') == (_arguments.DEFAULT_ENTRY,)
    assert entries(['show tasks'], f'{one},{two}/') == (one, two)
    assert entries(['--entry', one, 'status', '--entry', two], two) == (
        one,
        two,
    )
    assert entries([], one) == (one,)


def test_prompt_continues_after_errors(capsys, monkeypatch, tmp_path):
    """Guards against a prompt that exits on an invalid command."""
    monkeypatch.setenv(_prompt.HISTORY_VARIABLE, str(tmp_path / 'history'))
    lines = iter(['show tusks', '', 'help', 'show tasks', 'quit'])
    options = _arguments.CommonOptions(('http://127.0.0.1:9',), 'table', 5.0)
    code = _prompt.run_prompt(
        options, _run.standard_streams(), lambda prompt: next(lines)
    )
    assert code == 4
    captured = capsys.readouterr()
    assert 'expected:' in captured.err
    assert 'start job NAME' in captured.out


def test_table_is_aligned_without_control_characters():
    """Guards against control characters from other processes."""
    text = _output.format_table(
        ('name', 'count', 'started_at', 'ok'),
        (('a\x1b[2J', 10, 0.0, True), ('b', 9, None, False)),
    )
    assert text == (
        'name   count  started_at            ok\n'
        'a\ufffd[2J     10  1970-01-01T00:00:00Z  yes\n'
        'b          9  -                     no\n'
    )
