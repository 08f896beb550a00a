"""Process components that other programs of the package use.

Not exported by the package itself, so that the operators' tool starts
without importing the transports.
"""

from citronrail.daemon._application import Application
from citronrail.daemon._components import HttpPort
from citronrail.daemon._components import idle

__all__ = [
    'Application',
    'HttpPort',
    'idle',
]
