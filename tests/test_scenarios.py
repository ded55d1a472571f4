"""Runs every scenario file in each of its variants, and fails if a rule is broken."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.sim.scenario import ScenarioRun
from tests.sim.scenario_text import Scenario

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
PLAYS = [(path, values) for path in FILES for values in Scenario.variants(path)]


@pytest.mark.parametrize(
    ("path", "values"), PLAYS, ids=["-".join([path.stem, *values.values()]) for path, values in PLAYS]
)
def test_scenario(path: Path, values: dict[str, str]) -> None:
    scenario_run = ScenarioRun(Scenario.read(path, values))
    scenario_run.run()
    assert scenario_run.problems == []
    assert scenario_run.world.checks.started > 0 or "raw" in path.read_text()
