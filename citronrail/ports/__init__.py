"""Interfaces between the domain and external systems."""

from citronrail.ports.backend_server import BackendRequest
from citronrail.ports.backend_server import BackendResponse
from citronrail.ports.backend_server import BackendServer
from citronrail.ports.key_value_store import Compare
from citronrail.ports.key_value_store import Delete
from citronrail.ports.key_value_store import ItemFilter
from citronrail.ports.key_value_store import KeyValue
from citronrail.ports.key_value_store import KeyValueStore
from citronrail.ports.key_value_store import Listing
from citronrail.ports.key_value_store import Put
from citronrail.ports.key_value_store import TxnResult
from citronrail.ports.key_value_store import WatchEvent
from citronrail.ports.peers import Handler
from citronrail.ports.peers import Listener
from citronrail.ports.peers import Peer
from citronrail.ports.peers import PeerHub
from citronrail.ports.task_worker import LeaseOrder
from citronrail.ports.task_worker import StartResult
from citronrail.ports.task_worker import StartVerdict
from citronrail.ports.task_worker import TaskWorker
from citronrail.ports.task_worker import WorkerList
from citronrail.ports.worker import EndedTask
from citronrail.ports.worker import Worker
from citronrail.ports.worker import WorkerInfo
from citronrail.ports.worker import WorkerTasks

__all__ = [
    'BackendRequest',
    'BackendResponse',
    'BackendServer',
    'Compare',
    'Delete',
    'EndedTask',
    'Handler',
    'ItemFilter',
    'KeyValue',
    'KeyValueStore',
    'LeaseOrder',
    'Listener',
    'Listing',
    'Peer',
    'PeerHub',
    'Put',
    'StartResult',
    'StartVerdict',
    'TaskWorker',
    'TxnResult',
    'WatchEvent',
    'Worker',
    'WorkerInfo',
    'WorkerList',
    'WorkerTasks',
]
