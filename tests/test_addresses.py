"""Tests that run in parallel must not use each other's addresses."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from collections.abc import Iterator

import pytest

from tests.sim import addresses
from tests.sim.addresses import ReservedAddresses
from tests.sim.loopback import ROOT

COUNT = 4
OTHER_PROCESS = """
from tests.sim import addresses
addresses.SERVER_PORTS, addresses.RESERVATION_NAME_PREFIX = {ports}, {name!r}
with addresses.ReservedAddresses() as reserved:
    print(reserved.reserve())
"""


def ports(reserved: ReservedAddresses, count: int) -> set[int]:
    return {int(reserved.reserve().rpartition(":")[2]) for _ in range(count)}


@pytest.fixture
def few_ports(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """The only ports of a test: reserved under the usual name prefix, and free under that of the test."""
    with ReservedAddresses() as own:
        found = sorted(ports(own, COUNT))
        monkeypatch.setattr(addresses, "SERVER_PORTS", found)
        monkeypatch.setattr(addresses, "RESERVATION_NAME_PREFIX", f"spurarch-tests-of-addresses-{os.getpid()}-")
        yield found


def test_an_address_is_reserved_only_once_across_processes(few_ports: list[int]) -> None:
    script = OTHER_PROCESS.format(ports=few_ports, name=addresses.RESERVATION_NAME_PREFIX)
    with ReservedAddresses() as first, ReservedAddresses() as second:
        taken = ports(first, 2) | ports(second, 1)
        other = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True)
    assert taken | {int(other.stdout.rpartition(":")[2])} == set(few_ports)


def test_a_closed_reservation_releases_its_addresses(few_ports: list[int]) -> None:
    for _ in range(2):
        with ReservedAddresses() as reserved:
            assert ports(reserved, COUNT) == set(few_ports)


def test_an_address_in_use_by_another_socket_is_not_reserved(few_ports: list[int]) -> None:
    with socket.socket() as listener, ReservedAddresses() as reserved:
        listener.bind(("127.0.0.1", few_ports[0]))
        assert ports(reserved, COUNT - 1) == set(few_ports[1:])


def test_reserving_without_a_free_address_is_an_error(few_ports: list[int]) -> None:
    with ReservedAddresses() as reserved:
        ports(reserved, COUNT)
        with pytest.raises(OSError, match=f"no free port from {few_ports[0]}"):
            reserved.reserve()


def test_a_reserved_address_can_be_listened_on() -> None:
    with ReservedAddresses() as reserved, socket.socket() as server:
        host, _, port = reserved.reserve().partition(":")
        server.bind((host, int(port)))
        server.listen()
