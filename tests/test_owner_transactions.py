"""Under any limits of the state service, a partition owner writes all starts that a transaction can hold."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any

import curio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.partition.record_writer import AllocationChanges, RecordWriter
from spurarch.protocol import wire
from spurarch.settings import StateLimits, Team
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, AllocationRecord, JobRecord, MachineRecord, TaskEntry
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import Write, max_updatable_tasks
from tests.sim.limited_store import LimitedStore
from tests.test_scale import submission

JOB, ZONE = "job-1", "a"


class Owner:
    """The writer of partition "a", with one job whose allocations have the given numbers of waiting tasks."""

    def __init__(self, limits: StateLimits, sizes: list[int], kind: str) -> None:
        self.store = LimitedStore(limits)
        client: Any = self.store
        self.replica = Replica(client)
        job = submission(JOB, sum(sizes))
        job.kind = kind
        self._put(records.JOB + JOB, JobRecord(job, 0.0))
        indices = iter(range(sum(sizes)))
        for chunk, size in enumerate(sizes):
            tasks = [TaskEntry(next(indices)) for _ in range(size)]
            self._put(str(AllocationKey(ZONE, JOB, chunk)), AllocationRecord(tasks))
        view = FleetView(self.replica.state, [Team("t")])
        view.update()
        context: Any = SimpleNamespace(replica=self.replica, view=view, deployment=SimpleNamespace(state=limits))
        permissions: Any = SimpleNamespace(owns=lambda partition: True)
        commands: Any = SimpleNamespace(send=self._send_commands)
        self._writer = RecordWriter(context, permissions, commands)
        self._owned: Any = SimpleNamespace(
            partition=SimpleNamespace(zone=ZONE),
            terminal_records=SimpleNamespace(deletable_allocations=lambda cluster: []),
            placer=SimpleNamespace(pending_changes={}),
            last_deletion_at=0.0,
        )

    def _put(self, key: str, record: records.Record) -> None:
        self.store.revision += 1
        self.replica.state.put(key, self.store.revision, record)
        self.replica.state.advance(self.store.revision)

    async def _send_commands(self, _owned: object) -> None:
        """No worker waits for commands."""

    @property
    def entries(self) -> list[TaskEntry]:
        """Returns the entries of all allocations."""
        return [entry for record in self.replica.state.allocations[JOB].values() for entry in record.tasks]

    @property
    def waiting(self) -> int:
        """Number of tasks that are not assigned."""
        return sum(entry.state == records.UNASSIGNED for entry in self.entries)

    def run_round(self, other: list[Write]) -> None:
        """Writes the starts of all waiting tasks, and other writes, as far as one round does."""
        curio.run(self._write, self._starts(), other)
        self.replica.state.advance(self.store.revision)

    async def _write(self, starts: AllocationChanges, other: list[Write]) -> None:
        await self._writer.commit(self._owned, starts, other)
        while self._owned.placer.pending_changes:
            await curio.sleep(0)

    def _starts(self) -> AllocationChanges:
        starts: AllocationChanges = {}
        for key, record in self.replica.state.allocations[JOB].items():
            for entry in record.tasks:
                if entry.state == records.UNASSIGNED:
                    started = TaskEntry(entry.index, records.ASSIGNED, 1, "vm-000001", 1)
                    starts.setdefault(key, {})[entry.index] = started
        return starts


@settings(max_examples=100, deadline=None)
@given(
    st.builds(
        StateLimits,
        st.just(100.0),
        st.just(100.0),
        st.sampled_from([0.1, 0.25, 0.5, 1.0, 2.0, 8.0, 64.0]),
        st.integers(4, 300),
    ),
    st.lists(st.integers(1, 100), min_size=1, max_size=40),
    st.integers(0, 300),
    st.sampled_from([wire.SERVICE, wire.BATCH]),
)
@example(StateLimits(100.0, 100.0, 0.5, 4), [64, 26, 3], 0, wire.BATCH)  # two records can't be updated
@example(StateLimits(100.0, 100.0, 0.1, 250), [203, 3], 0, wire.SERVICE)  # one can't, for the bytes of its update
def test_an_owner_writes_starts_until_none_is_left_that_the_limits_allow(
    limits: StateLimits, sizes: list[int], machines: int, kind: str
) -> None:
    """Updates of records that were written under higher limits were sent, and refused, in each round."""
    owner = Owner(limits, sizes, kind)
    machine = MachineRecord("big", False, "10.1.0.1:9000")
    other = [Write(records.machine_key(ZONE, f"vm-{number:06}"), machine) for number in range(machines)]
    stuck = sum(size for size in sizes if size > max_updatable_tasks(limits))
    while owner.waiting > stuck:
        waiting, committed = owner.waiting, len(owner.store.committed)
        owner.run_round(other)
        other = [write for write in other if owner.replica.state.version(write.key) == 0]
        assert owner.store.refused == []
        assert owner.waiting < waiting or len(owner.store.committed) > committed
    assert Counter(entry.index for entry in owner.entries) == Counter(range(sum(sizes)))
    committed = len(owner.store.committed)
    owner.run_round([])
    assert len(owner.store.committed) == committed
