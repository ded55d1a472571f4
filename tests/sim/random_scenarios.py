"""Runs randomly drawn scenarios: a few fixed ones in every test run, or new ones on request."""

from __future__ import annotations

from collections.abc import Callable

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.sim.scenario_text import Scenario, options


def last_fault_end(scenario: Scenario) -> float:
    """Returns when the last action of a scenario, with its duration, is over, in seconds."""
    return max(at + float(options(words).get("for", 0)) for at, words in scenario.actions)


def play_random_scenarios(
    scenarios: st.SearchStrategy[str],
    run_scenario: Callable[[str], list[str]],
    group: int,
    fixed_count: int,
    new_count: int,
) -> None:
    """Runs scenarios and fails with the text of one that has problems.

    Runs `fixed_count` scenarios, drawn with `group` as the seed. If `new_count` is not 0, runs that many new ones
    instead, and shrinks one that fails.
    """

    @settings(
        max_examples=new_count or fixed_count,
        deadline=None,
        database=None,
        print_blob=False,
        phases=[Phase.generate, Phase.shrink] if new_count else [Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(scenarios)
    def play_day(text: str) -> None:
        assert run_scenario(text) == [], text

    (play_day if new_count else seed(group)(play_day))()
