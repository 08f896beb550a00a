"""Encryption and authentication of peer connections with CURVE."""

import dataclasses
import pathlib

import trio
import zmq
import zmq.auth

from citronrail import errors

_STEP = 'peers.keys'


@dataclasses.dataclass(frozen=True)
class CurveFiles:
    """Key files, as written by :func:`zmq.auth.create_certificates`.

    ``own_key`` is this process's secret key file. ``server_key`` is the key
    of the entries' peer ports: the secret key file at an entry, the public
    one at an agent. ``allowed_keys`` is a directory with one public key file
    ``<node id>.key`` for every node that may connect.
    """

    own_key: pathlib.Path
    server_key: pathlib.Path
    allowed_keys: pathlib.Path


class CurveKeys:
    """Loaded CURVE keys.

    :param files: paths of the key files.
    :raises citronrail.errors.ConfigError: if a file is missing or malformed.
    """

    def __init__(self, files: CurveFiles) -> None:
        self._directory = files.allowed_keys
        self._own_public, self._own_secret = _load(files.own_key)
        self._server_public, self._server_secret = _load(files.server_key)
        if self._own_secret is None:
            raise errors.ConfigError(
                f'{files.own_key.name} contains no secret key', step=_STEP
            )
        if not files.allowed_keys.is_dir():
            raise errors.ConfigError(
                f'{files.allowed_keys} is not a directory', step=_STEP
            )
        self._nodes = {
            _load(path)[0].decode(): path.stem
            for path in sorted(files.allowed_keys.glob('*.key'))
        }

    def secure_server(self, sock: zmq.Socket[bytes]) -> None:
        """Accept only connections with allowed keys.

        :param sock: a socket that has not been bound.
        :raises citronrail.errors.ConfigError: without the secret server key.
        """
        if self._server_secret is None:
            raise errors.ConfigError(
                'the server key file contains no secret key', step=_STEP
            )
        sock.curve_secretkey = self._server_secret
        sock.curve_publickey = self._server_public
        sock.curve_server = True
        sock.setsockopt(zmq.ZAP_DOMAIN, b'citronrail')
        sock.setsockopt(zmq.ZAP_ENFORCE_DOMAIN, 1)

    def secure_client(self, sock: zmq.Socket[bytes]) -> None:
        """Connect only to the holder of the server key.

        :param sock: a socket that has not been connected.
        """
        sock.curve_secretkey = self._own_secret
        sock.curve_publickey = self._own_public
        sock.curve_serverkey = self._server_public

    def owner(self, public_key: str) -> str:
        """Return the node that a public key belongs to, or ''.

        :param public_key: Z85 text, as the authenticator reports it.
        """
        return self._nodes.get(public_key, '')

    async def authenticate(
        self,
        ctx: zmq.Context[zmq.Socket[bytes]],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Handle libzmq's ZAP authentication requests until cancelled.

        :param ctx: context of the sockets.
        :param task_status: started once requests are handled; before that,
            libzmq would accept any key.
        """
        authenticator = zmq.auth.Authenticator(ctx)
        authenticator.start()
        try:
            authenticator.configure_curve(
                domain='citronrail', location=self._directory
            )
            sock = authenticator.zap_socket
            task_status.started()
            while True:
                while int(sock.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                    await authenticator.handle_zap_message(
                        sock.recv_multipart()
                    )
                await trio.lowlevel.wait_readable(sock.FD)
        finally:
            authenticator.stop()


def _load(path: pathlib.Path) -> tuple[bytes, bytes | None]:
    try:
        return zmq.auth.load_certificate(path)
    except (OSError, ValueError) as exc:
        raise errors.ConfigError(
            f'cannot read key file {path.name}: {exc}', step=_STEP
        ) from exc
