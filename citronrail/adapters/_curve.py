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
    """Key files of this process.

    ``own_key`` is a secret key file as written by
    :func:`zmq.auth.create_certificates`. ``allowed_keys`` is a directory with
    one public key file ``<node id>.key`` for every node, entries included.
    """

    own_key: pathlib.Path
    allowed_keys: pathlib.Path


class CurveKeys:
    """The loaded keys.

    :param files: where the keys are.
    :raises citronrail.errors.ConfigError: if a file is missing or malformed.
    """

    def __init__(self, files: CurveFiles) -> None:
        self._directory = files.allowed_keys
        self._public, self._secret = _load(files.own_key)
        if self._secret is None:
            raise errors.ConfigError(
                f'{files.own_key.name} holds no secret key', step=_STEP
            )
        self._nodes: dict[str, str] = {}
        if not files.allowed_keys.is_dir():
            raise errors.ConfigError(
                f'{files.allowed_keys} is no directory', step=_STEP
            )
        for path in sorted(files.allowed_keys.glob('*.key')):
            public, _ = _load(path)
            self._nodes[public.decode()] = path.stem

    def secure_server(self, sock: zmq.Socket[bytes]) -> None:
        """Accept only connections with allowed keys.

        :param sock: a socket that is not bound yet.
        """
        sock.curve_secretkey = self._secret
        sock.curve_publickey = self._public
        sock.curve_server = True

    def secure_client(self, sock: zmq.Socket[bytes], node_id: str) -> None:
        """Connect only to the holder of a node's key.

        :param sock: a socket that is not connected yet.
        :param node_id: node that is expected to answer.
        :raises citronrail.errors.ConfigError: if its key is not allowed.
        """
        for public, owner in self._nodes.items():
            if owner == node_id:
                sock.curve_secretkey = self._secret
                sock.curve_publickey = self._public
                sock.curve_serverkey = public.encode()
                return
        raise errors.ConfigError(
            f'no key file for node {node_id}', step=_STEP, peer=node_id
        )

    def owner(self, public_key: str) -> str:
        """Return the node that a public key belongs to, or ''.

        :param public_key: Z85 text, as the authenticator reports it.
        """
        return self._nodes.get(public_key, '')

    async def authenticate(self, ctx: zmq.Context[zmq.Socket[bytes]]) -> None:
        """Answer libzmq's questions about keys until cancelled.

        :param ctx: context of the sockets.
        """
        authenticator = zmq.auth.Authenticator(ctx)
        authenticator.start()
        try:
            authenticator.configure_curve(domain='*', location=self._directory)
            sock = authenticator.zap_socket
            while True:
                while sock.getsockopt(zmq.EVENTS) & zmq.POLLIN:
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
