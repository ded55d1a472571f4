"""Answers and collects workers' heartbeats while the records are rebuilt after the state service has lost data.

The rebuild chooses a partition epoch above all that were ever assigned. A response carries the first fencing token of
this epoch, and commands that stop cancelled tasks. A worker that reports the token has received a response: it ignores
commands of earlier partition owners, and keeps its attempts.

A response also renews the worker's lease. If tasks run on the worker, it is therefore sent only while a cancellation
that this controller may have missed can't become overdue.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from spurarch.coordination.partition.state import TOKEN_BITS
from spurarch.protocol import wire
from spurarch.protocol.message_limits import MAX_COMMANDS_PER_MESSAGE
from spurarch.protocol.recovery_messages import HeartbeatsPage
from spurarch.transport.http_messages import Response, error_response

# Of a page, which is one frame between controllers: the longest names, numbers and states of both fit in it.
MAX_PAGE_HEARTBEATS = 200
MAX_PAGE_TASKS = 4000


class HeartbeatCollector:
    """Collects the heartbeats with the rebuild's token that this controller receives: the newest of each worker.

    `may_answer` takes a time of the monotonic clock and returns whether leases may be renewed then. `is_cancelled`
    takes a job id and returns whether the job is known to be cancelled.
    """

    def __init__(self, may_answer: Callable[[float], bool], is_cancelled: Callable[[str], bool]) -> None:
        self._may_answer, self._is_cancelled = may_answer, is_cancelled
        self.epoch = 0  # of the rebuild in progress; 0 until a rebuild has chosen one
        self.highest_epoch = 0  # highest other epoch that a worker reported or a copy of the records has
        self._heartbeats: dict[str, wire.Heartbeat] = {}
        self._arrival_order: list[str] = []

    def begin(self, epoch: int) -> None:
        """Starts collecting heartbeats for a rebuild with this epoch and discards those for another epoch.

        Does nothing if it already collects for this epoch.
        """
        if epoch != self.epoch:
            self.epoch = epoch
            self._heartbeats.clear()
            self._arrival_order.clear()

    @property
    def token(self) -> int:
        """The fencing token sent to workers: the first of the epoch."""
        return self.epoch << TOKEN_BITS

    def on_heartbeat(self, heartbeat: wire.Heartbeat) -> Response:
        """Answers and collects a heartbeat: status 200 renews the lease, 503 sends the worker to another controller."""
        reported_epoch = heartbeat.fencing_token >> TOKEN_BITS
        if reported_epoch != self.epoch:
            self.highest_epoch = max(self.highest_epoch, reported_epoch)
        if self.epoch and heartbeat.fencing_token == self.token:
            self._add(heartbeat)
        if not self.epoch or heartbeat.fencing_token > self.token:
            return error_response(503, "the records are being rebuilt")
        if not self._may_answer(time.monotonic()) and _has_running_tasks(heartbeat):
            return error_response(503, "cut from the state service for too long")
        return Response(200, wire.encode(wire.HeartbeatResponse(self.token, self._stop_commands(heartbeat))))

    def _stop_commands(self, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Returns commands that stop cancelled tasks, as many as a response can carry.

        They don't wait for the records, so cancelled tasks end in time however long the rebuild takes.
        """
        return [
            wire.Command(wire.STOP, task.task, task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != wire.EXITED and (key := wire.split_task(task.task)) and self._is_cancelled(key[0])
        ][:MAX_COMMANDS_PER_MESSAGE]

    def _add(self, heartbeat: wire.Heartbeat) -> None:
        known = self._heartbeats.get(heartbeat.machine)
        if known is None or (heartbeat.incarnation, heartbeat.seq) > (known.incarnation, known.seq):
            self._heartbeats[heartbeat.machine] = heartbeat
            self._arrival_order.append(heartbeat.machine)

    def page(self, epoch: int, after: int) -> HeartbeatsPage:
        """Returns collected heartbeats from position `after` on, the next position, and the highest other epoch seen.

        Positions count arrivals. A worker with several arrivals in the page is listed once, with its newest heartbeat.
        If `epoch` is not that of the rebuild in progress, there are no heartbeats, and the position is 0.
        """
        if epoch != self.epoch:
            return HeartbeatsPage([], 0, self.highest_epoch)
        heartbeats: dict[str, wire.Heartbeat] = {}
        position, tasks = after, 0
        for name in self._arrival_order[after : after + MAX_PAGE_HEARTBEATS]:
            if name not in heartbeats:
                heartbeat = self._heartbeats[name]
                tasks += len(heartbeat.tasks)
                if heartbeats and tasks > MAX_PAGE_TASKS:
                    break
                heartbeats[name] = heartbeat
            position += 1
        return HeartbeatsPage(list(heartbeats.values()), position, self.highest_epoch)


def _has_running_tasks(heartbeat: wire.Heartbeat) -> bool:
    return any(task.state != wire.EXITED for task in heartbeat.tasks)
