"""Soak test: real controllers under overlapping injected faults.

Usage: `python -m tests.sim.soak --seeds 1-50 [--size small] [--troubles KIND,...] [--directory DIR]`.

Controllers are real processes on loopback, with simulated workers, users, cloud and state service. All teams request
more than their limits throughout. The rules are checked from outside: each start against the tasks on all machines,
each answer against earlier answers. A run writes its logs, outcomes and timeline to a directory of its own.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import curio

from spurarch.transport.http import Handler, HttpClient, NoAnswerError, Request, Response
from tests.outcomes import ACCEPTED, REPORTED, Event
from tests.sim.loopback import Installation, run_script
from tests.sim.relay import Relay
from tests.sim.soak_faults import FaultInjector
from tests.sim.soak_plan import FAULT_KINDS, SIZES, PlannedJob, SoakPlan, make_plan
from tests.sim.soak_world import FaultyLinks, SoakWorld

SETTLE_TIMEOUT_S = 150.0  # for all jobs to end after the last injected fault; only a defect keeps them longer
FINAL = {"done", "aborted"}
DEFECT_MARKERS = ("Traceback", "invariant violated")  # in a controller's log


@dataclass
class SoakResult:
    """The result of one run; the run is clean if `problems` is empty."""

    seed: int
    size: str
    problems: list[str] = field(default_factory=list)
    jobs: int = 0
    starts: int = 0
    troubles: int = 0
    leaders: int = 0
    closest: dict[str, float] = field(default_factory=dict)  # by team: highest CPU use, as a share of its limit
    seconds: float = 0.0
    directory: str = ""


class Soak(Installation):
    """One run of a plan."""

    def __init__(self, plan: SoakPlan, directory: Path, planted: str | None = None) -> None:
        super().__init__(plan.settings, directory)
        self.plan, self.planted = plan, planted
        self.problems: list[str] = []
        self.timeline: list[dict[str, Any]] = []
        self.links = FaultyLinks(Random(plan.seed + 2))
        self.soak_world = SoakWorld(
            self.log, self.clock, self.links, plan.settings.report_s, plan.settings.lease_s, plan.settings.cancel_s
        )
        self.world = self.soak_world
        self.world.limits = dict(plan.settings.teams)
        self.cloud.world = self.world
        self._controller_clients: list[HttpClient] = []
        for name, address in self.nodes:
            self.links.handlers.remote[address] = self._remote(name, address)
        self.relays: dict[tuple[int, int], Relay] = {}
        self._final_states: dict[str, str] = {}
        self.cancelled: set[str] = set()
        self._unfinished_jobs: set[str] = {planned.job.ref for planned in plan.jobs}
        self._paused: set[str] = set()
        self.faults = FaultInjector(self)
        self.leaders = 0

    def _remote(self, name: str, address: str) -> Handler:
        client = HttpClient(address, 4)
        self._controller_clients.append(client)

        async def handle(request: Request) -> Response:
            try:
                return Response(*await client.request(request.method, request.target, request.body or None, 4.0))
            except NoAnswerError:
                return Response(504)

        return handle

    async def close_clients(self) -> None:
        """Closes all open connections, also those that forward workers' requests to the controllers."""
        await super().close_clients()
        for client in self._controller_clients:
            await client.aclose()

    # Processes

    def peer_address(self, index: int, other: int) -> str:
        """Returns the address of the relay for requests from one controller to another."""
        if (index, other) not in self.relays:
            self.relays[index, other] = Relay(self.addresses.reserve(), self.peer_addresses[other])
        return self.relays[index, other].address

    def features(self, index: int) -> Path:
        """Writes one controller's settings: the defaults, but idle machines stay and member leases are short."""
        path = self.directory / f"features-{index}.sexp"
        path.write_text("((idle-return-s 1000) (member-ttl-s 2))")
        return path

    def _python_arguments(self, *words: str) -> list[str]:
        if self.planted is None:
            return super()._python_arguments(*words)
        return [str(Path(__file__).parent / "planted.py"), self.planted, *words]

    def leader(self) -> int | None:
        """Returns the index of the leader by the records of the state service, or None."""
        record = self.store.keys.get("live/leader")
        return int(record[0]["node"][1:]) if record is not None else None

    async def watch_processes(self) -> None:
        """Reports controllers that end by themselves as problems, and counts the leaders."""
        before: str | None = None
        while True:
            for name, process in self.processes.items():
                if process.poll() is not None:
                    self.problems.append(f"{name} ended by itself with {process.returncode}")
                    self.processes.pop(name)
                    break
            record = self.store.keys.get("live/leader")
            boot = record[0]["boot"] if record is not None else None
            self.leaders += boot is not None and boot != before
            before = boot or before
            await curio.sleep(0.1)

    # Users

    async def run_user(self, planned: PlannedJob) -> None:
        """Acts as the user of one job until it is over: submits, polls, repeats and cancels it."""
        job_id = planned.job.ref
        body = self.register_job(planned.job)
        self.log.tasks[job_id] = planned.job.tasks if planned.job.kind != "daemon" else 0
        if not await self._submit(job_id, body):
            return
        if planned.cancel_after_s is not None:
            await curio.spawn(self.cancel_job, job_id, planned.cancel_after_s, daemon=True)
        repeat_at = self.clock.now + (planned.repeat_after_s or 1e9)
        await self._poll_all_controllers(job_id)
        while job_id not in self._final_states:
            await curio.sleep(0.4 + 0.8 * self.random.random())
            await self._poll_controller(job_id, self.random.choice(self.nodes)[1])
            if self.clock.now >= repeat_at:
                repeat_at = 1e9
                await self._repeat(job_id, body)
        await self._poll_all_controllers(job_id)
        self._unfinished_jobs.discard(job_id)

    async def _submit(self, job_id: str, body: bytes) -> bool:
        while True:
            status, _ = await self.users.ask("POST", "/submissions", body)
            if status in (200, 201):
                self.log.note(Event(self.clock.now, ACCEPTED, job_id))
                return True
            if status in (400, 422):
                self.problems.append(f"{job_id} was refused with {status}")
                return False
            await curio.sleep(0.5)

    async def _repeat(self, job_id: str, body: bytes) -> None:
        before = self._final_states.get(job_id)
        status, answer = await self.users.ask("POST", "/submissions", body)
        if status in (400, 422):
            self.problems.append(f"forgotten: {job_id} was refused with {status} when it was repeated")
        elif status in (200, 201):
            self._check_answer(job_id, answer["standing"], before)

    async def cancel_job(self, job_id: str, after_s: float = 0.0) -> None:
        """Requests the cancellation of a job after some seconds, until it is confirmed."""
        await curio.sleep(after_s)
        self.cancelled.add(job_id)
        while True:
            before = self._final_states.get(job_id)
            status, answer = await self.users.ask("POST", f"/submissions/{job_id}/cancel", b"{}")
            if status == 200:
                self._check_answer(job_id, answer["standing"], before)
                if answer["standing"] == "aborted":
                    self.world.cancelled_at.setdefault(job_id, self.clock.now)
                return
            if status == 404:
                self.problems.append(f"forgotten: {job_id} got 404 when it was cancelled")
            await curio.sleep(0.5)

    async def _poll_all_controllers(self, job_id: str) -> None:
        """Requests the state of a job from every controller: none may be behind an answer of another."""
        for _, address in self.nodes:
            await self._poll_controller(job_id, address)

    async def _poll_controller(self, job_id: str, address: str) -> None:
        before = self._final_states.get(job_id)
        status, answer = await self.users.ask_at(address, "GET", f"/submissions/{job_id}")
        if status == 404:
            self.problems.append(f"forgotten: {job_id} got 404 after it was accepted")
        elif status == 200:
            self._check_answer(job_id, answer["standing"], before)

    def _check_answer(self, job_id: str, standing: str, before: str | None) -> None:
        """Records and checks an answer; `before` is the final state that was known when the request was sent."""
        self.log.note(Event(self.clock.now, REPORTED, job_id, detail=standing))
        if before is not None and standing != before:
            self.problems.append(f"went_back: {job_id} was {before}, now {standing}")
        if standing == "done" and len(self.world.done.get(job_id, ())) < self.world.jobs[job_id]["legs"]:
            self.problems.append(f"not_done: {job_id} is called done with {len(self.world.done.get(job_id, ()))} tasks")
        if standing == "aborted" and job_id not in self.cancelled:
            self.problems.append(f"went_back: {job_id} is called aborted, and nobody cancelled it")
        if standing in FINAL:
            self._final_states.setdefault(job_id, standing)

    # The run

    async def run_plan(self) -> None:
        """Starts all processes, executes the plan and waits until all jobs are over."""
        for index in range(len(self.nodes)):
            self.start_controller(index)
        for relay in self.relays.values():
            await curio.spawn(relay.run, daemon=True)
        await curio.spawn(self.watch_processes, daemon=True)
        started_at = self.clock.now
        self.record_event("began", {"seed": self.plan.seed, "size": self.plan.size, "teams": self.settings.teams})
        items: list[tuple[float, Callable[..., Awaitable[None]], Any]] = [
            (j.at_s, self.run_user, j) for j in self.plan.jobs
        ]
        items += [(t.at_s, self.faults.inject, t) for t in self.plan.faults]
        for at_s, action, item in sorted(items, key=lambda entry: entry[0]):
            await curio.sleep(max(0.0, started_at + at_s - self.clock.now))
            await curio.spawn(action, item, daemon=True)
            if self._found_planted():
                return
        self.store.slow_pages.clear()
        await self._settle()

    async def _settle(self) -> None:
        await curio.sleep(max(0.0, self.faults.end_at - self.clock.now))
        self.store.slow_pages.clear()
        deadline = self.clock.now + SETTLE_TIMEOUT_S
        while self._unfinished_jobs and self.clock.now < deadline:
            if self._found_planted():
                return
            await curio.sleep(0.2)
        for job_id in sorted(self._unfinished_jobs):
            self.problems.append(f"waits: {job_id} is not over {SETTLE_TIMEOUT_S:.0f} s after the troubles")

    def _found_planted(self) -> bool:
        """Returns whether a planted fault has exceeded a team's limit, which ends the run early."""
        return self.planted is not None and any("quota" in text for text in self.world.checks.violations)

    def record_event(self, kind: str, detail: Any) -> None:
        """Adds an event to the timeline of the run."""
        self.timeline.append({"at": self.clock.now, "kind": kind, "detail": detail, "leader": self.leader()})

    def finish(self) -> list[str]:
        """Writes the outcomes and the timeline, and returns all problems."""
        self.problems += self.world.checks.violations + self.store.faults
        for log in sorted(self.directory.glob("n*.log")):
            lines = log.read_text(errors="replace").splitlines()
            self.problems += [f"{log.stem}: {line}" for line in lines if any(word in line for word in DEFECT_MARKERS)]
        self.log.write(self.directory / "outcomes.jsonl")
        text = "".join(json.dumps(entry) + "\n" for entry in self.timeline)
        (self.directory / "timeline.jsonl").write_text(text)
        return self.problems


def soak(plan: SoakPlan, directory: Path, planted: str | None = None) -> SoakResult:
    """Runs one plan."""
    directory.mkdir(parents=True, exist_ok=True)
    started_at = time.monotonic()
    run = Soak(plan, directory, planted)
    result = SoakResult(plan.seed, plan.size, jobs=len(plan.jobs), troubles=len(plan.faults), directory=str(directory))
    try:
        run_script(run, Soak.run_plan)  # type: ignore[arg-type]
    except Exception as err:
        result.problems.append(f"the run itself failed: {err!r}")
    result.problems += run.finish()
    result.starts, result.leaders = run.world.checks.started, run.leaders
    result.closest = {team: round(share, 3) for team, share in run.soak_world.peak_use.items()}
    result.seconds = round(time.monotonic() - started_at, 1)
    return result


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Runs seeds one after the other and prints a line of JSON for each.

    Returns 0, 1 if a run has problems, or 2 for an invalid argument.
    """
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", default="1", help="one, or the first and the last: 1-50")
    parser.add_argument("--size", default="small", help=", ".join(SIZES))
    parser.add_argument("--troubles", default=",".join(FAULT_KINDS))
    parser.add_argument("--directory", type=Path, default=None)
    arguments = parser.parse_args()
    try:
        plans = [
            make_plan(seed, arguments.size, tuple(arguments.troubles.split(","))) for seed in _seeds(arguments.seeds)
        ]
    except ValueError as err:
        print(f"soak: {err}", file=sys.stderr)
        return 2
    directory = arguments.directory or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = 0
    for plan in plans:
        result = soak(plan, directory / f"{plan.size}-{plan.seed}")
        failed += bool(result.problems)
        print(json.dumps(asdict(result)), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
