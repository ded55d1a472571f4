"""Real controllers under overlapping faults for a minute; the checks do not depend on the speed of the machine."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.sim.loopback import ROOT
from tests.sim.soak import soak
from tests.sim.soak_plan import FAULT_KINDS, SIZES, make_plan


def test_teams_stay_within_their_limits_under_overlapping_faults(tmp_path: Path) -> None:
    result = soak(make_plan(1, "small"), tmp_path)
    assert result.problems == []
    assert result.starts > result.jobs
    assert max(result.closest.values()) > 0.9, "no team came close to its limit"


def test_no_ended_attempt_runs_again_when_answered_commands_arrive_again(tmp_path: Path) -> None:
    result = soak(make_plan(14, "small", ("repeated-commands", "kill-leader", "cancel-burst")), tmp_path)
    assert result.problems == []
    assert result.starts > result.jobs


@pytest.mark.parametrize("fault", ["limit-left-out", "charge-dropped-early"])
def test_the_soak_finds_a_planted_fault(fault: str, tmp_path: Path) -> None:
    result = soak(make_plan(2, "small", ("cancel-burst",)), tmp_path, planted=fault)
    assert any("quota" in problem for problem in result.problems)
    assert not any("the run itself failed" in problem for problem in result.problems)
    assert (tmp_path / "timeline.jsonl").read_text()


def test_equal_seeds_give_equal_plans_and_other_seeds_other_plans() -> None:
    assert make_plan(7, "small") == make_plan(7, "small")
    assert make_plan(7, "small") != make_plan(8, "small")
    kinds = {fault.kind for seed in range(1, 51) for fault in make_plan(seed, "small").faults}
    assert kinds == set(FAULT_KINDS)


@pytest.mark.parametrize(
    ("words", "named"),
    [(("--size", "huge"), SIZES), (("--troubles", "rain"), FAULT_KINDS), (("--seeds", "0"), ("from 1 on",))],
)
def test_an_unknown_soak_option_is_refused_in_one_line_that_lists_the_choices(
    words: tuple[str, ...], named: tuple[str, ...]
) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "tests.sim.soak", *words], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert result.returncode == 2
    assert all(name in result.stderr for name in named)
    assert len(result.stderr.splitlines()) == 1
