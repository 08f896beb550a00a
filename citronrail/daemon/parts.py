"""Process components that other programs of the package use.

Not exported by the package itself, so that the operators' tool starts
without importing the transports.
"""

from citronrail.daemon._application import Application
from citronrail.daemon._components import HttpPort
from citronrail.daemon._components import idle
from citronrail.daemon._loop_monitor import monitor_loop

__all__ = [
    'Application',
    'HttpPort',
    'idle',
    'monitor_loop',
]
