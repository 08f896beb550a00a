"""Guards the boundary: only one package uses the platform's names."""

import pathlib
import re

import pytest

import citronrail

PACKAGE = pathlib.Path(citronrail.__file__).parent
NAMES = re.compile(
    r'kv-(txn|key|range|watch|lease|keep)|/run-st|/hold\b|/advise|/pace\b'
    r'|Instances\.|Target-Instance|Duty-Holder|Fencing-Token|Deadline-Ms'
    r'|ackCursor|fencingToken|lastCheckpoint|savesProgress|antiAffinity'
    r'|mayMiss|expectedRev|internalPortRange|op/config|op/evacuate'
    r'|CITRONRAIL_CONFIG'
)


@pytest.mark.parametrize(
    'path',
    sorted(
        path
        for path in PACKAGE.rglob('*.py')
        if path.relative_to(PACKAGE).parts[0] != 'platform'
        and 'tests' not in path.parts
    ),
    ids=lambda path: str(path.relative_to(PACKAGE)),
)
def test_platform_names_are_used_in_one_package_only(path):
    """Guards against a dependency on the wire names of one platform."""
    assert not NAMES.search(path.read_text())
