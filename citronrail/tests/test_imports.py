"""Tests of import rules: domain modules don't depend on transports."""

import ast
import importlib
import pathlib

import pytest

import citronrail

PACKAGE = pathlib.Path(citronrail.__file__).parent
TRANSPORT_LIBRARIES = {
    'zmq',
    'quart',
    'quart_trio',
    'httpx',
    'hypercorn',
    'werkzeug',
}
# Only these packages may import transports; the others use the ports.
ADAPTER_PACKAGES = {'adapters', 'cli', 'daemon', 'platform'}
DOMAIN_MODULES = sorted(
    path
    for path in PACKAGE.rglob('*.py')
    if path.relative_to(PACKAGE).parts[0] not in ADAPTER_PACKAGES
    and 'tests' not in path.parts
)


def _imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f'{node.module}.{name.name}' for name in node.names)


@pytest.mark.parametrize(
    'path', DOMAIN_MODULES, ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_domain_imports_no_transport(path):
    """Guards against a domain module that depends on a transport library."""
    names = set(_imported_names(path))
    assert not {name.split('.')[0] for name in names} & TRANSPORT_LIBRARIES
    assert not {n for n in names if n.startswith('citronrail.adapters')}


@pytest.mark.parametrize(
    'path',
    sorted(p for p in PACKAGE.rglob('*.py') if 'tests' not in p.parts),
    ids=lambda path: str(path.relative_to(PACKAGE)),
)
def test_private_modules_stay_in_their_package(path):
    """Guards against imports of another package's private modules."""
    package = path.relative_to(PACKAGE).parts[0]
    for name in _imported_names(path):
        parts = name.split('.')
        if parts[0] != 'citronrail' or len(parts) < 3:
            continue
        private = parts[2].startswith('_')
        assert not private or parts[1] == package, name


@pytest.mark.parametrize('package', ['adapters', 'coordination'])
def test_names_imported_on_first_use_exist(package):
    """Guards against a public name whose module was renamed."""
    module = importlib.import_module(f'citronrail.{package}')
    for name in module.__all__:
        assert getattr(module, name) is not None
    with pytest.raises(AttributeError):
        module.no_such_name  # noqa: B018
