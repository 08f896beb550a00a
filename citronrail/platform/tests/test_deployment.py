"""Guards the deploy file against deviating from the tested code."""

import pathlib
import tomllib

from citronrail.platform import _program
from citronrail.platform import _roles

ROOT = pathlib.Path(__file__).parents[3]
DEPLOY = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())


def _pins(name: str) -> set[str]:
    return {
        line.lower() for line in (ROOT / name).read_text().splitlines() if line
    }


def test_deployed_versions_are_the_tested_ones():
    """Guards against deploying a library version that is not tested."""
    assert _pins('deploy/requirements.txt') <= _pins('constraints.txt')


def test_roles_are_those_of_the_program():
    """Guards against a deploy file that names unknown programs."""
    runs = {role['run'] for role in DEPLOY['roles'].values()}
    assert runs == {
        f'python3 -m citronrail.platform {role}' for role in _program.ROLES
    }


def test_metrics_port_is_the_deployed_one():
    """Guards against metrics on another port than the deployed one."""
    for role in DEPLOY['roles'].values():
        assert role['metrics'] == f'{_roles.METRICS_PORT}/metrics'
