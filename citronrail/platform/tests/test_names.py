"""Guards the boundary: the platform's names stand in one folder only."""

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
def test_no_name_of_the_platform_outside_its_folder(path):
    """Guards the product against the wire names of one platform."""
    assert not NAMES.search(path.read_text())
