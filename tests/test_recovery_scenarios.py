"""Plays every scenario in which the state service loses data, in every variant that it asks for."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.sim.recovery import RecoveryPlay
from tests.sim.scenario import Scenario

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
