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
    """The recovery components of one controller; a controller that starts again in another history gets new ones.

    `finals` are the resolved final records of the previous controller in this process; they are valid in every later
    history.
    """

    def __init__(self, tuning: Tuning, finals: Mapping[str, FinalRecord]) -> None:
        self._finals = finals
        self.guard = HistoryGuard()
        self.coverage = ArchiveProgress(self.guard, tuning.archive_timeout_s, tuning.archive_away == "hold")

    def attach(self, controller: Controller) -> RecoveryService:
        """Creates the recovery service of a controller and gives the controller the final records."""
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
    previous: Controller | None = None,
) -> Controller:
    """Builds a controller that detects lost records and takes part in rebuilding them.

    Its `run` returns when it has to start again in another history. Its successor in the same process is then built
    with `previous` set to it, so that the final records are passed on.
    """
    finals = previous.replica.state.finals if previous is not None else {}
    certain = {job: final for job, final in finals.items() if final.state != UNRESOLVED}
    return Controller(platform, tuning, network, process_incarnation, extension=RecoveryExtension(tuning, certain))
