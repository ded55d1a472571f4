"""Real processes on loopback: controllers and an archiver, over the stand-ins of the state service, cloud and workers.

The stand-ins run in the process of the test, in real time, behind real sockets.
"""

from __future__ import annotations

import ctypes
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from types import TracebackType
from typing import Any, Self, cast

import curio

from spurarch.storage.history import ARCHIVED
from spurarch.transport.http import Handler, HttpClient, HttpServer, NoAnswerError, Request, Response
from tests.outcomes import ACCEPTED, ASKED_TO_CANCEL, COMPLETED, LEFT, STARTED, TOLD, Event, OutcomeLog
from tests.sim.addresses import ReservedAddresses
from tests.sim.clock import Clock
from tests.sim.fleet import FakeCloud, MachineType, SimTask, Worker, World
from tests.sim.store import FakeStore

ROOT = Path(__file__).parent.parent.parent
CONNECTIONS = 200
HOSTS = 250  # numbers that the last parts of an address may have
WORKER_PORT = 9000
UNREACHED = 0  # in the place of a status: no connection could be opened
PR_SET_PDEATHSIG = 1  # of prctl(2)
PLATFORM = """
node = "{node}"
area = "{area}"
public_addr = "{public}"
back = "{back}"
{peers}
[external]
cloud = "{cloud}"
state = "{state}"
[deployment]
count = {count}
zones = ["a", "b"]
{teams}
[deployment.workers]
report_s = {report_s}
lease_s = {lease_s}
cancel_s = {cancel_s}
[deployment.state]
rps = {rps}
write_rps = {write_rps}
value_kb = 16.0
txn_ops = 24
[deployment.cloud]
rps = 20.0
list_lag_s = 0.5
"""


def _end_with_parent() -> None:
    """In the new process: it is ended when the tests are, however that happens."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class RealClock:
    """The time that the stand-ins see."""

    @property
    def now(self) -> float:
        """Steady."""
        return time.monotonic()


class _Handlers(dict[str, Handler]):
    """Whoever enters an address here is served there."""

    def __init__(self) -> None:
        super().__init__()
        self.fresh: list[str] = []
        self.remote: dict[str, Handler] = {}  # of other processes

    def get(self, address: str, default: Any = None) -> Any:
        """The server behind an address, wherever it runs."""
        return super().get(address, self.remote.get(address, default))

    def __setitem__(self, address: str, handler: Handler) -> None:
        super().__setitem__(address, handler)
        self.fresh.append(address)


class LoopbackWire:
    """Connections over real sockets, in the place of the simulated ones."""

    def __init__(self) -> None:
        self.hosts: dict[str, str] = {}
        self.handlers = _Handlers()
        self._clients: dict[str, HttpClient] = {}
        self._servers: dict[str, Any] = {}

    async def run(self) -> None:
        """Opens a server for each new address, and closes those that are gone."""
        while True:
            while self.handlers.fresh:
                address = self.handlers.fresh.pop()
                if address not in self._servers:
                    server = HttpServer(address, self._door(address), CONNECTIONS)
                    self._servers[address] = await curio.spawn(server.run, daemon=True)
            for address in [address for address in self._servers if address not in self.handlers]:
                await self._servers.pop(address).cancel(blocking=False)
            await curio.sleep(0.02)

    def _door(self, address: str) -> Handler:
        async def handle(request: Request) -> Response:
            handler = self.handlers.get(address)
            return await handler(request) if handler is not None else Response(503)

        return handle

    async def request(self, source: str, address: str, request: Request, timeout_s: float) -> Response:
        """One request."""
        client = self._clients.setdefault(f"{source} {address}", HttpClient(address, 4))
        status, body = await client.request(request.method, request.target, request.body or None, timeout_s)
        return Response(status, body)

    async def close_clients(self) -> None:
        """Closes the connections that were kept."""
        for client in self._clients.values():
            await client.aclose()


class LoggingWorld(World):
    """Workers write what they start and complete into the log of outcomes."""

    def __init__(self, log: OutcomeLog, *args: Any) -> None:
        super().__init__(*args)
        self.outcomes = log

    def worker_address(self, number: int) -> str:
        """Of this process alone: runs of the tests beside each other must not share their workers' addresses."""
        host = f"127.{1 + os.getpid() % HOSTS}.{os.getpid() // HOSTS % HOSTS}.{1 + number % HOSTS}"
        return f"{host}:{WORKER_PORT + number // HOSTS}"

    def _note(self, kind: str, task: SimTask, machine: str) -> None:
        job, index = task.name.split("/")
        self.outcomes.note(Event(self.clock.now, kind, job, int(index), machine))

    def check_start(self, worker: Worker, task: SimTask) -> None:
        """Notes a start."""
        super().check_start(worker, task)
        self._note(STARTED, task, worker.name)

    async def watch(self) -> None:
        """Notes completions, and tasks that left their machine in another way."""
        on: dict[tuple[str, str, int], SimTask] = {}
        while True:
            now = {(w.name, t.name, t.attempt): t for w, t in self.on_machines()}
            for key, task in on.items():
                if key not in now:
                    self._note(COMPLETED if task.why == "done" else LEFT, task, key[0])
            on = now
            await curio.sleep(0.005)


@dataclass
class LoopbackSettings:
    """A small installation."""

    controllers: int = 3
    machines: int = 4
    report_s: float = 0.5
    lease_s: float = 6.0
    cancel_s: float = 20.0
    rps: float = 1000.0
    write_rps: float = 500.0
    teams: dict[str, float] = field(default_factory=lambda: {"t": 200.0})  # the most CPUs of each
    archive: bool = True
    seed: int = 1
    capacity: int = 40


@dataclass
class Job:
    """A job that a user of the test submits."""

    ref: str
    tasks: int
    run_s: float
    kind: str = "batch"
    cpus: float = 1.0
    team: str = "t"
    priority: str = "normal"


@dataclass
class Measured:
    """What one loss and its rebuilding took, in seconds from the loss."""

    closed_s: float = 0.0  # until the first user was told to come back
    opened_s: float = 0.0  # until the next history was open
    last_final_s: float = 0.0  # until the last final answer
    repeated: int = 0  # starts beyond the first
    jobs: int = 0
    machines: int = 0


class Installation:
    """Processes and stand-ins; at the end of its context nothing of it is left but files."""

    def __init__(self, settings: LoopbackSettings, directory: Path) -> None:
        self.settings, self.directory = settings, directory
        self.clock = cast(Clock, RealClock())
        self.random = Random(settings.seed)
        self.log = OutcomeLog()
        self.wire: Any = LoopbackWire()
        s = settings
        self.addresses = ReservedAddresses()
        addresses = [self.addresses.reserve() for _ in range(3 * s.controllers + 2)]
        self.cloud_address, self.archive_address = addresses[:2]
        self.states = addresses[2 : 2 + s.controllers]  # the state service, as each controller reaches it
        pairs = addresses[2 + s.controllers :]
        self.nodes = [(f"n{i}", pairs[2 * i]) for i in range(s.controllers)]
        self.backs = [pairs[2 * i + 1] for i in range(s.controllers)]
        self.store = FakeStore(self.clock, Random(s.seed + 1), s.rps, s.write_rps, 16.0, 24)
        self.world = LoggingWorld(self.log, self.clock, self.wire, s.report_s, s.lease_s, s.cancel_s)
        self.world.limits = dict(s.teams)
        self.cloud = FakeCloud(self.world, ["a", "b"], self.nodes, 0.2)
        kind = MachineType("small", 4.0, 16.0, 0.5, s.capacity)
        self.cloud.kinds = {"small": kind}
        for number in range(s.machines):
            self.cloud.add(kind, "ab"[number % 2], False, 0.0)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.saved: tuple[int, dict[str, Any]] = (0, {})
        self.users = HttpClients(self.nodes, self.random)
        self._users_paused = False
        self._requests_in_flight = 0

    def __enter__(self) -> Self:
        """Itself."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Ends all processes, closes connections that were kept and gives the addresses back."""
        self.stop()
        curio.run(self.close_clients)
        self.addresses.close()

    async def close_clients(self) -> None:
        """Closes the connections that workers, users and stand-ins have kept."""
        await self.wire.close_clients()
        await self.users.aclose()

    # Processes

    def _platform(self, index: int) -> Path:
        s = self.settings
        teams = "".join(f'[[deployment.teams]]\nname = "{name}"\ncpus_max = {most}\n' for name, most in s.teams.items())
        peers = "".join(
            f'[[siblings]]\nnode = "n{i}"\narea = "{"ab"[i % 2]}"\npeer_addr = "{self.peer_address(index, i)}"\n'
            for i in range(s.controllers)
            if i != index
        )
        text = PLATFORM.format(
            node=f"n{index}",
            area="ab"[index % 2],
            public=self.nodes[index][1],
            back=self.backs[index],
            peers=peers,
            cloud=self.cloud_address,
            state=self.states[index],
            count=s.controllers,
            teams=teams,
            report_s=s.report_s,
            lease_s=s.lease_s,
            cancel_s=s.cancel_s,
            rps=s.rps,
            write_rps=s.write_rps,
        )
        path = self.directory / f"n{index}.toml"
        path.write_text(text)
        return path

    def peer_address(self, index: int, other: int) -> str:
        """Where one controller reaches another."""
        return self.backs[other]

    def features(self) -> Path:
        """The operators' settings."""
        path = self.directory / "features.sexp"
        archive = f'(archive-address "{self.archive_address}")' if self.settings.archive else ""
        path.write_text(
            f"((recovery t) {archive} (consolidation-cap 0) (imbalance-weight 0) (idle-return-s 1000) (member-ttl-s 2))"
        )
        return path

    def _words(self, *words: str) -> list[str]:
        """What Python runs."""
        return [str(ROOT / "run.py"), *words]

    def _spawn(self, name: str, *words: str) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *self._words(*words)],
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env=os.environ | {"LOG_LEVEL": "info"},
                preexec_fn=_end_with_parent,
            )

    def start_controller(self, index: int) -> None:
        """Starts one, or starts it again."""
        config = str(self._platform(index))
        self._spawn(f"n{index}", "serve", "--config", config, "--tuning", str(self.features()))

    def start_archiver(self) -> None:
        """Starts it on the disk as it is."""
        config, root = str(self._platform(0)), str(self.directory / "archive")
        self._spawn(
            "archive", "archive", "run", "--config", config, "--directory", root, "--listen", self.archive_address
        )

    def kill(self, name: str) -> None:
        """Ends a process without a word."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def send(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this installation."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """Ends all processes."""
        for name in list(self.processes):
            self.kill(name)

    # Running

    async def serve(self) -> None:
        """Runs the stand-ins until cancelled."""
        for index, address in enumerate(self.states):
            self.wire.handlers[address] = self.store.handler_for(f"n{index}")
        self.wire.handlers[self.cloud_address] = self.cloud.handle
        async with curio.TaskGroup(wait=any) as group:
            for task in (self.wire.run, self.cloud.run, self.world.watch):
                await group.spawn(task)

    async def operate(self, *words: str) -> str:
        """Runs an operators' command to its end; what it printed."""
        self._spawn("operator", *words, "--config", str(self._platform(0)))
        process = self.processes["operator"]
        while process.poll() is None:
            await curio.sleep(0.02)
        del self.processes["operator"]
        text = (self.directory / "operator.log").read_text()
        if process.returncode:
            raise AssertionError(f"{' '.join(words)}: {text}")
        return text

    def describe(self, job: Job) -> bytes:
        """The submission of a job, which workers know from then on."""
        spec = {
            "ref": job.ref,
            "circuit": "c",
            "crew": job.team,
            "gait": job.kind,
            "precedence": job.priority,
            "legs": job.tasks,
            "vcpus": job.cpus,
            "gpus": 0.0,
            "memory_gb": 0.5,
            "kit": "i",
            "pull_gb": 0.05,
            "builds": None,
            "district": None,
            "together": False,
            "spread": False,
            "lendable": False,
            "reckon_s": job.run_s,
            "waypoint_s": 0.0,
            "stow_s": 0.0,
            "cutoff_s": None,
        }
        self.world.jobs[job.ref], self.world.run_s[job.ref] = spec, [job.run_s]
        return json.dumps(spec).encode()

    async def submit(self, job: Job, until: float) -> None:
        """A user: submits until accepted, then asks until the end."""
        body = self.describe(job)
        self.log.tasks[job.ref] = job.tasks if job.kind == "batch" else 0
        while self.clock.now < until:
            status, _ = await self._ask("POST", "/submissions", body)
            if status in (200, 201):
                self._note(ACCEPTED, job.ref)
                break
            await curio.sleep(0.3)
        while self.clock.now < until:
            await self._poll(job.ref)
            await curio.sleep(0.3 + 0.2 * self.random.random())

    async def _poll(self, job_id: str) -> None:
        status, answer = await self._ask("GET", f"/submissions/{job_id}", b"")
        if status == 200:
            self._note(TOLD, job_id, answer["standing"])
        elif status == 404:
            self._note(TOLD, job_id, "unknown")

    async def _ask(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """A user's request, once users are not paused."""
        while self._users_paused:
            await curio.sleep(0.05)
        self._requests_in_flight += 1
        try:
            return await self.users.ask(method, target, body)
        finally:
            self._requests_in_flight -= 1

    async def pause_users(self, limit_s: float) -> None:
        """Users ask nothing more, and the archive holds whatever they were told."""
        self._users_paused = True
        await self.until(lambda: not self._requests_in_flight, limit_s, "answers to all requests under way")
        told_at = self.store.revision
        await self.until(lambda: self.archived_revision() >= told_at, limit_s, f"an archive up to revision {told_at}")

    def resume_users(self) -> None:
        """Users go on."""
        self._users_paused = False

    def archived_revision(self) -> int:
        """Up to which revision the archive says that it holds all records; 0 if it has said nothing yet."""
        archived = self.store.keys.get(ARCHIVED)
        return int(archived[0]["revision"]) if archived is not None else 0

    def _note(self, kind: str, job_id: str, detail: str = "") -> None:
        self.log.note(Event(self.clock.now, kind, job_id, detail=detail))

    async def cancel(self, job_id: str, until: float) -> None:
        """A user calls a job off, and asks until it is confirmed."""
        self._note(ASKED_TO_CANCEL, job_id)
        while self.clock.now < until:
            status, answer = await self._ask("POST", f"/submissions/{job_id}/cancel", b"{}")
            if status == 200:
                self._note(TOLD, job_id, answer["standing"])
                return
            await curio.sleep(0.3)

    def history_number(self) -> int:
        """Of the history that is open, as the state service has it; 0 if none is."""
        current = self.store.keys.get("history/current")
        if current is None or f"history/open/{current[0]['name']}" not in self.store.keys:
            return 0
        return int(current[0]["number"])

    async def until(self, condition: Callable[[], bool], limit_s: float, what: str) -> None:
        """Waits for something, with a generous limit that only a fault reaches."""
        deadline = self.clock.now + limit_s
        while not condition():
            ended = [name for name, process in self.processes.items() if process.poll() is not None]
            if ended:
                raise AssertionError(f"{what}: ended by themselves: {ended}; logs in {self.directory}")
            if self.clock.now > deadline:
                raise AssertionError(f"{what}: not within {limit_s:.0f} s; logs in {self.directory}")
            await curio.sleep(0.02)

    def settled(self) -> bool:
        """Every batch job has a final answer, and the last answer of every service is that it runs."""
        told: dict[str, str] = {e.job: e.detail for e in self.log.events if e.kind == TOLD}
        return all(
            told.get(job) in (("done", "aborted") if tasks else ("running", "aborted"))
            for job, tasks in self.log.tasks.items()
        )


@dataclass
class HttpClients:
    """Users behind a balancer that picks any controller."""

    nodes: list[tuple[str, str]]
    random: Random
    _clients: dict[str, HttpClient] = field(default_factory=dict)
    refused: int = 0  # answers that said to come back

    async def ask(self, method: str, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        """One request to some controller that can be reached."""
        for _, address in self.random.sample(self.nodes, len(self.nodes)):
            status, answer = await self.ask_at(address, method, target, body)
            if status != UNREACHED:
                return status, answer
        return 504, {}

    async def ask_at(self, address: str, method: str, target: str, body: bytes = b"") -> tuple[int, dict[str, Any]]:
        """One request to one controller."""
        client = self._clients.setdefault(address, HttpClient(address, 16))
        try:
            status, answer = await client.request(method, target, body or None, 3.0)
        except NoAnswerError as err:
            return 504 if err.sent else UNREACHED, {}
        self.refused += status == 503
        return status, json.loads(answer) if answer else {}

    async def aclose(self) -> None:
        """Closes the connections that were kept."""
        for client in self._clients.values():
            await client.aclose()


async def end_other_tasks() -> None:
    """Cancels all tasks but this one, until none has started another one.

    The oldest first: a server ends before the connections that it has accepted. Curio begins with the newest when it
    shuts down, fails if a task starts another one meanwhile, and then leaves what the kernel holds to the collector.
    """
    kernel, this_task = await curio.traps._get_kernel(), await curio.current_task()
    while others := [task for task in kernel._tasks.values() if task is not this_task]:
        for task in sorted(others, key=lambda task: task.id):
            await task.cancel()


def play(installation: Installation, story: Callable[[Installation], Awaitable[None]]) -> None:
    """Runs a story over an installation, and ends every process that it started."""

    async def main() -> None:
        serving = await curio.spawn(installation.serve, daemon=True)
        await curio.sleep(0.2)
        if serving.terminated:
            raise AssertionError("the stand-ins ended")
        try:
            await story(installation)
        finally:
            installation.stop()
            await end_other_tasks()

    with installation:
        curio.run(main)
