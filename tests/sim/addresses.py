"""Reserves loopback addresses, so that tests that run in parallel on one machine never share one."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from contextlib import ExitStack
from random import Random
from types import TracebackType
from typing import Self

# Below the ephemeral ports, as an outgoing connection could take the port of a killed controller before its restart.
SERVER_PORTS: Sequence[int] = range(12_000, 32_000)
RESERVATION_NAME_PREFIX = "spurarch-tests-port-"


class ReservedAddresses:
    """Addresses without a listener that no other instance, in any process, can reserve until this one is closed.

    A socket bound to the port can't be the reservation, since a server has to listen there. A reservation is a Unix
    socket with an abstract name instead: only one process can bind a name, and the system frees it when that ends.
    """

    def __init__(self) -> None:
        self._reservations = ExitStack()
        self._random = Random()

    def __enter__(self) -> Self:
        """Returns this instance."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Releases all addresses."""
        self.close()

    def close(self) -> None:
        """Releases all addresses."""
        self._reservations.close()

    def reserve(self) -> str:
        """Reserves and returns one more `host:port`; raises OSError if no port is free."""
        for port in self._random.sample(SERVER_PORTS, len(SERVER_PORTS)):
            if self._try_reserve(port):
                return f"127.0.0.1:{port}"
        raise OSError(f"no free port from {min(SERVER_PORTS)} to {max(SERVER_PORTS)}")

    def _try_reserve(self, port: int) -> bool:
        with ExitStack() as attempt:
            reservation = attempt.enter_context(socket.socket(socket.AF_UNIX))
            try:
                reservation.bind(f"\0{RESERVATION_NAME_PREFIX}{port}")
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            except OSError:
                return False
            self._reservations.enter_context(attempt.pop_all())
        return True
