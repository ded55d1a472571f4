"""Two to four faults at random times, with real controllers and fixed seeds: no rule may break, and work must go on.

For 500 new scenarios: `SPURARCH_MEETINGS=500 python -m pytest -o faulthandler_timeout=0
tests/test_fault_combinations.py` (docs/operations.md); a failure found this way is added as a scenario file.
"""

from __future__ import annotations

import os
from itertools import chain

import pytest
from hypothesis import strategies as st

from tests.sim.random_scenarios import last_fault_end, play_random_scenarios
from tests.sim.scenario import ScenarioRun
from tests.sim.scenario_text import Scenario

MORE = int(os.environ.get("SPURARCH_MEETINGS", "0"))  # new scenarios to generate instead of those of the fixed seeds
QUIET_S = 125.0  # after the last fault, until all jobs have to be final
BASE = """team t max=60
team u max=4
type small cpus=4 boot=5 capacity=6
tuning consolidation_cap=0
machines small a 2
machines small b 2
machines small c 2
at 2 submit job-1 kind=daemon priority=production tasks=5 cpus=1 spread
at 3 submit job-2 tasks=3 run=4,25,60
at 4 submit job-3 team=u tasks=8 run=6
at 5 submit job-4 tasks=4 run=150
at 6 submit job-5 zone=b tasks=4 run=12,30
at 6.5 submit job-10 kind=gang together tasks=3 cpus=2 run=25 checkpoint=10 save=1 fetch=1
at 7 submit job-11 kind=gang priority=high tasks=4 run=12
"""

nodes, zones = st.sampled_from(["n0", "n1", "n2"]), st.sampled_from(["a", "b", "c"])
machines = st.integers(1, 6).map("vm-{:06d}".format)
spans = st.sampled_from([0.3, 1.0, 3.0, 8.0, 14.0, 25.0, 40.0])
modes = st.sampled_from(["drop", "hold"])
faults = st.one_of(
    st.builds("kill {} for={}".format, nodes, st.sampled_from([0.2, 0.8, 3.0, 10.0])),
    st.builds("kill-all for={}".format, st.sampled_from([0.2, 3.0, 12.0])),
    st.builds("cut {} store for={} mode={}".format, nodes, spans, modes),
    st.builds("alone {} for={}".format, nodes, spans),
    st.builds("refuse {} for={}".format, nodes, spans),
    st.builds("outage for={}".format, spans),
    st.builds("outage for={}".format, st.sampled_from([14.0, 40.0])),
    st.builds("cut n0 n1 for={} mode={}".format, spans, modes),
    st.builds("cut-zone {} for={} mode={}".format, zones, spans, modes),
    st.builds("deafen {} for={}".format, machines, spans),
    st.builds("mute {} for={}".format, machines, spans),
    st.builds("hang {} for={}".format, machines, spans),
    st.builds("die {}".format, machines),
    st.builds("reboot {}".format, machines),
    st.builds("slow-store for={} by={}".format, spans, st.sampled_from([0.3, 0.9, 1.6])),
    st.builds("late-writes for={} share={}".format, spans, st.sampled_from([0.2, 0.6])),
    st.builds("late-reports for={} share=0.4".format, spans),
    st.builds("cancel-at-end for={}".format, spans),
    st.builds("slow-responses {} for={} by={}".format, machines, spans, st.sampled_from([1.0, 2.5, 3.8])),
)
moments = st.integers(80, 400).map(lambda tenths: tenths / 10)
timed = st.builds("at {} {}".format, moments, faults)
cancels = st.builds("at {} cancel job-{}".format, moments, st.sampled_from([3, 4, 4, 4, 5, 10]))
submits = st.builds("at {0} submit job-{1} tasks={2} run=5".format, moments, st.integers(6, 9), st.integers(1, 6))
scenarios = st.builds(
    lambda lines: "\n".join(dict.fromkeys(sorted(lines, key=lambda line: float(line.split()[1])))),
    st.builds(
        lambda *parts: list(chain.from_iterable(parts)),
        st.lists(timed, min_size=2, max_size=4),
        st.lists(cancels, min_size=1, max_size=3),
        st.lists(submits, max_size=2, unique_by=lambda line: line.split()[3]),
    ),
)


def left(scenario_run: ScenarioRun, but: set[str], may_be: set[str]) -> list[str]:
    """Jobs whose last reported state is not in `may_be`, except the jobs in `but`."""
    refs = [words[1] for _, words in scenario_run.scenario.actions if words[0] == "submit" and words[1] not in but]
    last = {job_id: scenario_run.answers_by_job.get(job_id, ["nothing"])[-1] for job_id in refs}
    return [f"{job_id} is left: {state}" for job_id, state in last.items() if state not in may_be]


def run_scenario(text: str) -> list[str]:
    """Problems found in one scenario."""
    scenario = Scenario.parse(BASE + text, {})
    scenario.end = last_fault_end(scenario) + QUIET_S
    revoking = {words[1] for _, words in scenario.actions if words[0] == "cancel"}
    may_be = {"done", "aborted"} if "cancel-at-end" in text else {"done"}
    scenario_run = ScenarioRun(scenario)
    scenario_run.run()
    problems = scenario_run.problems + left(scenario_run, {*revoking, "job-1", "job-4"}, may_be)
    replicas = [task for _, task in scenario_run.world.on_machines() if task.name.startswith("job-1/")]
    if len(replicas) != 5:
        problems.append(f"{len(replicas)} replicas of 5 run")
    return problems


@pytest.mark.parametrize("part", range(4))  # in parts, so that no test takes long on a slow machine
def test_meetings(part: int) -> None:
    play_random_scenarios(scenarios, run_scenario, part, 6, MORE // 4)
