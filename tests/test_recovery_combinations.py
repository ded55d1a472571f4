"""Random scenarios: the state service loses data during other faults; responses to users stay true after every loss.

Responses wait for the archive, so they must hold whatever copies survive.
`SPURARCH_LOSSES=500 python -m pytest tests/test_recovery_combinations.py` runs that many new scenarios.
"""

from __future__ import annotations

import os
from itertools import chain

import pytest
from hypothesis import strategies as st

from tests.sim.random_scenarios import last_fault_end, play_random_scenarios
from tests.sim.recovery import RecoveryScenarioRun
from tests.sim.scenario_text import Scenario
from tests.test_fault_combinations import BASE, QUIET_S, left, moments, timed

MORE = int(os.environ.get("SPURARCH_LOSSES", "0"))

losses = st.one_of(
    st.just("wipe"),
    st.just("restore early"),
    st.sampled_from(["lose live/allot/", "lose live/job/", "lose live/part/", "lose history/open/"]),
)
lost = st.one_of(
    st.builds("at {} {}".format, moments, losses),
    st.builds("at {} restore later".format, st.integers(161, 400).map(lambda tenths: tenths / 10)),  # saved at 16 s
)
archiver = st.builds(
    "at {0} stop-archiver\nat {1} start-archiver".format,
    st.integers(80, 200).map(lambda t: t / 10),
    st.integers(201, 400).map(lambda t: t / 10),
)
cancels = st.builds("at {} cancel job-{}".format, moments, st.sampled_from([3, 4, 5, 10]))
scenarios = st.builds(
    lambda *parts: "\n".join(dict.fromkeys(chain.from_iterable(parts))),
    st.lists(lost, min_size=1, max_size=2),
    st.lists(timed, max_size=3),
    st.lists(cancels, max_size=2),
    st.lists(archiver, max_size=1),
)


def run_scenario(text: str) -> list[str]:
    """Runs a scenario and returns its problems."""
    whole = f"answers archived\n{BASE}at 8 save early\nat 16 save later\n{text}"
    scenario = Scenario.parse(whole, {})
    scenario.end = (
        last_fault_end(scenario) + QUIET_S + 40.0
    )  # a rebuild may have to wait for workers that send no heartbeat
    revoking = {words[1] for _, words in scenario.actions if words[0] == "cancel"}
    may_be = {"done", "aborted"} if "cancel-at-end" in text else {"done"}
    scenario_run = RecoveryScenarioRun(scenario)
    scenario_run.run()
    return scenario_run.problems + left(scenario_run, {*revoking, "job-1", "job-4"}, may_be)


@pytest.mark.parametrize("group", range(3))
def test_losses_among_other_troubles(group: int) -> None:
    play_random_scenarios(scenarios, run_scenario, group, 4, MORE // 3)
