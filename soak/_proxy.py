"""A TCP proxy that delays, cuts, silences and resets connections."""

import enum
import socket
import struct

import trio

CHUNK = 65_536
# Lets the kernel send a reset in place of an orderly end.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Path(enum.Enum):
    """What becomes of bytes."""

    OPEN = 'open'
    DELAYED = 'delayed'
    ANSWERS_LOST = 'answers lost'  # requests arrive, answers don't
    SILENT = 'silent'


class Proxy:
    """Passes connections of one process on to one address.

    :param listen: address and port to listen on.
    :param target: address and port to connect to.
    """

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._listen = listen
        self._target = target
        self.path = Path.OPEN
        self.delay_s = 0.0
        self._changed = trio.Event()
        self._open: set[trio.SocketStream] = set()

    def set_path(self, path: Path, delay_s: float = 0.0) -> None:
        """Change what becomes of bytes from now on."""
        self.path = path
        self.delay_s = delay_s
        self._changed.set()
        self._changed = trio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for stream in tuple(self._open):
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            stream.socket.close()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Pass connections on until cancelled."""
        host, port = self._listen
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started()
        await trio.serve_listeners(self._pass_on, listeners)

    async def _pass_on(self, client: trio.SocketStream) -> None:
        try:
            server = await trio.open_tcp_stream(*self._target)
        except OSError:
            await client.aclose()
            return
        self._open |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server, False, nursery)
                nursery.start_soon(self._copy, server, client, True, nursery)
        finally:
            self._open -= {client, server}
            with trio.move_on_after(0.5, shield=True):
                await trio.aclose_forcefully(client)
                await trio.aclose_forcefully(server)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_answer: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK):
                if self.path is Path.DELAYED:
                    await trio.sleep(self.delay_s)
                if not await self._may_pass(is_answer):
                    continue  # lost; the connection carries nothing more
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass  # an end of the connection, brought about or not
        nursery.cancel_scope.cancel()

    async def _may_pass(self, is_answer: bool) -> bool:
        if self.path is Path.ANSWERS_LOST and is_answer:
            await trio.sleep_forever()
        while self.path is Path.SILENT:
            await self._changed.wait()
        return True
