"""Runs the parts that this controller holds: reports in, records and commands out."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

import curio

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.partition.allocation_changes import checkpoint_grace_s, is_live_gang, merge_changes
from spurarch.coordination.partition.command_sender import CommandSender
from spurarch.coordination.partition.machine import MachineState, TaskAttempt
from spurarch.coordination.partition.owned_partition import OwnedPartition
from spurarch.coordination.partition.partition import ArchiveCoverage, Partition
from spurarch.coordination.runtime.event_loop_lag import EventLoopLag
from spurarch.coordination.runtime.round_budget import RoundBudget
from spurarch.coordination.runtime.stall_detector import StallDetector
from spurarch.coordination.scaling.scale_in import ScaleIn
from spurarch.protocol import wire
from spurarch.settings import Deployment, Tuning
from spurarch.storage import records
from spurarch.storage.cloud import Cloud
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import AllocationKey, MachineRecord, TaskEntry
from spurarch.storage.replica import Replica, Write
from spurarch.storage.store import TransactionStatus
from spurarch.transport.network import Network

log = logging.getLogger(__name__)

TICK_S = 0.1
PAUSE_S = 0.03
PARTITION_TICK_S = 0.2  # a little below the interval at which all who wait for news are woken
MOST_PLACED = 200  # allocations in one round
MOST_BATCHES = 2  # of one urgency in one round, so that what comes meanwhile is planned in its place
GATHER_S = 3.0
GATHER_BELOW = 0.8
GATHER_SCARCE_S = 6.0
SCARCE_LEVEL = 0.5
CLEAN_S = 10.0
SILENT_HEARTBEATS = 2.5
UNREGISTERED_KEPT_S = 5.0  # a worker that looks for its owner comes by more often than that
MOVE_S = 15.0
SEARCH_PUT_OFF_S = 30.0  # at most, while the event loop is late


@dataclass(slots=True)
class _Change:
    """A change of a record that a round decided on: a write, or entries of an allocation (None: it goes)."""

    write: Write | None
    where: AllocationKey | None = None
    entries: dict[int, TaskEntry] | None = None
    starting: bool = False


class PartitionOwner:
    """All parts of this controller."""

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        view: FleetView,
        cloud: Cloud,
        reachability: StoreReachability,
        stall_detector: StallDetector,
        lag: EventLoopLag,
        deployment: Deployment,
        tuning: Tuning,
        network: Network,
        coverage: ArchiveCoverage | None = None,
    ) -> None:
        self._lag = lag
        self.replica, self.membership, self.view = replica, membership, view
        self.reachability, self.deployment, self.tuning = reachability, deployment, tuning
        self._record_tasks = records.tasks_per_record(deployment.state.value_bytes)
        self._most_changes = deployment.state.transaction_changes
        self.owned: dict[str, OwnedPartition] = {}
        self.permissions = Permissions(replica, membership, reachability, stall_detector, deployment.workers.cancel_s)
        self.scale_in = ScaleIn(
            replica, membership, view, cloud, self.permissions, stall_detector, deployment, tuning, self.owned
        )
        self._unregistered_machines: dict[str, dict[str, float]] = {}
        self.unregistered_machine_found = curio.Event()  # a worker that its owner gave up for unheard
        self._wakeup = replica.listen()
        self._changed_keys = replica.state.subscribe()
        self._commands = CommandSender(
            network,
            self.permissions,
            SILENT_HEARTBEATS * deployment.workers.heartbeat_interval_s,
            deployment.limits.sockets,
        )
        self._random = Random(tuning.seed)
        self._coverage = coverage

    # Reports

    async def on_heartbeat(self, heartbeat: wire.Heartbeat, now: float) -> tuple[int, bytes]:
        """Answers a report: 200 as owner, 421 to steer the worker, 503 if nobody can tell."""
        heard = self.reachability.partitions_by_peers.get(heartbeat.zone)
        partition = self.replica.state.partitions.get(heartbeat.zone)
        if (
            self.permissions.superseded(heartbeat.zone)
            and heard is not None
            and self.reachability.peer_responds(heard[0], now)
        ):
            return 421, wire.encode(wire.Redirect(heard[0]))  # a peer told us
        if self.membership.owned_record(heartbeat.zone) is None:
            lost = heartbeat.zone in self.view.unreachable_zones()
            if heartbeat.zone in self.deployment.zones:
                self._unregistered_machines.setdefault(heartbeat.zone, {})[heartbeat.machine] = now
            if lost:
                # Its owner believes that nobody hears it. Sent back there, the worker would lose what is left of its
                # lease; the next controller may know of another owner.
                await self.unregistered_machine_found.set()
                return 421, b"{}"
            if partition is None or partition.node == self.membership.node:
                return 503, wire.encode(wire.ErrorBody("the owner of this zone is not known yet"))
            return 421, wire.encode(wire.Redirect(partition.node))
        if not self.permissions.may_answer(now):
            return 503, wire.encode(wire.ErrorBody("cut from the state service for too long"))
        owned = self._owned_partition(heartbeat.zone, now)
        occasions = owned.partition.scheduling_triggers
        commands = owned.partition.on_heartbeat(heartbeat, now, self.permissions.is_not_stalled(now))
        if commands is None:
            return 503, wire.encode(wire.ErrorBody("not entitled to this worker"))
        machine = owned.partition.machines[heartbeat.machine]
        if owned.partition.scheduling_triggers != occasions:
            await owned.wakeup.set()
        return 200, wire.encode(wire.HeartbeatResponse(owned.partition.fencing_token(machine), commands))

    def unregistered_machines(self, now: float) -> list[tuple[str, int]]:
        """By zone, workers that reported here of late though another holds their zone."""
        for zone, heard in self._unregistered_machines.items():
            self._unregistered_machines[zone] = {
                name: at for name, at in heard.items() if now - at < UNREGISTERED_KEPT_S
            }
        return [(zone, len(heard)) for zone, heard in self._unregistered_machines.items() if heard]

    def _owned_partition(self, zone: str, now: float) -> OwnedPartition:
        """The part in memory, begun anew with every epoch."""
        record = self.replica.state.partitions[zone]
        owned = self.owned.get(zone)
        if owned is None or owned.partition.epoch != record.epoch:
            owned = OwnedPartition(
                Partition(
                    zone,
                    record.epoch,
                    self.deployment.workers.lease_s,
                    now,
                    self._image_of,
                    self.view.ledger.violations,
                ),
                self.tuning,
                SILENT_HEARTBEATS * self.deployment.workers.heartbeat_interval_s,
            )
            owned.partition.time_since_cancellation = self.permissions.time_since_cancellation
            if self._coverage is not None:
                owned.partition.coverage = self._coverage
                owned.partition.may_start = lambda: self.replica.store.trusted
            self.owned[zone] = owned
        return owned

    def _image_of(self, job: str) -> int | None:
        known = self.view.jobs.get(job)
        return known.requirements.image if known is not None else None

    # Rounds

    async def run(self) -> None:
        """Notices which parts are held, and hands news to each.

        Every part works in a task of its own, so that none waits in line behind another's transactions.
        """
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            if self.replica.loaded:
                await self._update_owned(time.monotonic())
                await self.scale_in.watch_orphans(time.monotonic())
            await curio.sleep(PAUSE_S)

    async def _update_owned(self, now: float) -> None:
        for zone in list(self.owned):
            if self.membership.owned_record(zone) is None:
                log.info("partition ownership lost partition=%s", zone)
                await self.owned.pop(zone).wakeup.set()
        self._distribute_changes()
        for zone in self.deployment.zones:
            if self.membership.owned_record(zone) is not None:
                owned = self._owned_partition(zone, now)
                if not owned.is_running:
                    owned.is_running = True
                    await curio.spawn(self._run_partition, owned, daemon=True)
                    await curio.spawn(self._run_commands, owned, daemon=True)
                if owned.changed_keys or now >= owned.next_tick:
                    await owned.wakeup.set()

    async def _run_partition(self, owned: OwnedPartition) -> None:
        """Rounds of one part, as long as it is held: on news, and every now and then."""
        zone = owned.partition.zone
        while self.owned.get(zone) is owned and self.permissions.owns(owned.partition):
            await owned.wakeup.wait()
            owned.wakeup.clear()
            try:
                await self._prepare(owned)
                if owned.partition.records_read:
                    await self._run_round(owned)
            except curio.CancelledError:
                raise
            except Exception:  # a failure in one round must not end the controller
                log.exception("partition round failed partition=%s", zone)
                await curio.sleep(TICK_S)
            await curio.sleep(self._lag.pause_s(PAUSE_S))

    async def _run_commands(self, owned: OwnedPartition) -> None:
        """Stops and starts go out while transactions wait in line.

        A cancelled job's tasks have to leave in time, however short changes are (docs/incidents/2026-12-02-commands-
        behind-records.md). Silence is judged here too: in a round it was found late, and a controller cut from its
        workers returned them before it noticed.
        """
        while self.owned.get(owned.partition.zone) is owned and self.permissions.owns(owned.partition):
            await curio.sleep(TICK_S)
            try:
                if (owned.partition.records_read or owned.provisional) and self.permissions.owns(owned.partition):
                    self._stop_jobs_cancelled_by_peers(owned)
                    await self._send(owned)
                    await self.scale_in.watch_overdue(owned, time.monotonic())
                    if owned.partition.records_read:
                        await self.scale_in.watch_silence(owned, time.monotonic())
            except curio.CancelledError:
                raise
            except Exception:  # must not end the controller
                log.exception("partition commands failed partition=%s", owned.partition.zone)

    def _stop_jobs_cancelled_by_peers(self, owned: OwnedPartition) -> None:
        """Cancels that peers passed on while the state service is out of reach."""
        for job_id in self.reachability.cancelled_by_peers:
            owned.partition.stop_job(job_id, time.monotonic())

    def _distribute_changes(self) -> None:
        """Notes changed records for every part."""
        self.view.update()
        if self._changed_keys:
            for zone, owned in self.owned.items():
                mine = (f"{records.ALLOCATION}{zone}/", f"{records.MACHINE}{zone}/", records.JOB)
                owned.changed_keys.update((key, None) for key in self._changed_keys if key.startswith(mine))
            self._changed_keys.clear()

    def _apply_changes(self, owned: OwnedPartition, now: float) -> None:
        if owned.changed_keys:
            owned.partition.apply_records(self.replica.state, owned.changed_keys, now)
            owned.changed_keys.clear()

    async def _prepare(self, owned: OwnedPartition) -> None:
        """Takes records in; a part is ready once a copy read after its claim is complete."""
        partition, state = owned.partition, self.replica.state
        if not partition.records_read:
            if not await self.replica.sync():
                if self.replica.loaded and not owned.provisional:
                    # What was read before the claim serves to stop cancelled tasks, and for nothing else.
                    partition.apply_records(state, list(state.entries), time.monotonic())
                    owned.provisional = True
                return
            self._distribute_changes()
            partition.apply_records(state, list(dict.fromkeys([*state.entries, *owned.changed_keys])), time.monotonic())
            owned.changed_keys.clear()
            partition.records_read = True
        else:
            self._distribute_changes()
            self._apply_changes(owned, time.monotonic())
        self._stop_jobs_cancelled_by_peers(owned)

    async def _run_round(self, owned: OwnedPartition) -> None:
        partition, state, now = owned.partition, self.replica.state, time.monotonic()
        writes: list[Write] = []
        if now >= owned.next_tick and self.permissions.is_not_stalled(now):
            owned.next_tick = now + PARTITION_TICK_S
            partition.tick(now)
            writes = self._machine_writes(partition, now)
        partition.now = now
        changes = partition.terminal_entries(state, self._batch_delay_s())
        if partition.unassigned:
            budget = self._round_budget()
            owned.placer.writes_scarce = self.replica.store.write_level() < SCARCE_LEVEL
            placed = owned.placer.run_round(partition, self.view, now, budget.spent, MOST_PLACED, time.time())
            if self.permissions.records_are_fresh(now):
                for attempt in placed.preempt:
                    log.info("preempting task job=%s task=%d machine=%s", *attempt.key, attempt.machine)
                    partition.request_stop(attempt, self._grace(attempt))
            for allocation, entries in placed.entries.items():
                changes.setdefault(allocation, {}).update(entries)
            if placed.unfinished:
                await owned.wakeup.set()
        await self._commit(owned, changes, writes)
        self._run_local_search(owned, now)
        await self._send(owned)
        await self.scale_in.release_idle(owned, now)

    def _round_budget(self) -> RoundBudget:
        return RoundBudget(self.tuning.budget_ms / 1000, self.deployment.limits.cpu)

    def _batch_delay_s(self) -> float:
        """How long ends are gathered: not at all while changes are to be had, longer the scarcer they are."""
        level = self.replica.store.write_level()
        if level <= Urgency.STARTS.value:
            return GATHER_SCARCE_S
        return GATHER_S * min(1.0, max(0.0, GATHER_BELOW - level) / GATHER_BELOW)

    def _run_local_search(self, owned: OwnedPartition, now: float) -> None:
        """The round of Tabu search and consolidation, and reopening what was being emptied when tasks wait."""
        partition = owned.partition
        if partition.unassigned:
            for machine in partition.machines.values():
                machine.draining = False
        if now < owned.next_search or (self._lag.late and now < owned.next_search + SEARCH_PUT_OFF_S):
            return
        first = owned.next_search == 0.0
        owned.next_search = now + self.tuning.round_s
        if first or not self.permissions.records_are_fresh(now):
            return
        from spurarch.coordination.scheduling.local_search import refine  # not needed to answer workers after a restart

        result = refine(partition, self.view, self.tuning, now, self._random, self._round_budget().spent)
        if result.empty is not None:
            log.info("draining machine for consolidation machine=%s", result.empty)
            partition.machines[result.empty].draining = True
        for attempt, target in result.moves:
            log.info(
                "migrating service replica job=%s task=%d machine=%s target=%s", *attempt.key, attempt.machine, target
            )
            owned.placer.move(attempt.key, target, now + MOVE_S)
            partition.request_stop(attempt, self._grace(attempt))
        if result.search is not None and result.search.moves:
            log.info(
                "placement search improved partition=%s cost_before=%.4f cost_after=%.4f",
                partition.zone,
                result.search.before,
                result.search.after,
            )

    def _grace(self, attempt: TaskAttempt) -> float:
        job = self.replica.state.jobs.get(attempt.allocation.job)
        return checkpoint_grace_s(job.spec) if job is not None else 0.0

    # Records

    def _machine_writes(self, partition: Partition, now: float) -> list[Write]:
        """Machines that are new, closed or opened again, or gone."""
        out = []
        on_record = self.replica.state.machines[partition.zone]
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
                continue  # the whole zone is closed by one change
            wanted = MachineRecord(machine.type, machine.spot, machine.addr, machine.can_accept_tasks(now))
            if record != wanted:
                out.append(Write(key, wanted))
        return out

    async def _commit(
        self, owned: OwnedPartition, changes: dict[AllocationKey, dict[int, TaskEntry]], extra: list[Write]
    ) -> None:
        """Writes what changed, in transactions within the limits that guard the part and the jobs.

        Machines and replicas go first. The rest may stand in line for long, so it goes on beside the rounds: a replica
        that has to start meanwhile would wait with it (tests/test_bursts.py). Ends of arrays go with their starts;
        clean-up waits until nothing else does, or for `CLEAN_S`, since quotas wait for it.
        """
        groups = self._by_urgency(owned.partition, changes, extra, owned.placer.pending_changes)
        await self._commit_some(owned, groups[Urgency.REPLICAS], Urgency.REPLICAS)
        if not owned.placer.pending_changes:
            bulk, now = groups[Urgency.STARTS], time.monotonic()
            if self.replica.store.can_write_now(Urgency.ENDS) or now - owned.cleaned_at > CLEAN_S:
                owned.cleaned_at = now
                bulk = groups[Urgency.ENDS][: self._most_changes] + bulk
            owned.placer.pending_changes = {c.where: c.entries or {} for c in bulk if c.where is not None}
            if owned.placer.pending_changes:
                await curio.spawn(self._commit_bulk, owned, bulk, daemon=True)

    async def _commit_bulk(self, owned: OwnedPartition, bulk: list[_Change]) -> None:
        try:
            await self._commit_some(owned, bulk, Urgency.STARTS)
        except curio.CancelledError:
            raise
        except Exception:  # must not end the controller
            log.exception("partition transactions failed partition=%s", owned.partition.zone)
        finally:
            owned.placer.pending_changes = {}

    async def _commit_some(self, owned: OwnedPartition, group: list[_Change], urgency: Urgency) -> None:
        """Makes some of the changes; what is left is planned again, with what came meanwhile in its place."""
        for batch in self._batches(owned.partition.zone, group)[:MOST_BATCHES]:
            await self._commit_batch(owned.partition, batch, urgency)
            await self._send(owned)

    def _by_urgency(
        self,
        partition: Partition,
        changes: dict[AllocationKey, dict[int, TaskEntry]],
        extra: list[Write],
        pending: Iterable[AllocationKey],
    ) -> dict[Urgency, list[_Change]]:
        out: dict[Urgency, list[_Change]] = {Urgency.REPLICAS: [_Change(write) for write in extra], Urgency.STARTS: []}
        cleaning = dict.fromkeys(partition.deletable_allocations(self.replica.state))
        out[Urgency.ENDS] = [_Change(Write(str(allocation), None), allocation) for allocation in cleaning]
        for allocation, entries in changes.items():
            if allocation in cleaning or allocation in pending:
                continue
            job = self.view.jobs.get(allocation.job)
            starting = any(e.state == records.ASSIGNED for e in entries.values())
            # All starts of a gang are one change as a rule, and its machines wait for the last of them.
            urgency = Urgency.REPLICAS if job is not None and (job.service or job.gang) else Urgency.STARTS
            out[urgency].append(_Change(None, allocation, entries, starting))
        return out

    def _batches(self, zone: str, items: list[_Change]) -> list[list[_Change]]:
        out: list[list[_Change]] = []
        size = changes = 0
        allocations = self.replica.state.zone_allocations[zone]
        for item in items:
            record = allocations.get(item.where) if item.where is not None and item.write is None else None
            length = records.change_bytes(record)
            pieces = records.pieces_of(record, self._record_tasks) if record is not None else 1
            if not out or changes + pieces > self._most_changes or size + length > records.TXN_BYTES:
                out.append([])
                size = changes = 0
            out[-1].append(item)
            size += length
            changes += pieces
        return out

    def _writes_of(self, partition: Partition, change: _Change) -> list[Write]:
        """The change as it applies now, or nothing.

        Another one's transaction may have come between its planning and this moment: writing back an allocation as it
        was then would bring back tasks that the leader has moved since.
        """
        if change.where is None:
            return [change.write] if change.write is not None else []
        record = self.replica.state.zone_allocations[partition.zone].get(change.where)
        if record is None:
            return []
        if change.entries is None:
            over = partition.is_deletable(self.replica.state, change.where)
            return [change.write] if change.write is not None and over else []
        new = merge_changes(record, change.entries, is_live_gang(self.replica.state, change.where.job))
        if new is None:
            return []
        return [
            Write(str(allocation), piece) for allocation, piece in records.split(change.where, new, self._record_tasks)
        ]

    async def _commit_batch(self, partition: Partition, batch: list[_Change], urgency: Urgency) -> None:
        if not self.permissions.owns(partition):
            return
        writes: list[Write] = []
        guards = {records.PARTITION + partition.zone}
        for change in batch:
            made = self._writes_of(partition, change)
            writes += made
            if made and change.starting and change.where is not None:
                guards.add(records.JOB + change.where.job)
        if not writes:
            return
        result = await self.replica.commit(writes, guards, urgency=urgency)
        if result.status is TransactionStatus.INVALID and len(batch) > 1:
            # One change that the service will not take must not keep the others from ever being made.
            for change in batch:
                await self._commit_batch(partition, [change], urgency)
        elif result.status not in (TransactionStatus.COMMITTED, TransactionStatus.NOT_EXECUTED):
            log.info(
                "owner transaction not committed partition=%s status=%s conflicts=%s",
                partition.zone,
                result.status.value,
                result.failed_keys,
            )

    async def _send(self, owned: OwnedPartition) -> None:
        """Starts and stops go straight to the worker, by what the records say now."""
        if owned.partition.records_read:
            self._distribute_changes()
            self._apply_changes(owned, time.monotonic())
        await self._commands.send(owned)
