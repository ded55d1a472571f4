"""Real controllers in overlapping troubles, for a minute: what is checked does not depend on the machine's speed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.sim.loopback import ROOT
from tests.sim.soak import soak
from tests.sim.soak_plan import SIZES, TROUBLES, make_plan


def test_teams_at_their_limits_in_overlapping_troubles(tmp_path: Path) -> None:
    result = soak(make_plan(1, "small"), tmp_path)
    assert result.problems == []
    assert result.starts > result.jobs
    assert max(result.closest.values()) > 0.9, "no team came close to its limit"


@pytest.mark.parametrize("fault", ["limit-left-out", "charge-dropped-early"])
def test_the_soak_finds_a_planted_fault(fault: str, tmp_path: Path) -> None:
    result = soak(make_plan(2, "small", ("cancel-burst",)), tmp_path, planted=fault)
    assert any("quota" in problem for problem in result.problems)
    assert not any("the run itself failed" in problem for problem in result.problems)
    assert (tmp_path / "timeline.jsonl").read_text()


def test_the_plan_of_a_seed_is_always_the_same_and_differs_from_others() -> None:
    assert make_plan(7, "small") == make_plan(7, "small")
    assert make_plan(7, "small") != make_plan(8, "small")
    kinds = {trouble.kind for seed in range(1, 51) for trouble in make_plan(seed, "small").troubles}
    assert kinds == set(TROUBLES)


@pytest.mark.parametrize(
    ("words", "named"),
    [(("--size", "huge"), SIZES), (("--troubles", "rain"), TROUBLES), (("--seeds", "0"), ("from 1 on",))],
)
def test_a_soak_that_is_not_known_is_refused_by_a_line_that_names_the_choices(
    words: tuple[str, ...], named: tuple[str, ...]
) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "tests.sim.soak", *words], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 2
    assert all(name in done.stderr for name in named)
    assert len(done.stderr.splitlines()) == 1
