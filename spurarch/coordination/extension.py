"""The interface between a controller and recovery, which is in a layer above it. For type checking only."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from spurarch.protocol import wire

if TYPE_CHECKING:
    from spurarch.coordination.controller import Controller
    from spurarch.coordination.partition.state import ArchiveCoverage
    from spurarch.storage.history import HistoryGuard
    from spurarch.transport.http import Response


class Recovery(Protocol):
    """Detects that the state service lost its data, and has the records rebuilt."""

    @property
    def records_untrusted(self) -> bool:
        """Whether the records can't be trusted, so that `on_heartbeat` answers heartbeats."""

    async def open_history(self) -> bool:
        """Finds the current history of the records (see `storage.history`); returns False on a sign of data loss."""

    async def run(self) -> None:
        """Runs recovery; returns when the controller has to be restarted in another history."""

    def observe(self, heartbeat: wire.Heartbeat) -> None:
        """Checks a worker's heartbeat for signs of data loss."""

    async def on_heartbeat(self, heartbeat: wire.Heartbeat) -> Response:
        """Answers a heartbeat while the records can't be trusted."""

    def on_frame(self, frame: bytes) -> bytes | None:
        """Returns the response to a peer's recovery message, or None for any other message."""


class Extension(Protocol):
    """Adds recovery to a controller: components for the layers below the controller, and the service above it."""

    @property
    def guard(self) -> HistoryGuard:
        """Checks responses of the state service for signs of data loss."""

    @property
    def coverage(self) -> ArchiveCoverage:
        """Up to which revision the records are in the archive."""

    def attach(self, controller: Controller) -> Recovery:
        """Creates the recovery service of the controller."""
