"""A plan of the leader that was overtaken by an earlier one while it waited."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import curio

from spurarch.coordination.admission import Grant
from spurarch.coordination.admission_writer import AdmissionWriter
from spurarch.coordination.leader import Leader
from spurarch.protocol import wire
from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, AllocationRecord, FinalRecord, JobRecord, TaskEntry
from tests.sim.clock import Clock
from tests.test_scale import Fleet, submission

SOURCE = AllocationKey("a", "job-1", 0)


def leader_of(fleet: Fleet) -> Any:
    """As much of a leader as decides what an admission writes."""
    leader = Leader.__new__(Leader)
    leader.replica = SimpleNamespace(state=fleet.state)  # type: ignore[assignment]
    leader.view = fleet.view
    leader.deployment = SimpleNamespace(state=SimpleNamespace(txn_ops=24))  # type: ignore[assignment]
    leader._most_changes = 24
    return leader


def writer_of(fleet: Fleet) -> AdmissionWriter:
    """What decides which records an admission writes, without a state service."""

    async def wake() -> None:
        """Nobody to wake."""

    replica: Any = SimpleNamespace(state=fleet.state)
    membership: Any = SimpleNamespace(leading=True)
    return AdmissionWriter(replica, membership, fleet.view, StateLimits(100.0, 100.0, 16.0, 24), wake)


def test_tasks_that_an_earlier_plan_moved_are_not_moved_again() -> None:
    """On a standard day 29 tasks ran twice.

    Arrays are admitted beside the rounds, and a plan made while an earlier one was under way moved the same returned
    tasks once more.
    """
    fleet = Fleet(0)
    fleet.put(f"{records.JOB}job-1", JobRecord(submission("job-1", 3), 0.0))
    returned = [TaskEntry(n, records.RETURNED, 1) for n in range(2)]
    fleet.put(str(SOURCE), AllocationRecord([*returned, TaskEntry(2, records.ASSIGNED, 1, "vm-1", 1)]))
    fleet.view.update()
    writer = writer_of(fleet)
    grant = Grant("job-1", fleet.view.zones.index("b"), [TaskEntry(0, records.FREE, 1)], {SOURCE: {0}})
    planned = writer.as_planned("job-1")
    assert writer._stands("job-1", [grant], planned)
    for write in writer._job_admission("job-1", [grant]).writes:
        fleet.put(write.key, write.record)
    assert not writer._stands("job-1", [grant], planned)
    assert writer._stands("job-1", [], writer.as_planned("job-1"))


def test_a_gang_is_done_once_a_member_is_and_none_is_left_on_a_machine() -> None:
    """Members complete together; until the last one is off its machine, its team is charged for it."""
    fleet = Fleet(0)
    job = JobRecord(submission("job-1", 3), 0.0)
    job.spec.kind = wire.GANG
    fleet.put(f"{records.JOB}job-1", job)
    leader = leader_of(fleet)
    ended, free = TaskEntry(0, records.ENDED, 1), TaskEntry(1, records.FREE, 1)
    finals = []
    for last in (TaskEntry(2, records.ASSIGNED, 1, "vm-1", 1), TaskEntry(2, records.FREE, 1)):
        fleet.put(str(SOURCE), AllocationRecord([ended, free, last]))
        finals.append(leader._final("job-1"))
    assert finals == [None, FinalRecord(wire.DONE, 3)]
    job.spec.kind = wire.BATCH
    fleet.put(f"{records.JOB}job-2", JobRecord(submission("job-2", 2), 0.0))
    fleet.put(str(AllocationKey("a", "job-2", 0)), AllocationRecord([ended, free]))
    assert leader._final("job-2") is None


def test_a_controller_that_does_not_lead_gathers_no_news() -> None:
    """Ends of jobs have rounds of their own; what they collect from must not grow on controllers that never lead."""
    fleet = Fleet(3)
    leader = leader_of(fleet)
    leader.replica = SimpleNamespace(state=fleet.state, loaded=True)
    leader.membership = SimpleNamespace(leading=False, confirmed_term=None)
    leader._wakeup = curio.Event()
    leader._changed_keys = fleet.state.subscribe()
    assert leader._changed_keys

    async def play() -> None:
        await leader._wakeup.set()  # as the controller's beat does
        await curio.ignore_after(2.0, leader.run)

    Clock().run(play)
    assert not leader._changed_keys
