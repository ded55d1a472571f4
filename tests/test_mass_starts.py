"""Mass starts: writes to the state service are scarce, so their order matters and needless ones delay starts.

Tasks must not move back and forth between partitions, and replicas must not wait behind arrays.
"""

from __future__ import annotations

import curio

from spurarch.coordination.admission.planner import AdmissionPlanner
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.scheduling.placement import TaskPlacer
from spurarch.protocol import wire
from spurarch.settings import StateLimits, Team
from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import AllocationKey, AllocationRecord, JobRecord, MachineRecord, TaskEntry
from spurarch.storage.store import Store
from tests.sim.clock import Clock
from tests.test_scale import Fleet, ImmediateStateService, submission


def add_waiting_job(fleet: Fleet, zone: str, job_id: str, tasks: int) -> None:
    """Adds a job whose tasks are admitted to a zone, but not placed yet for lack of free capacity."""
    fleet.put(f"{records.JOB}{job_id}", JobRecord(submission(job_id, tasks), 0.0))
    fleet.put(str(AllocationKey(zone, job_id, 0)), AllocationRecord([TaskEntry(n) for n in range(tasks)]))


def returned_tasks(waiting_in_b: int, writes_scarce: bool = False, capacity_added_at: float = -100.0) -> int:
    """Tasks that partition `a` returns while zone `b` has free capacity for 32 tasks and waiting tasks of its own."""
    fleet = Fleet(0)
    fleet.put(records.machine_key("b", "vm-1"), MachineRecord("big", False, "10.1.0.1:9000"))
    add_waiting_job(fleet, "a", "job-1", 10)
    if waiting_in_b:
        add_waiting_job(fleet, "b", "job-2", waiting_in_b)
    fleet.apply_changes(list(fleet.state.entries))
    placer = TaskPlacer()
    placer.writes_scarce, fleet.partition.state.capacity_added_at = writes_scarce, capacity_added_at
    for now in (1.0, 3.0 if not writes_scarce else 7.0):
        round_result = placer.run_round(fleet.partition, fleet.view, now, lambda: False, 100)
    return sum(e.state == records.RETURNED for entries in round_result.entries.values() for e in entries.values())


def test_no_tasks_are_returned_for_capacity_that_another_partition_needs_itself() -> None:
    """While machines started in all zones, each partition returned its tasks for the free capacity of the others.

    That took a third of all changes in the first minute: four for each task.
    """
    assert returned_tasks(0) == 10
    assert returned_tasks(32) == 0


def test_no_tasks_are_returned_while_writes_are_scarce_and_the_zone_gains_machines() -> None:
    """In the first minute after a restart, replicas were returned for free capacity in other zones.

    They took 176 of a partition's 180 changes in ten seconds, and three more changes each by the leader, while arrays
    could not start.
    """
    assert returned_tasks(0, writes_scarce=True, capacity_added_at=0.0) == 0
    assert returned_tasks(0, writes_scarce=True) == 10
    assert returned_tasks(0, capacity_added_at=0.0) == 10


def test_a_replica_write_does_not_wait_behind_array_starts() -> None:
    """In the first minute of a large fleet, writes waited many seconds in a first-come, first-served queue."""
    clock = Clock()
    wait_s: dict[Urgency, float] = {}

    async def measure() -> None:
        store = Store(ImmediateStateService(), StateLimits(1000.0, 20.0, 8.0, 24), 1)

        async def write_array_starts() -> None:
            while True:
                await store.txn(wire.Txn([], [wire.Delete(str(i)) for i in range(20)]), Urgency.STARTS)

        for _ in range(8):
            await curio.spawn(write_array_starts, daemon=True)
        await curio.sleep(5)
        for urgency in (Urgency.STARTS, Urgency.REPLICAS):
            start = clock.now
            await store.txn(wire.Txn([], [wire.Delete("a"), wire.Delete("b")]), urgency)
            wait_s[urgency] = clock.now - start

    async def run_with_timeout() -> None:
        await curio.ignore_after(60, measure)

    clock.run(run_with_timeout)
    assert wait_s[Urgency.REPLICAS] < 1.0 < wait_s[Urgency.STARTS]


def admitted_sizes(min_tasks_per_zone: int, tasks: int) -> list[int]:
    """Sizes of the allocations of a job admitted to three zones with free capacity for 20, 3 and 20 tasks."""
    fleet = Fleet(0)
    for zone, running in (("a", 12), ("b", 29), ("c", 12)):
        fleet.put(records.machine_key(zone, f"vm-{zone}"), MachineRecord("big", False, "10.1.0.1:9000"))
        fleet.put(f"{records.JOB}job-{zone}", JobRecord(submission(f"job-{zone}", running), 0.0))
        entries = [TaskEntry(n, records.ASSIGNED, 1, f"vm-{zone}", 1) for n in range(running)]
        fleet.put(str(AllocationKey(zone, f"job-{zone}", 0)), AllocationRecord(entries))
    fleet.put(f"{records.JOB}job-1", JobRecord(submission("job-1", tasks), 1.0))
    fleet.view.update()
    plan = AdmissionPlanner(fleet.view, 2.0, min_tasks_per_zone=min_tasks_per_zone).run(None, lambda: False, 24)
    return sorted(len(grant.entries) for grant in plan.grants)


def test_while_writes_are_scarce_arrays_are_admitted_in_large_allocations() -> None:
    assert admitted_sizes(1, 60) == [3, 20, 20]
    assert admitted_sizes(16, 60) == [20, 20]
    assert admitted_sizes(16, 2) == [2]  # a job below the minimum is admitted whole


def fleet_with_cached_image() -> Fleet:
    """A machine with free capacity for one task, and two jobs of one task each; the image of job-2 is cached on it."""
    fleet = Fleet(0)
    fleet.view.set_machine_types([wire.MachineType("small", 1.0, 0.0, 4.0, 1.0, 0.5, 30.0, ["a"], 40.0, 0.1)])
    fleet.put(records.machine_key("a", "vm-1"), MachineRecord("small", False, "10.1.0.1:9000"))
    fleet.apply_changes(list(fleet.state.entries))
    fleet.heartbeat(1, 1, 0)
    fleet.heartbeat(1, 2, fleet.partition.state.fencing_token(fleet.partition.machines["vm-1"]))
    for job_id, image, at in (("job-1", "rare", 0.0), ("job-2", "common", 1.0)):
        spec = submission(job_id, 1)
        spec.image = image
        fleet.put(f"{records.JOB}{job_id}", JobRecord(spec, at))
        fleet.put(str(AllocationKey("a", job_id, 0)), AllocationRecord([TaskEntry(0)]))
    fleet.apply_changes(list(fleet.state.entries))
    fleet.view.capacities[fleet.view.machines.index("vm-1")].images.add(fleet.view.images.index("common"))
    return fleet


def test_a_free_machine_prefers_a_task_with_a_cached_image_for_the_duration_of_a_fetch() -> None:
    """In a burst of starts a fifth of all capacity was idle while images were fetched.

    The first task in the queue took any machine that became free.
    """
    fleet, placer = fleet_with_cached_image(), TaskPlacer()
    first = placer.run_round(fleet.partition, fleet.view, 2.0, lambda: False, 100)
    assert [allocation.job for allocation in first.entries] == ["job-2"]
    late = placer.run_round(fleet.partition, fleet.view, 2.0 + 11.0, lambda: False, 100)  # a fetch takes 10 s
    assert [allocation.job for allocation in late.entries] == ["job-1"]


def test_a_queued_start_keeps_its_capacity() -> None:
    """Starts of arrays are queued and written outside the scheduling rounds.

    A round that runs meanwhile must not give their capacity to a replica.
    """
    fleet, placer = fleet_with_cached_image(), TaskPlacer()
    first = placer.run_round(fleet.partition, fleet.view, 2.0, lambda: False, 100)
    assert [allocation.job for allocation in first.entries] == ["job-2"]
    spec = submission("job-3", 1)
    spec.kind = wire.SERVICE
    fleet.put(f"{records.JOB}job-3", JobRecord(spec, 2.0))
    fleet.put(str(AllocationKey("a", "job-3", 0)), AllocationRecord([TaskEntry(0)]))
    fleet.apply_changes([f"{records.JOB}job-3", str(AllocationKey("a", "job-3", 0))])
    placer.pending_changes = first.entries
    assert not placer.run_round(fleet.partition, fleet.view, 2.0 + 11.0, lambda: False, 100).entries
    placer.pending_changes = {}
    assert placer.run_round(fleet.partition, fleet.view, 2.0 + 11.5, lambda: False, 100).entries


def test_under_overload_a_few_large_jobs_miss_their_deadlines_instead_of_many_small_ones() -> None:
    """In order of deadline alone, half of all jobs of a burst were slightly late: each was started too late."""

    def missed_deadlines(size_weight: float) -> int:
        fleet = Fleet(0)
        fleet.view = FleetView(fleet.state, [Team("t")], size_weight)
        for i in range(12):  # one task runs at a time; every third job is large and has the earliest deadline
            spec = submission(f"job-{i}", 8 if i % 3 == 0 else 1)
            spec.deadline_s = 40.0 + i % 3
            fleet.put(f"{records.JOB}job-{i}", JobRecord(spec, 0.0))
        fleet.view.update()
        now, late = 0.0, 0
        for job in sorted(fleet.view.jobs.values(), key=lambda job: fleet.view.ranking.rank(job, False)):
            now += job.tasks * 4.0
            late += job.deadline is not None and now > job.deadline
        return late

    assert missed_deadlines(0.0) == 11
    assert missed_deadlines(0.4) == 4
