"""State shared by the steps of one rebuild: its components, its progress and its transactions."""

from __future__ import annotations

import enum
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.recovery.claim import FINISHED, HEARTBEAT_INTERVAL_S, RebuildClaim
from spurarch.recovery.evidence import Source
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.settings import Deployment
from spurarch.storage.cloud import Cloud
from spurarch.storage.history import REBUILD
from spurarch.storage.store import Store
from spurarch.transport.network import PeerClient, RequestClient

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.3  # between two requests for copies or heartbeats
CALL_TIMEOUT_S = 2.0


class RebuildRefusedError(SpurarchError):
    """The records can't be rebuilt by this attempt; the message gives the reason."""


class Step(enum.Enum):
    """Step of a rebuild; the values are stored in the claim."""

    SEALING = "sealing"
    GATHERING = "gathering"
    COLLECTING = "collecting"
    WRITING = "writing"
    OPENED = FINISHED


_NEXT = {
    Step.SEALING: Step.GATHERING,
    Step.GATHERING: Step.COLLECTING,
    Step.COLLECTING: Step.WRITING,
    Step.WRITING: Step.OPENED,
}


@dataclass(frozen=True, slots=True)
class RebuildContext:
    """The components of a controller that a rebuild uses.

    `archive` is None if none is configured. `own_copy` returns this controller's copy of the records, None if it has
    none.
    """

    node: str
    deployment: Deployment
    store: Store  # without a history guard, so keys get no prefix of a history
    cloud: Cloud
    peers: dict[str, PeerClient]
    archive: RequestClient | None
    collector: HeartbeatCollector
    own_copy: Callable[[], Source | None]


class RebuildProgress:
    """The step, the partition epoch and the transactions of one rebuild; `name` is that of the new history.

    Every transaction has the version of the claim as a guard and, after `mark_sealed`, that of the rebuild's own key.
    """

    def __init__(self, claim: RebuildClaim, name: str) -> None:
        self._claim, self.name = claim, name
        self.step = Step.SEALING
        self.epoch = 0  # assigned to all partitions in the new history
        self.sealed_at = 0.0  # monotonic clock; when the lost history was sealed
        self._marker_version = 0  # version of the rebuild's own key; 0 until the lost history is sealed
        self._claim_renewed_at = 0.0

    def advance(self, step: Step) -> None:
        """Enters the next step; raises `RuntimeError` for any other."""
        if _NEXT[self.step] is not step:
            raise RuntimeError(f"{self.step} may not be followed by {step}")
        self.step = step
        log.info("rebuild phase changed history=%s phase=%s", self.name, step.value)

    def mark_sealed(self) -> None:
        """Records that the last transaction sealed the lost history and wrote the rebuild's own key."""
        self._marker_version = self._claim.version
        self.sealed_at = time.monotonic()

    async def commit(
        self, changes: list[wire.Put | wire.Delete], guards: list[wire.Guard] | None = None, step: Step | None = None
    ) -> None:
        """Commits changes and renews the claim, which then has `step`, or the current step if that is None.

        Raises `ClaimLostError` or `StoreUnavailableError`.
        """
        rebuild_guards = [wire.Guard(REBUILD + self.name, self._marker_version)] if self._marker_version else []
        await self._claim.commit([*rebuild_guards, *(guards or [])], changes, (step or self.step).value, self.epoch)
        self._claim_renewed_at = time.monotonic()

    async def renew_claim_if_due(self) -> None:
        """Renews the claim if it was last renewed over `HEARTBEAT_INTERVAL_S` ago; raises the errors of `commit`."""
        if time.monotonic() - self._claim_renewed_at > HEARTBEAT_INTERVAL_S:
            await self.commit([])
