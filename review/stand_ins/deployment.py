"""A deployment on loopback: the controllers as processes, started by the deploy file's command, and the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

from stand_ins.cloud import Cloud, MachineType
from stand_ins.state import StateService
from stand_ins.users import Users
from stand_ins.worker import Fleet

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
START_TIMEOUT_S = 25.0
PR_SET_PDEATHSIG = 1  # option of prctl(2)

# The settings of the first brief (`ikirere-routes`): zones, teams, limits and machine types.
ZONES = ["kigali-east", "huye-south", "musanze-north", "rubavu-west"]
KINDS = [
    MachineType("umusozi-small", 4.0, 16.0, 0.22, 30.0, 6),
    MachineType("kivu-heavy", 32.0, 256.0, 1.92, 25.0, 1, 0.1),
]
SETTINGS = """node = "{node}"
area = "{area}"
public_addr = "{public}"
back = "{back}"

{siblings}
[external]
cloud = "{cloud}"
state = "{state}"

[deployment]
count = {count}
zones = {zones}
time_bound_ms = 1000.0

{teams}
[deployment.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 30.0

[deployment.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 24

[deployment.cloud]
rps = 8.0
list_lag_s = 5.0

[deployment.limits]
cpu = 0.54
mem_mb = 146.0
fd_limit = 800
"""


class CannotRunError(Exception):
    """The case could not run, so it says nothing about the rule."""


def _end_with_parent() -> None:
    """Has the kernel kill the calling process when its parent ends in any way."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _free_ports(count: int) -> list[int]:
    holders = [socket.socket() for _ in range(count)]
    try:
        for holder in holders:
            holder.bind(("127.0.0.1", 0))
        return [holder.getsockname()[1] for holder in holders]
    finally:
        for holder in holders:
            holder.close()


class Deployment:
    """Three controllers with the stand-ins around them. `note` writes a line of the record."""

    def __init__(self, record: TextIO, controllers: int = 3) -> None:
        self._record, self._began = record, time.monotonic()
        self.directory = Path(tempfile.mkdtemp(prefix="spurarch-review-"))
        self.names = [f"croft-{index}" for index in range(controllers)]
        ports = _free_ports(2 * controllers)
        self.public = {name: f"127.0.0.1:{port}" for name, port in zip(self.names, ports, strict=False)}
        self.back = {name: f"127.0.0.1:{port}" for name, port in zip(self.names, ports[controllers:], strict=True)}
        self.state = StateService(200.0, 80.0, 16 * 1024, 24)
        self.fleet = Fleet(1.0, 10.0, self.note)
        self.fleet.nodes = self.public
        self.cloud = Cloud(self.fleet, KINDS, ZONES, 5.0)
        self.users = Users(self.public, self.note)
        self.state_addresses: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.teams = [(f"survey-cell-{index:02d}", 32.0, 80.0) for index in range(8)]

    def note(self, event: str, **detail: Any) -> None:
        """Writes a line of the record: the seconds since the beginning, the event and its details."""
        line = {"at": round(time.monotonic() - self._began, 3), "event": event, **detail}
        self._record.write(json.dumps(line) + "\n")

    async def open(self) -> None:
        """Opens the stand-ins."""
        for name in self.names:
            self.state_addresses[name] = await self.state.open(name)
        await self.cloud.server.start()
        self.fleet.spawn(self.state.run())

    def _settings_file(self, name: str) -> Path:
        siblings = "".join(
            f'[[siblings]]\nnode = "{other}"\narea = "{ZONES[index]}"\npeer_addr = "{self.back[other]}"\n\n'
            for index, other in enumerate(self.names)
            if other != name
        )
        teams = "".join(
            f'[[deployment.teams]]\nname = "{team}"\ncpus = {cpus}\ncpus_max = {most}\ngpus = 0.0\ngpus_max = 0.0\n\n'
            for team, cpus, most in self.teams
        )
        path = self.directory / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                node=name,
                area=ZONES[self.names.index(name)],
                public=self.public[name],
                back=self.back[name],
                siblings=siblings,
                cloud=self.cloud.server.address,
                state=self.state_addresses[name],
                count=len(self.names),
                zones=json.dumps(ZONES),
                teams=teams,
            )
        )
        return path

    def start_controller(self, name: str) -> None:
        """Starts a controller by the command of the deploy file."""
        command = shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*command, str(self._settings_file(name))],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": os.environ.get("CASE_LOG_LEVEL", "info")},
                preexec_fn=_end_with_parent,  # noqa: PLW1509 (there are no other threads)
            )
        self.note("controller started", node=name)

    def kill_controller(self, name: str) -> None:
        """Kills a controller without a signal that it could handle."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.note("controller killed", node=name)

    async def start(self) -> None:
        """Starts all controllers and waits until every one is healthy."""
        for name in self.names:
            self.start_controller(name)
        await self.wait(self._all_healthy, START_TIMEOUT_S, "all controllers to be healthy")

    def leader(self) -> str | None:
        """Returns the name of the leader by the records in the state service."""
        record = self.state.keys.get("live/leader")
        return str(record[0]["node"]) if record is not None else None

    async def healthy(self, name: str, timeout_s: float = 1.0) -> bool:
        """Returns whether the controller's health check answers 200."""
        status, _ = await self.users.ask("GET", "/up", None, timeout_s, name)
        return status == 200

    async def _all_healthy(self) -> bool:
        return all([await self.healthy(name) for name in self.names])

    async def wait(self, condition: Callable[[], Awaitable[bool]], limit_s: float, what: str) -> None:
        """Waits for a condition; raises CannotRunError after `limit_s`."""
        until = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > until:
                raise CannotRunError(f"waited {limit_s:g} s for {what}")
            await asyncio.sleep(0.2)

    def ended_by_themselves(self) -> list[str]:
        """Returns the controllers whose process has ended, and that the case did not kill."""
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def close(self) -> None:
        """Ends all processes and stand-ins, and removes the temporary folder unless CASE_KEEP is set."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for worker in list(self.fleet.workers.values()):
            worker.end()
        self.users.close()
        self.cloud.server.stop()
        for server in self.state.servers.values():
            server.stop()
        if os.environ.get("CASE_KEEP"):
            print(f"kept {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


Case = Callable[[Deployment, bool], Awaitable[str | None]]


def run_case(folder: Path, case: Case, limit_s: float = 112.0) -> int:
    """Runs a case and returns its exit code: `HELD`, `BROKEN` or `NOT_RUN`.

    The case gets a deployment whose stand-ins are open, and whether the trouble is on (`TROUBLE`, which 0 turns off).
    It returns None if the rule held, else what broke it.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main(record: TextIO) -> int:
        deployment = Deployment(record)
        deployment.note("case", folder=folder.name, trouble=trouble)
        try:
            await deployment.open()
            broken = await asyncio.wait_for(case(deployment, trouble), limit_s)
        except (CannotRunError, TimeoutError, OSError) as err:
            deployment.note("not run", reason=repr(err))
            print(f"case {folder.name}: could not run: {err!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            with contextlib.suppress(Exception):
                deployment.close()
        deployment.note("rule broken" if broken else "rule held", reason=broken)
        print(f"case {folder.name}: {broken or 'the rule held'}")
        return BROKEN if broken else HELD

    with (folder / "record.txt").open("w", encoding="utf-8") as record:
        return asyncio.run(main(record))
