"""Commands to a worker's own address: what they say, and what follows from their answer or from its absence."""

from __future__ import annotations

from spurarch.coordination.partition.commands import CommandPlanner
from spurarch.coordination.partition.machine import AttemptPhase, Machine, MachineState
from spurarch.coordination.partition.state import PartitionState
from spurarch.coordination.partition.statuses import StatusUpdater
from spurarch.coordination.partition.stopping import StopRequests
from spurarch.protocol import wire


class DirectCommandPlanner:
    """Direct commands of one partition; at most one request to a machine is without an answer at a time."""

    def __init__(
        self, state: PartitionState, commands: CommandPlanner, statuses: StatusUpdater, stops: StopRequests
    ) -> None:
        self._state, self._commands, self._statuses, self._stops = state, commands, statuses, stops

    def next_request(self, machine: Machine) -> wire.DirectCommands | None:
        """Commands worth sending at once, which count as under way from now on; None if there are none."""
        if machine.state is not MachineState.ACTIVE or machine.commands_in_flight or not machine.addr:
            return None
        if self._state.records_read and machine.fenced:
            commands = self._commands.plan(machine, None)
        else:
            commands = self._immediate_stops(machine)
        if not commands:
            return None
        machine.commands_in_flight += 1
        return wire.DirectCommands(self._state.fencing_token(machine), machine.incarnation, commands)

    @staticmethod
    def _immediate_stops(machine: Machine) -> list[wire.Command]:
        """What may be sent while an earlier command may still act.

        A machine whose heartbeats don't arrive would never show that it can't, and its cancelled tasks have to leave.
        """
        return [
            wire.Command(wire.STOP, wire.task_name(*attempt.key), attempt.number, 0.0)
            for attempt in machine.attempts.values()
            if attempt.stop_requested and attempt.grace_s == 0 and attempt.phase < AttemptPhase.EXITED
        ]

    def on_response(
        self, machine: Machine, sent: wire.DirectCommands, heartbeat: wire.Heartbeat | None, now: float
    ) -> None:
        """The worker answered: its commands were executed or refused, and are not on their way any more.

        Args:
            machine: The worker's machine.
            sent: What was sent to it.
            heartbeat: The worker's state as its answer shows it; None if the answer could not be read.
            now: Monotonic time in seconds.
        """
        machine.commands_in_flight -= 1
        if heartbeat is None or heartbeat.machine != machine.name:
            return
        for command in sent.commands:
            key = wire.split_task(command.task)
            attempt = machine.attempts.get(key) if key else None
            if attempt is not None and command.op == wire.START and heartbeat.incarnation == machine.incarnation:
                attempt.start_sent_seq = max(attempt.start_sent_seq, heartbeat.seq)
            executed = heartbeat.incarnation == sent.incarnation and heartbeat.fencing_token <= sent.fencing_token
            if attempt is not None and command.op == wire.STOP and executed and attempt.number == command.attempt:
                attempt.stop_acknowledged_at = now
        self._state.now = now
        self._statuses.apply(machine, heartbeat, now)
        self._stops.stop_gang_members()

    def on_failure(self, machine: Machine, sent: wire.DirectCommands, reached: bool) -> None:
        """No answer came.

        If the commands were sent, they may act minutes later: the machine gets a higher fencing token, and counts as
        fenced once it has shown that.
        """
        machine.commands_in_flight -= 1
        if reached and machine.incarnation == sent.incarnation:
            if machine.token_counter <= sent.fencing_token - self._state.lowest_token:
                machine.token_counter = self._state.next_token_counter()
            machine.fence_token = max(machine.fence_token, sent.fencing_token + 1)
