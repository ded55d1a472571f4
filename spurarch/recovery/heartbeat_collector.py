"""Answers and collects workers' heartbeats while a history is closed.

A response carries the first fencing token of an epoch above all epochs ever given, and stops cancelled tasks. A worker
that shows this token has received the response: it ignores whatever an earlier owner still sends, and keeps its
attempts. Its lease is renewed only while no cancellation can have been missed for too long, or if nothing runs on it.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from spurarch.coordination.partition.state import TOKEN_BITS
from spurarch.protocol import wire
from spurarch.transport.http_messages import Response, error_response

PAGE_HEARTBEATS = 200


class HeartbeatCollector:
    """Heartbeats that this controller received: the newest of each worker, in the order of arrival.

    `may_answer` says whether leases may be renewed at a time of the monotonic clock, `cancelled` whether a job is.
    """

    def __init__(self, may_answer: Callable[[float], bool], cancelled: Callable[[str], bool]) -> None:
        self._may_answer, self._cancelled = may_answer, cancelled
        self.epoch = 0  # of the rebuild in progress; 0 while there is none
        self.highest_epoch = 0  # that any worker has shown, other than `epoch`
        self._heartbeats: dict[str, wire.Heartbeat] = {}
        self._arrivals: list[str] = []

    def begin(self, epoch: int) -> None:
        """Starts to collect for a rebuild that gives tokens of this epoch."""
        if epoch != self.epoch:
            self.epoch = epoch
            self._heartbeats.clear()
            self._arrivals.clear()

    @property
    def token(self) -> int:
        """The fencing token that workers are given."""
        return self.epoch << TOKEN_BITS

    def on_heartbeat(self, heartbeat: wire.Heartbeat) -> Response:
        """Answers a heartbeat: status 200 renews the worker's lease, 503 sends it to another controller."""
        shown = heartbeat.fencing_token >> TOKEN_BITS
        if shown != self.epoch:
            self.highest_epoch = max(self.highest_epoch, shown)
        if self.epoch and heartbeat.fencing_token == self.token:
            self._keep(heartbeat)
        if not self.epoch or heartbeat.fencing_token > self.token:
            return error_response(503, "the records are being rebuilt")
        if not self._may_answer(time.monotonic()) and _runs_anything(heartbeat):
            return error_response(503, "cut from the state service for too long")
        return Response(200, wire.encode(wire.HeartbeatResponse(self.token, self._stop_commands(heartbeat))))

    def _stop_commands(self, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Stops cancelled tasks, which needs no record, so that they end in time however long the rebuild takes."""
        return [
            wire.Command(wire.STOP, task.task, task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != wire.EXITED and (key := wire.split_task(task.task)) and self._cancelled(key[0])
        ]

    def _keep(self, heartbeat: wire.Heartbeat) -> None:
        known = self._heartbeats.get(heartbeat.machine)
        if known is None or (heartbeat.incarnation, heartbeat.seq) > (known.incarnation, known.seq):
            self._heartbeats[heartbeat.machine] = heartbeat
            self._arrivals.append(heartbeat.machine)

    def page(self, epoch: int, after: int) -> tuple[list[wire.Heartbeat], int]:
        """Heartbeats with an epoch's token from the position `after` on, and the position after them."""
        if epoch != self.epoch:
            return [], 0
        names = self._arrivals[after : after + PAGE_HEARTBEATS]
        return [self._heartbeats[name] for name in dict.fromkeys(names)], after + len(names)


def _runs_anything(heartbeat: wire.Heartbeat) -> bool:
    return any(task.state != wire.EXITED for task in heartbeat.tasks)
