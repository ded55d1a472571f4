"""Admission plans that are outdated when they are written, since another plan was committed meanwhile.

They must not exceed a team's limit or move tasks twice. Also checks when a job is final.
"""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import curio
import msgspec

from spurarch.coordination.admission.job_finalizer import JobFinalizer
from spurarch.coordination.admission.plan import AdmissionGrant
from spurarch.coordination.admission.writer import AdmissionWriter
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.quota_ledger import Charge
from spurarch.coordination.leader import Leader
from spurarch.coordination.leader_context import LeaderContext
from spurarch.protocol import wire
from spurarch.settings import CloudLimits, Deployment, StateLimits, Team, Tuning, Workers
from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import AllocationKey, AllocationRecord, FinalRecord, JobRecord, TaskEntry
from spurarch.storage.transaction import TransactionResult, TransactionStatus, Write
from tests.sim.clock import Clock
from tests.test_scale import Fleet, submission

LIMITS = StateLimits(100.0, 100.0, 16.0, 24)
SOURCE = AllocationKey("a", "job-1", 0)


def finalizer_of(fleet: Fleet) -> JobFinalizer:
    """A finalizer that decides which jobs are final, without a state service."""
    replica: Any = SimpleNamespace(state=fleet.state, store=SimpleNamespace(reserved_guards=0))
    return JobFinalizer(replica, fleet.view, LIMITS)


def writer_of(fleet: Fleet, replica: Any = None, max_changes: int = 24, term: int | None = 0) -> AdmissionWriter:
    """A writer of admissions whose replica may be simulated; `term` is the confirmed term of the leader."""

    async def wake() -> None:
        """No component waits for changes here."""

    replica = replica or SimpleNamespace(state=fleet.state)
    membership: Any = SimpleNamespace(confirmed_term=term)
    return AdmissionWriter(replica, membership, fleet.view, msgspec.structs.replace(LIMITS, txn_ops=max_changes), wake)


class SlowReplica:
    """A simulated replica; `meanwhile` runs after each transaction is committed and before its result is returned."""

    def __init__(self, fleet: Fleet, meanwhile: Callable[[list[Write]], None]) -> None:
        self.state, self._fleet, self._meanwhile = fleet.state, fleet, meanwhile
        self.committed: list[list[str]] = []
        self.pinned: list[dict[str, int]] = []

    async def commit(
        self, writes: list[Write], guards: object, urgency: object, pinned_versions: dict[str, int]
    ) -> TransactionResult:
        """Commits a transaction and records it."""
        await curio.sleep(0)
        self.committed.append([write.key for write in writes])
        self.pinned.append(pinned_versions)
        for write in writes:
            self._fleet.put(write.key, write.record)
        self._meanwhile(writes)
        return TransactionResult(TransactionStatus.COMMITTED, self.state.revision)


def limited_fleet(limit: float, *jobs: tuple[str, int]) -> Fleet:
    """A fleet without machines, with jobs of one team that may use `limit` CPUs."""
    fleet = Fleet(0)
    fleet.view = FleetView(fleet.state, [Team("t", quota_cpus=limit)])
    for job_id, tasks in jobs:
        fleet.put(f"{records.JOB}{job_id}", JobRecord(submission(job_id, tasks), 0.0))
    fleet.view.update()
    return fleet


def grant_of(fleet: Fleet, job_id: str, tasks: int) -> AdmissionGrant:
    return AdmissionGrant(job_id, fleet.view.zones.index("a"), [TaskEntry(n) for n in range(tasks)])


def test_a_later_batch_of_a_plan_is_dropped_if_its_team_has_reached_its_limit_meanwhile() -> None:
    """While the first batch is written, another admission uses the rest of the quota, unknown to the plan."""
    fleet = limited_fleet(6.0, ("job-1", 8), ("job-2", 8), ("job-3", 4))

    def meanwhile(writes: list[Write]) -> None:
        if any("job-1" in write.key for write in writes):
            fleet.put(str(AllocationKey("b", "job-3", 0)), AllocationRecord([TaskEntry(n) for n in range(4)]))

    replica: Any = SlowReplica(fleet, meanwhile)
    writer = writer_of(fleet, replica, max_changes=3)
    grants = [grant_of(fleet, "job-1", 2), grant_of(fleet, "job-2", 4)]
    planned = {job_id: writer.record_versions(job_id) for job_id in ("job-1", "job-2")}
    curio.run(writer.admit, grants, planned, Urgency.STARTS)
    assert replica.committed == [["live/admitted/job-1", "live/allot/a/job-1/0"]]
    assert fleet.view.ledger.recorded(0) == Charge.of(6.0, 0.0)
    assert fleet.view.ledger.reserved(0) == Charge()


def test_two_concurrent_admissions_share_one_limit() -> None:
    fleet = limited_fleet(6.0, ("job-1", 4), ("job-2", 4))
    replica: Any = SlowReplica(fleet, lambda _: None)
    writer = writer_of(fleet, replica)

    async def admit_concurrently() -> None:
        async with curio.TaskGroup() as group:
            for job_id in ("job-1", "job-2"):
                planned = {job_id: writer.record_versions(job_id)}
                await group.spawn(writer.admit, [grant_of(fleet, job_id, 4)], planned, Urgency.STARTS)

    curio.run(admit_concurrently)
    assert replica.committed == [["live/allot/a/job-1/0"]]
    assert replica.pinned == [{records.LEADER: 0}]


def test_returned_tasks_are_charged_again_and_the_remaining_ones_only_once() -> None:
    """When tasks move to another zone, their former record is written again with the rest, which is charged already."""
    fleet = limited_fleet(4.0, ("job-1", 4))
    fleet.put(
        str(SOURCE),
        AllocationRecord(
            [TaskEntry(0, records.RETURNED, 1), TaskEntry(1), TaskEntry(2), TaskEntry(3, records.ENDED, 1)]
        ),
    )
    fleet.view.update()
    assert fleet.view.ledger.recorded(0) == Charge.of(2.0, 0.0)
    replica: Any = SlowReplica(fleet, lambda _: None)
    writer = writer_of(fleet, replica)
    grant = AdmissionGrant("job-1", fleet.view.zones.index("b"), [TaskEntry(0, records.UNASSIGNED, 1)], {SOURCE: {0}})
    assert writer._job_admission("job-1", [grant]).tasks == 1
    curio.run(writer.admit, [grant], {"job-1": writer.record_versions("job-1")}, Urgency.STARTS)
    assert len(replica.committed) == 1
    assert fleet.view.ledger.recorded(0) == Charge.of(3.0, 0.0)


def test_nothing_is_admitted_without_a_confirmed_term() -> None:
    fleet = limited_fleet(6.0, ("job-1", 2))
    replica: Any = SlowReplica(fleet, lambda _: None)
    writer = writer_of(fleet, replica, term=None)
    curio.run(writer.admit, [grant_of(fleet, "job-1", 2)], {"job-1": writer.record_versions("job-1")}, Urgency.STARTS)
    assert replica.committed == []


def test_returned_tasks_that_an_earlier_plan_moved_are_not_moved_again() -> None:
    """Arrays are admitted outside the rounds: a plan made before an earlier one was written moved the same tasks again.

    On a day of standard load, 29 tasks ran twice for this reason.
    """
    fleet = Fleet(0)
    fleet.put(f"{records.JOB}job-1", JobRecord(submission("job-1", 3), 0.0))
    returned = [TaskEntry(n, records.RETURNED, 1) for n in range(2)]
    fleet.put(str(SOURCE), AllocationRecord([*returned, TaskEntry(2, records.ASSIGNED, 1, "vm-1", 1)]))
    fleet.view.update()
    writer = writer_of(fleet)
    grant = AdmissionGrant("job-1", fleet.view.zones.index("b"), [TaskEntry(0, records.UNASSIGNED, 1)], {SOURCE: {0}})
    planned = writer.record_versions("job-1")
    assert writer._is_still_valid("job-1", [grant], planned)
    for write in writer._job_admission("job-1", [grant]).writes:
        fleet.put(write.key, write.record)
    assert not writer._is_still_valid("job-1", [grant], planned)
    assert writer._is_still_valid("job-1", [], writer.record_versions("job-1"))


def test_a_gang_is_final_once_a_member_has_ended_and_none_is_assigned_to_a_machine() -> None:
    """Members complete together; the team is charged for each member until it has stopped on its machine."""
    fleet = Fleet(0)
    job = JobRecord(submission("job-1", 3), 0.0)
    job.spec.kind = wire.GANG
    fleet.put(f"{records.JOB}job-1", job)
    finalizer = finalizer_of(fleet)
    ended, free = TaskEntry(0, records.ENDED, 1), TaskEntry(1, records.UNASSIGNED, 1)
    finals = []
    for last in (TaskEntry(2, records.ASSIGNED, 1, "vm-1", 1), TaskEntry(2, records.UNASSIGNED, 1)):
        fleet.put(str(SOURCE), AllocationRecord([ended, free, last]))
        finals.append(finalizer.final_record("job-1"))
    assert finals == [None, FinalRecord(wire.DONE, 3)]
    job.spec.kind = wire.BATCH
    fleet.put(f"{records.JOB}job-2", JobRecord(submission("job-2", 2), 0.0))
    fleet.put(str(AllocationKey("a", "job-2", 0)), AllocationRecord([ended, free]))
    assert finalizer.final_record("job-2") is None


def test_a_controller_that_does_not_lead_keeps_no_changed_keys() -> None:
    """The leader finalizes jobs in separate rounds; the keys they process must not accumulate on other controllers."""
    fleet = Fleet(3)
    membership: Any = SimpleNamespace(leading=False, confirmed_term=None)
    replica: Any = SimpleNamespace(
        state=fleet.state, loaded=True, listen=curio.Event, store=SimpleNamespace(reserved_guards=0)
    )
    deployment = Deployment(["a"], [], Workers(1.0, 10.0, 30.0), LIMITS, CloudLimits(1.0, 1.0))
    unused: Any = None
    leader = Leader(
        LeaderContext(replica, membership, fleet.view, unused, unused, deployment, Tuning(), "boot", unused)
    )
    assert leader._finalizer._changed_keys

    async def run_without_leading() -> None:
        await leader._wakeup.set()  # as the controller's timer does
        await curio.ignore_after(2.0, leader.run)

    Clock().run(run_without_leading)
    assert not leader._finalizer._changed_keys
