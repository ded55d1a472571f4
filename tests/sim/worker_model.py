"""A worker as the published protocol describes it, and the messages between it and its owner that are on their way."""

from __future__ import annotations

from dataclasses import dataclass, field

from spurarch.protocol import wire

ZONE = "a"


@dataclass
class Exchange:
    """A heartbeat on its way to the owner, or its response on the way back."""

    heartbeat: wire.Heartbeat
    response: wire.HeartbeatResponse | None = None


@dataclass
class DirectExchange:
    """Direct commands on their way to the worker, or their response on the way back.

    Attributes:
        response: The worker's heartbeat after the commands; None before they arrive.
        abandoned: The owner waits no longer for the response.
    """

    request: wire.DirectCommands
    response: wire.Heartbeat | None = None
    abandoned: bool = False


@dataclass
class Worker:
    """A worker. `tasks` holds the state of each attempt that it knows, by name of the task and attempt number."""

    name: str
    incarnation: int = 1
    seq: int = 0
    token: int = 0
    tasks: dict[tuple[str, int], str] = field(default_factory=dict)
    started: list[tuple[str, int]] = field(default_factory=list)
    heartbeat: Exchange | None = None  # the one in flight
    sent: list[wire.Heartbeat] = field(default_factory=list)
    received: list[wire.DirectCommands] = field(default_factory=list)  # requests with direct commands, as they arrived
    direct: list[DirectExchange] = field(default_factory=list)  # not delivered yet, or without a delivered response

    def build_heartbeat(self) -> wire.Heartbeat:
        """Returns the present state with the next sequence number."""
        self.seq += 1
        statuses = [
            wire.TaskStatus(task, attempt, state, wire.REASON_STOPPED if state == wire.EXITED else None)
            for (task, attempt), state in self.tasks.items()
        ]
        return wire.Heartbeat(self.name, "10.1.0.1:9000", "big", ZONE, self.incarnation, self.seq, self.token, statuses)

    def execute(self, commands: list[wire.Command]) -> list[str]:
        """Executes commands in order; returns the names of the tasks that it starts."""
        started = []
        for command in commands:
            key = command.task, command.attempt
            state = self.tasks.get(key)
            if command.op == wire.START and state is None:
                present = any(task == command.task and other != wire.EXITED for (task, _), other in self.tasks.items())
                self.tasks[key] = wire.EXITED if present else wire.RUNNING
                if not present:
                    started.append(command.task)
            elif command.op == wire.STOP and state is not None:
                self.tasks[key] = wire.EXITED
            elif command.op == wire.FORGET and state == wire.EXITED:
                del self.tasks[key]
        return started

    def end_incarnation(self, keeps_token: bool) -> None:
        """Begins the next incarnation, without tasks: its lease has ended, or it has restarted."""
        self.tasks.clear()
        self.incarnation += 1
        self.seq = 0
        if not keeps_token:
            self.token = 0
