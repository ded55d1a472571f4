"""Runs a controller with a planted fault, to show that the soak finds it: `python planted.py FAULT serve ...`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent.parent))

from spurarch.cli import main
from spurarch.coordination.fleet.quota_ledger import QuotaLedger
from spurarch.coordination.partition.machine import AttemptPhase
from spurarch.coordination.partition.stopping import StopRequests


def leave_limit_out() -> None:
    """Admits whatever is asked for."""

    def tasks_allowed(_ledger: QuotaLedger, _team: int, _each: Any, most: int, _beside: Any = None) -> int:
        return most

    QuotaLedger.tasks_allowed = tasks_allowed  # type: ignore[assignment, method-assign]


def drop_charge_early() -> None:
    """Takes a task that is told to stop for one that has left."""
    stop_one = StopRequests._request_one

    def stop_and_drop(stops: StopRequests, attempt: Any, grace_s: float) -> None:
        stop_one(stops, attempt, grace_s)
        stops._state.transition(attempt, AttemptPhase.GONE)

    StopRequests._request_one = stop_and_drop  # type: ignore[assignment, method-assign]


FAULTS = {"limit-left-out": leave_limit_out, "charge-dropped-early": drop_charge_early}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(main(sys.argv[2:]))
