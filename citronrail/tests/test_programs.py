"""Tests of the console scripts declared in ``pyproject.toml``."""

import importlib
import pathlib
import tomllib

import pytest

PYPROJECT = pathlib.Path(__file__).parents[2] / 'pyproject.toml'
SCRIPTS = tomllib.loads(PYPROJECT.read_text())['project']['scripts']


@pytest.mark.parametrize('name', sorted(SCRIPTS))
def test_program_shows_its_help(name, capsys):
    """Guards against a script whose entry point can't be imported.

    citronraild once named a function that its package didn't export.
    """
    module, _, function = SCRIPTS[name].partition(':')
    program = getattr(importlib.import_module(module), function)
    with pytest.raises(SystemExit) as exit_info:
        program(['--help'])
    assert exit_info.value.code == 0
    assert f'usage: {name}' in capsys.readouterr().out


def test_daemon_rejects_unknown_settings_field(tmp_path, capsys):
    """Guards against a daemon that starts with an unknown settings field."""
    path = tmp_path / 'agent.json'
    path.write_text('{"rolle": "agent"}')
    program = importlib.import_module('citronrail.daemon')
    assert program.main(['--config', str(path)]) == 2
    stderr = capsys.readouterr().err
    assert 'rolle' in stderr
    assert 'agent.json' in stderr
