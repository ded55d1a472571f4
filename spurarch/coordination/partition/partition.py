"""An owned partition: turns heartbeats and records into commands. No I/O; callers pass the time."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from functools import cached_property
from typing import TYPE_CHECKING

from spurarch.coordination.partition.commands import CommandPlanner
from spurarch.coordination.partition.direct_commands import DirectCommandPlanner
from spurarch.coordination.partition.ended_attempts import EndProof
from spurarch.coordination.partition.failures import FailureAttribution, JobBackoff
from spurarch.coordination.partition.heartbeats import HeartbeatHandler
from spurarch.coordination.partition.machine import Machine, MachineState, TaskAttempt
from spurarch.coordination.partition.state import PartitionContext, PartitionState
from spurarch.coordination.partition.statuses import StatusUpdater
from spurarch.coordination.partition.stopping import StopRequests
from spurarch.protocol import wire
from spurarch.storage.cluster_state import ClusterState

if TYPE_CHECKING:
    from spurarch.coordination.partition.record_follower import RecordFollower

log = logging.getLogger(__name__)


class Partition:
    """The machines and tasks of one zone in one epoch of its ownership.

    The components created here share `state` and change its tables; other components read the tables.

    Attributes:
        state: The tables and the time of the last update.
        commands: Plans the commands that a machine needs.
        direct_commands: Plans the commands that are sent to workers' own addresses.
    """

    def __init__(self, zone: str, epoch: int, lease_s: float, now: float, context: PartitionContext) -> None:
        self.zone, self.epoch, self.claimed_at, self._lease_s, self._context = zone, epoch, now, lease_s, context
        self.state = state = PartitionState(zone, epoch, now)
        self.machines, self.attempts, self.unassigned = state.machines, state.attempts, state.unassigned
        self.terminal_attempts, self.gangs = state.terminal_attempts, state.gangs
        self.machines_needing_commands = state.machines_needing_commands
        self.machines_with_cancelled_tasks = state.machines_with_cancelled_tasks
        self._failures = FailureAttribution(state.machines)
        self._stops = StopRequests(state, context)
        self._statuses = StatusUpdater(state, self._stops, self._failures, context)
        self.commands = CommandPlanner(state, context)
        self._heartbeats = HeartbeatHandler(state, lease_s, self._statuses, self._stops, self.commands)
        self.direct_commands = DirectCommandPlanner(state, self.commands, self._statuses, self._stops)

    @cached_property
    def _record_follower(self) -> RecordFollower:
        from spurarch.coordination.partition.record_follower import RecordFollower

        return RecordFollower(self.state, self._stops, self._failures, self._context)

    @property
    def backoffs(self) -> dict[str, JobBackoff]:
        """Delays of retries after task failures, by job."""
        return self._failures.backoffs

    @property
    def capacity_added_at(self) -> float:
        """Monotonic time in seconds at which a machine last became active."""
        return self.state.capacity_added_at

    @property
    def unreachable(self) -> bool:
        """Whether no controller receives heartbeats from the zone."""
        return self.state.unreachable

    @unreachable.setter
    def unreachable(self, value: bool) -> None:
        self.state.unreachable = value

    # Records and heartbeats

    def apply_records(self, cluster: ClusterState, keys: Iterable[str], now: float) -> None:
        """Applies the current records of the changed keys."""
        self._record_follower.apply(cluster, keys, now)

    def on_heartbeat(
        self, heartbeat: wire.Heartbeat, now: float, may_command: bool = True
    ) -> list[wire.Command] | None:
        """Applies a heartbeat; returns the commands for its response, or None if the status must not be 200."""
        return self._heartbeats.handle(heartbeat, now, may_command)

    def on_released(self, name: str) -> None:
        """Marks a machine as released, and its attempts as gone, once the cloud has confirmed its release."""
        self.state.add_released_machine(name)
        machine = self.machines.get(name)
        if machine is not None:
            machine.transition(MachineState.RELEASED)
            self.state.set_unrecorded_tasks(machine, [])
            for attempt in machine.attempts.values():
                self.state.mark_gone(attempt, EndProof.MACHINE_RELEASED)

    # Time

    def tick(self, now: float) -> None:
        """Sets the time, expires leases, updates since when machines are idle, and stops gangs that failed thereby."""
        self.state.now = now
        for machine in self.machines.values():
            if machine.lease_expired(now, self._lease_s):
                self._expire_lease(machine, now)
            if machine.attempts or machine.unrecorded_tasks:
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now
        self._stops.stop_gang_members()

    def _expire_lease(self, machine: Machine, now: float) -> None:
        silent_s = now - (machine.last_heartbeat_at or now)
        log.info("machine lease expired machine=%s silent_seconds=%.1f", machine.name, silent_s)
        machine.expired_incarnation = machine.incarnation
        machine.transition(MachineState.LEASE_EXPIRED)
        for attempt in machine.attempts.values():
            if attempt.job_cancelled_at is not None:
                # A hung machine does not stop its tasks when its lease expires.
                machine.unconfirmed_cancellation_at = min(
                    attempt.job_cancelled_at, machine.unconfirmed_cancellation_at or attempt.job_cancelled_at
                )
            self.state.mark_gone(attempt, EndProof.LEASE_EXPIRED)
        machine.unconfirmed_cancellation_at = machine.earliest_cancellation_at()
        self.state.set_unrecorded_tasks(machine, [])
        machine.unrecorded_cancellation_at = None

    # Stops

    def request_stop(self, attempt: TaskAttempt, grace_s: float) -> None:
        """Requests the stop of a task, and of the other members of its gang, with a grace period in seconds."""
        self._stops.request(attempt, grace_s)

    def stop_job(self, job_id: str, now: float) -> None:
        """Requests the stop of all tasks of a cancelled job."""
        self._stops.stop_job(job_id, now)
