"""Simulated workers, written from their published protocol, and checks of the scheduling rules."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio

from spurarch.transport.http import NoAnswerError, Request, Response
from tests.sim.clock import Clock
from tests.sim.gangs import SimGangs
from tests.sim.machine_type import MachineType
from tests.sim.net import SimLinks
from tests.sim.store import json_response

MAX_MESSAGE_BYTES = 64 * 1024  # of a request body, and of a line in a response to workers and users


@dataclass
class SimTask:
    """A task on a worker. `cause` is the cause of its end; `ends_at` is None if the end of its run is not planned."""

    name: str
    attempt: int
    state: str
    ready_at: float
    ends_at: float | None
    cause: str | None = None
    gathering_since: float = 0.0
    saved: bool = False


@dataclass
class Rules:
    """Violations of the scheduling rules, as seen from outside, and counts of started tasks."""

    violations: list[str] = field(default_factory=list)
    started: int = 0
    starts: dict[str, int] = field(default_factory=dict)  # by task
    lost_with_lease: dict[str, int] = field(
        default_factory=dict
    )  # by task: workers that lost it when their lease expired


class World:
    """Submitted jobs, the workers, and the checks of what runs on them."""

    def __init__(
        self,
        clock: Clock,
        links: SimLinks,
        report_s: float,
        lease_s: float,
        cancel_s: float,
        gang_wait_s: float = 30.0,
        gang_peer_s: float = 4.0,
    ) -> None:
        self.clock, self.links = clock, links
        self.gangs = SimGangs(self, gang_wait_s, gang_peer_s)
        self.saved_attempts: dict[str, set[int]] = {}
        self.report_s, self.lease_s, self.cancel_s = report_s, lease_s, cancel_s
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, list[float]] = {}  # by job: run times that its tasks take in turn
        self.done: dict[str, set[int]] = {}
        self.cancelled_at: dict[str, float] = {}
        self.limits: dict[str, float] = {}
        self.faulty: set[str] = set()
        self.workers: dict[str, Worker] = {}
        self.checks = Rules()
        self.first_started_at: dict[str, float] = {}  # by job: start of its first task
        self.submitted: dict[str, float] = {}
        self.random = Random(1)
        self.late_heartbeats_until, self.late_heartbeats_share, self.late_heartbeats = 0.0, 0.0, 0
        self.repeated_commands_until, self.repeated_commands_share, self.repeated_commands = 0.0, 0.0, 0
        self.repeated_commands_within_s = 0.0
        self.ended_jobs: list[str] = []  # jobs whose last task has ended since the list was last emptied

    def worker_address(self, number: int) -> str:
        """Returns the address of the worker on the machine with this number."""
        return f"10.1.0.{number}:9000"

    def is_gang(self, job: str) -> bool:
        """Returns whether a job is a gang, whose tasks start together."""
        return bool(self.jobs[job]["gait"] == "gang")

    def on_machines(self) -> Iterator[tuple[Worker, SimTask]]:
        """Yields each task that has its image and has not ended, with its worker."""
        for worker in self.workers.values():
            for task in worker.tasks.values():
                if worker.up and task.state in ("gathering", "running", "saving"):
                    yield worker, task

    def run_time_s(self, job: str, index: int) -> float:
        """Returns the run time of a task in seconds."""
        times = self.run_s[job]
        return times[index % len(times)]

    def check_message(self, message: str, body: bytes) -> bool:
        """Returns whether a message is as short as the protocol asks; records a violation if not."""
        if len(body) > MAX_MESSAGE_BYTES:
            self.record_violation(f"too_long: {message} has {len(body)} bytes")
        return len(body) <= MAX_MESSAGE_BYTES

    def record_violation(self, text: str) -> None:
        """Records a violation with the present time."""
        self.checks.violations.append(f"at {self.clock.now - 1000:.2f}: {text}")

    def check_start(self, worker: Worker, task: SimTask) -> None:
        """Checks the rules that apply when a task starts."""
        self.checks.started += 1
        self.checks.starts[task.name] = self.checks.starts.get(task.name, 0) + 1
        job = task.name.split("/")[0]
        spec = self.jobs[job]
        self.first_started_at.setdefault(job, self.clock.now)
        others = [(w, t) for w, t in self.on_machines() if t is not task]
        for other, other_task in others:
            if other_task.name == task.name and not other.hangs_past_lease():
                self.record_violation(f"ran_twice: {task.name} on {other.name} and {worker.name}")
        if spec["builds"] is not None and worker.kind.name not in spec["builds"]:
            self.record_violation(f"wrong_place: type of {task.name}")
        if spec["district"] not in (None, worker.zone) or (worker.spot and not spec["lendable"]):
            self.record_violation(f"wrong_place: zone or kind of {task.name}")
        zones = [w.zone for w, t in others if t.name.split("/")[0] == job]
        if spec["together"] and any(z != worker.zone for z in zones):
            self.record_violation(f"wrong_place: {task.name} is apart from its job")
        if spec["spread"] and zones.count(worker.zone) + 1 > (spec["legs"] + 1) // 2:
            self.record_violation(f"wrong_place: spread of {task.name}")
        limit = self.limits.get(spec["crew"], 0.0)
        used = spec["vcpus"] + sum(
            self.jobs[t.name.split("/")[0]]["vcpus"]
            for other, t in others
            if self.jobs[t.name.split("/")[0]]["crew"] == spec["crew"] and not other.hangs_past_lease()
        )
        if limit and used > limit + 1e-6:
            self.record_violation(f"quota: {spec['crew']} uses {used}")
        self.check_cancelled(task)

    def check_cancelled(self, task: SimTask) -> None:
        """Checks that a task does not run for more than `cancel_s` after the cancellation of its job was confirmed."""
        confirmed_at = self.cancelled_at.get(task.name.split("/")[0])
        if confirmed_at is not None and self.clock.now > confirmed_at + self.cancel_s:
            self.record_violation(f"ran_cancelled: {task.name}")


class Worker:
    """A machine with its worker."""

    def __init__(
        self, world: World, name: str, kind: MachineType, zone: str, spot: bool, nodes: list[tuple[str, str]]
    ) -> None:
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.addr = world.worker_address(int(name[3:]))
        self.nodes, self.node = nodes, 0
        self.up = True
        self.hang_until = 0.0
        self.fails_tasks = False
        self.incarnation, self.seq, self.token = 1, 0, 0
        self.lease_renewed_at = world.clock.now
        self.tasks: dict[str, SimTask] = {}
        self.images: set[str] = set()
        self.notice_until: float | None = None
        self.changed = False  # whether there is a change to report at once
        self.sent_heartbeats: list[tuple[str, bytes]] = []  # (address, body) of all heartbeats, for copies of them
        world.links.hosts[self.addr] = name
        world.links.handlers[self.addr] = self.serve

    def heartbeat(self) -> dict[str, Any]:
        """Returns the worker's state as a heartbeat message with the next sequence number."""
        self.seq += 1
        now = self.world.clock.now
        statuses = [
            {
                "leg": t.name,
                "try": t.attempt,
                "standing": t.state,
                **({"cause": t.cause} if t.cause else {}),
                **({"stored": True} if t.saved else {}),
            }
            for t in self.tasks.values()
        ]
        warning = None if self.notice_until is None else max(0.0, self.notice_until - now)
        return {
            "croft": self.name,
            "addr": self.addr,
            "build": self.kind.name,
            "district": self.zone,
            "lendable": self.spot,
            "tenure": self.incarnation,
            "tally": self.seq,
            "baton": self.token,
            "warning_s": warning,
            "legs": statuses,
        }

    async def serve(self, request: Request) -> Response:
        """Handles a request to the worker: a status request or direct commands."""
        while self.world.clock.now < self.hang_until:
            await curio.sleep(0.1)
        self.step()
        if not self.up:
            await curio.sleep(60)
        if request.target == "/status":
            return json_response(200, self.heartbeat())
        response = self._execute_direct(request)
        world = self.world
        if world.clock.now < world.repeated_commands_until and world.random.random() < world.repeated_commands_share:
            await curio.spawn(self._execute_again, request, daemon=True)
        return response

    def _execute_direct(self, request: Request) -> Response:
        """Executes direct commands, unless their size, or the token or the incarnation of the request, forbids it."""
        if not self.world.check_message(f"request to {self.name}", request.body):
            return json_response(413, {})
        body = json.loads(request.body)
        if body["baton"] < self.token or body["tenure"] != self.incarnation:
            return json_response(409, self.heartbeat())
        self._raise_token(body["baton"])
        self.execute(body["orders"])
        return json_response(200, self.heartbeat())

    async def _execute_again(self, request: Request) -> None:
        """Receives a copy of direct commands that were answered, at most `repeated_commands_within_s` later."""
        await curio.sleep(self.world.repeated_commands_within_s * self.world.random.random())
        while self.world.clock.now < self.hang_until:
            await curio.sleep(0.1)
        self.step()
        if self.up:
            self.world.repeated_commands += 1
            self._execute_direct(request)

    def _raise_token(self, token: int) -> None:
        if token > self.token:
            self.token, self.changed = token, True

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Executes commands in order."""
        for order in orders:
            name, attempt = order["leg"], order["try"]
            held = self.tasks.get(name)
            if order["verb"] == "run":
                if held is None or (held.state == "ended" and held.attempt != attempt):
                    self._start(name, attempt)
            elif order["verb"] == "halt" and held is not None and held.attempt == attempt and held.state != "ended":
                if self.world.jobs.get(name.split("/")[0], {}).get("gait") == "gang":
                    self.world.gangs.stop(held, float(order.get("leeway_s") or 0.0))
                    self.changed = True
                    continue
                held.state, held.cause, self.changed = "ended", "halted", True
            elif order["verb"] == "forget" and held is not None and held.attempt == attempt and held.state == "ended":
                del self.tasks[name]

    def _start(self, name: str, attempt: int) -> None:
        now, job = self.world.clock.now, name.split("/")[0]
        self.changed = True
        spec = self.world.jobs.get(job)
        task = SimTask(name, attempt, "fetching", now, None)
        self.tasks[name] = task
        if spec is None:
            task.state, task.cause = "ended", "no_such"
            return
        used = sum(
            self.world.jobs[t.name.split("/")[0]]["vcpus"]
            for t in self.tasks.values()
            if t.state != "ended" and t is not task
        )
        if used + spec["vcpus"] > self.kind.cpus + 1e-6:
            task.state, task.cause = "ended", "full"
            return
        task.ready_at = now + (0.0 if spec["kit"] in self.images else spec["pull_gb"])

    def hangs_past_lease(self) -> bool:
        """Returns whether the machine hangs past its lease.

        Its tasks don't execute then, and when it resumes, it ends them before anything else.
        Cancelled tasks, and tasks on a machine that resumes within its lease, do count (docs/questions.md, 10).
        """
        now = self.world.clock.now
        return now < self.hang_until and now - self.lease_renewed_at > self.world.lease_s

    def step(self) -> None:
        """Applies what has become due: the end of the lease, of fetches and of tasks."""
        now = self.world.clock.now
        if not self.up or now < self.hang_until:
            return
        if now - self.lease_renewed_at > self.world.lease_s:
            lost = self.world.checks.lost_with_lease
            for task in self.tasks.values():
                lost[task.name] = lost.get(task.name, 0) + 1
            self.tasks.clear()
            self.incarnation += 1
            self.lease_renewed_at, self.changed = now, True
        for task in self.tasks.values():
            job, index = task.name.split("/")
            if task.state == "fetching" and now >= task.ready_at:
                self.images.add(self.world.jobs[job]["kit"])
                if self.fails_tasks or job in self.world.faulty:
                    task.state, task.cause, self.changed = "ended", "error", True
                    continue
                self.changed = True
                if self.world.is_gang(job):
                    self.world.gangs.gather(self, task)
                    self.world.check_start(self, task)
                    continue
                task.state = "running"
                self.world.check_start(self, task)
                finished = int(index) in self.world.done.setdefault(job, set())
                if self.world.jobs[job]["gait"] != "daemon":
                    task.ends_at = now if finished else now + self.world.run_time_s(job, int(index))
            if task.state in ("gathering", "running") and self.world.is_gang(job):
                self.world.check_cancelled(task)
                self.world.gangs.step(self, task)
                if task.cause == "done":
                    self._complete(job, int(index))
            elif task.state == "running":
                self.world.check_cancelled(task)
                if task.ends_at is not None and now >= task.ends_at:
                    task.state, task.cause, self.changed = "ended", "done", True
                    self._complete(job, int(index))

    def _complete(self, job: str, index: int) -> None:
        """Marks a task as done, or all tasks of a gang."""
        done, size = self.world.done.setdefault(job, set()), self.world.jobs[job]["legs"]
        ready = set(range(size)) if self.world.is_gang(job) else {index}
        if len(done) < size == len(done | ready):
            self.world.ended_jobs.append(job)
        done |= ready

    async def run(self) -> None:
        """Sends heartbeats until the machine is gone."""
        clock = self.world.clock
        last = -1e9
        while self.up:
            await curio.sleep(0.05)
            if clock.now < self.hang_until:
                continue
            self.step()
            due = clock.now - last >= self.world.report_s or (self.changed and clock.now - last >= 0.5)
            if due and self.up:
                last, self.changed = clock.now, False
                await self._send_heartbeat()

    async def _send_heartbeat(self) -> None:
        sent_at, incarnation = self.world.clock.now, self.incarnation
        name, address = self.nodes[self.node]
        body = json.dumps(self.heartbeat()).encode()
        if not self.world.check_message(f"heartbeat of {self.name} with {len(self.tasks)} tasks", body):
            return
        self.sent_heartbeats.append((address, body))
        if sent_at < self.world.late_heartbeats_until and self.world.random.random() < self.world.late_heartbeats_share:
            await curio.spawn(self._deliver_late_copy, address, body, daemon=True)
        try:
            response = await self.world.links.request(self.name, address, Request("POST", "/agent/beat", body), 4.0)
        except NoAnswerError:
            await self._next_node()
            return
        while self.world.clock.now < self.hang_until:
            await curio.sleep(0.1)
        self.step()
        if response.status == 421:
            steward = json.loads(response.body).get("steward")
            names = [node for node, _ in self.nodes]
            if steward in names and steward != name:
                self.node = names.index(steward)
                await curio.sleep(0.2)
            else:
                await self._next_node()
        elif response.status != 200:
            await self._next_node()
        elif self.world.check_message(f"response to {self.name}", response.body):
            answered = json.loads(response.body)
            if answered["baton"] < self.token or incarnation != self.incarnation:
                return
            self._raise_token(answered["baton"])
            self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
            self.execute(answered["orders"])

    async def _deliver_late_copy(self, address: str, body: bytes) -> None:
        """Delivers a copy of a heartbeat 2 s to 2 s and 1.5 leases later."""
        await curio.sleep(2.0 + 1.5 * self.world.lease_s * self.world.random.random())
        handler = self.world.links.handlers.get(address)
        if handler is not None:
            self.world.late_heartbeats += 1
            await handler(Request("POST", "/agent/beat", body))

    async def _next_node(self) -> None:
        self.node = (self.node + 1) % len(self.nodes)
        await curio.sleep(1.0)

    async def deliver_copies(self, since: float, gap_s: float, address: str | None) -> None:
        """Delivers copies of earlier heartbeats in their order, to `address` or to their original receivers."""
        for target, body in list(self.sent_heartbeats)[int(since) :]:
            handler = self.world.links.handlers.get(address or target)
            if handler is not None:
                await handler(Request("POST", "/agent/beat", body))
            await curio.sleep(gap_s)

    def reboot(self) -> None:
        """Restarts the worker at once in a new incarnation, without tasks."""
        self.tasks.clear()
        self.incarnation += 1
        self.lease_renewed_at, self.changed = self.world.clock.now, True

    def fail(self) -> None:
        """Removes the machine with all its tasks."""
        self.up = False
        self.tasks.clear()
        self.world.links.handlers.pop(self.addr, None)
