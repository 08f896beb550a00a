"""Public names of a package that are imported on first use.

Some programs use one part of a package only. Importing the other parts costs
them processor time at each start, and memory for as long as they run.
"""

import collections.abc
import importlib
import typing


def resolver(
    package: str, modules: collections.abc.Mapping[str, str]
) -> collections.abc.Callable[[str], typing.Any]:
    """Return a module-level ``__getattr__`` for a package.

    :param package: name of the package.
    :param modules: private module of each public name.
    :returns: a function that imports the module of a name; it raises
        :exc:`AttributeError` for other names.
    """

    def resolve(name: str) -> typing.Any:
        if name not in modules:
            raise AttributeError(
                f'module {package!r} has no attribute {name!r}'
            )
        module = importlib.import_module(f'{package}.{modules[name]}')
        return getattr(module, name)

    return resolve
