"""Stand-in for the platform's key-value service, for tests and drills."""

from standins.key_value._faults import Faults
from standins.key_value._gateway import make_app
from standins.key_value._memory_store import MemoryStore
from standins.key_value._server import listen
from standins.key_value._server import serve
from standins.key_value._state import MAX_VALUE_BYTES
from standins.key_value._state import StoreState
from standins.key_value._store_link import LinkFault
from standins.key_value._store_link import StoreLink

__all__ = [
    'MAX_VALUE_BYTES',
    'Faults',
    'LinkFault',
    'MemoryStore',
    'StoreLink',
    'StoreState',
    'listen',
    'make_app',
    'serve',
]
