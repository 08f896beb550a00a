"""Guards the page of proofs against tests and drills that don't exist."""

import pathlib
import re

import pytest

from drills import _points

DOCS = pathlib.Path(__file__).parents[1]
PAGE = (DOCS / 'PROOFS.md').read_text(encoding='utf-8')
ROOT = DOCS.parent


def _defined():
    paths = [
        path
        for folder in ('citronrail', 'standins', 'drills', 'measure', 'soak')
        for path in (ROOT / folder).rglob('test_*.py')
    ]
    text = '\n'.join(path.read_text(encoding='utf-8') for path in paths)
    return set(re.findall(r'def (test_\w+)', text))


def test_named_tests_exist():
    """Guards against a proof by a test that was renamed or removed."""
    named = set(re.findall(r'`(test_\w+)`', PAGE))
    assert named
    assert named <= _defined(), named - _defined()


@pytest.mark.parametrize('point', [p.name for p in _points.POINTS])
def test_each_point_is_described(point):
    """Guards against a drill that the page doesn't mention."""
    assert f'`{point}`' in PAGE
