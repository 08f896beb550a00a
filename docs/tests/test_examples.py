"""Guards the example programs of docs/EMBEDDING.md."""

import pathlib
import re
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = sorted((ROOT / 'docs' / 'examples').glob('*.py'))
EXPECTED = {
    'at_most_once': [
        'first: granted',
        'while it runs: in progress',
        'afterwards: done',
        'after a handover: done',
        'after a crash: unknown',
    ],
    'capacity_ledger': [
        'before it is rebuilt: the ledger is not rebuilt yet',
        'overfull: True',
    ],
    'fenced_lease': ['held with token 1', 'write accepted: True'],
    'group_commit': ['orders: 50'],
    'range_ownership': ['owner of the key: entry-1', 'after draining: 0'],
    'settings': [
        'command-1 made version 1',
        'command-2 lost to command-1',
        'in service: False',
    ],
}


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.stem)
def test_example_runs(path):
    """Guards against an example that no longer works."""
    done = subprocess.run(
        [sys.executable, str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
        env={'PYTHONPATH': str(ROOT)},
    )
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    for expected in EXPECTED[path.stem]:
        assert expected in lines


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.stem)
def test_example_uses_public_names(path):
    """Guards embedders against examples that rest on private modules."""
    text = path.read_text()
    assert not re.search(r'(import|from)\s.*(\._|\s_)\w', text)
    page = (ROOT / 'docs' / 'EMBEDDING.md').read_text()
    assert f'examples/{path.name}' in page
