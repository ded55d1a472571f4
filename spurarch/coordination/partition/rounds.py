"""Decision rounds of owned partitions: record ended tasks, place waiting tasks, migrate running tasks.

Imported once the records have been read: answering workers after a restart doesn't need it.
"""

from __future__ import annotations

import logging
import time
from random import Random

import curio

from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.allocation_changes import checkpoint_grace_s
from spurarch.coordination.partition.command_sender import CommandSender
from spurarch.coordination.partition.machine import TaskAttempt
from spurarch.coordination.partition.owned_partition import OwnedPartition, OwnerContext
from spurarch.coordination.partition.record_feed import RecordFeed
from spurarch.coordination.partition.record_writer import AllocationChanges, RecordWriter, machine_writes
from spurarch.coordination.runtime.round_budget import RoundBudget
from spurarch.coordination.scaling.scale_in import ScaleIn
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.transaction import Write

log = logging.getLogger(__name__)

ROUND_PAUSE_S = 0.03  # minimum pause between two rounds
FAILURE_PAUSE_S = 0.1
PARTITION_TICK_S = 0.2  # slightly shorter than the interval at which `ProcessTimer` wakes all listeners
MAX_ALLOCATIONS_PER_ROUND = 200
END_DELAY_S = 3.0  # upper bound of the delay that grows as the write level falls below `END_DELAY_LEVEL`
END_DELAY_LEVEL = 0.8  # share of a second's writes that is left, below which ended tasks are collected
END_DELAY_SCARCE_S = 6.0  # delay while the write level admits nothing less urgent than starts
SCARCE_LEVEL = 0.5  # share of a second's writes that is left, below which placement avoids writes
MIGRATION_RESERVATION_S = 15.0  # for which the target's capacity is reserved for a migrating replica
MAX_SEARCH_DELAY_S = 30.0  # for which a local search is postponed while the event loop lags


class PartitionRounds:
    """Runs the rounds of the owned partitions; each partition has its own task in the event loop."""

    def __init__(
        self,
        context: OwnerContext,
        permissions: Permissions,
        scale_in: ScaleIn,
        feed: RecordFeed,
        commands: CommandSender,
    ) -> None:
        self._context, self._permissions, self._scale_in = context, permissions, scale_in
        self._feed, self._commands = feed, commands
        self._writer = RecordWriter(context, permissions, commands)
        self._random = Random(context.tuning.seed)

    async def run(self, owned: OwnedPartition, owned_partitions: dict[str, OwnedPartition]) -> None:
        """Runs rounds of one partition while it is owned: after changes, and at every tick of the partition."""
        zone = owned.partition.zone
        while owned_partitions.get(zone) is owned and self._permissions.owns(owned.partition):
            await owned.wakeup.wait()
            owned.wakeup.clear()
            try:
                await self._feed.prepare(owned)
                if owned.partition.state.records_read:
                    await self._run_round(owned)
            except curio.CancelledError:
                raise
            except Exception:  # an unexpected error must not end the controller
                log.exception("partition round failed partition=%s", zone)
                await curio.sleep(FAILURE_PAUSE_S)
            await curio.sleep(self._context.lag.round_pause_s(ROUND_PAUSE_S))

    async def _run_round(self, owned: OwnedPartition) -> None:
        partition, cluster, now = owned.partition, self._context.replica.state, time.monotonic()
        writes: list[Write] = []
        if now >= owned.next_tick and self._permissions.is_confirmed_since_stall(now):
            owned.next_tick = now + PARTITION_TICK_S
            partition.tick(now)
            writes = machine_writes(partition, cluster, now)
        partition.state.now = now
        changes = owned.terminal_records.entries(cluster, self._end_delay_s())
        if partition.unassigned:
            await self._place(owned, changes, now)
        await self._writer.commit(owned, changes, writes)
        self._search_if_due(owned, now)
        await self._commands.send(owned)
        await self._scale_in.release_idle(owned, now)

    async def _place(self, owned: OwnedPartition, changes: AllocationChanges, now: float) -> None:
        """Runs a placement round: adds its assignments to `changes`, and stops the tasks that it preempts."""
        partition, budget = owned.partition, self._budget()
        owned.placer.writes_scarce = self._context.replica.store.rates.unused_write_share() < SCARCE_LEVEL
        placed = owned.placer.run_round(
            partition, self._context.view, now, budget.spent, MAX_ALLOCATIONS_PER_ROUND, time.time()
        )
        self._writer.report_unwritable(placed.unwritable)
        if self._permissions.records_are_fresh(now):
            for attempt in placed.preempt:
                log.info("preempting task job=%s task=%d machine=%s", *attempt.key, attempt.machine)
                partition.request_stop(attempt, self._grace_s(attempt))
        for allocation, entries in placed.entries.items():
            changes.setdefault(allocation, {}).update(entries)
        if placed.unfinished:
            await owned.wakeup.set()

    def _budget(self) -> RoundBudget:
        return RoundBudget(self._context.tuning.budget_ms / 1000, self._context.deployment.limits.cpu)

    def _end_delay_s(self) -> float:
        """Seconds for which ended tasks are collected: 0 while writes are plentiful, more the scarcer they are."""
        level = self._context.replica.store.rates.unused_write_share()
        if level <= Urgency.STARTS.value:
            return END_DELAY_SCARCE_S
        return END_DELAY_S * min(1.0, max(0.0, END_DELAY_LEVEL - level) / END_DELAY_LEVEL)

    def _grace_s(self, attempt: TaskAttempt) -> float:
        job = self._context.replica.state.jobs.get(attempt.allocation.job)
        return checkpoint_grace_s(job.spec) if job is not None else 0.0

    def _search_if_due(self, owned: OwnedPartition, now: float) -> None:
        """Runs a local search if one is due; ends the draining of machines while tasks wait for capacity.

        The first call only schedules the search, and a search is left out while the copy of the records isn't fresh.
        """
        if owned.partition.unassigned:
            for machine in owned.partition.machines.values():
                machine.draining = False
        if now < owned.next_search or (self._context.lag.late and now < owned.next_search + MAX_SEARCH_DELAY_S):
            return
        first = owned.next_search == 0.0
        owned.next_search = now + self._context.tuning.round_s
        if not first and self._permissions.records_are_fresh(now):
            self._refine(owned, now)

    def _refine(self, owned: OwnedPartition, now: float) -> None:
        """Runs tabu search and consolidation; a migration begins by stopping the task."""
        from spurarch.coordination.scheduling.local_search import refine  # answering workers doesn't need it

        partition, context = owned.partition, self._context
        result = refine(partition, context.view, context.tuning, now, self._random, self._budget().spent)
        if result.machine_to_drain is not None:
            log.info("draining machine for consolidation machine=%s", result.machine_to_drain)
            partition.machines[result.machine_to_drain].draining = True
        for attempt, target in result.moves:
            log.info(
                "migrating service replica job=%s task=%d machine=%s target=%s", *attempt.key, attempt.machine, target
            )
            owned.placer.reserve_move_target(attempt.key, target, now + MIGRATION_RESERVATION_S)
            partition.request_stop(attempt, self._grace_s(attempt))
        if result.search is not None and result.search.moves:
            log.info(
                "placement search improved partition=%s cost_before=%.4f cost_after=%.4f",
                partition.zone,
                result.search.cost_before,
                result.search.cost_after,
            )
