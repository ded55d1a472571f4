"""Mass starts: what must not be sent to and fro, and who goes first while changes are scarce."""

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
from tests.test_scale import Answering, Fleet, submission


def waiting_in(fleet: Fleet, zone: str, job_id: str, tasks: int) -> None:
    """A job whose tasks were admitted to a zone and found no room there yet."""
    fleet.put(f"{records.JOB}{job_id}", JobRecord(submission(job_id, tasks), 0.0))
    fleet.put(str(AllocationKey(zone, job_id, 0)), AllocationRecord([TaskEntry(n) for n in range(tasks)]))


def given_back(queue_of_b: int, scarce: bool = False, grew_at: float = -100.0) -> int:
    """Tasks that part a gives back while a machine with room for 32 tasks is up in b, where others wait for it."""
    fleet = Fleet(0)
    fleet.put(records.machine_key("b", "vm-1"), MachineRecord("big", False, "10.1.0.1:9000"))
    waiting_in(fleet, "a", "job-1", 10)
    if queue_of_b:
        waiting_in(fleet, "b", "job-2", queue_of_b)
    fleet.apply_changes(list(fleet.state.entries))
    placer = TaskPlacer()
    placer.writes_scarce, fleet.partition.state.capacity_added_at = scarce, grew_at
    for now in (1.0, 3.0 if not scarce else 7.0):
        turn = placer.run_round(fleet.partition, fleet.view, now, lambda: False, 100)
    return sum(e.state == records.RETURNED for entries in turn.entries.values() for e in entries.values())


def test_capacity_that_another_partition_waits_for_itself_is_no_reason_to_give_back() -> None:
    """While machines came up in all zones, each part sent its tasks after the room of the others.

    A third of all changes in the first minute, four for each task.
    """
    assert given_back(0) == 10
    assert given_back(32) == 0


def test_while_changes_are_scarce_and_machines_come_up_here_nothing_is_given_back() -> None:
    """In the first minute of the restart day replicas were sent after free rooms of other zones.

    176 of 180 changes of a part in ten seconds, and three more each of the leader, while arrays could not start.
    """
    assert given_back(0, scarce=True, grew_at=0.0) == 0
    assert given_back(0, scarce=True) == 10
    assert given_back(0, grew_at=0.0) == 10


def test_a_replica_does_not_wait_behind_the_starts_of_arrays() -> None:
    """In the first minute of a large fleet the line for changes was many seconds long, and first come first served."""
    clock = Clock()
    waited: dict[Urgency, float] = {}

    async def play() -> None:
        store = Store(Answering(), StateLimits(1000.0, 20.0, 8.0, 24), 1)

        async def arrays() -> None:
            while True:
                await store.txn(wire.Txn([], [wire.Delete(str(i)) for i in range(20)]), Urgency.STARTS)

        for _ in range(8):
            await curio.spawn(arrays, daemon=True)
        await curio.sleep(5)
        for urgency in (Urgency.STARTS, Urgency.REPLICAS):
            start = clock.now
            await store.txn(wire.Txn([], [wire.Delete("a"), wire.Delete("b")]), urgency)
            waited[urgency] = clock.now - start

    async def bounded() -> None:
        await curio.ignore_after(60, play)

    clock.run(bounded)
    assert waited[Urgency.REPLICAS] < 1.0 < waited[Urgency.STARTS]


def admitted(piece: int, tasks: int) -> list[int]:
    """Sizes of the pieces in which a job is admitted to three zones with room for 20, 3 and 20 tasks."""
    fleet = Fleet(0)
    for zone, taken in (("a", 12), ("b", 29), ("c", 12)):
        fleet.put(records.machine_key(zone, f"vm-{zone}"), MachineRecord("big", False, "10.1.0.1:9000"))
        fleet.put(f"{records.JOB}job-{zone}", JobRecord(submission(f"job-{zone}", taken), 0.0))
        entries = [TaskEntry(n, records.ASSIGNED, 1, f"vm-{zone}", 1) for n in range(taken)]
        fleet.put(str(AllocationKey(zone, f"job-{zone}", 0)), AllocationRecord(entries))
    fleet.put(f"{records.JOB}job-1", JobRecord(submission("job-1", tasks), 1.0))
    fleet.view.update()
    plan = AdmissionPlanner(fleet.view, 2.0, min_tasks_per_zone=piece).run(None, lambda: False, 24)
    return sorted(len(grant.entries) for grant in plan.grants)


def test_while_changes_are_scarce_arrays_are_admitted_in_large_pieces() -> None:
    assert admitted(1, 60) == [3, 20, 20]
    assert admitted(16, 60) == [20, 20]
    assert admitted(16, 2) == [2]  # all of a small job, however small


def warm_fleet() -> Fleet:
    """Two machines with room for one task each; the first has the image of job-2."""
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


def test_a_free_machine_goes_to_a_task_whose_image_it_has_for_as_long_as_a_fetch_takes() -> None:
    """In a burst a fifth of all rooms stood idle while images were fetched.

    The first in line took whatever machine became free.
    """
    fleet, placer = warm_fleet(), TaskPlacer()
    first = placer.run_round(fleet.partition, fleet.view, 2.0, lambda: False, 100)
    assert [allocation.job for allocation in first.entries] == ["job-2"]
    late = placer.run_round(fleet.partition, fleet.view, 2.0 + 11.0, lambda: False, 100)  # a fetch takes 10 s
    assert [allocation.job for allocation in late.entries] == ["job-1"]


def test_a_start_that_waits_in_line_keeps_its_room() -> None:
    """Starts of arrays stand in line beside the rounds.

    A round that comes meanwhile must not give their room to a replica.
    """
    fleet, placer = warm_fleet(), TaskPlacer()
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


def test_when_all_can_not_be_done_a_few_large_jobs_are_late_and_not_many_small_ones() -> None:
    """By deadline alone, half of all jobs of a burst were late by a little: each had waited until it was too late."""

    def late(size_weight: float) -> int:
        fleet = Fleet(0)
        fleet.view = FleetView(fleet.state, [Team("t")], size_weight)
        for i in range(12):  # room for one task at a time; every third job is large, and due first
            spec = submission(f"job-{i}", 8 if i % 3 == 0 else 1)
            spec.deadline_s = 40.0 + i % 3
            fleet.put(f"{records.JOB}job-{i}", JobRecord(spec, 0.0))
        fleet.view.update()
        now, count = 0.0, 0
        for job in sorted(fleet.view.jobs.values(), key=lambda job: fleet.view.ranking.rank(job, False)):
            now += job.tasks * 4.0
            count += job.deadline is not None and now > job.deadline
        return count

    assert late(0.0) == 11
    assert late(0.4) == 4
