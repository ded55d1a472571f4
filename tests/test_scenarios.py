"""Plays every scenario file."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.sim.scenario import Play, Scenario

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    play = Play(Scenario.read(path))
    play.run()
    assert play.problems == []
    assert play.world.rules.started > 0 or "raw" in path.read_text()
