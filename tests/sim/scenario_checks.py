"""Checks of a scenario: conditions at given times, a check throughout the run, and expectations at the end.

Conditions, checked at the time of the line (`at SECONDS sure CONDITION` or `at SECONDS sure not CONDITION`):

    confirmed JOB             its user has received the confirmation of its cancellation
    runs JOB                  a task of the job has its image on a machine and has not ended
    runs-all JOB              all tasks of the gang are running
    lists MACHINE N           the worker of the machine lists at least N tasks, exited ones included
    gathers JOB               a task of the gang has its image and waits for the other members
    up NODE                   the controller's process is running
    leads NODE                the controller is running and is the leader
    holds NODE ZONE           the controller owns the partition, by the records of the state service
    loaded NODE               the controller is running, and its copy of the records is loaded
    known NODE JOB            the controller's copy of the records has the job
    copied NODE JOB           the controller's copy of the records shows the job as cancelled
    heard NODE JOB            the controller was notified by a peer of the job's cancellation
    answered STATUS           a submission got this status code
    recorded PREFIX           the state service has a key with this prefix
    unrecorded PREFIX         the state service has no key with this prefix

Expectations (`expect EXPECTATION`):

    told JOB STATE            the last answer to the job's user was this state, or the status that refused the job
    on JOB N                  N tasks of the job have their image on a machine and have not ended
    begun JOB SECONDS         the first task of the job started within this time after the submission
    attempts JOB N            N attempts of the gang have run
    orderly JOB N             N attempts of the gang were stopped, and all members saved their progress
    started N                 at most N tasks were started
    started-once              no task started more than once, not counting a start for each worker that lost the task
                              when its lease expired
    session MACHINE N         the worker's incarnation is N; it rises from 1 when its lease expires or it reboots
    gone MACHINE              the machine was released
    kept MACHINE              the machine was not released
    machines MIN MAX          the number of machines that are rented is in this range
    leaders N                 N leaders were killed by `kill-leader`
    late-writes N M           at least N late transactions were committed, and at least M were refused
    late-reports N            at least N late copies of heartbeats arrived
    repeated-commands N       at least N copies of answered direct commands arrived
    repeated PREFIX N         at least N transactions that created a key with this prefix were repeated
    throttled N               at most N requests were over the rate limits of the state service
    empty PREFIX              the state service has no key with this prefix
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from tests.sim.store import MAX_TRANSACTION_DELAY_S

if TYPE_CHECKING:
    from tests.sim.scenario import ScenarioRun

RECORD_REMOVAL_S, MAX_RECORD_RETURNS = 3.0, 3
FIND_CONTROLLER_S = 5.5  # longest time in which a worker finds another controller


def condition_holds(scenario_run: ScenarioRun, words: list[str]) -> bool:
    """Returns whether a condition of `sure` holds now; a leading `not` inverts it."""
    if words[0] == "not":
        return not condition_holds(scenario_run, words[1:])
    kind, *args = words
    if kind == "confirmed":
        return args[0] in scenario_run.world.cancelled_at
    if kind == "runs":
        return any(task.name.startswith(args[0] + "/") for _, task in scenario_run.world.on_machines())
    if kind == "up":
        return args[0] in scenario_run.running
    if kind == "leads":
        return args[0] in scenario_run.running and scenario_run.controllers[args[0]].membership.leading
    if kind == "holds":
        value = scenario_run.store.keys.get(f"live/part/{args[1]}")
        return value is not None and value[0]["node"] == args[0]
    if kind == "copied":
        record = scenario_run.controllers[args[0]].replica.state.jobs.get(args[1])
        return record is not None and record.cancelled
    if kind == "heard":
        return args[1] in scenario_run.controllers[args[0]].reachability.reported_cancellations
    if kind == "runs-all":
        job = scenario_run.world.jobs[args[0]]
        states = [task.state for _, task in scenario_run.world.on_machines() if task.name.startswith(args[0] + "/")]
        return states == ["running"] * job["legs"]
    if kind == "lists":
        return len(scenario_run.world.workers[args[0]].tasks) >= int(args[1])
    if kind == "gathers":
        return any(
            t.name.startswith(args[0] + "/") and t.state == "gathering" for _, t in scenario_run.world.on_machines()
        )
    if kind == "answered":
        return int(args[0]) in scenario_run.submission_statuses
    if kind in ("recorded", "unrecorded"):
        return any(key.startswith(args[0]) for key in scenario_run.store.keys) == (kind == "recorded")
    if kind == "known":
        return args[1] in scenario_run.controllers[args[0]].replica.state.jobs
    if kind == "loaded":
        return args[0] in scenario_run.running and scenario_run.controllers[args[0]].replica.loaded
    raise ValueError(f"unknown condition: {words}")


async def watch_records(scenario_run: ScenarioRun) -> None:
    """Checks throughout the run that no released machine is recorded as open to tasks.

    A record has to be removed within `RECORD_REMOVAL_S` of the release, not counting outages of the state service and
    times of slow responses, when records can't be changed. A late transaction may create the record again, and the
    partition owner has to remove it again; more than `MAX_RECORD_RETURNS` returns of one record are a fault.

    If all controllers end, no memory of the release is left. After their restart, they have `silent_s` to find that the
    machine sends no heartbeats, as for any machine that they have not heard from.
    """
    silent_s = max(
        1.5 * scenario_run.limits["lease_s"],
        scenario_run.limits["cancel_s"] - scenario_run.limits["lease_s"] + FIND_CONTROLLER_S,
    )
    all_ended_at = float("-inf")
    record_versions: dict[str, tuple[int, float]] = {}  # by key: version of the record, and when it was first seen
    return_counts: dict[str, int] = {}
    while True:
        await curio.sleep(0.05)
        if not scenario_run.running:
            all_ended_at = scenario_run.clock.now
        for key, (value, version, _) in scenario_run.store.keys.items():
            if key.startswith("live/machine/") and value["open"]:
                name = key.rsplit("/", 1)[1]
                gone_at = scenario_run.cloud.machines[name].get("gone_at", scenario_run.clock.now)
                if gone_at <= all_ended_at:
                    gone_at = all_ended_at + silent_s
                gone_at = max(gone_at, scenario_run.store.outage_until, scenario_run.store.slow_until)
                if scenario_run.clock.now <= gone_at:
                    record_versions[key] = version, scenario_run.clock.now
                    continue
                if record_versions.setdefault(key, (version, gone_at))[0] != version:
                    record_versions[key] = version, scenario_run.clock.now
                    return_counts[key] = return_counts.get(key, 0) + 1
                # The transaction that removes the record may itself be carried out late.
                timeout_s = RECORD_REMOVAL_S + (
                    MAX_TRANSACTION_DELAY_S
                    if scenario_run.clock.now < scenario_run.store.late_until + MAX_TRANSACTION_DELAY_S
                    else 0.0
                )
                if (
                    scenario_run.clock.now - max(gone_at, record_versions[key][1]) > timeout_s
                    or return_counts.get(key, 0) > MAX_RECORD_RETURNS
                ):
                    scenario_run.problems.append(f"revived: {name} at {scenario_run.clock.now - 1000:.2f}")
                    return


def expectation_holds(scenario_run: ScenarioRun, words: list[str]) -> bool:
    """Returns whether an expectation is met at the end of a scenario."""
    kind, args = words[0], words[1:]
    if kind == "told":
        return scenario_run.answers_by_job.get(args[0], ["nothing"])[-1] == args[1]
    if kind == "attempts":
        return scenario_run.world.gangs.starts.get(args[0], 0) == int(args[1])
    if kind == "orderly":
        return scenario_run.world.gangs.orderly.get(args[0], 0) == int(args[1])
    if kind == "on":
        found = [t for _, t in scenario_run.world.on_machines() if t.name.startswith(args[0] + "/")]
        return len(found) == int(args[1])
    if kind == "begun":
        began = scenario_run.world.first_started_at.get(args[0], float("inf"))
        return began - scenario_run.world.submitted[args[0]] <= float(args[1])
    if kind == "session":
        return scenario_run.world.workers[args[0]].incarnation == int(args[1])
    if kind == "late-writes":
        return scenario_run.store.late_applied >= int(args[0]) and scenario_run.store.late_refused >= int(args[1])
    if kind == "late-reports":
        return scenario_run.world.late_heartbeats >= int(args[0])
    if kind == "repeated-commands":
        return scenario_run.world.repeated_commands >= int(args[0])
    if kind == "leaders":
        return scenario_run.leaders_ended == int(args[0])
    if kind == "repeated":
        return scenario_run.store.repeated.get(args[0], 0) >= int(args[1])
    if kind == "throttled":
        return scenario_run.store.throttled <= int(args[0])
    if kind == "machines":
        up = sum(not m["gone"] for m in scenario_run.cloud.machines.values())
        return int(args[0]) <= up <= int(args[1])
    if kind in ("gone", "kept"):
        return bool(scenario_run.cloud.machines[args[0]]["gone"]) == (kind == "gone")
    if kind == "started":
        return scenario_run.world.checks.started <= int(args[0])
    if kind == "started-once":
        checks = scenario_run.world.checks
        return all(n <= 1 + checks.lost_with_lease.get(name, 0) for name, n in checks.starts.items())
    if kind == "empty":
        return not [key for key in scenario_run.store.keys if key.startswith(args[0])]
    raise ValueError(f"unknown expectation: {words}")
