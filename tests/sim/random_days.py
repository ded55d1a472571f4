"""Plays random days of a scenario: the same few in every run of the tests, or as many new ones as are asked for."""

from __future__ import annotations

from collections.abc import Callable

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.sim.scenario_text import Scenario, options


def last_trouble(scenario: Scenario) -> float:
    """When the last thing that happens on a day is over."""
    return max(at + float(options(words).get("for", 0)) for at, words in scenario.actions)


def play_days(days: st.SearchStrategy[str], play: Callable[[str], list[str]], part: int, few: int, more: int) -> None:
    """Plays a part of the days, and fails with the text of one on which something broke; `more` are new ones."""

    @settings(
        max_examples=more or few,
        deadline=None,
        database=None,
        print_blob=False,
        phases=[Phase.generate, Phase.shrink] if more else [Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(days)
    def one(text: str) -> None:
        assert play(text) == [], text

    (one if more else seed(part)(one))()
