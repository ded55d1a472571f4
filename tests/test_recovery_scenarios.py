"""Plays every scenario in which the state service loses data, in every variant that it asks for."""

from __future__ import annotations

from pathlib import Path

import pytest

from spurarch.recovery import history_writer
from spurarch.storage.commit import Committer
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.seeds import PackedSeed
from spurarch.storage.transaction import TransactionResult
from tests.sim.recovery import RecoveryPlay
from tests.sim.scenario_text import Scenario

# Those in which a rebuilt history goes on working, is lost again or taken over.
SEEDED = {
    "gang",
    "late-transactions",
    "lost-again-meanwhile",
    "rolled-back",
    "team-at-its-limit",
    "wiped",
    "wiped-all-restarted",
    "wiped-one-ended",
    "worker-heartbeats-late",
}
FILES = sorted((Path(__file__).parent / "scenarios" / "recovery").glob("*.txt"))
PLAYS = [(path, values) for path in FILES for values in Scenario.variants(path)]


@pytest.mark.parametrize(
    ("path", "values"), PLAYS, ids=["-".join([path.stem, *values.values()]) for path, values in PLAYS]
)
def test_recovery_scenario(path: Path, values: dict[str, str]) -> None:
    play = RecoveryPlay(Scenario.read(path, values))
    play.run()
    assert play.problems == []
    assert play.world.rules.started > 0


@pytest.mark.parametrize(
    ("path", "values"),
    [(path, values) for path, values in PLAYS if path.stem in SEEDED],
    ids=["-".join([path.stem, *values.values()]) for path, values in PLAYS if path.stem in SEEDED],
)
def test_recovery_scenario_with_records_that_share_values(
    path: Path, values: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """As a history of many records begins, whatever its size."""
    monkeypatch.setattr(history_writer, "SEEDED_ABOVE_S", 0.0)
    unpacked: list[str] = []
    unpack = Committer._unpack

    async def counted(self: Committer, packed: PackedSeed, urgency: Urgency) -> TransactionResult:
        unpacked.append(packed.key)
        return await unpack(self, packed, urgency)

    monkeypatch.setattr(Committer, "_unpack", counted)
    play = RecoveryPlay(Scenario.read(path, values))
    play.run()
    assert play.problems == []
    assert unpacked
