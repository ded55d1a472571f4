"""Decision rounds on a small share of a processor: budgets, pauses, and collecting changes while timers are late."""

from __future__ import annotations

import time

import pytest

from spurarch.coordination.runtime import round_budget
from spurarch.coordination.runtime.event_loop_lag import MAX_ROUND_PAUSE_S, EventLoopLag
from spurarch.coordination.runtime.round_budget import RoundBudget, pause_after_round_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """The monotonic time, in a list of one element that tests may change."""
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


def test_time_before_the_first_decision_is_not_charged_to_the_budget(clock: list[float]) -> None:
    budget = RoundBudget(0.01, 0.25)
    clock[0] += 60.0
    assert not budget.spent()
    clock[0] += 0.039
    assert not budget.spent()
    clock[0] += 0.002
    assert budget.spent()


@pytest.mark.parametrize(
    ("share", "span_s"), [(4.0, 0.025), (1.0, 0.025), (0.625, 0.04), (0.1, round_budget.MAX_ROUND_S)]
)
def test_a_budget_is_processor_time_and_has_a_limit_in_clock_time(
    clock: list[float], share: float, span_s: float
) -> None:
    budget = RoundBudget(0.025, share)
    assert not budget.spent()
    clock[0] += span_s - 0.001
    assert not budget.spent()
    clock[0] += 0.002
    assert budget.spent()


def test_the_pause_after_a_round_is_proportional_to_its_processor_time() -> None:
    assert pause_after_round_s(0.1, 1.0, 8.0, 0.05) == pytest.approx(0.8)
    assert pause_after_round_s(0.1, 0.25, 8.0, 0.05) == pytest.approx(0.2)
    assert pause_after_round_s(0.001, 0.25, 8.0, 0.05) == 0.05


def test_a_late_event_loop_collects_changes_for_longer_up_to_a_limit() -> None:
    lag = EventLoopLag()
    assert lag.round_pause_s(0.03) == 0.03
    lag.record(0.1)
    assert not lag.late
    assert lag.round_pause_s(0.03) == 0.1
    lag.record(5.0)
    assert lag.late
    assert lag.round_pause_s(0.03) == MAX_ROUND_PAUSE_S
    for _ in range(20):
        lag.record(0.0)  # a single late timer stops counting soon
    assert not lag.late
    assert lag.round_pause_s(0.03) == 0.03
