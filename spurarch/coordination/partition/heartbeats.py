"""Heartbeats of a partition's workers: which are accepted, what they prove, and the commands that answer them."""

from __future__ import annotations

import logging

from spurarch.coordination.partition.commands import CommandPlanner
from spurarch.coordination.partition.machine import AttemptPhase, Machine, MachineState
from spurarch.coordination.partition.state import PartitionState
from spurarch.coordination.partition.statuses import StatusUpdater
from spurarch.coordination.partition.stopping import StopRequests
from spurarch.protocol import wire

log = logging.getLogger(__name__)

PROBE_LEASES = 0.6  # of a lease: time after which a machine is given a new token, to see that our answers arrive
RESPONSES_LOST_LEASES = 0.5  # several heartbeats: a worker shows a higher token with the next one that it sends
REJECTED_MACHINES_KEPT = 5000  # machines of which a line is logged


class HeartbeatHandler:
    """Accepts heartbeats and answers them with commands."""

    def __init__(
        self,
        state: PartitionState,
        lease_s: float,
        statuses: StatusUpdater,
        stops: StopRequests,
        commands: CommandPlanner,
    ) -> None:
        self._state, self._lease_s = state, lease_s
        self._statuses, self._stops, self._commands = statuses, stops, commands
        self._rejected_machines: set[str] = set()

    def handle(self, heartbeat: wire.Heartbeat, now: float, commanding: bool = True) -> list[wire.Command] | None:
        """Applies a heartbeat and returns the commands of its answer.

        A heartbeat may be a copy of any age and arrive in any order. Only one that is newer than the newest seen, of a
        machine that has shown a fencing token chosen for it here, changes anything.

        Args:
            heartbeat: What the worker sent.
            now: Monotonic time in seconds.
            commanding: Whether this owner may command; otherwise it may have lost the partition, and the answer only
                renews the worker's lease.

        Returns:
            The commands, or None if the heartbeat must not be answered with status 200, which would renew the lease.
        """
        state = self._state
        state.now = now
        machine = self._accepted_machine(heartbeat)
        if machine is None:
            return None
        if machine.has_seen(heartbeat):
            return []  # a copy, or older than the newest; but the sender may still wait for an answer
        self._statuses.apply(machine, heartbeat, now)
        self._probe_acknowledgement(machine, now)
        if not commanding or machine.state is not MachineState.ACTIVE:
            return []
        if not state.records_read:
            return self._commands.stops_for_cancelled(heartbeat)
        self._mark_absent_as_gone(machine, heartbeat)
        self._stops.stop_gang_members()
        commands = self._commands.plan(machine, heartbeat)
        for attempt in machine.attempts.values():
            if attempt.phase is AttemptPhase.STARTING:
                attempt.start_sent_seq = heartbeat.seq
        return commands

    def _accepted_machine(self, heartbeat: wire.Heartbeat) -> Machine | None:
        """The sender's machine, or None if it is released, its lease has expired, or it has a later owner."""
        state = self._state
        if heartbeat.machine in state.released_machines:
            self._log_rejected(heartbeat, "machine was released")
            return None
        if heartbeat.fencing_token > state.lowest_token + state.highest_token_counter:
            # A later owner has answered this worker, or the heartbeat makes no sense.
            self._log_rejected(heartbeat, "fencing token is not ours")
            return None
        machine = self._machine(heartbeat)
        if machine.state is MachineState.RELEASED or heartbeat.incarnation <= machine.expired_incarnation:
            return None
        return machine

    def _log_rejected(self, heartbeat: wire.Heartbeat, reason: str) -> None:
        if heartbeat.machine not in self._rejected_machines and len(self._rejected_machines) < REJECTED_MACHINES_KEPT:
            self._rejected_machines.add(heartbeat.machine)
            log.info(
                "heartbeat rejected machine=%s incarnation=%d sequence=%d reason=%s",
                heartbeat.machine,
                heartbeat.incarnation,
                heartbeat.seq,
                reason,
            )

    def _machine(self, heartbeat: wire.Heartbeat) -> Machine:
        machine = self._state.machines.get(heartbeat.machine)
        if machine is None:
            return self._state.add_machine(heartbeat.machine, heartbeat.type, heartbeat.spot, heartbeat.addr)
        if machine.state is not MachineState.ACTIVE and not machine.type:
            machine.type, machine.spot, machine.addr = heartbeat.type, heartbeat.spot, heartbeat.addr
        return machine

    def _probe_acknowledgement(self, machine: Machine, now: float) -> None:
        """Gives the machine a new token now and then, and finds out whether our answers reach it at all.

        A machine whose heartbeats arrive while our answers are lost would look alive and idle for ever.
        """
        if machine.token_offered_at is not None:
            # Workers show a higher token within a few heartbeats; one that takes longer does not get our answers.
            if not machine.responses_lost and now - machine.token_offered_at > self._lease_s * RESPONSES_LOST_LEASES:
                log.info("machine does not acknowledge our token machine=%s", machine.name)
                machine.responses_lost = True
        elif now - (machine.acknowledged_at or now) > self._lease_s * PROBE_LEASES:
            machine.token_counter = self._state.next_token_counter()
            machine.token_offered_at = now
        if machine.state is MachineState.UNCONFIRMED and machine.token_offered_at is None:
            machine.token_offered_at = now

    def _mark_absent_as_gone(self, machine: Machine, heartbeat: wire.Heartbeat) -> None:
        """A task that has to stop and is not listed is off the machine, if no start can still be on its way."""
        stopping = [attempt for attempt in machine.attempts.values() if attempt.stop_requested]
        if not stopping or not machine.fenced:
            return
        listed = {wire.split_task(task.task) for task in heartbeat.tasks}
        for attempt in stopping:
            if attempt.key not in listed and heartbeat.seq > attempt.start_sent_seq:
                self._state.transition(attempt, AttemptPhase.GONE)
