"""Plays randomly drawn scenarios ("days"): a few fixed ones in every test run, or new ones on request."""

from __future__ import annotations

from collections.abc import Callable

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.sim.scenario_text import Scenario, options


def last_trouble(scenario: Scenario) -> float:
    """Returns when the last action of a scenario, with its duration, is over, in seconds."""
    return max(at + float(options(words).get("for", 0)) for at, words in scenario.actions)


def play_days(
    days: st.SearchStrategy[str], play: Callable[[str], list[str]], group: int, fixed_count: int, new_count: int
) -> None:
    """Plays days and fails with the text of one that has problems.

    Plays `fixed_count` days, drawn with `group` as the seed. If `new_count` is not 0, plays that many new days instead,
    and shrinks one that fails.
    """

    @settings(
        max_examples=new_count or fixed_count,
        deadline=None,
        database=None,
        print_blob=False,
        phases=[Phase.generate, Phase.shrink] if new_count else [Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(days)
    def play_day(text: str) -> None:
        assert play(text) == [], text

    (play_day if new_count else seed(group)(play_day))()
