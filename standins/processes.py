"""Starts, signals and stops processes for demo, drills and measurements."""

import contextlib
import dataclasses
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

import httpx
import trio

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0


def free_ports(count: int) -> tuple[int, ...]:
    """Return TCP ports of the loopback address that are free now.

    All sockets are open at once, so that the ports differ.

    :param count: number of ports.
    :returns: the port numbers.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(('127.0.0.1', 0))
        return tuple(sock.getsockname()[1] for sock in sockets)


@dataclasses.dataclass
class ManagedProcess:
    """A process started by :class:`ProcessGroup`."""

    name: str
    argv: tuple[str, ...]
    process: subprocess.Popen[bytes]
    log: pathlib.Path

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.process.poll() is None


class ProcessGroup:
    """Processes that all end when the group is closed.

    :param folder: folder for the processes' logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._processes: dict[str, ManagedProcess] = {}

    def __enter__(self) -> 'ProcessGroup':
        self.folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *_exc: object) -> None:
        self.close()

    def start(self, name: str, *argv: str) -> ManagedProcess:
        """Start ``python -m ARGV`` and keep its output in a log file.

        :param name: name of the process in this group; a name may be used
            again after its process ended.
        :param argv: module name and arguments.
        :returns: the running process.
        """
        log = self.folder / f'{name}.log'
        with log.open('ab') as output:
            process = subprocess.Popen(
                [sys.executable, '-m', *argv],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        managed = ManagedProcess(name, argv, process, log)
        self._processes[name] = managed
        return managed

    def restart(self, name: str) -> ManagedProcess:
        """Start a process again with the arguments that it had."""
        return self.start(name, *self._processes[name].argv)

    def __getitem__(self, name: str) -> ManagedProcess:
        return self._processes[name]

    def names(self) -> tuple[str, ...]:
        """Return the names in the order of their first start."""
        return tuple(self._processes)

    def kill(self, name: str) -> None:
        """End a process at once."""
        managed = self._processes[name]
        if managed.running:
            managed.process.kill()
            managed.process.wait()

    def freeze(self, name: str) -> None:
        """Stop a process from running, without ending it."""
        self._processes[name].process.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process run on."""
        self._processes[name].process.send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process for a planned stop."""
        managed = self._processes[name]
        if managed.running:
            managed.process.terminate()

    async def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop a process as planned and wait for it.

        :param name: the process.
        :param timeout_s: longest wait in seconds.
        :returns: its exit code.
        :raises TimeoutError: if it did not end in time.
        """
        self.terminate(name)
        return await self.wait(name, timeout_s)

    async def wait(self, name: str, timeout_s: float) -> int:
        """Wait until a process has ended.

        :param name: the process.
        :param timeout_s: longest wait in seconds.
        :returns: its exit code.
        :raises TimeoutError: if it did not end in time.
        """
        process = self._processes[name].process
        deadline = time.monotonic() + timeout_s
        while process.poll() is None:
            if time.monotonic() > deadline:
                raise TimeoutError(f'{name} did not end in {timeout_s} s')
            await trio.sleep(0.02)
        return process.returncode

    def close(self) -> None:
        """End every process that still runs."""
        for managed in self._processes.values():
            if managed.running:
                managed.process.send_signal(signal.SIGCONT)
                managed.process.kill()
        for managed in self._processes.values():
            managed.process.wait()


async def wait_until_ready(
    client: httpx.AsyncClient,
    url: str,
    timeout_s: float = READY_TIMEOUT_S,
) -> None:
    """Wait until a URL answers with a 2xx status.

    :param client: client to use.
    :param url: the URL, such as a readiness path.
    :param timeout_s: longest wait in seconds.
    :raises TimeoutError: if it did not become ready in time.
    """
    await wait_for(lambda: _answers(client, url), url, timeout_s)


async def wait_for(
    condition: typing.Callable[[], typing.Awaitable[bool]],
    what: str,
    timeout_s: float,
    interval_s: float = 0.05,
) -> float:
    """Wait until a condition holds.

    :param condition: coroutine function that tells whether it holds.
    :param what: description for the error.
    :param timeout_s: longest wait in seconds.
    :param interval_s: time between checks in seconds.
    :returns: how long it took in seconds.
    :raises TimeoutError: if it did not hold in time.
    """
    began = time.monotonic()
    while not await condition():
        if time.monotonic() - began > timeout_s:
            raise TimeoutError(f'{what}: not so after {timeout_s} s')
        await trio.sleep(interval_s)
    return time.monotonic() - began


async def _answers(client: httpx.AsyncClient, url: str) -> bool:
    try:
        response = await client.get(url, timeout=2.0)
    except httpx.HTTPError:
        return False
    return response.is_success
