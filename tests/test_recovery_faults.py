"""Faults planted into recovery are found by the scenarios that are meant to find them."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import pytest

from spurarch.recovery import merge, rebuild, worker_survey
from spurarch.recovery.coverage import ArchiveProgress
from spurarch.recovery.evidence import Source, Versioned
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.storage.history import HistoryGuard, HistoryRecord
from tests.sim.recovery import RecoveryPlay
from tests.sim.scenario_text import Scenario

SCENARIOS = Path(__file__).parent / "scenarios" / "recovery"


def problems(name: str) -> list[str]:
    play = RecoveryPlay(Scenario.read(SCENARIOS / f"{name}.txt"))
    play.run()
    return play.problems


def test_ends_forgotten_before_the_archive_covers_them(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ArchiveProgress, "covers", lambda self, revision: True)
    assert any("began" in problem for problem in problems("end-not-archived"))


def test_a_prefix_left_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HistoryRecord, "prefix", "")
    assert problems("rolled-back")


def test_older_copies_preferred(monkeypatch: pytest.MonkeyPatch) -> None:
    def oldest(sources: Iterable[Source]) -> dict[str, Versioned]:
        copies = sorted(sources, key=lambda source: source.revision)
        return dict(copies[0].alive)

    monkeypatch.setattr(merge, "alive_records", oldest)
    assert problems("archive-lags")


def test_epochs_that_do_not_rise(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rebuild, "EPOCHS_UNSEEN", 0)
    for module in (rebuild, worker_survey):
        monkeypatch.setattr(module, "highest_epoch", lambda sources: 1)
    monkeypatch.setattr(HeartbeatCollector, "highest_epoch", property(lambda self: 0, lambda self, epoch: None), False)
    assert problems("archive-lags")


def test_signs_of_loss_that_nobody_heeds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HistoryGuard, "lose", lambda self, reason: False)
    assert problems("archive-lags")
