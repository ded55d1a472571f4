"""Teams at their limits, with random faults that make charges outdated; fixed seeds, in virtual time.

For 200 new scenarios: `SPURARCH_MEETINGS=200 python -m pytest -o faulthandler_timeout=0
tests/test_team_limit_combinations.py`; a failure found this way is added as a scenario file.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import strategies as st

from tests.sim.random_scenarios import last_fault_end, play_random_scenarios
from tests.sim.scenario import ScenarioRun
from tests.sim.scenario_text import Scenario
from tests.test_fault_combinations import MORE, faults, machines, moments, nodes

BASE = """team t max=60
team u max=4
team v max=5.5
type small cpus=4 boot=5 capacity=6
tuning consolidation_cap=0
page-items 4
machines small a 2
machines small b 2
machines small c 2
at 2 submit job-1 team=t kind=daemon priority=production tasks=3 cpus=1
at 3 submit job-2 team=u tasks=8 run=5,9
at 4 submit job-3 team=v tasks=7 cpus=1.1 run=6
at 6 submit job-4 team=u kind=gang tasks=2 cpus=1 run=8
at 7 submit job-5 team=v kind=daemon priority=production tasks=2 cpus=0.7
"""
LIMITS = {"t": 60.0, "u": 4.0, "v": 5.5}
DAY_S = 45.0
QUIET_S = 125.0

spans = st.sampled_from([0.5, 1.5, 4.0, 9.0])
# Faults that delay records or responses, so that a controller works with outdated charges, and all other faults.
stale = st.one_of(
    st.builds("too-old {} for={}".format, nodes, spans),
    st.builds("no-watch {} for={}".format, nodes, spans),
    st.builds("slow-pages {} by=0.4".format, nodes),
    st.builds(
        "slow-writes live/allot/{}/ by={} for={}".format,
        st.sampled_from("abc"),
        st.sampled_from([0.6, 1.8, 4.0]),
        spans,
    ),
    st.builds("lose-answers for={}".format, st.sampled_from([0.5, 1.5, 3.0])),
    st.builds("kill-leader for={}".format, st.sampled_from([0.3, 4.0])),
    st.builds("hang {} for={}".format, machines, st.sampled_from([4.0, 14.0])),
    faults,
)
timed = st.builds("at {} {}".format, moments, stale)
kinds = st.sampled_from(["kind=gang", "kind=daemon priority=production", "priority=high", "priority=normal", ""])
submits = st.builds(
    "at {0} submit job-{1} team={2} tasks={3} cpus={4} run=5 {5}".format,
    moments,
    st.integers(10, 30),
    st.sampled_from("uv"),
    st.integers(1, 4),
    st.sampled_from([0.3, 1, 1.1]),
    kinds,
)
cancels = st.builds("at {} cancel job-{}".format, moments, st.sampled_from([2, 3, 4, 5, 5]))
scenarios = st.builds(
    lambda *parts: "\n".join(
        sorted((line for lines in parts for line in lines), key=lambda line: float(line.split()[1]))
    ),
    st.lists(timed, min_size=3, max_size=7),
    st.lists(submits, min_size=4, max_size=8, unique_by=lambda line: line.split()[3]),
    st.lists(cancels, max_size=3, unique_by=lambda line: line.split()[3]),
)


def run_scenario(text: str) -> list[str]:
    """Problems found in one scenario; services are cancelled at the end, so that jobs waiting for quota can run."""
    jobs = [line.split()[3] for line in (BASE + text).splitlines() if " submit " in line]
    services = [line.split()[3] for line in (BASE + text).splitlines() if "kind=daemon" in line]
    late = "\n".join(f"at {DAY_S + 15} cancel {job_id}" for job_id in services if job_id != "job-1")
    scenario = Scenario.parse(f"{BASE}{text}\n{late}\n", {})
    scenario.end = last_fault_end(scenario) + QUIET_S
    scenario_run = ScenarioRun(scenario)
    scenario_run.run()
    last = {job_id: scenario_run.answers_by_job.get(job_id, ["nothing"])[-1] for job_id in jobs if job_id != "job-1"}
    refused = {job_id for job_id in last if beyond_limit(scenario_run.world.jobs[job_id])}
    wrong = [
        f"{job_id} is left: {state}"
        for job_id, state in last.items()
        if state not in (("422",) if job_id in refused else ("done", "aborted"))
    ]
    return scenario_run.problems + wrong


def beyond_limit(spec: dict[str, Any]) -> bool:
    """Whether the job can never run: its tasks together, or a single one of an array, exceed the quota of the team."""
    tasks = 1 if spec["gait"] == "batch" else spec["legs"]
    return bool(tasks * spec["vcpus"] > LIMITS[spec["crew"]])


@pytest.mark.parametrize("part", range(3))
def test_teams_stay_within_their_limits(part: int) -> None:
    play_random_scenarios(scenarios, run_scenario, part, 5, MORE // 3)
