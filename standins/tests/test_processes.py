"""Ports and start-up of the processes of drills and measurements."""

import pathlib
import socket

import httpx
import pytest

from standins import processes


def test_ports_are_not_taken_by_outgoing_connections():
    """A port in use by a connection can't be bound by its process."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        address = server.getsockname()
        ports = set(processes.free_ports(200))
        taken = set()
        for _ in range(3000):
            with socket.create_connection(address) as conn:
                taken.add(conn.getsockname()[1])
                accepted, _ = server.accept()
                accepted.close()
    assert len(ports) == 200
    assert not ports & taken


def test_ports_are_given_once():
    """Two processes of a fleet got one port; the later was never ready.

    A fleet asks for the ports of one process at a time. Among 120 processes
    of 3 ports, 99 of 100 fleets had a port that was given twice.
    """
    ports = [port for _ in range(400) for port in processes.free_ports(3)]
    assert len(set(ports)) == len(ports)


async def test_a_process_that_ended_is_not_waited_for(tmp_path: pathlib.Path):
    """The error of a failed start was hidden behind a timeout of 30 s."""
    with processes.ProcessGroup(tmp_path) as group:
        managed = group.start('broken', 'standins.no_such_module')
        managed.process.wait()
        async with httpx.AsyncClient(trust_env=False) as client:
            with pytest.raises(processes.ProcessEndedError) as caught:
                await processes.wait_until_ready(
                    client, 'http://127.0.0.1:9/readyz', process=managed
                )
    assert 'no_such_module' in str(caught.value)
