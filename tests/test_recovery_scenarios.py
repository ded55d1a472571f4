"""Runs every scenario in which the state service loses data, in all its variants."""

from __future__ import annotations

from pathlib import Path

import pytest

from spurarch.recovery import history_writer
from spurarch.storage.commit import Committer
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.seeds import PackedSeed
from spurarch.storage.transaction import TransactionResult
from tests.sim.recovery import RecoveryScenarioRun
from tests.sim.scenario_text import Scenario

# scenarios in which a rebuilt history stays in use, is lost again or is taken over
MULTI_RECORD_SCENARIOS = {
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
VARIANTS = [(path, values) for path in FILES for values in Scenario.variants(path)]


@pytest.mark.parametrize(
    ("path", "values"), VARIANTS, ids=["-".join([path.stem, *values.values()]) for path, values in VARIANTS]
)
def test_recovery_scenario(path: Path, values: dict[str, str]) -> None:
    scenario_run = RecoveryScenarioRun(Scenario.read(path, values))
    scenario_run.run()
    assert scenario_run.problems == []
    assert scenario_run.world.checks.started > 0


@pytest.mark.parametrize(
    ("path", "values"),
    [(path, values) for path, values in VARIANTS if path.stem in MULTI_RECORD_SCENARIOS],
    ids=["-".join([path.stem, *values.values()]) for path, values in VARIANTS if path.stem in MULTI_RECORD_SCENARIOS],
)
def test_recovery_scenario_with_many_records_per_value(
    path: Path, values: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Rebuilds with many records per stored value, as for large histories, whatever the size of the history."""
    monkeypatch.setattr(history_writer, "MAX_UNSHARED_WRITE_S", 0.0)
    unpacked_keys: list[str] = []
    original_unpack = Committer._unpack

    async def record_unpack(self: Committer, packed: PackedSeed, urgency: Urgency) -> TransactionResult:
        unpacked_keys.append(packed.key)
        return await original_unpack(self, packed, urgency)

    monkeypatch.setattr(Committer, "_unpack", record_unpack)
    scenario_run = RecoveryScenarioRun(Scenario.read(path, values))
    scenario_run.run()
    assert scenario_run.problems == []
    assert unpacked_keys
