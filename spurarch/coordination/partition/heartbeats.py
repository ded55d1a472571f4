"""Handles the heartbeats of a partition's workers: accepts or rejects them, and plans the commands in the responses."""

from __future__ import annotations

import logging

from spurarch.coordination.partition.commands import CommandPlanner
from spurarch.coordination.partition.ended_attempts import EndProof
from spurarch.coordination.partition.machine import (
    AttemptPhase,
    Machine,
    MachineState,
    TaskAttempt,
    rejects_start,
)
from spurarch.coordination.partition.state import PartitionState
from spurarch.coordination.partition.statuses import StatusUpdater
from spurarch.coordination.partition.stopping import StopRequests
from spurarch.protocol import wire

log = logging.getLogger(__name__)

PROBE_LEASES = 0.6  # lease durations after an acknowledgement; then a new token tests whether responses arrive
# Lease durations without an acknowledgement of an offered token after which responses count as lost. They span several
# heartbeats, and a worker acknowledges a token with the first heartbeat after it receives the token.
RESPONSES_LOST_LEASES = 0.5
MAX_LOGGED_REJECTIONS = 5000  # machines; one log line each


class HeartbeatHandler:
    """Applies heartbeats and returns the commands for their responses."""

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
        self._logged_rejections: set[str] = set()

    def handle(self, heartbeat: wire.Heartbeat, now: float, may_command: bool = True) -> list[wire.Command] | None:
        """Applies a heartbeat and returns the commands for its response.

        Heartbeats can be duplicated, delayed and reordered. Only a heartbeat that is newer than all applied before, and
        whose fencing token this owner issued after it added the machine, updates the status of the machine and its
        tasks. Any other accepted heartbeat adds a machine that is new, and offers it a fencing token. Every call sets
        the time of the partition's state to `now`.

        Attempts to be stopped that the worker doesn't list become GONE once it rejects their start commands, and
        attempts whose start is returned become STARTING.

        Args:
            heartbeat: The worker's heartbeat.
            now: Monotonic time in seconds.
            may_command: Whether this owner may send commands. If it may not, another controller possibly owns the
                partition already, and the response only renews the worker's lease.

        Returns:
            The commands, or None if the response must not have status 200, which would renew the lease.
        """
        state = self._state
        state.now = now
        machine = self._accepted_machine(heartbeat)
        if machine is None:
            return None
        if machine.has_applied(heartbeat):
            return []  # a duplicate or older heartbeat, but the worker possibly still waits for a response
        self._statuses.apply(machine, heartbeat, now)
        self._probe_acknowledgement(machine, now)
        if not may_command or machine.state is not MachineState.ACTIVE:
            return []
        if not machine.has_applied(heartbeat):
            return []  # a new incarnation without a token of this owner, to which no attempt is assigned
        if not state.records_read:
            return self._commands.stops_without_records(machine, heartbeat)
        return self._plan_commands(machine, heartbeat)

    def _plan_commands(self, machine: Machine, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Returns the commands for the response to a heartbeat that was applied."""
        absent = self._absent_attempts(machine, heartbeat)
        self._stops.stop_gang_members()
        return self._commands.plan(machine, heartbeat, absent)

    def _accepted_machine(self, heartbeat: wire.Heartbeat) -> Machine | None:
        """Returns the sender's machine, which is added if it is new; returns None if the heartbeat is rejected.

        It is rejected if the machine was released, the lease of the sender's incarnation expired, or the fencing token
        isn't one of this owner or an earlier one. Some rejections are logged, once per machine.
        """
        state = self._state
        if heartbeat.machine in state.released_machines:
            self._log_rejected(heartbeat, "machine was released")
            return None
        if heartbeat.fencing_token > state.lowest_token + state.highest_token_counter:
            # The token was issued by a later owner, or is invalid.
            self._log_rejected(heartbeat, "fencing token is not ours")
            return None
        machine = self._find_or_add_machine(heartbeat)
        if machine.state is MachineState.RELEASED or heartbeat.incarnation <= machine.expired_incarnation:
            return None
        return machine

    def _log_rejected(self, heartbeat: wire.Heartbeat, reason: str) -> None:
        if heartbeat.machine not in self._logged_rejections and len(self._logged_rejections) < MAX_LOGGED_REJECTIONS:
            self._logged_rejections.add(heartbeat.machine)
            log.info(
                "heartbeat rejected machine=%s incarnation=%d sequence=%d reason=%s",
                heartbeat.machine,
                heartbeat.incarnation,
                heartbeat.seq,
                reason,
            )

    def _find_or_add_machine(self, heartbeat: wire.Heartbeat) -> Machine:
        machine = self._state.machines.get(heartbeat.machine)
        if machine is None:
            return self._state.add_machine(heartbeat.machine, heartbeat.type, heartbeat.spot, heartbeat.addr)
        if machine.state is not MachineState.ACTIVE and not machine.type:
            machine.type, machine.spot, machine.addr = heartbeat.type, heartbeat.spot, heartbeat.addr
        return machine

    def _probe_acknowledgement(self, machine: Machine, now: float) -> None:
        """Issues new tokens periodically to find out whether heartbeat responses reach the machine.

        Sets `responses_lost` if a token isn't acknowledged in time; `Machine.acknowledge` resets it. Without this
        check, a machine that sends heartbeats but receives no responses would count as active and idle forever.
        """
        if machine.token_offered_at is not None:
            # Workers acknowledge a higher token within a few heartbeats if they receive the responses.
            if not machine.responses_lost and now - machine.token_offered_at > self._lease_s * RESPONSES_LOST_LEASES:
                log.info("worker does not acknowledge its fencing token machine=%s", machine.name)
                machine.responses_lost = True
        elif now - (machine.token_acknowledged_at or now) > self._lease_s * PROBE_LEASES:
            machine.token_counter = self._state.next_token_counter()
            machine.token_offered_at = now
        if machine.state is MachineState.UNCONFIRMED and machine.token_offered_at is None:
            machine.token_offered_at = now

    def _absent_attempts(self, machine: Machine, heartbeat: wire.Heartbeat) -> list[TaskAttempt]:
        """Marks attempts to be stopped as gone if the worker doesn't list them and rejects their start commands.

        Returns the attempts to be stopped that it doesn't list either, but could still start.
        """
        stopping = [
            attempt
            for attempt in machine.attempts.values()
            if attempt.stop_requested and attempt.phase < AttemptPhase.EXITED
        ]
        if not stopping:
            return []
        counter = heartbeat.fencing_token - self._state.lowest_token
        listed = {wire.split_task(task.task) for task in heartbeat.tasks}
        absent = [attempt for attempt in stopping if attempt.key not in listed]
        for attempt in absent:
            if rejects_start(counter, attempt.start_token_counter):
                self._state.mark_gone(attempt, EndProof.NOT_LISTED)
        return [attempt for attempt in absent if attempt.phase < AttemptPhase.EXITED]
