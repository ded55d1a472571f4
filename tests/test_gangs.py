"""Gangs: when the members may start, when all of them must stop, and the number of the next attempt."""

from __future__ import annotations

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements
from spurarch.coordination.membership.membership import gangs_supported
from spurarch.coordination.membership.partition_assignment import assign_partitions
from spurarch.coordination.partition.allocation_changes import merge_changes
from spurarch.coordination.partition.gang import GangAttempt, Gangs, GangState
from spurarch.coordination.partition.machine import AttemptPhase, TaskAttempt
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.partition.state import PartitionContext
from spurarch.coordination.partition.terminal_records import TerminalRecords
from spurarch.coordination.scheduling.best_fit import machines_to_reserve
from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import (
    AllocationKey,
    AllocationRecord,
    JobRecord,
    MemberRecord,
    PartitionRecord,
    TaskEntry,
)
from spurarch.storage.transaction import Write

WHERE = AllocationKey("a", "job-1", 0)


def submission(tasks: int) -> wire.Submission:
    return wire.Submission(
        id="job-1",
        job_class="c",
        team="t",
        kind=wire.GANG,
        priority="normal",
        tasks=tasks,
        cpus=1.0,
        gpus=0.0,
        memory_gb=1.0,
        image="i",
        image_gb=0.0,
        one_zone=True,
        spread=False,
        spot=False,
        estimate_s=1.0,
        checkpoint_interval_s=5.0,
        checkpoint_duration_s=2.0,
    )


def member(index: int, attempt: int = 1) -> TaskAttempt:
    return TaskAttempt(WHERE, index, attempt, f"vm-{index}", 1, 0.0)


def gang_of(*entries: TaskEntry) -> GangAttempt:
    gang = GangAttempt("job-1", len(entries), 4.0)
    gang.apply_record(WHERE, list(entries))
    for entry in entries:
        if entry.state == records.ASSIGNED:
            gang.members[entry.index] = member(entry.index, entry.attempt)
    gang.update_state()
    return gang


def assigned(index: int, attempt: int = 1) -> TaskEntry:
    return TaskEntry(index, records.ASSIGNED, attempt, f"vm-{index}", 1)


def free(index: int, attempt: int = 0) -> TaskEntry:
    return TaskEntry(index, records.UNASSIGNED, attempt)


def test_members_start_only_once_all_assignments_are_recorded() -> None:
    assert not gang_of(assigned(0), free(1)).startable
    assert gang_of(assigned(0), assigned(1)).startable
    assert not gang_of(assigned(0, 1), assigned(1, 2)).startable


def test_a_partly_assigned_attempt_is_completed_under_its_own_number() -> None:
    gang = gang_of(assigned(0, 3), free(1, 2))
    assert gang.state is GangState.ASSIGNING
    assert gang.next_attempt() == 3
    assert gang.to_stop() == []


def test_the_next_attempt_number_exceeds_all_used_ones_and_is_given_once_all_members_stopped() -> None:
    gang = gang_of(assigned(0, 3), free(1, 3))
    assert gang.state is GangState.STOPPING
    assert gang.next_attempt() is None
    assert [attempt.index for attempt in gang.to_stop()] == [0]
    assert gang_of(free(0, 3), free(1, 5)).next_attempt() == 6


@pytest.mark.parametrize(
    "why",
    [
        wire.REASON_PEER_LOST,
        wire.REASON_GANG_INCOMPLETE,
        wire.REASON_ERROR,
        wire.REASON_STOPPED,
        wire.REASON_NO_CAPACITY,
    ],
)
def test_all_members_stop_once_one_has_exited(why: str) -> None:
    gang = gang_of(assigned(0), assigned(1), assigned(2))
    for attempt in gang.members.values():
        attempt.transition(AttemptPhase.RUNNING)
    states = []
    for exited in (False, True):
        if exited:
            gang.members[1].transition(AttemptPhase.EXITED, why)
        gang.update_state()
        states.append(gang.state)
    assert states == [GangState.RUNNING, GangState.STOPPING]
    assert [attempt.index for attempt in gang.to_stop()] == [0, 2]
    assert gang.grace_s() == 0.0  # nothing is left to checkpoint
    assert not gang.startable


def test_one_completed_member_proves_that_all_completed() -> None:
    gang = gang_of(assigned(0), assigned(1))
    for attempt in gang.members.values():
        attempt.transition(AttemptPhase.RUNNING)
    gang.members[0].transition(AttemptPhase.EXITED, wire.REASON_DONE)
    gang.update_state()
    assert gang.state is GangState.ENDED
    assert gang.to_stop() == []
    gang.members[1].transition(AttemptPhase.GONE)
    gang.update_state()
    assert gang.state is GangState.ENDED


def test_a_recorded_end_proves_to_the_next_owner_that_all_members_completed() -> None:
    gang = gang_of(TaskEntry(0, records.ENDED, 2), assigned(1, 2))
    assert gang.state is GangState.ENDED
    assert not gang.startable
    # The machine of member 1 may never report again, so the owner needs proof that the member stopped.
    assert [attempt.index for attempt in gang.to_stop()] == [1]


def test_members_are_stopped_with_the_same_grace_period() -> None:
    gangs = Gangs()
    gang = gangs.track("job-1", 3, 4.0)
    gang.apply_record(WHERE, [assigned(i) for i in range(3)])
    gang.members.update({i: member(i) for i in range(3)})
    for attempt in gang.members.values():
        attempt.transition(AttemptPhase.RUNNING)
    gang.members[2].stop_requested, gang.members[2].grace_s = True, 4.0
    gangs.mark_changed("job-1")
    assert [(attempt.index, grace) for attempt, grace in gangs.members_to_stop()] == [(0, 4.0), (1, 4.0)]
    assert gangs.members_to_stop() == []


def partition_with(job: JobRecord, entries: list[TaskEntry]) -> tuple[Partition, ClusterState]:
    state = ClusterState()
    state.put(records.JOB + "job-1", 1, job)
    state.put(str(WHERE), 2, AllocationRecord(entries))
    partition = Partition("a", 1, 10.0, 0.0, PartitionContext(lambda job_id: None))
    partition.apply_records(state, list(state.entries), 0.0)
    partition.state.records_read = True
    return partition, state


def test_no_command_starts_part_of_a_gang() -> None:
    partition, state = partition_with(JobRecord(submission(2), 0.0), [assigned(0), free(1)])
    machine = partition.machines["vm-0"]
    machine.incarnation = 1
    assert partition.commands.plan(machine, None) == []
    state.put(str(WHERE), 3, AllocationRecord([assigned(0), assigned(1)]))
    partition.apply_records(state, [str(WHERE)], 1.0)
    assert [(c.op, c.task, c.attempt) for c in partition.commands.plan(machine, None)] == [(wire.START, "job-1/0", 1)]


def test_splitting_a_record_keeps_the_reported_state_of_its_tasks() -> None:
    """If an unrecorded end were dropped here, the worker would drop it on command, and the task would run again."""
    job = JobRecord(submission(4), 0.0)
    job.spec.kind = wire.BATCH
    partition, state = partition_with(job, [assigned(i) for i in range(4)])
    partition.state.transition(partition.attempts["job-1", 3], AttemptPhase.EXITED, wire.REASON_DONE)
    pieces = records.split(WHERE, AllocationRecord([assigned(i) for i in range(4)]), 2)
    state.apply_commit([Write(str(allocation), piece) for allocation, piece in pieces], 9)
    partition.apply_records(state, [str(allocation) for allocation, _ in pieces], 1.0)
    attempt = partition.attempts["job-1", 3]
    assert (attempt.phase, attempt.allocation) == (AttemptPhase.EXITED, pieces[1][0])
    assert partition.machines["vm-3"].exits_to_forget == {}
    assert TerminalRecords(partition.state).entries(state, 0.0) == {pieces[1][0]: {3: TaskEntry(3, records.ENDED, 1)}}


def test_gang_members_are_assigned_together_or_not_at_all() -> None:
    record = AllocationRecord([free(0, 2), free(1, 4)])
    changes = {0: assigned(0, 5), 1: assigned(1, 5)}
    new = merge_changes(record, changes, gang=True)
    assert new is not None
    assert [entry.attempt for entry in new.tasks] == [5, 5]
    assert merge_changes(AllocationRecord([free(0, 2), TaskEntry(1, records.RETURNED, 4)]), changes, gang=True) is None


def test_an_unknown_task_state_is_ignored_and_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    partition, _ = partition_with(JobRecord(submission(1), 0.0), [assigned(0)])
    task = wire.TaskStatus("job-1/0", 1, "dreaming")
    with caplog.at_level(logging.WARNING):
        for seq in (1, 2, 3):
            token = partition.state.fencing_token(partition.machines["vm-0"])
            heartbeat = wire.Heartbeat("vm-0", "10.1.0.1:9000", "small", "a", 1, seq, token, [task])
            partition.on_heartbeat(heartbeat, float(seq))
    assert partition.attempts["job-1", 0].phase is AttemptPhase.STARTING
    assert [r.getMessage() for r in caplog.records].count("unknown task state reported state='dreaming'") == 1


@given(st.integers(0, 300), st.integers(1, 60))
def test_split_records_hold_every_task_once_and_no_more_than_allowed(tasks: int, most: int) -> None:
    entries = [TaskEntry(i) for i in range(tasks)]
    pieces = records.split(WHERE, AllocationRecord(entries), most)
    assert [entry for _, piece in pieces for entry in piece.tasks] == entries
    assert all(len(piece.tasks) <= most for _, piece in pieces)
    assert pieces[0][0] == WHERE
    assert len({str(allocation) for allocation, _ in pieces}) == len(pieces)
    assert all(AllocationKey.parse(str(allocation)) == allocation for allocation, _ in pieces)


@given(st.lists(st.integers(1, 40), min_size=1, max_size=6), st.lists(st.integers(1, 12), min_size=1, max_size=4))
def test_records_that_are_split_again_and_again_keep_all_tasks(sizes: list[int], limits: list[int]) -> None:
    """The key of a piece that was split once more was that of another record's piece, whose tasks were lost."""
    stored = {
        AllocationKey("a", "job-1", chunk): AllocationRecord([TaskEntry(100 * chunk + n) for n in range(size)])
        for chunk, size in enumerate(sizes)
    }
    tasks = sorted(entry.index for record in stored.values() for entry in record.tasks)
    for max_tasks in sorted(limits, reverse=True):
        for key, record in list(stored.items()):
            stored.update(records.split(key, record, max_tasks, stored.keys()))
    assert sorted(entry.index for record in stored.values() for entry in record.tasks) == tasks


def test_while_gangs_exist_a_controller_of_an_earlier_version_owns_no_partition() -> None:
    current = MemberRecord("n0", "x", "a", version=records.GANG_VERSION)
    earlier = MemberRecord("n1", "y", "b")
    members, partitions = {"n0": current, "n1": earlier}, {"a": PartitionRecord("n0", 1), "b": PartitionRecord("n1", 1)}
    assert assign_partitions(["a", "b"], partitions, members, set()) == {}
    assert assign_partitions(["a", "b"], partitions, members, set(), gangs=True) == {"b": "n0"}
    assert not gangs_supported(members)
    assert gangs_supported({"n0": current})
    assert not gangs_supported({})


def test_capacity_for_a_gang_is_reserved_on_machines_whose_tasks_end() -> None:
    requirements = Requirements(2.0, 0.0, 1.0, None, False, 0, priority=2)
    service = Requirements(4.0, 0.0, 1.0, None, False, 0, priority=0)
    array = Requirements(4.0, 0.0, 1.0, None, False, 0, priority=1)
    capacities = [MachineCapacity(i, 0, 0, False, 4.0, 0.0, 16.0, 4.0, 0.0, 16.0) for i in range(3)]
    capacities[0].book(service)
    capacities[1].book(array)
    assert [capacity.machine for capacity in machines_to_reserve(requirements, capacities, 4)] == [2, 1]
    assert machines_to_reserve(requirements, capacities, 5) == []
