"""Guards the programs that an installation puts on the path."""

import importlib
import pathlib
import tomllib

import pytest

PROJECT = pathlib.Path(__file__).parents[2] / 'pyproject.toml'
SCRIPTS = tomllib.loads(PROJECT.read_text())['project']['scripts']


@pytest.mark.parametrize('name', sorted(SCRIPTS))
def test_program_shows_its_help(name, capsys):
    """Guards against a script that fails to import its function.

    Seen once: citronraild named a function that its package didn't export.
    """
    module, _, function = SCRIPTS[name].partition(':')
    program = getattr(importlib.import_module(module), function)
    with pytest.raises(SystemExit) as exit_info:
        program(['--help'])
    assert exit_info.value.code == 0
    assert f'usage: {name}' in capsys.readouterr().out


def test_wrong_settings_end_the_daemon_with_the_reason(tmp_path, capsys):
    """Guards against a daemon that starts with settings it misreads."""
    path = tmp_path / 'agent.json'
    path.write_text('{"rolle": "agent"}')
    program = importlib.import_module('citronrail.daemon')
    assert program.main(['--config', str(path)]) == 2
    said = capsys.readouterr().err
    assert 'rolle' in said
    assert 'agent.json' in said
