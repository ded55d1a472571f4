"""The interface between a controller and recovery, which lies in a layer above. For type checking only."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from spurarch.protocol import wire

if TYPE_CHECKING:
    from spurarch.coordination.controller import Controller
    from spurarch.coordination.partition.state import ArchiveCoverage
    from spurarch.storage.history import HistoryGuard
    from spurarch.transport.http import Response


class Recovery(Protocol):
    """Detects that the state service lost its data, and has it rebuilt."""

    @property
    def closed(self) -> bool:
        """The records can't be trusted, and heartbeats are answered by `on_heartbeat`."""

    async def open_history(self) -> bool:
        """Finds the current history of records; False if there is a sign of loss."""

    async def run(self) -> None:
        """Ends when the controller has to start again in another history."""

    def observe(self, heartbeat: wire.Heartbeat) -> None:
        """Checks a worker's heartbeat for signs of loss."""

    async def on_heartbeat(self, heartbeat: wire.Heartbeat) -> Response:
        """Answers a heartbeat while the records can't be trusted: status and body."""

    def on_frame(self, frame: bytes) -> bytes | None:
        """Answers a peer's recovery message; None for any other message."""


class Extension(Protocol):
    """What a controller with recovery is given: parts for the layers below it, and the service above it."""

    @property
    def guard(self) -> HistoryGuard:
        """Watches for signs of loss."""

    @property
    def coverage(self) -> ArchiveCoverage:
        """What the archive holds."""

    def attach(self, controller: Controller) -> Recovery:
        """Creates the recovery service of a controller."""
