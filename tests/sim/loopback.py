"""Real processes of controllers and an archiver on loopback, with a simulated state service, cloud and workers.

The simulated services run in the process of the test, in real time, behind real sockets.
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
from tests.outcomes import ACCEPTED, CANCEL_REQUESTED, COMPLETED, LEFT, REPORTED, STARTED, Event, OutcomeLog
from tests.sim.addresses import ReservedAddresses
from tests.sim.clock import Clock
from tests.sim.cloud import SimCloud
from tests.sim.fleet import SimTask, Worker, World
from tests.sim.machine_type import MachineType
from tests.sim.store import SimStateService

ROOT = Path(__file__).parent.parent.parent
CONNECTIONS = 200
HOST_COUNT = 250  # values that each byte of a loopback address takes
WORKER_PORT = 9000
NOT_CONNECTED = 0  # in place of a status code: no connection could be opened
PR_SET_PDEATHSIG = 1  # option of prctl(2)
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
    """Has the kernel kill the calling process when its parent, the test process, ends in any way."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class RealClock:
    """The time that the simulated services read."""

    @property
    def now(self) -> float:
        """The monotonic time in seconds."""
        return time.monotonic()


class _Handlers(dict[str, Handler]):
    """Handlers by address; LoopbackLinks opens a server for each new address."""

    def __init__(self) -> None:
        super().__init__()
        self.new_addresses: list[str] = []
        self.remote: dict[str, Handler] = {}  # handlers that forward to other processes

    def get(self, address: str, default: Any = None) -> Any:
        """Returns the handler of an address, in this process or another, or `default`."""
        return super().get(address, self.remote.get(address, default))

    def __setitem__(self, address: str, handler: Handler) -> None:
        super().__setitem__(address, handler)
        self.new_addresses.append(address)


class LoopbackLinks:
    """Connections over real sockets, in place of the simulated network."""

    def __init__(self) -> None:
        self.hosts: dict[str, str] = {}
        self.handlers = _Handlers()
        self._clients: dict[str, HttpClient] = {}
        self._servers: dict[str, Any] = {}

    async def run(self) -> None:
        """Opens a server for each new address, and closes the servers of removed addresses."""
        while True:
            while self.handlers.new_addresses:
                address = self.handlers.new_addresses.pop()
                if address not in self._servers:
                    server = HttpServer(address, self._handler_at(address), CONNECTIONS)
                    self._servers[address] = await curio.spawn(server.run, daemon=True)
            for address in [address for address in self._servers if address not in self.handlers]:
                await self._servers.pop(address).cancel(blocking=False)
            await curio.sleep(0.02)

    def _handler_at(self, address: str) -> Handler:
        async def handle(request: Request) -> Response:
            handler = self.handlers.get(address)
            return await handler(request) if handler is not None else Response(503)

        return handle

    async def request(self, source: str, address: str, request: Request, timeout_s: float) -> Response:
        """Sends a request and returns its response; raises NoAnswerError if there is none in time."""
        client = self._clients.setdefault(f"{source} {address}", HttpClient(address, 4))
        status, body = await client.request(request.method, request.target, request.body or None, timeout_s)
        return Response(status, body)

    async def close_clients(self) -> None:
        """Closes all open client connections."""
        for client in self._clients.values():
            await client.aclose()


class LoggingWorld(World):
    """Simulated workers that record starts and ends of tasks in the log of outcomes."""

    def __init__(self, log: OutcomeLog, *args: Any) -> None:
        super().__init__(*args)
        self.outcomes = log

    def worker_address(self, number: int) -> str:
        """Returns an address that only this process uses, as test processes run in parallel."""
        host = f"127.{1 + os.getpid() % HOST_COUNT}.{os.getpid() // HOST_COUNT % HOST_COUNT}.{1 + number % HOST_COUNT}"
        return f"{host}:{WORKER_PORT + number // HOST_COUNT}"

    def _note(self, kind: str, task: SimTask, machine: str) -> None:
        job, index = task.name.split("/")
        self.outcomes.note(Event(self.clock.now, kind, job, int(index), machine))

    def check_start(self, worker: Worker, task: SimTask) -> None:
        """Checks and records a start."""
        super().check_start(worker, task)
        self._note(STARTED, task, worker.name)

    async def watch(self) -> None:
        """Records tasks that complete, and tasks that leave their machine in another way."""
        on: dict[tuple[str, str, int], SimTask] = {}
        while True:
            now = {(w.name, t.name, t.attempt): t for w, t in self.on_machines()}
            for key, task in on.items():
                if key not in now:
                    self._note(COMPLETED if task.cause == "done" else LEFT, task, key[0])
            on = now
            await curio.sleep(0.005)


@dataclass
class LoopbackSettings:
    """Settings of an installation, by default a small one."""

    controllers: int = 3
    machines: int = 4
    report_s: float = 0.5
    lease_s: float = 6.0
    cancel_s: float = 20.0
    rps: float = 1000.0
    write_rps: float = 500.0
    teams: dict[str, float] = field(default_factory=lambda: {"t": 200.0})  # by team: its limit in CPUs
    archive: bool = True
    seed: int = 1
    capacity: int = 40


@dataclass
class Job:
    """A job that a simulated user submits."""

    ref: str
    tasks: int
    run_s: float
    kind: str = "batch"
    cpus: float = 1.0
    team: str = "t"
    priority: str = "normal"


@dataclass
class Measured:
    """Duration of one loss of data and its rebuild, in seconds from the loss."""

    closed_s: float = 0.0  # until the first response with status 503
    opened_s: float = 0.0  # until the next history was open
    last_final_s: float = 0.0  # until the last answer with a final state
    repeated: int = 0  # starts beyond the first
    jobs: int = 0
    machines: int = 0


class Installation:
    """Processes and simulated services; when its context ends, only files are left."""

    def __init__(self, settings: LoopbackSettings, directory: Path) -> None:
        self.settings, self.directory = settings, directory
        self.clock = cast(Clock, RealClock())
        self.random = Random(settings.seed)
        self.log = OutcomeLog()
        self.links: Any = LoopbackLinks()
        s = settings
        self.addresses = ReservedAddresses()
        addresses = [self.addresses.reserve() for _ in range(3 * s.controllers + 2)]
        self.cloud_address, self.archive_address = addresses[:2]
        self.state_addresses = addresses[2 : 2 + s.controllers]  # of the state service, one for each controller
        pairs = addresses[2 + s.controllers :]
        self.nodes = [(f"n{i}", pairs[2 * i]) for i in range(s.controllers)]
        self.peer_addresses = [pairs[2 * i + 1] for i in range(s.controllers)]
        self.store = SimStateService(self.clock, Random(s.seed + 1), s.rps, s.write_rps, 16.0, 24)
        self.world = LoggingWorld(self.log, self.clock, self.links, s.report_s, s.lease_s, s.cancel_s)
        self.world.limits = dict(s.teams)
        self.cloud = SimCloud(self.world, ["a", "b"], self.nodes, 0.2)
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
        """Returns this instance."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Ends all processes, closes open connections and releases the addresses."""
        self.stop()
        curio.run(self.close_clients)
        self.addresses.close()

    async def close_clients(self) -> None:
        """Closes the open connections of workers, users and simulated services."""
        await self.links.close_clients()
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
            back=self.peer_addresses[index],
            peers=peers,
            cloud=self.cloud_address,
            state=self.state_addresses[index],
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
        """Returns the address at which one controller reaches another."""
        return self.peer_addresses[other]

    def features(self, index: int) -> Path:
        """Writes the operators' settings of one controller and returns the path of the file.

        Each controller has a file of its own, since the others may be reading theirs at this moment.
        """
        path = self.directory / f"features-{index}.sexp"
        archive = f'(archive-address "{self.archive_address}")' if self.settings.archive else ""
        path.write_text(
            f"((recovery t) {archive} (consolidation-cap 0) (imbalance-weight 0) (idle-return-s 1000) (member-ttl-s 2))"
        )
        return path

    def _python_arguments(self, *words: str) -> list[str]:
        """Returns the arguments of the Python interpreter."""
        return [str(ROOT / "run.py"), *words]

    def _spawn(self, name: str, *words: str) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *self._python_arguments(*words)],
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env=os.environ | {"LOG_LEVEL": "info"},
                preexec_fn=_end_with_parent,
            )

    def start_controller(self, index: int) -> None:
        """Starts or restarts a controller."""
        config = str(self._platform(index))
        self._spawn(f"n{index}", "serve", "--config", config, "--tuning", str(self.features(index)))

    def start_archiver(self) -> None:
        """Starts the archiver on its directory, with the files of a previous process."""
        config, root = str(self._platform(0)), str(self.directory / "archive")
        self._spawn(
            "archive", "archive", "run", "--config", config, "--directory", root, "--listen", self.archive_address
        )

    def kill(self, name: str) -> None:
        """Kills a process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def send(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this installation."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """Kills all processes."""
        for name in list(self.processes):
            self.kill(name)

    # Running

    async def serve(self) -> None:
        """Runs the simulated services until cancelled."""
        for index, address in enumerate(self.state_addresses):
            self.links.handlers[address] = self.store.handler_for(f"n{index}")
        self.links.handlers[self.cloud_address] = self.cloud.handle
        async with curio.TaskGroup(wait=any) as group:
            for task in (self.links.run, self.cloud.run, self.world.watch):
                await group.spawn(task)

    async def run_operator_command(self, *words: str) -> str:
        """Runs an operators' command and returns its output; raises AssertionError if the command fails."""
        self._spawn("operator", *words, "--config", str(self._platform(0)))
        process = self.processes["operator"]
        while process.poll() is None:
            await curio.sleep(0.02)
        del self.processes["operator"]
        text = (self.directory / "operator.log").read_text()
        if process.returncode:
            raise AssertionError(f"{' '.join(words)}: {text}")
        return text

    def register_job(self, job: Job) -> bytes:
        """Returns the submission of a job, and registers the job with the simulated workers."""
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
        """Submits a job until it is accepted, then polls its state, up to the time `until`."""
        body = self.register_job(job)
        self.log.tasks[job.ref] = job.tasks if job.kind == "batch" else 0
        while self.clock.now < until:
            status, _ = await self._request("POST", "/submissions", body)
            if status in (200, 201):
                self._note(ACCEPTED, job.ref)
                break
            await curio.sleep(0.3)
        while self.clock.now < until:
            await self._poll(job.ref)
            await curio.sleep(0.3 + 0.2 * self.random.random())

    async def _poll(self, job_id: str) -> None:
        status, answer = await self._request("GET", f"/submissions/{job_id}", b"")
        if status == 200:
            self._note(REPORTED, job_id, answer["standing"])
        elif status == 404:
            self._note(REPORTED, job_id, "unknown")

    async def _request(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Sends a user's request, or waits first while users are paused."""
        while self._users_paused:
            await curio.sleep(0.05)
        self._requests_in_flight += 1
        try:
            return await self.users.ask(method, target, body)
        finally:
            self._requests_in_flight -= 1

    async def pause_users(self, limit_s: float) -> None:
        """Pauses users' requests and waits until all answers that they have received are archived."""
        self._users_paused = True
        await self.wait_until(lambda: not self._requests_in_flight, limit_s, "answers to all requests under way")
        told_at = self.store.revision
        await self.wait_until(
            lambda: self.archived_revision() >= told_at, limit_s, f"an archive up to revision {told_at}"
        )

    def resume_users(self) -> None:
        """Ends the pause of users' requests."""
        self._users_paused = False

    def archived_revision(self) -> int:
        """Returns the revision up to which the archiver has published its progress, or 0."""
        archived = self.store.keys.get(ARCHIVED)
        return int(archived[0]["revision"]) if archived is not None else 0

    def _note(self, kind: str, job_id: str, detail: str = "") -> None:
        self.log.note(Event(self.clock.now, kind, job_id, detail=detail))

    async def cancel(self, job_id: str, until: float) -> None:
        """Requests the cancellation of a job until it is confirmed, up to the time `until`."""
        self._note(CANCEL_REQUESTED, job_id)
        while self.clock.now < until:
            status, answer = await self._request("POST", f"/submissions/{job_id}/cancel", b"{}")
            if status == 200:
                self._note(REPORTED, job_id, answer["standing"])
                return
            await curio.sleep(0.3)

    def history_number(self) -> int:
        """Returns the number of the open history in the state service, or 0 if none is open."""
        current = self.store.keys.get("history/current")
        if current is None or f"history/open/{current[0]['name']}" not in self.store.keys:
            return 0
        return int(current[0]["number"])

    async def wait_until(self, condition: Callable[[], bool], limit_s: float, what: str) -> None:
        """Waits for a condition; raises AssertionError after `limit_s`, or when a process has ended by itself.

        The limit is meant to be so generous that only a defect reaches it.
        """
        deadline = self.clock.now + limit_s
        while not condition():
            ended = [name for name, process in self.processes.items() if process.poll() is not None]
            if ended:
                raise AssertionError(f"{what}: ended by themselves: {ended}; logs in {self.directory}")
            if self.clock.now > deadline:
                raise AssertionError(f"{what}: not within {limit_s:.0f} s; logs in {self.directory}")
            await curio.sleep(0.02)

    def settled(self) -> bool:
        """Returns whether the last answer on every batch job is final, and on every service is running or aborted."""
        reported: dict[str, str] = {e.job: e.detail for e in self.log.events if e.kind == REPORTED}
        return all(
            reported.get(job) in (("done", "aborted") if tasks else ("running", "aborted"))
            for job, tasks in self.log.tasks.items()
        )


@dataclass
class HttpClients:
    """HTTP clients of users behind a load balancer that picks a random controller."""

    nodes: list[tuple[str, str]]
    random: Random
    _clients: dict[str, HttpClient] = field(default_factory=dict)
    refused: int = 0  # number of responses with status 503

    async def ask(self, method: str, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        """Sends a request to a random controller that accepts a connection; returns status 504 if none does."""
        for _, address in self.random.sample(self.nodes, len(self.nodes)):
            status, answer = await self.ask_at(address, method, target, body)
            if status != NOT_CONNECTED:
                return status, answer
        return 504, {}

    async def ask_at(self, address: str, method: str, target: str, body: bytes = b"") -> tuple[int, dict[str, Any]]:
        """Sends a request to one controller; returns 504 for a timeout and NOT_CONNECTED without a connection."""
        client = self._clients.setdefault(address, HttpClient(address, 16))
        try:
            status, answer = await client.request(method, target, body or None, 3.0)
        except NoAnswerError as err:
            return 504 if err.may_be_sent else NOT_CONNECTED, {}
        self.refused += status == 503
        return status, json.loads(answer) if answer else {}

    async def aclose(self) -> None:
        """Closes all open connections."""
        for client in self._clients.values():
            await client.aclose()


async def end_other_tasks() -> None:
    """Cancels all curio tasks except the calling one, until no new one has been started.

    The oldest task is cancelled first, so that a server ends before the connections that it has accepted. Curio's own
    shutdown cancels the newest first, fails if a task starts another one meanwhile, and then leaves the kernel's
    resources to the garbage collector.
    """
    kernel, this_task = await curio.traps._get_kernel(), await curio.current_task()
    while others := [task for task in kernel._tasks.values() if task is not this_task]:
        for task in sorted(others, key=lambda task: task.id):
            await task.cancel()


def run_script(installation: Installation, script: Callable[[Installation], Awaitable[None]]) -> None:
    """Runs a coroutine function on an installation, and then ends every process that it started."""

    async def main() -> None:
        serving = await curio.spawn(installation.serve, daemon=True)
        await curio.sleep(0.2)
        if serving.terminated:
            raise AssertionError("the simulated services ended")
        try:
            await script(installation)
        finally:
            installation.stop()
            await end_other_tasks()

    with installation:
        curio.run(main)
