"""Addresses on loopback that tests side by side, in any processes of this machine, never share."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from contextlib import ExitStack
from random import Random
from types import TracebackType
from typing import Self

# Below the ports that the system gives to outgoing connections: one of those could take the port of a controller that
# was killed, before it is back.
SERVER_PORTS: Sequence[int] = range(12_000, 32_000)
HOLDER_NAME = "spurarch-tests-port-"


class ReservedAddresses:
    """Addresses that nobody listens on, and that nobody else reserves until this closes.

    A port can't be held by a socket that is bound to it, as a server is to listen there. It is held by a socket with a
    name in place of an address: the system gives a name to one process at a time, and frees it when that process ends.
    """

    def __init__(self) -> None:
        self._held = ExitStack()
        self._random = Random()

    def __enter__(self) -> Self:
        """Itself."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Gives all addresses back."""
        self.close()

    def close(self) -> None:
        """Gives all addresses back."""
        self._held.close()

    def reserve(self) -> str:
        """One more address."""
        for port in self._random.sample(SERVER_PORTS, len(SERVER_PORTS)):
            if self._hold(port):
                return f"127.0.0.1:{port}"
        raise OSError(f"no free port from {min(SERVER_PORTS)} to {max(SERVER_PORTS)}")

    def _hold(self, port: int) -> bool:
        with ExitStack() as attempt:
            name = attempt.enter_context(socket.socket(socket.AF_UNIX))
            try:
                name.bind(f"\0{HOLDER_NAME}{port}")
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            except OSError:
                return False
            self._held.enter_context(attempt.pop_all())
        return True
