"""What the steps of one rebuild share: what they work with, how far they are, and their transactions."""

from __future__ import annotations

import enum
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.recovery.claim import FINISHED, HEARTBEAT_S, RebuildClaim
from spurarch.recovery.evidence import Source
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.settings import Deployment
from spurarch.storage.cloud import Cloud
from spurarch.storage.history import REBUILD
from spurarch.storage.store import Store
from spurarch.transport.network import Calls, Requests

log = logging.getLogger(__name__)

PAUSE_S = 0.3  # between two attempts to get something from others
CALL_S = 2.0


class RebuildRefusedError(SpurarchError):
    """The records can't be rebuilt now; the message says why."""


class Step(enum.Enum):
    """How far a rebuild is, with the text that is stored."""

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
    """What a rebuild works with. `own_copy` returns this controller's copy of the records, if it has one."""

    node: str
    deployment: Deployment
    store: Store  # without a history guard: keys are used as they are
    cloud: Cloud
    peers: dict[str, Calls]
    archive: Requests | None
    collector: HeartbeatCollector
    own_copy: Callable[[], Source | None]


class RebuildProgress:
    """One rebuild under a name of its own: its step, its partition epoch and its transactions.

    Every transaction has the claim and, once `mark_sealed` was called, a key of the rebuild's own as conditions.
    """

    def __init__(self, claim: RebuildClaim, name: str) -> None:
        self._claim, self.name = claim, name
        self.step = Step.SEALING
        self.epoch = 0  # given to all partitions in the new history
        self.sealed_at = 0.0  # monotonic clock
        self._marker_version = 0  # of the rebuild's own key
        self._claim_renewed_at = 0.0

    def advance(self, step: Step) -> None:
        """Goes on to the next step."""
        if _NEXT[self.step] is not step:
            raise RuntimeError(f"{self.step} -> {step}")
        self.step = step
        log.info("rebuild phase changed history=%s phase=%s", self.name, step.value)

    def mark_sealed(self) -> None:
        """Records that the last transaction has sealed the lost history and written the rebuild's own key."""
        self._marker_version = self._claim.version
        self.sealed_at = time.monotonic()

    async def commit(
        self, changes: list[wire.Put | wire.Delete], guards: list[wire.Guard] | None = None, step: Step | None = None
    ) -> None:
        """Makes changes and renews the claim, which then shows `step`, or the current one.

        Raises `ClaimLostError` or `StoreUnavailableError`.
        """
        own = [wire.Guard(REBUILD + self.name, self._marker_version)] if self._marker_version else []
        await self._claim.commit([*own, *(guards or [])], changes, (step or self.step).value, self.epoch)
        self._claim_renewed_at = time.monotonic()

    async def renew_claim_if_due(self) -> None:
        """Renews the claim if that was not done for a while; raises as `commit` does."""
        if time.monotonic() - self._claim_renewed_at > HEARTBEAT_S:
            await self.commit([])
