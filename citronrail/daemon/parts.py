"""Parts of a process that other programs of the package use.

Kept out of the package's own names, so that the operators' tool starts
without the transports.
"""

from citronrail.daemon._application import Application
from citronrail.daemon._ports_of_settings import HttpPort
from citronrail.daemon._ports_of_settings import idle

__all__ = [
    'Application',
    'HttpPort',
    'idle',
]
