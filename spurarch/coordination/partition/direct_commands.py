"""Plans direct commands and handles their responses and failures. No I/O.

Direct commands are sent to a worker's own address; heartbeat responses carry commands as well.
"""

from __future__ import annotations

from spurarch.coordination.partition.commands import CommandPlanner
from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.state import PartitionState
from spurarch.coordination.partition.statuses import StatusUpdater
from spurarch.coordination.partition.stopping import StopRequests
from spurarch.protocol import wire


class DirectCommandPlanner:
    """Plans the direct commands of one partition, with at most one outstanding request per machine."""

    def __init__(
        self, state: PartitionState, commands: CommandPlanner, statuses: StatusUpdater, stops: StopRequests
    ) -> None:
        self._state, self._commands, self._statuses, self._stops = state, commands, statuses, stops

    def next_request(self, machine: Machine) -> wire.DirectCommands | None:
        """Returns a request with the commands to send now and counts it as in flight; None if there is nothing to send.

        Before the partition's records are read, it holds only stops without a grace period.
        """
        if machine.state is not MachineState.ACTIVE or machine.commands_in_flight or not machine.addr:
            return None
        if self._state.records_read:
            commands = self._commands.plan(machine, None)
        else:
            commands = self._commands.stops_before_records(machine)
        if not commands:
            return None
        machine.commands_in_flight += 1
        return wire.DirectCommands(self._state.fencing_token(machine), machine.incarnation, commands)

    def on_response(
        self, machine: Machine, sent: wire.DirectCommands, heartbeat: wire.Heartbeat | None, now: float
    ) -> None:
        """Applies the response to a request.

        It shows the state after the commands, but a copy of the request can still arrive and be executed.

        Args:
            machine: The worker's machine.
            sent: The request.
            heartbeat: The worker's status in the response; None if the response has none or could not be decoded.
            now: Monotonic time in seconds.
        """
        machine.commands_in_flight -= 1
        if heartbeat is None or heartbeat.machine != machine.name:
            return
        for command in sent.commands:
            key = wire.split_task(command.task)
            attempt = machine.attempts.get(key) if key else None
            executed = heartbeat.incarnation == sent.incarnation and heartbeat.fencing_token <= sent.fencing_token
            if attempt is not None and command.op == wire.STOP and executed and attempt.number == command.attempt:
                attempt.stop_acknowledged_at = now
        self._state.now = now
        self._statuses.apply(machine, heartbeat, now)
        self._stops.stop_gang_members()

    @staticmethod
    def on_failure(machine: Machine) -> None:
        """Handles a request that got no response; its commands can still arrive minutes later."""
        machine.commands_in_flight -= 1
