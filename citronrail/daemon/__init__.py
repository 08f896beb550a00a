"""The daemon: process settings, process life cycle and roles."""

from citronrail.daemon._process_settings import Addresses
from citronrail.daemon._process_settings import KeyFiles
from citronrail.daemon._process_settings import Limits
from citronrail.daemon._process_settings import LogSettings
from citronrail.daemon._process_settings import ProcessSettings
from citronrail.daemon._process_settings import StoreSettings
from citronrail.daemon._process_settings import Times
from citronrail.daemon._program import main
from citronrail.daemon._settings_file import decode
from citronrail.daemon._settings_file import load

__all__ = [
    'Addresses',
    'KeyFiles',
    'Limits',
    'LogSettings',
    'ProcessSettings',
    'StoreSettings',
    'Times',
    'decode',
    'load',
    'main',
]
