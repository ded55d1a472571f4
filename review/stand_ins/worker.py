"""Workers: report to the controllers, execute commands under the rules for tokens and leases, and run tasks."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from stand_ins.http import MAX_REQUEST_BODY, Answer, Client, NoResponseError, Request, Server

REPORT_TIMEOUT_S = 4.0
NEXT_NODE_S = 1.0
MIN_REPORT_PAUSE_S = 0.5
STEP_S = 0.02


@dataclass
class Task:
    """An attempt of a task on a worker."""

    name: str
    attempt: int
    state: str = "fetching"
    cause: str | None = None
    ready_at: float = 0.0
    ends_at: float | None = None

    @property
    def job(self) -> str:
        """Id of the job."""
        return self.name.split("/")[0]

    def status(self) -> dict[str, Any]:
        """Returns the task's entry in a report."""
        status: dict[str, Any] = {"leg": self.name, "try": self.attempt, "standing": self.state}
        return status if self.cause is None else {**status, "cause": self.cause}


class Fleet:
    """What all workers share: the controllers' addresses, the submitted jobs, and the record of what ran.

    `note` writes one line of the record. `run_s` gives the run time of a task; None for one that runs until stopped.
    """

    def __init__(self, report_s: float, lease_s: float, note: Callable[..., None]) -> None:
        self.report_s, self.lease_s, self.note = report_s, lease_s, note
        self.nodes: dict[str, str] = {}  # public addresses by name
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float | None] = {}
        self.done: set[str] = set()  # names of completed tasks
        self.workers: dict[str, Worker] = {}
        self.starts: list[tuple[float, str, int, str]] = []  # time, task, attempt, machine
        self.on_start: Callable[[Worker, Task], None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work in the background until it ends or the loop does."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def running(self, job: str) -> list[tuple[Worker, Task]]:
        """Returns the tasks of a job that are on machines."""
        return [
            (worker, task)
            for worker in self.workers.values()
            for task in worker.tasks.values()
            if task.job == job and task.state in ("running", "saving")
        ]


class Worker:
    """The worker of one machine. Its requests go through `client_of`, its commands through `server`."""

    def __init__(self, fleet: Fleet, name: str, kind: str, zone: str, spot: bool) -> None:
        self.fleet, self.name, self.kind, self.zone, self.spot = fleet, name, kind, zone, spot
        self.cpus, self.memory_gb, self.fetch_gb_per_s = 4.0, 16.0, 0.15
        self.tenure, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[str, Task] = {}
        self.images: dict[str, float] = {}  # by name, when the fetch ends
        self.up = True
        self.renewed_at = time.monotonic()
        self.changed = asyncio.Event()
        self.server = Server("127.0.0.1", 0, self._serve, limit_body=True)
        self.node_names: list[str] = []
        self._node = 0
        self._clients: dict[str, Client] = {}
        self.most_tasks = 0  # in a report

    async def start(self) -> None:
        """Opens the address and starts to report."""
        await self.server.start()
        self.renewed_at = time.monotonic()
        self.node_names = list(self.fleet.nodes)
        self.fleet.workers[self.name] = self
        self.fleet.note("machine up", machine=self.name, kind=self.kind, zone=self.zone)
        self.fleet.spawn(self._run_tasks())
        self.fleet.spawn(self._report_until_gone())

    def end(self) -> None:
        """Ends the machine with all that is on it."""
        self.up = False
        for task in list(self.tasks.values()):
            self._leave(task, "machine gone")
        self.tasks.clear()
        self.server.stop()
        for client in self._clients.values():
            client.close()

    def _leave(self, task: Task, reason: str) -> None:
        if task.state in ("running", "saving"):
            self.fleet.note("task left", task=task.name, attempt=task.attempt, machine=self.name, reason=reason)

    # Tasks

    async def _run_tasks(self) -> None:
        while self.up:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            if now - self.renewed_at > self.fleet.lease_s:
                self._end_session(now)
            for task in list(self.tasks.values()):
                self._step(task, now)

    def _end_session(self, now: float) -> None:
        self.fleet.note("lease expired", machine=self.name, tenure=self.tenure, tasks=len(self.tasks))
        for task in self.tasks.values():
            self._leave(task, "lease expired")
        self.tasks.clear()
        self.tenure += 1
        self.renewed_at = now
        self.changed.set()

    def _step(self, task: Task, now: float) -> None:
        if task.state == "fetching" and now >= task.ready_at:
            task.state = "running"
            run_s = self.fleet.run_s.get(task.job)
            task.ends_at = None if run_s is None else now if task.name in self.fleet.done else now + run_s
            self.fleet.starts.append((now, task.name, task.attempt, self.name))
            self.fleet.note("task started", task=task.name, attempt=task.attempt, machine=self.name)
            if self.fleet.on_start is not None:
                self.fleet.on_start(self, task)
            self.changed.set()
        elif task.state == "running" and task.ends_at is not None and now >= task.ends_at:
            self._leave(task, "done")
            task.state, task.cause = "ended", "done"
            self.fleet.done.add(task.name)
            self.changed.set()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            name, attempt = order["leg"], order["try"]
            held = self.tasks.get(name)
            same = held is not None and held.attempt == attempt
            if order["verb"] == "run" and not same:
                self._run(name, attempt, held)
            elif order["verb"] == "halt" and same and held is not None and held.state != "ended":
                self._leave(held, "halted")
                held.state, held.cause = "ended", "halted"
                self.changed.set()
            elif order["verb"] == "forget" and same and held is not None and held.state == "ended":
                del self.tasks[name]
                self.changed.set()

    def _run(self, name: str, attempt: int, held: Task | None) -> None:
        self.changed.set()
        task = Task(name, attempt)
        spec = self.fleet.jobs.get(task.job)
        if held is not None and held.state != "ended":
            self.fleet.note("start refused", task=name, attempt=attempt, machine=self.name, cause="in_use")
            return
        self.tasks[name] = task
        if spec is None:
            task.state, task.cause = "ended", "no_such"
            return
        used = [self.fleet.jobs[t.job] for t in self.tasks.values() if t.state != "ended" and t is not task]
        if (
            sum(job["vcpus"] for job in used) + spec["vcpus"] > self.cpus + 1e-6
            or sum(job["memory_gb"] for job in used) + spec["memory_gb"] > self.memory_gb + 1e-6
        ):
            task.state, task.cause = "ended", "full"
            return
        now = time.monotonic()
        fetch_s = spec["pull_gb"] / self.fetch_gb_per_s
        task.ready_at = self.images.setdefault(spec["kit"], now + fetch_s)

    # Messages

    def report(self) -> dict[str, Any]:
        """Returns the worker's report with the next number."""
        self.tally += 1
        self.most_tasks = max(self.most_tasks, len(self.tasks))
        return {
            "croft": self.name,
            "addr": self.server.address,
            "build": self.kind,
            "district": self.zone,
            "lendable": self.spot,
            "tenure": self.tenure,
            "tally": self.tally,
            "baton": self.baton,
            "warning_s": None,
            "legs": [task.status() for task in self.tasks.values()],
        }

    def _see(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            self.changed.set()

    async def _serve(self, request: Request) -> Answer:
        if request.path == "/status":
            return 200, self.report()
        body = request.json()
        if "baton" not in body or "tenure" not in body:
            return 400, {"error": "baton or tenure is missing"}
        if body["baton"] < self.baton or body["tenure"] != self.tenure:
            return 409, self.report()
        self._see(body["baton"])
        self._execute(body["orders"])
        return 200, self.report()

    async def _report_until_gone(self) -> None:
        sent_at = 0.0
        while self.up:
            pause_s = self.fleet.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, sent_at + pause_s - time.monotonic()))
                await asyncio.sleep(max(0.0, sent_at + MIN_REPORT_PAUSE_S - time.monotonic()))
            except TimeoutError:
                pass
            self.changed.clear()
            sent_at = time.monotonic()
            if self.up:
                await self._report()

    async def _report(self) -> None:
        name = self.node_names[self._node]
        address = self.fleet.nodes[name]
        client = self._clients.setdefault(address, Client(address))
        sent_at, tenure, report = time.monotonic(), self.tenure, self.report()
        size = len(json.dumps(report, separators=(",", ":")))
        if size > MAX_REQUEST_BODY:
            self.fleet.note("report not allowed", machine=self.name, tasks=len(self.tasks), bytes=size)
            return
        try:
            status, answer = await client.request("POST", "/agent/beat", report, REPORT_TIMEOUT_S)
        except NoResponseError as err:
            if "line" in str(err):
                self.fleet.note("report unanswered", machine=self.name, node=name, reason=str(err))
            await self._next_node()
            return
        if not self.up:
            return
        if status == 421:
            steward = (answer or {}).get("steward")
            if steward in self.node_names and steward != name:
                self._node = self.node_names.index(steward)
                self.changed.set()
            else:
                await self._next_node()
        elif status != 200:
            await self._next_node()
        elif answer.get("baton", -1) >= self.baton and tenure == self.tenure:
            self._see(answer["baton"])
            self.renewed_at = max(self.renewed_at, sent_at)
            self._execute(answer["orders"])

    async def _next_node(self) -> None:
        self._node = (self._node + 1) % len(self.node_names)
        await asyncio.sleep(NEXT_NODE_S)
        self.changed.set()
