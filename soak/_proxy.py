"""A TCP proxy that delays, drops, stalls and resets connections."""

import enum
import socket
import struct

import trio

CHUNK_BYTES = 65_536
# SO_LINGER with a zero timeout: close() sends RST instead of FIN.
LINGER_ZERO = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """How the proxy treats forwarded data."""

    OPEN = 'open'
    DELAYED = 'delayed'
    RESPONSES_LOST = 'answers lost'  # requests pass, responses are dropped
    STALLED = 'silent'


class Proxy:
    """Forwards the connections of one process to one address.

    :param listen: address and port to listen on.
    :param target: address and port to connect to.
    """

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._listen = listen
        self._target = target
        self.mode = Mode.OPEN
        self.delay_s = 0.0
        self._mode_changed = trio.Event()
        self._open_streams: set[trio.SocketStream] = set()

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Set how data is treated from now on."""
        self.mode = mode
        self.delay_s = delay_s
        self._mode_changed.set()
        self._mode_changed = trio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for stream in tuple(self._open_streams):
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
            )
            stream.socket.close()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forward connections until cancelled."""
        host, port = self._listen
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, client: trio.SocketStream) -> None:
        try:
            server = await trio.open_tcp_stream(*self._target)
        except OSError:
            await client.aclose()
            return
        self._open_streams |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server, False, nursery)
                nursery.start_soon(self._copy, server, client, True, nursery)
        finally:
            self._open_streams -= {client, server}
            with trio.move_on_after(0.5, shield=True):
                await trio.aclose_forcefully(client)
                await trio.aclose_forcefully(server)

    async def _copy(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        is_response: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if self.mode is Mode.DELAYED:
                    await trio.sleep(self.delay_s)
                if not await self._wait_until_passable(is_response):
                    continue  # dropped; nothing more passes on this connection
                await destination.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass  # connection closed or reset, by a fault or by a peer
        nursery.cancel_scope.cancel()

    async def _wait_until_passable(self, is_response: bool) -> bool:
        if self.mode is Mode.RESPONSES_LOST and is_response:
            await trio.sleep_forever()
        while self.mode is Mode.STALLED:
            await self._mode_changed.wait()
        return True
