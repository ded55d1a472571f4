"""Writes the decisions of a partition's rounds: machines, ended and started tasks, and deletions of allocations.

Imported with the first round of a partition.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Collection
from dataclasses import dataclass

import curio

from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.allocation_changes import is_uncancelled_gang, merge_changes
from spurarch.coordination.partition.command_sender import CommandSender
from spurarch.coordination.partition.machine import MachineState
from spurarch.coordination.partition.owned_partition import OwnedPartition, OwnerContext
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.unwritable_allocations import UnwritableAllocations
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import AllocationKey, MachineRecord, TaskEntry
from spurarch.storage.transaction import (
    TransactionSize,
    TransactionStatus,
    Write,
    change_size,
    guard_size,
    max_updatable_tasks,
    max_update_size,
    transaction_limits,
)

log = logging.getLogger(__name__)

MAX_BATCHES = 2  # per urgency and round; the next round decides on the rest together with newer changes
DELETE_INTERVAL_S = 10.0  # after which allocations of finished jobs are deleted even if writes are scarce

AllocationChanges = dict[AllocationKey, dict[int, TaskEntry]]


@dataclass(slots=True)
class _Change:
    """A change decided by a round: new entries of an allocation, its deletion, or a write of another record.

    Attributes:
        write: The write of another record, or the deletion of the allocation.
        allocation: The allocation that is changed or deleted.
        entries: New entries by task index; None for a deletion and for another record.
        starting: Whether some of the entries assign a task to a machine.
    """

    write: Write | None
    allocation: AllocationKey | None = None
    entries: dict[int, TaskEntry] | None = None
    starting: bool = False


def machine_writes(partition: Partition, cluster: ClusterState, now: float) -> list[Write]:
    """Returns the writes for machines whose record is missing or outdated, and the deletions of released ones' records.

    The record is outdated if the machine's type or address differs, or if `Machine.can_accept_tasks` has changed.
    Removes released machines without a record from the partition.
    """
    out = []
    on_record = cluster.machines[partition.zone]
    for machine in list(partition.machines.values()):
        key = records.machine_key(partition.zone, machine.name)
        record = on_record.get(machine.name)
        if machine.state is MachineState.RELEASED:
            if machine.attempts:
                continue
            if record is not None:
                out.append(Write(key, None))
            else:
                del partition.machines[machine.name]
            continue
        if machine.state is MachineState.UNCONFIRMED or not machine.type:
            continue
        if partition.unreachable and machine.state is MachineState.LEASE_EXPIRED:
            continue  # the member record marks the whole zone as unreachable in one write
        wanted = MachineRecord(machine.type, machine.spot, machine.addr, machine.can_accept_tasks(now))
        if record != wanted:
            out.append(Write(key, wanted))
    return out


class RecordWriter:
    """Commits changes in batches, the most urgent first, guarded by the records that they depend on."""

    def __init__(self, context: OwnerContext, permissions: Permissions, commands: CommandSender) -> None:
        self._replica, self._view = context.replica, context.view
        self._permissions, self._commands = permissions, commands
        limits = context.deployment.state
        self._limits = transaction_limits(limits)
        self._max_tasks_per_record = records.tasks_per_record(limits.value_bytes)
        self._max_updatable_tasks = max_updatable_tasks(limits)
        self._unwritable = UnwritableAllocations(context.replica.state, limits)

    async def commit(self, owned: OwnedPartition, changes: AllocationChanges, other: list[Write]) -> None:
        """Writes changes in transactions that guard the partition's record and, for starts, the records of the jobs.

        Machines and the tasks of services and gangs are written first. The other changes can wait long for the rate
        limit, so a background task writes them: otherwise a replica that has to start meanwhile would wait as well
        (tests/test_mass_starts.py). While that task runs, later rounds don't write such changes; they decide on them
        again when it has ended. Ends of array tasks are written along with starts. Deletions wait until no other writes
        do, but at most `DELETE_INTERVAL_S`, since an allocation uses its team's quota until it is deleted.

        Args:
            owned: The partition.
            changes: New entries of allocations.
            other: Writes of other records.
        """
        groups = self._by_urgency(owned, changes, other)
        await self._commit_group(owned, groups[Urgency.REPLICAS], Urgency.REPLICAS)
        if not owned.placer.pending_changes:
            bulk, now = groups[Urgency.STARTS], time.monotonic()
            if (
                self._replica.store.rates.can_write_now(Urgency.CLEANUP)
                or now - owned.last_deletion_at > DELETE_INTERVAL_S
            ):
                owned.last_deletion_at = now
                bulk = groups[Urgency.CLEANUP][: self._limits.changes] + bulk
            owned.placer.pending_changes = {c.allocation: c.entries or {} for c in bulk if c.allocation is not None}
            if owned.placer.pending_changes:
                await curio.spawn(self._commit_bulk, owned, bulk, daemon=True)

    async def _commit_bulk(self, owned: OwnedPartition, bulk: list[_Change]) -> None:
        try:
            await self._commit_group(owned, bulk, Urgency.STARTS)
        except curio.CancelledError:
            raise
        except Exception:  # an unexpected error must not end the controller
            log.exception("partition transactions failed partition=%s", owned.partition.zone)
        finally:
            owned.placer.pending_changes = {}

    async def _commit_group(self, owned: OwnedPartition, group: list[_Change], urgency: Urgency) -> None:
        """Commits up to `MAX_BATCHES` batches; the next round decides again on the rest, with newer changes."""
        for batch in self._batches(owned.partition.zone, group)[:MAX_BATCHES]:
            await self._commit_batch(owned, batch, urgency)
            await self._commands.send(owned)

    def _by_urgency(
        self, owned: OwnedPartition, changes: AllocationChanges, other: list[Write]
    ) -> dict[Urgency, list[_Change]]:
        pending: Collection[AllocationKey] = owned.placer.pending_changes
        out: dict[Urgency, list[_Change]] = {Urgency.REPLICAS: [_Change(write) for write in other], Urgency.STARTS: []}
        deletable = dict.fromkeys(owned.terminal_records.deletable_allocations(self._replica.state))
        out[Urgency.CLEANUP] = [_Change(Write(str(allocation), None), allocation) for allocation in deletable]
        for allocation, entries in changes.items():
            if allocation in deletable or allocation in pending:
                continue
            if self._is_unwritable(allocation):
                self._unwritable.report([allocation])
                continue
            job = self._view.jobs.get(allocation.job)
            starting = any(entry.state == records.ASSIGNED for entry in entries.values())
            # The starts of a gang are usually one change, and its machines are idle until the last start is committed.
            urgency = Urgency.REPLICAS if job is not None and (job.service or job.gang) else Urgency.STARTS
            out[urgency].append(_Change(None, allocation, entries, starting))
        return out

    def report_unwritable(self, allocations: list[AllocationKey]) -> None:
        """Logs allocations that no transaction can update; see `UnwritableAllocations`."""
        self._unwritable.report(allocations)

    def _is_unwritable(self, allocation: AllocationKey) -> bool:
        record = self._replica.state.zone_allocations[allocation.zone].get(allocation)
        return record is not None and len(record.tasks) > self._max_updatable_tasks

    def _batches(self, zone: str, changes: list[_Change]) -> list[list[_Change]]:
        """Splits changes into batches within the limits of a transaction."""
        out: list[list[_Change]] = []
        batch_size = TransactionSize()
        for change in changes:
            size = self._size_of(zone, change)
            batch_size = batch_size.plus(size)
            if not out or not batch_size.fits_in(self._limits):
                out.append([])
                batch_size = size
            out[-1].append(change)
        return out

    def _size_of(self, zone: str, change: _Change) -> TransactionSize:
        """Returns an upper bound of the size of a change."""
        if change.allocation is None or change.write is not None:
            return change_size(None)
        record = self._replica.state.zone_allocations[zone].get(change.allocation)
        if record is None:
            return change_size(None)
        guards = guard_size(1 if change.starting else 0)
        return max_update_size(record, self._max_tasks_per_record).plus(guards)

    def _writes_of(self, owned: OwnedPartition, change: _Change, new_keys: set[AllocationKey]) -> list[Write]:
        """Returns the writes that make the change to the current records, or none if it no longer applies.

        Adds the keys of records that are split to `new_keys`, which no other split of the transaction may use.

        Another controller can have changed the allocation since the change was decided. Writing the allocation as it
        was then would restore tasks that the leader has moved since.
        """
        if change.allocation is None:
            return [change.write] if change.write is not None else []
        cluster = self._replica.state
        record = cluster.zone_allocations[owned.partition.zone].get(change.allocation)
        if record is None:
            return []
        if change.entries is None:
            deletable = owned.terminal_records.is_deletable(cluster, change.allocation)
            return [change.write] if change.write is not None and deletable else []
        new = merge_changes(record, change.entries, is_uncancelled_gang(cluster, change.allocation.job))
        if new is None:
            return []
        if len(new.tasks) <= self._max_tasks_per_record:
            return [Write(str(change.allocation), new)]
        used = new_keys | cluster.allocations[change.allocation.job].keys()
        pieces = records.split(change.allocation, new, self._max_tasks_per_record, used)
        new_keys.update(allocation for allocation, _ in pieces)
        return [Write(str(allocation), piece) for allocation, piece in pieces]

    async def _commit_batch(self, owned: OwnedPartition, batch: list[_Change], urgency: Urgency) -> None:
        if not self._permissions.owns(owned.partition):
            return
        writes: list[Write] = []
        new_keys: set[AllocationKey] = set()
        guards = {records.PARTITION + owned.partition.zone}
        for change in batch:
            change_writes = self._writes_of(owned, change, new_keys)
            writes += change_writes
            if change_writes and change.starting and change.allocation is not None:
                guards.add(records.JOB + change.allocation.job)
        if not writes:
            return
        result = await self._replica.commit(writes, guards, urgency=urgency)
        if result.status is TransactionStatus.INVALID and len(batch) > 1:
            # An invalid change must not keep the others in its batch from being committed.
            for change in batch:
                await self._commit_batch(owned, [change], urgency)
        elif result.status not in (TransactionStatus.COMMITTED, TransactionStatus.NOT_EXECUTED):
            log.info(
                "owner transaction not committed partition=%s status=%s conflicts=%s",
                owned.partition.zone,
                result.status.value,
                result.failed_keys,
            )
