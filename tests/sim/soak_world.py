"""Simulated workers of a soak run: network faults between them and the controllers, and checks at each start."""

from __future__ import annotations

import time
from random import Random
from typing import Any

import curio

from spurarch.transport.http import Handler, NoAnswerError, Request, Response
from tests.sim.fleet import SimTask, Worker
from tests.sim.loopback import LoggingWorld, LoopbackLinks

LATE_SHARE = 0.4  # of direct commands
LATE_COMMAND_S = (2.0, 8.0)  # shortest and longest delay
LATE_RESPONSE_S = (1.0, 3.8)  # shortest and longest delay; a worker drops a response after 4 s


class FaultyLinks(LoopbackLinks):
    """Real sockets with faults between workers and controllers."""

    def __init__(self, random: Random) -> None:
        super().__init__()
        self._random = random
        self.responses_lost_until: dict[str, float] = {}  # by machine
        self.responses_late_until: dict[str, float] = {}  # by machine
        self.heartbeats_lost_until: dict[str, float] = {}  # by machine
        self.late_commands_until = 0.0

    async def request(self, source: str, address: str, request: Request, timeout_s: float) -> Response:
        """Sends a request of a worker; raises NoAnswerError if it or its response is lost."""
        sent_at = time.monotonic()
        if sent_at < self.heartbeats_lost_until.get(source, 0.0):
            await curio.sleep(timeout_s)
            raise NoAnswerError("mute", False)
        response = await super().request(source, address, request, timeout_s)
        if time.monotonic() < self.responses_lost_until.get(source, 0.0):
            await curio.sleep(timeout_s)
            raise NoAnswerError("deaf", True)
        if time.monotonic() < self.responses_late_until.get(source, 0.0):
            await self._delay_response(sent_at + timeout_s)
        return response

    async def _delay_response(self, end: float) -> None:
        """Delays a response that is on its way; raises NoAnswerError if it would arrive after `end`."""
        delay_s = self._random.uniform(*LATE_RESPONSE_S)
        await curio.sleep(min(delay_s, max(0.0, end - time.monotonic())))
        if time.monotonic() >= end:
            raise NoAnswerError("timed out", True)

    def _handler_at(self, address: str) -> Handler:
        inner = super()._handler_at(address)

        async def handle(request: Request) -> Response:
            machine = self.hosts.get(address)
            if machine is not None and time.monotonic() < self.responses_lost_until.get(machine, 0.0):
                await curio.sleep(max(0.0, self.responses_lost_until[machine] - time.monotonic()))
                return Response(503)
            late = machine is not None and request.target == "/do" and time.monotonic() < self.late_commands_until
            if late and self._random.random() < LATE_SHARE:
                await curio.sleep(self._random.uniform(*LATE_COMMAND_S))
            return await inner(request)

        return handle


class SoakWorld(LoggingWorld):
    """Checks each start against the present state of all workers, and records the peak use of teams."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._updating_others = False
        self.peak_use: dict[str, float] = {}

    def check_start(self, worker: Worker, task: SimTask) -> None:
        """Checks a start after all other workers have ended tasks whose lease expired, as this process may be late."""
        if not self._updating_others:
            self._updating_others = True
            for other in self.workers.values():
                if other is not worker:
                    other.step()
            self._updating_others = False
        super().check_start(worker, task)
        team = self.jobs[task.name.split("/")[0]]["crew"]
        held = [task for other, task in self.on_machines() if not other.hangs_past_lease()]
        jobs = [self.jobs[task.name.split("/")[0]] for task in held]
        used = sum(job["vcpus"] for job in jobs if job["crew"] == team)
        self.peak_use[team] = max(self.peak_use.get(team, 0.0), used / self.limits[team])
