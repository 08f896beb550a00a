"""Process management for the demo, the drills and the measurements."""

import dataclasses
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing

import httpx
import trio

MIN_PORT = 15_000
EPHEMERAL_PORT_RANGE_FILE = pathlib.Path(
    '/proc/sys/net/ipv4/ip_local_port_range'
)
DEFAULT_EPHEMERAL_PORT = 32_768  # Linux default
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
ERROR_LOG_LINES = 5  # last lines of a log to quote in errors

_allocated_ports: set[int] = set()  # by this process


def free_ports(count: int) -> tuple[int, ...]:
    """Return TCP ports that are currently free on the loopback address.

    No port is returned twice by this process, so that fleets that request a
    few ports at a time never share one. The ports lie below the ephemeral
    range, since an outgoing connection could otherwise take a port before
    its process binds it.

    :param count: number of ports.
    :returns: the port numbers, none of which was returned before.
    :raises OSError: if too few ports are free.
    """
    found: list[int] = []
    candidates = [
        port
        for port in range(MIN_PORT, _lowest_ephemeral_port())
        if port not in _allocated_ports
    ]
    random.shuffle(candidates)
    for port in candidates:
        if len(found) == count:
            break
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue  # in use by another process
        found.append(port)
    if len(found) < count:
        raise OSError(f'{len(found)} of {count} requested ports are free')
    _allocated_ports.update(found)
    return tuple(found)


def _lowest_ephemeral_port() -> int:
    """Return the lowest port of the ephemeral range."""
    try:
        return int(EPHEMERAL_PORT_RANGE_FILE.read_text().split()[0])
    except OSError:
        return DEFAULT_EPHEMERAL_PORT


class ProcessEndedError(Exception):
    """A process exited before it became ready."""


@dataclasses.dataclass
class ManagedProcess:
    """A process started by :class:`ProcessGroup`."""

    name: str
    argv: tuple[str, ...]
    process: subprocess.Popen[bytes]
    log: pathlib.Path

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process.poll() is None

    def last_output(self) -> str:
        """Return the last lines of the log."""
        lines = self.log.read_text(errors='replace').splitlines()
        return ' / '.join(lines[-ERROR_LOG_LINES:])


class ProcessGroup:
    """A group of processes that is killed when the group is closed.

    :param folder: directory for the logs of the processes.
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

        :param name: name of the process in this group; a name may be
            reused after its process has exited.
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
        """Start a process again with its previous arguments."""
        return self.start(name, *self._processes[name].argv)

    def __getitem__(self, name: str) -> ManagedProcess:
        return self._processes[name]

    def names(self) -> tuple[str, ...]:
        """Return the names in the order of their first start."""
        return tuple(self._processes)

    def kill(self, name: str) -> None:
        """Kill a process."""
        managed = self._processes[name]
        if managed.running:
            managed.process.kill()
            managed.process.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._processes[name].process.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self._processes[name].process.send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Request a graceful shutdown of a process."""
        managed = self._processes[name]
        if managed.running:
            managed.process.terminate()

    async def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Shut a process down gracefully and wait for it to exit.

        :param name: the process.
        :param timeout_s: longest wait in seconds.
        :returns: its exit code.
        :raises TimeoutError: if it did not exit in time.
        """
        self.terminate(name)
        return await self.wait(name, timeout_s)

    async def wait(self, name: str, timeout_s: float) -> int:
        """Wait until a process has exited.

        :param name: the process.
        :param timeout_s: longest wait in seconds.
        :returns: its exit code.
        :raises TimeoutError: if it did not exit in time.
        """
        process = self._processes[name].process
        deadline = time.monotonic() + timeout_s
        while process.poll() is None:
            if time.monotonic() > deadline:
                raise TimeoutError(f'{name} did not exit within {timeout_s} s')
            await trio.sleep(0.02)
        return process.returncode

    def close(self) -> None:
        """Kill every process that is still running."""
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
    process: ManagedProcess | None = None,
) -> None:
    """Wait until a URL answers with a 2xx status.

    :param client: client to use.
    :param url: the URL, such as a readiness path.
    :param timeout_s: longest wait in seconds.
    :param process: the process that serves the URL, if it is known.
    :raises TimeoutError: if it did not become ready in time.
    :raises ProcessEndedError: if the process exited instead.
    """

    async def ready() -> bool:
        if process is not None and not process.running:
            raise ProcessEndedError(
                f'{process.name} exited: {process.last_output()}'
            )
        return await _is_success(client, url)

    await wait_for(ready, url, timeout_s)


async def wait_for(
    condition: typing.Callable[[], typing.Awaitable[bool]],
    what: str,
    timeout_s: float,
    interval_s: float = 0.05,
) -> float:
    """Wait until a condition holds.

    :param condition: async function that returns whether it holds.
    :param what: description for the error.
    :param timeout_s: longest wait in seconds.
    :param interval_s: time between checks in seconds.
    :returns: time waited in seconds.
    :raises TimeoutError: if it did not hold in time.
    """
    began = time.monotonic()
    while not await condition():
        if time.monotonic() - began > timeout_s:
            raise TimeoutError(
                f'{what}: condition not met after {timeout_s} s'
            )
        await trio.sleep(interval_s)
    return time.monotonic() - began


async def _is_success(client: httpx.AsyncClient, url: str) -> bool:
    try:
        response = await client.get(url, timeout=2.0)
    except httpx.HTTPError:
        return False
    return response.is_success
