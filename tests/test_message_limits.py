"""No machine gets more tasks than its worker's heartbeat can list.

Guards against docs/incidents/2026-12-06-more-tasks-than-a-heartbeat-lists.md.
"""

from __future__ import annotations

import json
from random import Random
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from spurarch.coordination.admission.plan import CapacityShortage
from spurarch.coordination.admission.planner import AdmissionPlanner
from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.partition.machine import AttemptPhase, ExitedAttempt
from spurarch.coordination.scaling.idle_machines import idle_machines
from spurarch.coordination.scaling.scale_out_planner import FreedCapacityEstimate, plan_scale_out
from spurarch.coordination.scheduling.best_fit import book_by_best_fit
from spurarch.coordination.scheduling.local_search import refine
from spurarch.coordination.scheduling.placement import TaskPlacer
from spurarch.coordination.scheduling.placement_round import PlacementResult
from spurarch.protocol import recovery_messages, wire
from spurarch.protocol.message_limits import MAX_TASKS_PER_MACHINE
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.settings import Tuning
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, AllocationRecord, JobRecord, TaskEntry
from spurarch.transport.frames import MAX_FRAME_BYTES
from tests.test_decisions import search_of
from tests.test_scale import Fleet, submission

MESSAGE_BYTES = 64 * 1024  # by the protocol page
BUSY_TASKS = 4  # that run on each machine of a `Fleet`
TINY = 1e-4  # CPUs and gigabytes of a task that needs almost nothing


def add_job(fleet: Fleet, job_id: str, tasks: int, kind: str = wire.BATCH, **fields: Any) -> None:
    """Adds a job of tiny tasks that are admitted to the partition and wait there for machines."""
    spec = submission(job_id, tasks)
    spec.kind, spec.cpus, spec.memory_gb = kind, TINY, TINY
    for name, value in fields.items():
        setattr(spec, name, value)
    fleet.put(records.JOB + job_id, JobRecord(spec, 1.0))
    keys = []
    for chunk, first in enumerate(range(0, tasks, 100)):
        key = str(AllocationKey("a", job_id, chunk))
        fleet.put(key, AllocationRecord([TaskEntry(index) for index in range(first, min(tasks, first + 100))]))
        keys.append(key)
    fleet.apply_changes(keys)


def run_round(fleet: Fleet) -> PlacementResult:
    return TaskPlacer().run_round(fleet.partition, fleet.view, 2.0, lambda: False, 1000)


def placed_by_machine(result: PlacementResult) -> dict[str, int]:
    """Returns how many tasks a round has assigned to each machine."""
    counts: dict[str, int] = {}
    for entries in result.entries.values():
        for entry in entries.values():
            if entry.state == records.ASSIGNED:
                counts[entry.machine] = counts.get(entry.machine, 0) + 1
    return counts


# Limits


def test_a_heartbeat_with_the_most_tasks_is_not_too_long_whatever_their_names_and_states_are() -> None:
    task = {
        "leg": f"job-{'9' * 24}/99999",
        "try": 2**63 - 1,
        "standing": "gathering",
        "cause": "incomplete",
        "stored": False,
    }
    name = "x" * 160
    heartbeat = {
        "croft": name,
        "addr": name,
        "build": name,
        "district": name,
        "lendable": False,
        "tenure": 2**63 - 1,
        "tally": 2**63 - 1,
        "baton": 2**64 - 1,
        "warning_s": -1.7976931348623157e308,
        "legs": [task] * MAX_TASKS_PER_MACHINE,
    }
    assert len(json.dumps(heartbeat)) <= MESSAGE_BYTES


# Placement


@settings(max_examples=50, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 470), st.integers(0, 30)), min_size=1, max_size=6),
    st.lists(st.tuples(st.sampled_from([0.0, 1e-9, 0.02, 1.0]), st.integers(1, 1500)), min_size=1, max_size=5),
)
def test_best_fit_books_no_more_tasks_than_a_machine_can_list(
    machines: list[tuple[int, int]], groups: list[tuple[float, int]]
) -> None:
    capacities = [MachineCapacity(i, 0, 0, False, 32.0, 0, 256.0, 32.0, 0, 256.0) for i in range(len(machines))]
    for capacity, (tiny, large) in zip(capacities, machines, strict=True):
        capacity.book(Requirements(TINY, 0, TINY, None, True, 0, 3), tiny)
        capacity.book(Requirements(1.0, 0, 1.0, None, True, 0, 1), large)
    over_before = {capacity.machine for capacity in capacities if capacity.free_tasks < 0}
    for amount, count in groups:
        requirements = Requirements(amount, 0, amount, None, True, 0, 0)
        for capacity in capacities:
            assert capacity.fits(requirements) == (capacity.task_slots(requirements, 1) == 1)
            assert capacity.fits_by_preemption(requirements) >= capacity.fits(requirements)
            assert 0 <= capacity.slots_after_preemption(requirements, 9999) <= MAX_TASKS_PER_MACHINE
        book_by_best_fit(requirements, capacities, count, TentativeBookings())
    assert all(capacity.free_tasks >= 0 or capacity.machine in over_before for capacity in capacities)


@settings(max_examples=15, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([wire.BATCH, wire.SERVICE, wire.GANG]),
            st.sampled_from([0.0, 1e-9, TINY, 0.02, 1.0]),
            st.integers(1, 900),
            st.sampled_from(list(wire.PRIORITIES)),
        ),
        min_size=1,
        max_size=6,
    ),
    st.integers(0, 470),
)
def test_no_round_assigns_more_tasks_than_a_machine_can_list(
    jobs: list[tuple[str, float, int, str]], exits: int
) -> None:
    fleet = Fleet(40)
    machine = fleet.partition.machines["vm-0"]
    machine.exits_to_forget = {("job-e", n): ExitedAttempt(f"job-e/{n}", 1, 0) for n in range(exits)}
    for number, (kind, amount, tasks, priority) in enumerate(jobs):
        add_job(fleet, f"job-{5000 + number}", tasks, kind, cpus=amount, memory_gb=amount, priority=priority)
    counts = placed_by_machine(run_round(fleet))
    assert all(BUSY_TASKS + count <= MAX_TASKS_PER_MACHINE for count in counts.values())
    assert counts.get("vm-0", 0) <= max(0, MAX_TASKS_PER_MACHINE - BUSY_TASKS - exits)


@pytest.mark.parametrize("machines", [40, 4000])
def test_tiny_tasks_fill_the_machines_of_a_fleet_one_after_another(machines: int) -> None:
    fleet, tasks = Fleet(machines), 5000
    add_job(fleet, "job-9001", tasks)
    counts = placed_by_machine(run_round(fleet))
    assert sum(counts.values()) == tasks
    assert max(counts.values()) == MAX_TASKS_PER_MACHINE - BUSY_TASKS


def _exited(fleet: Fleet, count: int) -> None:
    """The worker lists exited attempts whose end is not on record yet; 100 of them belong to each allocation."""
    for chunk in range(count // 100):
        key = str(AllocationKey("a", f"job-{7000 + chunk}", 0))
        fleet.put(f"{records.JOB}job-{7000 + chunk}", JobRecord(submission(f"job-{7000 + chunk}", 100), 0.0))
        fleet.state.jobs[f"job-{7000 + chunk}"].spec.cpus = TINY
        fleet.put(key, AllocationRecord([TaskEntry(n, records.ASSIGNED, 1, "vm-0", 1) for n in range(100)]))
        fleet.apply_changes([key])
    for attempt in list(fleet.partition.attempts.values()):
        if attempt.allocation.job != "job-0":
            fleet.partition.state.transition(attempt, AttemptPhase.EXITED, wire.REASON_DONE)


def _to_forget(fleet: Fleet, count: int) -> None:
    exits = {("job-e", n): ExitedAttempt(f"job-e/{n}", 1, 0) for n in range(count)}
    fleet.partition.machines["vm-0"].exits_to_forget = exits


def _unrecorded(fleet: Fleet, count: int) -> None:
    tasks = [wire.TaskStatus(f"job-u/{n}", 1, wire.RUNNING) for n in range(count)]
    fleet.partition.machines["vm-0"].unrecorded_tasks = tasks


@pytest.mark.parametrize("listed", [_exited, _to_forget, _unrecorded])
def test_tasks_that_a_worker_still_lists_take_the_places_of_new_ones(listed: Any) -> None:
    """An exited task frees its CPUs at once, but its place only when the worker has forgotten it."""
    fleet = Fleet(1)
    listed(fleet, 400)
    add_job(fleet, "job-9001", 200)
    assert placed_by_machine(run_round(fleet)) == {"vm-0": MAX_TASKS_PER_MACHINE - BUSY_TASKS - 400}
    assert fleet.view.capacities[fleet.view.machines.index("vm-0")].free_tasks <= MAX_TASKS_PER_MACHINE - BUSY_TASKS


def test_one_task_of_lower_priority_is_preempted_for_its_place_on_a_machine_with_free_cpus() -> None:
    fleet = Fleet(1)
    fleet.view.capacities[fleet.view.machines.index("vm-0")].free_tasks = 0
    add_job(fleet, "job-9001", 1, wire.SERVICE, priority="production")
    result = run_round(fleet)
    assert placed_by_machine(result) == {}
    assert len(result.preempt) == 1


@pytest.mark.parametrize(("free_tasks", "is_target"), [(0, False), (100, True)])
def test_the_local_search_moves_no_replica_to_a_machine_that_can_list_no_more(free_tasks: int, is_target: bool) -> None:
    search = search_of([(1, 0)] * 6 + [(1, 1)], 2)
    search.capacities[0].free_tasks = free_tasks
    result = search.run(Random(1), 40, 10, 5, 3, 0.0, lambda: False)
    assert any(move.target == 0 for move in result.moves) is is_target


@pytest.mark.parametrize(("free_tasks", "drains"), [(200, False), (400, True)])
def test_no_machine_is_drained_if_the_others_could_not_list_its_tasks(free_tasks: int, drains: bool) -> None:
    fleet, tuning = Fleet(2), Tuning()
    tuning.consolidation_cap = 0.9
    for capacity in fleet.view.capacities.values():
        capacity.free_tasks = free_tasks
    refinement = refine(fleet.partition, fleet.view, tuning, 2.0, Random(1), lambda: False)
    assert (refinement.machine_to_drain is not None) is drains


@pytest.mark.parametrize(("free_tasks", "released"), [(10, 0), (400, 1)])
def test_an_idle_machine_is_kept_while_the_others_can_list_few_more_tasks(free_tasks: int, released: int) -> None:
    fleet, tuning = Fleet(3), Tuning()
    tuning.headroom, tuning.idle_release_s = 0.2, 1.0
    fleet.view.capacities[fleet.view.machines.index("vm-0")].tasks = 0
    fleet.partition.machines["vm-0"].attempts.clear()
    for name in ("vm-1", "vm-2"):
        fleet.view.capacities[fleet.view.machines.index(name)].free_tasks = free_tasks
    fleet.partition.machines["vm-0"].idle_since = 0.0
    assert len(idle_machines(fleet.partition, fleet.view, tuning, 99.0)) == released


# Admission and scale out


def test_a_zone_is_given_no_more_tiny_tasks_ahead_of_time_than_its_machines_can_list() -> None:
    fleet = Fleet(2)
    for capacity in fleet.view.capacities.values():
        capacity.free_tasks = 0
    fleet.put(records.JOB + "job-9001", JobRecord(_tiny("job-9001", 1000), 1.0))
    fleet.view.update()
    plan = AdmissionPlanner(fleet.view, 2.0, admit_ahead_s=10.0).run(None, lambda: False, 24)
    admitted = sum(len(grant.entries) for grant in plan.grants)
    assert 0 < admitted <= 2 * BUSY_TASKS  # as many as end by then; their CPUs would allow 1,000


def _tiny(job_id: str, tasks: int) -> wire.Submission:
    spec = submission(job_id, tasks)
    spec.cpus = spec.memory_gb = TINY
    return spec


@pytest.mark.parametrize("amount", [0.0, TINY])
def test_machines_are_requested_for_as_many_tiny_tasks_as_each_can_list(amount: float) -> None:
    fleet = Fleet(1)
    requirements = Requirements(amount, 0.0, amount, None, True, 0, 1)
    shortage = CapacityShortage(requirements, 1500, None, False, "job-9001", 10.0, False)
    orders = plan_scale_out(
        fleet.view, [shortage], [], set(), ["a"], FreedCapacityEstimate(_without_free_tasks(fleet.view), 0.0), 2.0
    )
    assert sum(order.count for order in orders) == -(-1500 // MAX_TASKS_PER_MACHINE)


def _without_free_tasks(view: FleetView) -> FleetView:
    for capacity in view.capacities.values():
        capacity.free_tasks = 0
    return view


# Rebuilding lost records


@settings(max_examples=20, deadline=None)
@given(st.lists(st.integers(0, MAX_TASKS_PER_MACHINE), min_size=1, max_size=300), st.integers(0, 30))
@example([MAX_TASKS_PER_MACHINE] * 300, 0)
def test_collected_heartbeats_are_passed_on_in_frames_that_peers_accept(tasks: list[int], repeated: int) -> None:
    """A peer refused a page of large heartbeats, so the rebuild went on without that controller's workers."""
    collector = HeartbeatCollector(lambda now: True, lambda job: False)
    collector.begin(7)
    name, job = "n" * 160, "job-" + "9" * 24
    for number, count in enumerate([*tasks, *tasks[:repeated]]):
        worker = f"{name[: -len(str(number % len(tasks)))]}{number % len(tasks)}"
        statuses = [
            wire.TaskStatus(f"{job}/{99999 - n}", 2**63 - 1, "gathering", "incomplete", False) for n in range(count)
        ]
        heartbeat = wire.Heartbeat(worker, name, name, name, 1, number, collector.token, statuses)
        collector.on_heartbeat(heartbeat)
    received: dict[str, int] = {}
    position = 0
    while True:
        page = collector.page(7, position)
        assert len(recovery_messages.encode(page)) <= MAX_FRAME_BYTES
        if not page.heartbeats:
            break
        position = page.position
        received.update((heartbeat.machine, len(heartbeat.tasks)) for heartbeat in page.heartbeats)
    assert sorted(received.values()) == sorted(tasks)
