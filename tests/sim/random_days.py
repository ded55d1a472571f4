"""Plays randomly drawn scenarios ("days"): a few fixed ones in every test run, or a number of new ones on request."""

from __future__ import annotations

from collections.abc import Callable

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.sim.scenario_text import Scenario, options


def last_trouble(scenario: Scenario) -> float:
    """Returns when the last action of a scenario, with its duration, is over, in seconds."""
    return max(at + float(options(words).get("for", 0)) for at, words in scenario.actions)


def play_days(days: st.SearchStrategy[str], play: Callable[[str], list[str]], part: int, few: int, more: int) -> None:
    """Plays days and fails with the text of one that has problems.

    Plays the `few` days of the seed `part`, or `more` new ones, shrunk when one fails, if `more` is not 0.
    """

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
