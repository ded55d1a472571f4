"""The partitions that this controller owns: answers heartbeats, and runs rounds and commands of each partition."""

from __future__ import annotations

import logging
import time
from functools import cached_property
from typing import TYPE_CHECKING

import curio

from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.command_sender import CommandSender
from spurarch.coordination.partition.owned_partition import OwnedPartition, OwnerContext
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.partition.state import PartitionContext
from spurarch.coordination.scaling.scale_in import ScaleIn, ScaleInContext
from spurarch.protocol import wire
from spurarch.storage.transaction import max_updatable_tasks
from spurarch.transport.http_messages import Response, error_response

if TYPE_CHECKING:
    from spurarch.coordination.partition.record_feed import RecordFeed
    from spurarch.coordination.partition.rounds import PartitionRounds

log = logging.getLogger(__name__)

UPDATE_PAUSE_S = 0.03  # between updates of the set of owned partitions
COMMAND_INTERVAL_S = 0.1
UNREGISTERED_VALID_S = 5.0  # longer than the interval between heartbeats of a worker that searches for its owner


class PartitionOwner:
    """All partitions of this controller.

    Attributes:
        owned: Owned partitions by zone. One whose ownership ended stays in it until the next update.
        permissions: Which actions this controller may take at present.
        scale_in: Releases machines of the owned partitions.
        unregistered_machine_found: Set when a heartbeat arrives here from a zone that another controller owns and has
            marked as unreachable.
    """

    def __init__(self, context: OwnerContext) -> None:
        self._context = context
        self._replica, self._membership, self._deployment = context.replica, context.membership, context.deployment
        self.owned: dict[str, OwnedPartition] = {}
        self.permissions = Permissions(
            context.replica,
            context.membership,
            context.reachability,
            context.stall_detector,
            context.deployment.workers.cancel_s,
        )
        self.scale_in = ScaleIn(
            ScaleInContext(
                context.replica,
                context.membership,
                context.view,
                context.cloud,
                self.permissions,
                context.stall_detector,
                context.deployment,
                context.tuning,
            ),
            self.owned,
        )
        self._unregistered_machines: dict[str, dict[str, float]] = {}  # by zone and name: time of the last heartbeat
        self.unregistered_machine_found = curio.Event()
        self._wakeup = context.replica.listen()
        self._changed_keys = context.replica.state.subscribe()

    @cached_property
    def _feed(self) -> RecordFeed:
        from spurarch.coordination.partition.record_feed import RecordFeed

        return RecordFeed(self._context, self.owned, self._changed_keys)

    @cached_property
    def _commands(self) -> CommandSender:
        sockets = self._deployment.limits.sockets
        return CommandSender(self._context.network, self.permissions, self._feed, self._context.silent_s, sockets)

    @cached_property
    def _rounds(self) -> PartitionRounds:
        from spurarch.coordination.partition.rounds import PartitionRounds

        return PartitionRounds(self._context, self.permissions, self.scale_in, self._feed, self._commands)

    # Heartbeats

    async def on_heartbeat(self, heartbeat: wire.Heartbeat, now: float) -> Response:
        """Answers a heartbeat: 200 as owner, 421 to redirect the worker, 503 if neither is possible at present.

        Args:
            heartbeat: What the worker sent.
            now: Monotonic time in seconds.
        """
        zone = heartbeat.zone
        new_owner = self._reported_owner(zone, now)
        if new_owner is not None:
            return Response(421, wire.encode(wire.Redirect(new_owner)))
        if self._membership.owned_record(zone) is None:
            return await self._redirect(heartbeat, now)
        if not self.permissions.may_answer(now):
            return error_response(503, "cut from the state service for too long")
        owned = self._owned_partition(zone, now)
        state = owned.partition.state
        triggers = state.scheduling_triggers
        commands = owned.partition.on_heartbeat(heartbeat, now, self.permissions.is_confirmed_since_stall(now))
        if commands is None:
            return error_response(503, "not entitled to this worker")
        machine = state.machines[heartbeat.machine]
        if state.scheduling_triggers != triggers:
            await owned.wakeup.set()
        token = state.fencing_token(machine)
        return Response(200, wire.encode(wire.HeartbeatResponse(token, commands)))

    def _reported_owner(self, zone: str, now: float) -> str | None:
        """Node of a responding peer that owns the zone by reports newer than this controller's records, else None."""
        reported = self._context.reachability.reported_owners.get(zone)
        if (
            self.permissions.is_owned_by_peer(zone)
            and reported is not None
            and self._context.reachability.peer_responds(reported.node, now)
        ):
            return reported.node
        return None

    async def _redirect(self, heartbeat: wire.Heartbeat, now: float) -> Response:
        """Answers a worker whose zone isn't owned by this process, and counts it in `unregistered_machines`."""
        zone = heartbeat.zone
        if zone in self._deployment.zones:
            self._unregistered_machines.setdefault(zone, {})[heartbeat.machine] = now
        if zone in self._context.view.unreachable_zones():
            # The zone's owner receives no heartbeats from it. A redirect to that owner would use up the rest of the
            # worker's lease. Without a target, the worker tries the next controller, whose copy of the records possibly
            # names a newer owner.
            await self.unregistered_machine_found.set()
            return Response(421)
        partition = self._replica.state.partitions.get(zone)
        if partition is None or partition.node == self._membership.node:
            return error_response(503, "the owner of this zone is not known yet")
        return Response(421, wire.encode(wire.Redirect(partition.node)))

    def unregistered_machines(self, now: float) -> list[tuple[str, int]]:
        """Returns zones not owned here, with the number of workers that recently sent heartbeats here nevertheless.

        Also forgets the workers whose last such heartbeat is older than `UNREGISTERED_VALID_S`.
        """
        for zone, machines in self._unregistered_machines.items():
            self._unregistered_machines[zone] = {
                name: at for name, at in machines.items() if now - at < UNREGISTERED_VALID_S
            }
        return [(zone, len(machines)) for zone, machines in self._unregistered_machines.items() if machines]

    def _owned_partition(self, zone: str, now: float) -> OwnedPartition:
        """Returns the in-memory state of an owned partition, which is created anew in every epoch."""
        record = self._replica.state.partitions[zone]
        owned = self.owned.get(zone)
        if owned is None or owned.partition.epoch != record.epoch:
            partition_context = PartitionContext(
                self._image_of,
                self.permissions.time_since_cancellation,
                self._may_start,
                self._context.coverage,
                self._context.view.ledger.violations,
            )
            lease_s = self._deployment.workers.lease_s
            partition = Partition(zone, record.epoch, lease_s, now, partition_context)
            context = self._context
            owned = self.owned[zone] = OwnedPartition(
                partition, context.tuning, context.silent_s, max_updatable_tasks(context.deployment.state)
            )
        return owned

    def _may_start(self) -> bool:
        """Whether the records can be trusted enough to start tasks; without an archive they always are."""
        return self._context.coverage is None or self._replica.store.trusted

    def _image_of(self, job_id: str) -> int | None:
        job = self._context.view.jobs.get(job_id)
        return job.requirements.image if job is not None else None

    # Rounds and commands

    async def run(self) -> None:
        """Updates the set of owned partitions, and starts their event-loop tasks, until cancelled.

        Wakes partitions whose records changed or whose tick is due, and releases machines with overdue cancelled tasks
        in zones without an owner. Every partition has its own tasks in the event loop, so that none waits for another's
        transactions.
        """
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            if self._replica.loaded:
                await self._update_owned(time.monotonic())
                await self.scale_in.release_orphaned(time.monotonic())
            await curio.sleep(UPDATE_PAUSE_S)

    async def _update_owned(self, now: float) -> None:
        for zone in list(self.owned):
            if self._membership.owned_record(zone) is None:
                log.info("partition ownership lost partition=%s", zone)
                await self.owned.pop(zone).wakeup.set()
        self._feed.distribute()
        for zone in self._deployment.zones:
            if self._membership.owned_record(zone) is not None:
                owned = self._owned_partition(zone, now)
                if not owned.is_running:
                    owned.is_running = True
                    await curio.spawn(self._rounds.run, owned, self.owned, daemon=True)
                    await curio.spawn(self._run_commands, owned, daemon=True)
                if owned.changed_keys or now >= owned.next_tick:
                    await owned.wakeup.set()

    async def _run_commands(self, owned: OwnedPartition) -> None:
        """Sends commands to workers, even while the rounds' transactions wait for the rate limit.

        The tasks of a cancelled job have to leave their machines in time, however few writes the rate limit leaves
        (docs/incidents/2026-12-02-commands-behind-records.md). Silent and overdue machines are detected and released
        here too, not in rounds: rounds detected silent machines so late that a controller partitioned from its workers
        released the machines before it noticed the partition.
        """
        partition = owned.partition
        while self.owned.get(partition.zone) is owned and self.permissions.owns(partition):
            await curio.sleep(COMMAND_INTERVAL_S)
            try:
                if (partition.state.records_read or owned.provisional) and self.permissions.owns(partition):
                    self._feed.stop_jobs_reported_cancelled(owned)
                    await self._commands.send(owned)
                    await self.scale_in.release_overdue(owned, time.monotonic())
                    if partition.state.records_read:
                        await self.scale_in.release_silent(owned, time.monotonic())
            except curio.CancelledError:
                raise
            except Exception:  # an unexpected error must not end the controller
                log.exception("partition commands failed partition=%s", partition.zone)
