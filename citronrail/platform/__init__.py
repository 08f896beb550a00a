"""Adapter between the users' platform and citronrail.

No other package uses the names of the platform's interfaces. Programs are
started with ``python -m citronrail.platform``.
"""

import typing

from citronrail import _lazy_exports

if typing.TYPE_CHECKING:
    from citronrail.platform._config_report import check_operator_config
    from citronrail.platform._config_report import ConfigReport
    from citronrail.platform._config_report import count_config_fields
    from citronrail.platform._config_report import FileDifference
    from citronrail.platform._config_report import FileFinding
    from citronrail.platform._program import main

__all__ = [
    'ConfigReport',
    'FileDifference',
    'FileFinding',
    'check_operator_config',
    'count_config_fields',
    'main',
]

# The command-line tool uses the check only, processes the program only.
__getattr__ = _lazy_exports.resolver(
    __name__,
    {
        'ConfigReport': '_config_report',
        'FileDifference': '_config_report',
        'FileFinding': '_config_report',
        'check_operator_config': '_config_report',
        'count_config_fields': '_config_report',
        'main': '_program',
    },
)
