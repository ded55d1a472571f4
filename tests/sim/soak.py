"""Soaks real controllers in overlapping troubles.

Usage: `python -m tests.sim.soak --seeds 1-50 [--size small] [--directory DIR]`.

Real processes on loopback, over stand-ins for workers, users, cloud and state service. All teams ask for more than
their limits throughout. Every rule is checked from outside: at each start by what is on the machines, at each answer by
what users were told before. A run leaves its logs, its outcomes and its timeline in a directory of its own.
"""

from __future__ import annotations

import argparse
import json
import signal
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
from tests.outcomes import ACCEPTED, TOLD, Event
from tests.sim.loopback import Installation, play
from tests.sim.relay import Relay
from tests.sim.soak_plan import SIZES, TROUBLES, PlannedJob, SoakPlan, Trouble, make_plan
from tests.sim.soak_world import LATE_COMMAND_S, FaultyWire, SoakWorld

SETTLE_S = 150.0  # after the last trouble, for all jobs to end; a fault keeps them for ever
SLOW_READ_S, SLOW_PAGE_S = 0.4, 0.6
LATE_SHARE = 0.4  # of transactions and reports
REPEATED_MOST = 200  # of the latest transactions
SERIES = 4  # leaders that end one after the other
FINAL = {"done", "aborted"}
LOUD = ("Traceback", "invariant violated")  # in a controller's log


@dataclass
class SoakResult:
    """What came of one run."""

    seed: int
    size: str
    problems: list[str] = field(default_factory=list)
    jobs: int = 0
    starts: int = 0
    troubles: int = 0
    leaders: int = 0
    closest: dict[str, float] = field(default_factory=dict)  # by team, the most CPUs in use, as a share of its limit
    seconds: float = 0.0
    directory: str = ""


class Soak(Installation):
    """One run."""

    def __init__(self, plan: SoakPlan, directory: Path, planted: str | None = None) -> None:
        super().__init__(plan.settings, directory)
        self.plan, self.planted = plan, planted
        self.problems: list[str] = []
        self.timeline: list[dict[str, Any]] = []
        self.wire = FaultyWire(Random(plan.seed + 2))
        self.soak_world = SoakWorld(
            self.log, self.clock, self.wire, plan.settings.report_s, plan.settings.lease_s, plan.settings.cancel_s
        )
        self.world = self.soak_world
        self.world.limits = dict(plan.settings.teams)
        self.cloud.world = self.world
        self._controller_clients: list[HttpClient] = []
        for name, address in self.nodes:
            self.wire.handlers.remote[address] = self._remote(name, address)
        self.relays: dict[tuple[int, int], Relay] = {}
        self._final: dict[str, str] = {}
        self._cancelled: set[str] = set()
        self._open: set[str] = {planned.job.ref for planned in plan.jobs}
        self._paused: set[str] = set()
        self._until = 0.0
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
        """Those of the balancer in front of the controllers, too."""
        await super().close_clients()
        for client in self._controller_clients:
            await client.aclose()

    # Processes

    def peer_address(self, index: int, other: int) -> str:
        """Each direction between two controllers goes through a relay."""
        if (index, other) not in self.relays:
            self.relays[index, other] = Relay(self.addresses.reserve(), self.backs[other])
        return self.relays[index, other].address

    def features(self) -> Path:
        """The operators' settings: all defaults, but for a short lease of members."""
        path = self.directory / "features.sexp"
        path.write_text("((idle-return-s 1000) (member-ttl-s 2))")
        return path

    def _words(self, *words: str) -> list[str]:
        if self.planted is None:
            return super()._words(*words)
        return [str(Path(__file__).parent / "planted.py"), self.planted, *words]

    def leader(self) -> int | None:
        """The controller that leads, as the state service has it."""
        record = self.store.keys.get("live/leader")
        return int(record[0]["node"][1:]) if record is not None else None

    async def watch_processes(self) -> None:
        """Controllers must not end by themselves; counts leaders."""
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

    # Troubles

    async def make_trouble(self, trouble: Trouble) -> None:
        """Begins one; it ends by itself."""
        self._record("trouble", asdict(trouble))
        now, until = self.clock.now, self.clock.now + trouble.for_s
        self._until = max(self._until, until)
        node = int(trouble.choice * len(self.nodes))
        leader = self.leader()
        names = sorted(name for name, worker in self.world.workers.items() if worker.up)
        hit = names[int(trouble.choice * len(names)) :][: max(1, len(names) // 8)]
        match trouble.kind:
            case "kill":
                await self._restart(node, trouble.for_s)
            case "kill-leader":
                await self._restart(leader if leader is not None else node, trouble.for_s)
            case "kill-all":
                for index in range(len(self.nodes)):
                    await curio.spawn(self._restart, index, trouble.for_s, daemon=True)
            case "leaders-in-series":
                for _ in range(SERIES):
                    current = self.leader()
                    if current is not None:
                        await self._restart(current, 0.2)
                    await curio.sleep(1.0)
            case "pause" | "pause-leader":
                await self._pause(
                    leader if trouble.kind == "pause-leader" and leader is not None else node, trouble.for_s
                )
            case "peers-hold" | "peers-refuse":
                await self._cut_peers(node, trouble)
            case "refuse-leader":
                self.store.refused[f"n{leader if leader is not None else node}"] = until
            case "outage":
                self.store.outage(trouble.for_s)
            case "slow-state":
                self.store.slow_until, self.store.slow_s = until, SLOW_READ_S
            case "late-writes":
                self.store.late_until, self.store.late_share = until, LATE_SHARE
                self._until = max(self._until, until + 12.0)
            case "lost-answers":
                self.store.lose_answers_until = now + min(trouble.for_s, 1.5)
            case "repeated-writes":
                self._repeat_writes()
            case "too-old":
                self.store.too_old[f"n{node}"] = until
            case "no-watch":
                self.store.no_watch[f"n{node}"] = until
            case "slow-pages":
                self.store.slow_pages[f"n{node}"] = SLOW_PAGE_S
                self.store.too_old[f"n{node}"] = now + 0.5
            case "hang":
                for name in hit:
                    self.world.workers[name].hang_until = until
            case "deaf":
                self.wire.deaf |= dict.fromkeys(hit, until)
            case "mute":
                self.wire.mute |= dict.fromkeys(hit, until)
            case "machine-dies":
                self.world.workers[hit[0]].die()
            case "late-reports":
                self.world.late_reports_until, self.world.late_reports_share = until, LATE_SHARE
                self._until = max(self._until, until + 2 * self.settings.lease_s)
            case "late-commands":
                self.wire.late_commands_until = until
                self._until = max(self._until, until + LATE_COMMAND_S[1])
            case "cancel-burst":
                await self._cancel_burst(trouble)
            case _:
                raise ValueError(f"unknown trouble {trouble.kind}")

    async def _restart(self, index: int, for_s: float) -> None:
        if f"n{index}" not in self.processes:
            return
        self.kill(f"n{index}")
        await curio.sleep(for_s)
        if f"n{index}" not in self.processes:
            self.start_controller(index)

    async def _pause(self, index: int, for_s: float) -> None:
        process = self.processes.get(f"n{index}")
        if process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await curio.sleep(for_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def _cut_peers(self, node: int, trouble: Trouble) -> None:
        """One direction between one pair, or all that a controller sends."""
        pairs = [pair for pair in self.relays if pair[0] == node]
        for pair in pairs if trouble.choice * 10 % 2 < 1 else pairs[:1]:
            relay = self.relays[pair]
            relay.held, relay.refused = trouble.kind == "peers-hold", trouble.kind == "peers-refuse"
        await curio.sleep(trouble.for_s)
        for pair in pairs:
            self.relays[pair].held = self.relays[pair].refused = False

    def _repeat_writes(self) -> None:
        """The network delivers the latest transactions once more. One that changes anything again may be a fault."""
        rates = dict(self.store._rates)
        carried = self.store._carried[-REPEATED_MOST:]
        for body in list(carried):
            self.store._rates["writes"] = (1e9, 1e9, self.clock.now)
            self.store._txn(body)
        self.store._rates = rates

    async def _cancel_burst(self, trouble: Trouble) -> None:
        """Users call several jobs off at once, and some of the machines hang."""
        running = sorted({task.name.split("/")[0] for _, task in self.world.on_machines()} - self._cancelled)
        for job_id in running[:4]:
            await curio.spawn(self._cancel, job_id, daemon=True)
        for worker, task in list(self.world.on_machines()):
            if task.name.split("/")[0] in running[:2]:
                worker.hang_until = max(worker.hang_until, self.clock.now + trouble.for_s)

    # Users

    async def use(self, planned: PlannedJob) -> None:
        """A user with one job: submits, asks at all nodes, repeats, calls off, until the job is over."""
        job_id = planned.job.ref
        body = self.describe(planned.job)
        self.log.tasks[job_id] = planned.job.tasks if planned.job.kind != "daemon" else 0
        if not await self._submit(job_id, body):
            return
        if planned.cancel_after_s is not None:
            await curio.spawn(self._cancel, job_id, planned.cancel_after_s, daemon=True)
        repeat_at = self.clock.now + (planned.repeat_after_s or 1e9)
        await self._ask_everywhere(job_id)
        while job_id not in self._final:
            await curio.sleep(0.4 + 0.8 * self.random.random())
            await self._look(job_id, self.random.choice(self.nodes)[1])
            if self.clock.now >= repeat_at:
                repeat_at = 1e9
                await self._repeat(job_id, body)
        await self._ask_everywhere(job_id)
        self._open.discard(job_id)

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
        before = self._final.get(job_id)
        status, answer = await self.users.ask("POST", "/submissions", body)
        if status in (400, 422):
            self.problems.append(f"forgotten: {job_id} was refused with {status} when it was repeated")
        elif status in (200, 201):
            self._told(job_id, answer["standing"], before)

    async def _cancel(self, job_id: str, after_s: float = 0.0) -> None:
        await curio.sleep(after_s)
        self._cancelled.add(job_id)
        while True:
            before = self._final.get(job_id)
            status, answer = await self.users.ask("POST", f"/submissions/{job_id}/cancel", b"{}")
            if status == 200:
                self._told(job_id, answer["standing"], before)
                if answer["standing"] == "aborted":
                    self.world.cancelled_at.setdefault(job_id, self.clock.now)
                return
            if status == 404:
                self.problems.append(f"forgotten: {job_id} got 404 when it was cancelled")
            await curio.sleep(0.5)

    async def _ask_everywhere(self, job_id: str) -> None:
        """A close look: no node may know less than another has told."""
        for _, address in self.nodes:
            await self._look(job_id, address)

    async def _look(self, job_id: str, address: str) -> None:
        before = self._final.get(job_id)
        status, answer = await self.users.ask_at(address, "GET", f"/submissions/{job_id}")
        if status == 404:
            self.problems.append(f"forgotten: {job_id} got 404 after it was accepted")
        elif status == 200:
            self._told(job_id, answer["standing"], before)

    def _told(self, job_id: str, standing: str, before: str | None) -> None:
        """An answer; `before` is what had been told for good when the question was asked."""
        self.log.note(Event(self.clock.now, TOLD, job_id, detail=standing))
        if before is not None and standing != before:
            self.problems.append(f"went_back: {job_id} was {before}, now {standing}")
        if standing == "done" and len(self.world.done.get(job_id, ())) < self.world.jobs[job_id]["legs"]:
            self.problems.append(f"not_done: {job_id} is called done with {len(self.world.done.get(job_id, ()))} tasks")
        if standing == "aborted" and job_id not in self._cancelled:
            self.problems.append(f"went_back: {job_id} is called aborted, and nobody cancelled it")
        if standing in FINAL:
            self._final.setdefault(job_id, standing)

    # The run

    async def story(self) -> None:
        """Starts everything, plays the plan and waits until all jobs are over."""
        for index in range(len(self.nodes)):
            self.start_controller(index)
        for relay in self.relays.values():
            await curio.spawn(relay.run, daemon=True)
        await curio.spawn(self.watch_processes, daemon=True)
        began = self.clock.now
        self._record("began", {"seed": self.plan.seed, "size": self.plan.size, "teams": self.settings.teams})
        items: list[tuple[float, Callable[..., Awaitable[None]], Any]] = [(j.at_s, self.use, j) for j in self.plan.jobs]
        items += [(t.at_s, self.make_trouble, t) for t in self.plan.troubles]
        for at_s, action, item in sorted(items, key=lambda entry: entry[0]):
            await curio.sleep(max(0.0, began + at_s - self.clock.now))
            await curio.spawn(action, item, daemon=True)
            if self._found_planted():
                return
        self.store.slow_pages.clear()
        await self._settle()

    async def _settle(self) -> None:
        await curio.sleep(max(0.0, self._until - self.clock.now))
        self.store.slow_pages.clear()
        deadline = self.clock.now + SETTLE_S
        while self._open and self.clock.now < deadline:
            if self._found_planted():
                return
            await curio.sleep(0.2)
        for job_id in sorted(self._open):
            self.problems.append(f"waits: {job_id} is not over {SETTLE_S:.0f} s after the troubles")

    def _found_planted(self) -> bool:
        """A planted fault has passed a limit: that is all that the run is for."""
        return self.planted is not None and any("quota" in text for text in self.world.rules.broken)

    def _record(self, kind: str, detail: Any) -> None:
        self.timeline.append({"at": self.clock.now, "kind": kind, "detail": detail, "leader": self.leader()})

    def finish(self) -> list[str]:
        """Keeps what is known of the run, and returns everything that is wrong."""
        self.problems += self.world.rules.broken + self.store.faults
        for log in sorted(self.directory.glob("n*.log")):
            lines = log.read_text(errors="replace").splitlines()
            self.problems += [f"{log.stem}: {line}" for line in lines if any(word in line for word in LOUD)]
        self.log.write(self.directory / "outcomes.jsonl")
        text = "".join(json.dumps(entry) + "\n" for entry in self.timeline)
        (self.directory / "timeline.jsonl").write_text(text)
        return self.problems


def soak(plan: SoakPlan, directory: Path, planted: str | None = None) -> SoakResult:
    """Plays one run."""
    directory.mkdir(parents=True, exist_ok=True)
    began = time.monotonic()
    run = Soak(plan, directory, planted)
    result = SoakResult(
        plan.seed, plan.size, jobs=len(plan.jobs), troubles=len(plan.troubles), directory=str(directory)
    )
    try:
        play(run, Soak.story)  # type: ignore[arg-type]
    except Exception as err:
        result.problems.append(f"the run itself failed: {err!r}")
    result.problems += run.finish()
    result.starts, result.leaders = run.world.rules.started, run.leaders
    result.closest = {team: round(share, 3) for team, share in run.soak_world.most_used.items()}
    result.seconds = round(time.monotonic() - began, 1)
    return result


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Plays runs one after the other; a line of JSON for each. 1 if any of them is not clean, 2 for a wrong word."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", default="1", help="one, or the first and the last: 1-50")
    parser.add_argument("--size", default="small", help=", ".join(SIZES))
    parser.add_argument("--troubles", default=",".join(TROUBLES))
    parser.add_argument("--directory", type=Path, default=None)
    words = parser.parse_args()
    try:
        plans = [make_plan(seed, words.size, tuple(words.troubles.split(","))) for seed in _seeds(words.seeds)]
    except ValueError as err:
        print(f"soak: {err}", file=sys.stderr)
        return 2
    directory = words.directory or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = 0
    for plan in plans:
        result = soak(plan, directory / f"{plan.size}-{plan.seed}")
        failed += bool(result.problems)
        print(json.dumps(asdict(result)), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
