"""Workers of a soak run: troubles on their way to the controllers, and what is checked at each start."""

from __future__ import annotations

import time
from random import Random
from typing import Any

import curio

from spurarch.transport.http import Handler, NoAnswerError, Request, Response
from tests.sim.fleet import SimTask, Worker
from tests.sim.loopback import LoggingWorld, LoopbackWire

LATE_SHARE = 0.4  # of direct commands
LATE_COMMAND_S = (2.0, 8.0)


class FaultyWire(LoopbackWire):
    """Real sockets with troubles between workers and controllers."""

    def __init__(self, random: Random) -> None:
        super().__init__()
        self._random = random
        self.deaf: dict[str, float] = {}  # by machine, until when
        self.mute: dict[str, float] = {}
        self.late_commands_until = 0.0

    async def request(self, source: str, address: str, request: Request, timeout_s: float) -> Response:
        """One request of a worker."""
        if time.monotonic() < self.mute.get(source, 0.0):
            await curio.sleep(timeout_s)
            raise NoAnswerError("mute", False)
        response = await super().request(source, address, request, timeout_s)
        if time.monotonic() < self.deaf.get(source, 0.0):
            await curio.sleep(timeout_s)
            raise NoAnswerError("deaf", True)
        return response

    def _door(self, address: str) -> Handler:
        inner = super()._door(address)

        async def handle(request: Request) -> Response:
            machine = self.hosts.get(address)
            if machine is not None and time.monotonic() < self.deaf.get(machine, 0.0):
                await curio.sleep(max(0.0, self.deaf[machine] - time.monotonic()))
                return Response(503)
            late = machine is not None and request.target == "/do" and time.monotonic() < self.late_commands_until
            if late and self._random.random() < LATE_SHARE:
                await curio.sleep(self._random.uniform(*LATE_COMMAND_S))
            return await inner(request)

        return handle


class SoakWorld(LoggingWorld):
    """Checks each start with all other workers at the same moment, and keeps how close teams came to their limits."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._stepping = False
        self.most_used: dict[str, float] = {}

    def check_start(self, worker: Worker, task: SimTask) -> None:
        """Has the others kill what their leases no longer cover first: this process may be late."""
        if not self._stepping:
            self._stepping = True
            for other in self.workers.values():
                if other is not worker:
                    other.step()
            self._stepping = False
        super().check_start(worker, task)
        team = self.jobs[task.name.split("/")[0]]["crew"]
        held = [task for other, task in self.on_machines() if not other.hangs_past_lease()]
        jobs = [self.jobs[task.name.split("/")[0]] for task in held]
        used = sum(job["vcpus"] for job in jobs if job["crew"] == team)
        self.most_used[team] = max(self.most_used.get(team, 0.0), used / self.limits[team])
