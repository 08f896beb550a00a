"""Tests the signals that reach a program before its components run."""

import subprocess
import sys

import pytest

# Sends SIGHUP to itself as soon as the program begins to import a module.
SCRIPT = """
import os, runpy, signal, sys

module, imported, sys.argv[1:] = sys.argv[1], sys.argv[2], sys.argv[3:]

class Finder:
    def find_spec(self, name, path, target=None):
        if name == imported:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_module(module, run_name='__main__')
"""


@pytest.mark.parametrize(
    ('module', 'imported', 'arguments'),
    [
        pytest.param(
            'citronrail.platform',
            'citronrail.platform._program',
            ['entry', '--config', 'missing'],
            id='platform',
        ),
        pytest.param(
            'citronrail.daemon',
            'citronrail.daemon._main',
            ['--config', 'missing'],
            id='daemon',
        ),
    ],
)
def test_sighup_during_the_start(module, imported, arguments):
    """Guards against a reload that ends a process that is starting.

    With little processor time, the imports take seconds.
    """
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT, module, imported, *arguments],
        capture_output=True,
        timeout=60,
    )
    assert done.returncode == 2, done.stderr
