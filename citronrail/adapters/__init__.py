"""Port implementations based on specific libraries and protocols."""

import typing

from citronrail import _lazy_exports

if typing.TYPE_CHECKING:
    from citronrail.adapters._agent_app import agent_app
    from citronrail.adapters._agent_app import Announcement
    from citronrail.adapters._caller_app import caller_app
    from citronrail.adapters._curve import CurveFiles
    from citronrail.adapters._etcd_store import EtcdStore
    from citronrail.adapters._http_backend_server import HttpBackendServer
    from citronrail.adapters._http_servers import AsgiApp
    from citronrail.adapters._http_servers import serve
    from citronrail.adapters._http_worker import HttpWorker
    from citronrail.adapters._operators_server import CommandRequest
    from citronrail.adapters._operators_server import connected_processes
    from citronrail.adapters._operators_server import operators_app
    from citronrail.adapters._operators_server import Process
    from citronrail.adapters._zmq_peers import ZmqPeerHub
    from citronrail.adapters._zmq_sockets import PeerLimits

__all__ = [
    'Announcement',
    'AsgiApp',
    'CommandRequest',
    'CurveFiles',
    'EtcdStore',
    'HttpBackendServer',
    'HttpWorker',
    'PeerLimits',
    'Process',
    'ZmqPeerHub',
    'agent_app',
    'caller_app',
    'connected_processes',
    'operators_app',
    'serve',
]

__getattr__ = _lazy_exports.resolver(
    __name__,
    {
        'agent_app': '_agent_app',
        'Announcement': '_agent_app',
        'caller_app': '_caller_app',
        'CurveFiles': '_curve',
        'EtcdStore': '_etcd_store',
        'HttpBackendServer': '_http_backend_server',
        'AsgiApp': '_http_servers',
        'serve': '_http_servers',
        'HttpWorker': '_http_worker',
        'CommandRequest': '_operators_server',
        'connected_processes': '_operators_server',
        'operators_app': '_operators_server',
        'Process': '_operators_server',
        'ZmqPeerHub': '_zmq_peers',
        'PeerLimits': '_zmq_sockets',
    },
)
