"""Each fault injected into recovery must be detected by the scenario that covers it."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import pytest

from spurarch.recovery import merge, rebuild, worker_survey
from spurarch.recovery.coverage import ArchiveProgress
from spurarch.recovery.evidence import Source, Versioned
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.storage.history import HistoryGuard, HistoryRecord
from tests.sim.recovery import RecoveryScenarioRun
from tests.sim.scenario_text import Scenario

SCENARIOS = Path(__file__).parent / "scenarios" / "recovery"


def run_scenario(name: str) -> list[str]:
    scenario_run = RecoveryScenarioRun(Scenario.read(SCENARIOS / f"{name}.txt"))
    scenario_run.run()
    return scenario_run.problems


def test_exits_forgotten_before_they_are_archived_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ArchiveProgress, "covers", lambda self, revision: True)
    assert any("began" in problem for problem in run_scenario("end-not-archived"))


def test_keys_without_a_history_prefix_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HistoryRecord, "prefix", "")
    assert run_scenario("rolled-back")


def test_records_of_older_copies_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def oldest(sources: Iterable[Source]) -> dict[str, Versioned]:
        copies = sorted(sources, key=lambda source: source.revision)
        return dict(copies[0].live_records)

    monkeypatch.setattr(merge, "merge_live_records", oldest)
    assert run_scenario("archive-lags")


def test_epochs_that_do_not_rise_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rebuild, "EPOCH_MARGIN", 0)
    for module in (rebuild, worker_survey):
        monkeypatch.setattr(module, "highest_epoch", lambda sources: 1)
    monkeypatch.setattr(HeartbeatCollector, "highest_epoch", property(lambda self: 0, lambda self, epoch: None), False)
    assert run_scenario("archive-lags")


def test_ignored_signs_of_loss_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HistoryGuard, "mark_lost", lambda self, reason: False)
    assert run_scenario("archive-lags")
