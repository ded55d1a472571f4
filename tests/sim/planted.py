"""Runs a controller with a planted fault, which the soak must detect: `python planted.py FAULT serve ...`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent.parent))

from spurarch.cli import main
from spurarch.coordination.fleet.quota_ledger import QuotaLedger
from spurarch.coordination.partition.machine import AttemptPhase
from spurarch.coordination.partition.stopping import StopRequests


def ignore_team_limits() -> None:
    """Makes admission ignore the limits of teams."""

    def tasks_allowed(_ledger: QuotaLedger, _team: int, _each: Any, most: int, _beside: Any = None) -> int:
        return most

    QuotaLedger.tasks_allowed = tasks_allowed  # type: ignore[assignment, method-assign]


def release_charge_early() -> None:
    """Makes the ledger drop the charge of a task when its stop is requested, before it has ended."""
    request_one = StopRequests._request_one

    def stop_and_release(stops: StopRequests, attempt: Any, grace_s: float) -> None:
        request_one(stops, attempt, grace_s)
        stops._state.transition(attempt, AttemptPhase.GONE)

    StopRequests._request_one = stop_and_release  # type: ignore[assignment, method-assign]


FAULTS = {"limit-left-out": ignore_team_limits, "charge-dropped-early": release_charge_early}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(main(sys.argv[2:]))
