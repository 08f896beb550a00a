"""Tests of port allocation and process start-up."""

import pathlib
import socket

import httpx
import pytest

from standins import processes


def test_ports_are_not_taken_by_outgoing_connections():
    """Guards against allocating a port that an outgoing connection uses."""
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


def test_ports_are_allocated_once():
    """Guards against allocating a port to two processes of a fleet.

    The second process could never bind it. A fleet requests the ports of one
    process at a time: without tracking, 99 of 100 fleets of 120 processes
    with 3 ports each had a duplicate port.
    """
    ports = [port for _ in range(400) for port in processes.free_ports(3)]
    assert len(set(ports)) == len(ports)


async def test_wait_ends_if_process_has_exited(tmp_path: pathlib.Path):
    """Guards against a failed start being reported as a timeout after 30 s."""
    with processes.ProcessGroup(tmp_path) as group:
        managed = group.start('broken', 'standins.no_such_module')
        managed.process.wait()
        async with httpx.AsyncClient(trust_env=False) as client:
            with pytest.raises(processes.ProcessEndedError) as caught:
                await processes.wait_until_ready(
                    client, 'http://127.0.0.1:9/readyz', process=managed
                )
    assert 'no_such_module' in str(caught.value)
