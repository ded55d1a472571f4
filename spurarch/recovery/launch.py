"""Builds a controller with recovery."""

from __future__ import annotations

from collections.abc import Mapping

from spurarch.coordination.controller import Controller
from spurarch.recovery.coverage import ArchiveProgress
from spurarch.recovery.service import RecoveryContext, RecoveryService
from spurarch.settings import Platform, Tuning
from spurarch.storage.history import HistoryGuard
from spurarch.storage.records import UNRESOLVED, FinalRecord
from spurarch.transport.network import Network


class RecoveryExtension:
    """The parts of recovery that one controller is given; a controller that starts again gets new ones.

    `finals` are final records that an earlier controller of this process knew: they hold in every history.
    """

    def __init__(self, tuning: Tuning, finals: Mapping[str, FinalRecord]) -> None:
        self._finals = finals
        self.guard = HistoryGuard()
        self.coverage = ArchiveProgress(self.guard, tuning.archive_timeout_s, tuning.archive_away == "hold")

    def attach(self, controller: Controller) -> RecoveryService:
        """Builds the recovery service of a controller."""
        controller.replica.state.finals.update(self._finals)
        return RecoveryService(
            RecoveryContext(
                controller.platform,
                controller.tuning,
                controller.network,
                controller.process_incarnation,
                self.guard,
                controller.replica,
                controller.owner,
                controller.owner.permissions,
                controller.cloud,
                controller.peers,
            )
        )


def controller_with_recovery(
    platform: Platform,
    tuning: Tuning,
    network: Network | None = None,
    process_incarnation: str | None = None,
    before: Controller | None = None,
) -> Controller:
    """Builds a controller that notices lost records and takes part in rebuilding them.

    Its `run` returns when it has to start again in another history; `before` is the controller of this process that
    did.
    """
    finals = before.replica.state.finals if before is not None else {}
    certain = {job: final for job, final in finals.items() if final.state != UNRESOLVED}
    return Controller(platform, tuning, network, process_incarnation, extension=RecoveryExtension(tuning, certain))
