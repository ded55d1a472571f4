"""Real controllers on loopback over the stand-ins, the users of a case, and its verdict."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from fleet import Cloud, MachineType, World
from state_service import StateService
from wire import Client, free_address, serve

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_S = 118.0
POLL_S, POLL_TIMEOUT_S, SUBMIT_TIMEOUT_S = 5.0, 2.0, 5.0


class CaseError(Exception):
    """The case can't run."""


class Record:
    """The file record.txt: one line of JSON for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def note(self, event: str, **detail: Any) -> None:
        """Writes an event."""
        entry = {"at": round(time.monotonic() - self.started_at, 3), "event": event, **detail}
        self._file.write(json.dumps(entry) + "\n")
        self._file.flush()


@dataclass
class Site:
    """The settings of a site, as its file states them, and the machines that are up at the start."""

    controllers: list[str]  # the zone of each
    zones: list[str]
    teams: dict[str, tuple[float, float]]  # by name: CPUs guaranteed, and CPUs at most
    workers: dict[str, float]
    state: dict[str, float]
    cloud: dict[str, float]
    limits: dict[str, float]
    kinds: list[MachineType]
    machines: list[tuple[str, str, bool]]  # type, zone, cheap
    boot_factor: float = 1.0
    objectives: str = ""


@dataclass
class Poll:
    """The newest answer to a poll of a job."""

    at: float = float("-inf")
    standing: str = ""
    body: dict[str, Any] = field(default_factory=dict)


class Installation:
    """Controllers, stand-ins and users of one run."""

    def __init__(self, site: Site, record: Record) -> None:
        self.site, self.record = site, record
        self.directory = Path(tempfile.mkdtemp(prefix="spurarch-review-"))
        self.nodes = {f"croft-{i}": free_address() for i in range(len(site.controllers))}
        self._back = {node: free_address() for node in self.nodes}
        self.state = StateService(site.state)
        self.world = World(site.workers, self.nodes, record.note)
        self.cloud = Cloud(self.world, site.kinds, site.cloud["list_lag_s"], site.boot_factor)
        for kind, zone, spot in site.machines:
            self.cloud.add(kind, zone, spot)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.polls: dict[str, Poll] = {}
        self._addresses: dict[str, str] = {}
        self._tasks: list[asyncio.Task[Any]] = []

    # Processes

    async def start(self) -> None:
        """Starts the stand-ins and the controllers, and waits until the controllers answer."""
        for name, handler in (("state", self.state.handle), ("cloud", self.cloud.handle)):
            _, self._addresses[name] = await serve("127.0.0.1:0", handler)
        self.spawn(self.state.run())
        self.spawn(self.cloud.run())
        self.spawn(self._watch_processes())
        for node in self.nodes:
            self.start_controller(node)
        deadline = time.monotonic() + 20.0
        for node in self.nodes:
            while (await self.ask(node, "GET", "/up", None, 1.0))[0] != 200:
                if time.monotonic() > deadline:
                    raise CaseError(f"{node} does not answer; was the build of the deploy file run?")
                await asyncio.sleep(0.1)
        self.record.note("controllers answer")

    def start_controller(self, node: str) -> None:
        """Starts a controller with the command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        config = self.directory / f"{node}.toml"
        config.write_text(self._settings(node))
        log = (self.directory / f"{node}.log").open("ab")
        environment = os.environ | {"LOG_LEVEL": "info"}
        command = [*shlex.split(run), str(config)]
        self.processes[node] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.record.note("controller started", node=node, pid=self.processes[node].pid)

    def _settings(self, node: str) -> str:
        site, names = self.site, list(self.nodes)
        lines = [
            f'node = "{node}"',
            f'area = "{site.controllers[names.index(node)]}"',
            f'public_addr = "{self.nodes[node]}"',
            f'back = "{self._back[node]}"',
        ]
        for other in names:
            if other != node:
                area = site.controllers[names.index(other)]
                lines += ["[[siblings]]", f'node = "{other}"', f'area = "{area}"', f'peer_addr = "{self._back[other]}"']
        lines += ["[external]", f'cloud = "{self._addresses["cloud"]}"', f'state = "{self._addresses["state"]}"']
        lines += [
            "[deployment]",
            f"count = {len(names)}",
            f"zones = {json.dumps(site.zones)}",
            "time_bound_ms = 1000.0",
        ]
        for team, (cpus, most) in site.teams.items():
            lines += ["[[deployment.teams]]", f'name = "{team}"', f"cpus = {cpus}", f"cpus_max = {most}"]
            lines += ["gpus = 0.0", "gpus_max = 0.0"]
        lines.append(site.objectives)
        tables = {"workers": site.workers, "state": site.state, "cloud": site.cloud, "limits": site.limits}
        for table, values in tables.items():
            lines += [f"[deployment.{table}]", *(f"{name} = {value}" for name, value in values.items())]
        return "\n".join(lines) + "\n"

    async def _watch_processes(self) -> None:
        while True:
            for node, process in list(self.processes.items()):
                if process.poll() is not None:
                    self.record.note("controller ended by itself", node=node, code=process.returncode)
                    del self.processes[node]
            await asyncio.sleep(0.2)

    def signal(self, node: str, number: signal.Signals) -> None:
        """Sends a signal to a controller."""
        self.record.note("signal", node=node, signal=number.name)
        self.processes[node].send_signal(number)

    def kill(self, node: str) -> None:
        """Kills a controller and waits for its end."""
        process = self.processes.pop(node)
        self.record.note("controller killed", node=node)
        process.kill()
        process.wait()

    def spawn(self, work: Any) -> None:
        """Runs a coroutine until the end of the run."""
        self._tasks.append(asyncio.create_task(work))

    def stop(self) -> None:
        """Ends all processes that the run started, and removes its temporary folder."""
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    # Users

    async def ask(
        self, node: str, method: str, target: str, body: dict[str, Any] | None, timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request of a user to one controller; returns status 0 without an answer."""
        client = Client(self.nodes[node])
        try:
            status, answer = await client.request(method, target, body, timeout_s)
            return status, json.loads(answer) if answer else {}
        except (OSError, ValueError):
            return 0, {}
        finally:
            client.close()

    async def ask_any(
        self, method: str, target: str, body: dict[str, Any] | None, timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request of a user through the load balancer, which picks a controller."""
        return await self.ask(random.choice(list(self.nodes)), method, target, body, timeout_s)

    async def submit(self, job: dict[str, Any], run_s: float) -> None:
        """Submits a job until it is accepted; each of its tasks runs `run_s`. Raises CaseError after 60 s."""
        ref = job["ref"]
        self.world.jobs[ref], self.world.run_s[ref] = job, run_s
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            status, _ = await self.ask_any("POST", "/submissions", job, SUBMIT_TIMEOUT_S)
            self.record.note("submitted", job=ref, status=status)
            if status in (200, 201):
                return
            await asyncio.sleep(1.0)
        raise CaseError(f"{ref} was not accepted")

    async def cancel(self, ref: str) -> None:
        """Cancels a job, again until the cancellation is confirmed; gives up after 60 s."""
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            status, answer = await self.ask_any("POST", f"/submissions/{ref}/cancel", {}, SUBMIT_TIMEOUT_S)
            self.record.note("cancelled", job=ref, status=status, answer=answer)
            if status == 200:
                return
            await asyncio.sleep(1.0)

    async def poll(self, ref: str) -> Poll:
        """Asks for the state of a job once; returns the newest answer."""
        status, answer = await self.ask_any("GET", f"/submissions/{ref}", None, POLL_TIMEOUT_S)
        self.record.note("polled", job=ref, status=status, answer=answer)
        if status == 200:
            self.polls[ref] = Poll(time.monotonic(), answer["standing"], answer)
        return self.polls.setdefault(ref, Poll())

    async def poll_forever(self, ref: str) -> None:
        """Polls a job about every 5 s until it is done or cancelled."""
        while (await self.poll(ref)).standing not in ("done", "aborted"):
            await asyncio.sleep(POLL_S * random.uniform(0.9, 1.1))


def job(ref: str, **fields: Any) -> dict[str, Any]:
    """Returns the submission of a job, an array of one small task unless `fields` say otherwise."""
    spec = {
        "ref": ref,
        "circuit": "slope-sweep",
        "crew": "survey-cell-00",
        "gait": "batch",
        "precedence": "high",
        "legs": 1,
        "vcpus": 1.0,
        "gpus": 0.0,
        "memory_gb": 1.0,
        "kit": "img-01",
        "pull_gb": 0.05,
        "builds": None,
        "district": None,
        "together": False,
        "spread": False,
        "lendable": True,
        "reckon_s": 20.0,
        "waypoint_s": 0.0,
        "stow_s": 0.0,
        "cutoff_s": None,
    }
    return spec | fields


def run_case(folder: Path, site: Site, script: Callable[[Installation, bool], Awaitable[int]]) -> int:
    """Runs a case and returns its exit code; `script` gets the installation and whether there is a disruption."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def main() -> int:
        installation = Installation(site, record)
        try:
            async with asyncio.timeout(LONGEST_S):
                await installation.start()
                return await script(installation, trouble)
        except (CaseError, TimeoutError) as err:
            record.note("the case could not run", reason=repr(err))
            return COULD_NOT_RUN
        finally:
            installation.stop()

    code = asyncio.run(main())
    record.note("verdict", exit_code=code, trouble=trouble)
    return code
