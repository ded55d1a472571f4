"""Measures the cost of a loss of data and its rebuild.

Usage: `python -m tests.sim.measure_recovery [--seeds N] [--sizes MACHINESxJOBS,...]`.

Small fleets run as real processes on loopback; for large fleets, only the merge and the number of changes are measured,
since one machine can't run 4,000 workers. Figures depend on the machine and are comparable only with each other.
"""

from __future__ import annotations

import argparse
import json
import resource
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import curio
import msgspec

from spurarch.archive.directory import ChangeLog, write_snapshot
from spurarch.archive.format import Entry
from spurarch.archive.state import ArchivedState
from spurarch.protocol import wire
from spurarch.protocol.recovery_messages import StoredRecord
from spurarch.recovery.evidence import Evidence, Source, SourceKind
from spurarch.recovery.merge import merge
from spurarch.storage import records
from spurarch.storage.history import ARCHIVED
from spurarch.storage.records import ASSIGNED, AllocationRecord, FinalRecord, JobRecord, TaskEntry
from spurarch.storage.seeds import SeedRecord, pack
from tests.outcomes import REPORTED, STARTED, check, repeated_starts
from tests.sim.loopback import Installation, Job, LoopbackSettings, run_script
from tests.sim.recovery import RecoveryScenarioRun
from tests.sim.scenario import ScenarioRun
from tests.sim.scenario_text import Scenario

LIMIT_S = 240.0
TASKS = 3


@dataclass
class RecoveryRun:
    """The measurements of one loss of data. Times are in seconds from the loss."""

    kind: str
    machines: int
    jobs: int
    seed: int
    refused_s: float = 0.0  # to the first response with status 503
    opened_s: float = 0.0  # to the opening of the next history
    last_final_s: float = 0.0  # to the last answer with a final state
    repeated: int = 0  # starts of tasks beyond the first of each
    problems: list[str] = field(default_factory=list)


def run_once(kind: str, machines: int, jobs: int, seed: int) -> RecoveryRun:
    """Measures one loss of data at a seeded time under load."""
    out = RecoveryRun(kind, machines, jobs, seed)
    random = Random(seed)
    settings = LoopbackSettings(machines=machines, seed=seed, capacity=machines, teams={"t": 1e6})

    async def script(installation: Installation) -> None:
        await installation.run_operator_command("recovery", "init")
        installation.start_archiver()
        for index in range(settings.controllers):
            installation.start_controller(index)
        until = installation.clock.now + LIMIT_S
        for number in range(jobs):
            job = Job(f"job-{number + 1}", TASKS, 1.0 + 8.0 * random.random())
            await curio.spawn(installation.submit, job, until, daemon=True)
        share = 0.2 + 0.6 * random.random()
        wanted = int(share * min(jobs * TASKS, 4 * machines))
        await installation.wait_until(
            lambda: sum(e.kind == STARTED for e in installation.log.events) >= wanted, LIMIT_S, "starts"
        )
        if kind == "all ended":
            for index in range(settings.controllers):
                installation.kill(f"n{index}")
        refused, lost_at = installation.users.refused, installation.clock.now
        installation.store.wipe()
        if kind == "all ended":
            for index in range(settings.controllers):
                installation.start_controller(index)
        await installation.wait_until(
            lambda: installation.users.refused > refused or installation.history_number() == 2, LIMIT_S, "a refusal"
        )
        out.refused_s = installation.clock.now - lost_at
        await installation.wait_until(lambda: installation.history_number() == 2, LIMIT_S, "history 2")
        out.opened_s = installation.clock.now - lost_at
        await installation.wait_until(installation.settled, LIMIT_S, "final answers")
        finals = {e.job: e.at for e in reversed(installation.log.events) if e.kind == REPORTED and e.detail == "done"}
        out.last_final_s = max(finals.values()) - lost_at
        await curio.sleep(1.0)
        out.repeated, out.problems = (
            repeated_starts(installation.log),
            check(installation.log) + installation.world.checks.violations,
        )

    with tempfile.TemporaryDirectory() as directory:
        run_script(Installation(settings, Path(directory)), script)
    return out


def submission(job: str, tasks: int) -> wire.Submission:
    """Returns the submission of a synthetic job."""
    return wire.Submission(
        job, "c", "t", wire.BATCH, "high", tasks, 1.0, 0.0, 1.0, "i", 0.1, False, False, False, 5.0, 0.0, 0.0
    )


def synthetic_fleet(machines: int, finals: int) -> tuple[list[StoredRecord], list[wire.Heartbeat]]:
    """Returns records, `finals` of them final, and heartbeats of a synthetic fleet with eight tasks on each machine."""
    stored: list[StoredRecord] = []
    heartbeats: list[wire.Heartbeat] = []
    for number in range(machines):
        job, name = f"job-{number + 1}", f"vm-{number + 1:06d}"
        tasks = [TaskEntry(index, ASSIGNED, 1, name, 1) for index in range(8)]
        stored.append(StoredRecord(records.JOB + job, number + 1, wire.encode(JobRecord(submission(job, 8), 1.0))))
        stored.append(StoredRecord(f"live/allot/a/{job}/0", number + 2, wire.encode(AllocationRecord(tasks))))
        seen = [wire.TaskStatus(f"{job}/{index}", 1, "running") for index in range(8)]
        heartbeats.append(wire.Heartbeat(name, "10.1.0.1:1", "small", "a", 1, 9, 1 << 50, seen))
    for number in range(finals):
        key = f"{records.FINAL}job-{machines + number + 1}"
        stored.append(StoredRecord(key, number + 3, wire.encode(FinalRecord(wire.DONE, 3))))
    return stored, heartbeats


@dataclass
class MergeCost:
    """The cost of the merge of a large fleet."""

    machines: int
    finals: int
    merge_s: float
    records: int  # records of unfinished jobs and their allocations
    changes: int  # changes in the state service to open the next history
    archive_bytes: int
    snapshot_s: float
    peak_mb: float  # of this process, with five copies of the records


def peak_mb() -> float:
    """Returns the peak memory of this process in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def merge_cost(machines: int, finals: int, directory: Path) -> MergeCost:
    """Measures the merge of five copies of the records and all heartbeats of a fleet."""
    stored, heartbeats = synthetic_fleet(machines, finals)
    sources = []
    for number in range(5):
        kind = SourceKind.ARCHIVE if number == 0 else SourceKind.REPLICA
        source = Source(kind, f"n{number}", 0, machines + finals + 9)
        for record in stored:
            source.add(record)
        sources.append(source)
    began = time.perf_counter()
    rebuilt = merge(Evidence(sources, {r.machine: r for r in heartbeats}, True), 100)
    merge_s = time.perf_counter() - began
    unfinished = [SeedRecord(records.JOB + job, msgspec.Raw(wire.encode(found))) for job, found in rebuilt.jobs.items()]
    unfinished += [SeedRecord(str(w), msgspec.Raw(wire.encode(found))) for w, found in rebuilt.allocations.items()]
    changes = len(pack(unfinished, 24, 16384)) + -(-finals * 120 // 16384)
    archived = ArchivedState(f"m{machines}-{finals}", 1, machines + finals)
    for record in stored:
        archived.apply(Entry(record.version, record.key, record.value))
    began = time.perf_counter()
    path = write_snapshot(directory, archived)
    return MergeCost(
        machines, finals, merge_s, len(unfinished), changes, path.stat().st_size, time.perf_counter() - began, peak_mb()
    )


def log_cost(directory: Path) -> dict[str, float]:
    """Measures size and latency of a batch of changes in the log on disk, with its sync."""
    archived = ArchivedState("log", 1, 1)
    write_snapshot(directory, archived)
    log, times = ChangeLog(directory, archived), []
    value = wire.encode(AllocationRecord([TaskEntry(i, ASSIGNED, 1, f"vm-{i:06d}", 1) for i in range(25)]))
    before = log.size_bytes
    for number in range(200):
        began = time.perf_counter()
        log.append([Entry(number + 2, f"live/allot/a/job-{i}/0", value) for i in range(8)], number + 2)
        times.append(time.perf_counter() - began)
    times.sort()
    return {
        "batches": 200,
        "changes": 1600,
        "bytes a change": (log.size_bytes - before) / 1600,
        "median ms": 1000 * times[100],
        "p99 ms": 1000 * times[198],
        "value bytes": float(len(value)),
    }


SCENARIO_TEXT = """
team t max=200
tuning consolidation_cap=0 imbalance_weight=0 idle_return_s=1000
type small cpus=4 boot=5
machines small a 8
machines small b 8
"""


def archive_wait_cost(kind: str) -> dict[str, object]:
    """Measures how waiting for the archive adds to heartbeats and changes, with 60 arrays of 4 tasks in a minute."""
    jobs = "".join(f"at {2 + n} submit job-{n + 1} tasks=4 run=3,5,7\n" for n in range(60))
    scenario = Scenario.parse(SCENARIO_TEXT + jobs + "end 90\n", {})
    scenario_run = RecoveryScenarioRun(scenario) if kind != "off" else ScenarioRun(scenario)
    if kind == "waits for nothing":
        scenario_run.tuning.archive_timeout_s = 1e-6
    scenario_run.run()
    reports = [body for worker in scenario_run.world.workers.values() for _, body in worker.sent_heartbeats]
    published = sum(event.get("write") == ARCHIVED for _, event in scenario_run.store.events)
    return {
        "recovery": kind,
        "reports": len(reports),
        "bytes a report": sum(map(len, reports)) / len(reports),
        "ended tasks a report": sum(body.count(b'"ended"') for body in reports) / len(reports),
        "most ended tasks": max(body.count(b'"ended"') for body in reports),
        "changes": sum(len(body["then"]) for body in scenario_run.store._applied),
        "of them published progress": published,
        "problems": len(scenario_run.problems),
    }


def answer_wait(archived: bool) -> dict[str, object]:
    """Measures how long users wait for answers, archived or not, in virtual time and with the same jobs."""
    jobs = "".join(f"at {2 + n} submit job-{n + 1} tasks=4 run=3,5,7\n" for n in range(60))
    scenario_run = RecoveryScenarioRun(
        Scenario.parse(("answers archived\n" if archived else "") + SCENARIO_TEXT + jobs + "end 90\n", {})
    )
    waits: dict[str, list[float]] = {"POST": [], "GET": []}
    ask = scenario_run._request

    async def timed(method: str, target: str, body: bytes, node: str | None = None) -> tuple[int, dict[str, Any]]:
        began = scenario_run.clock.now
        answer = await ask(method, target, body, node)
        waits[method].append(scenario_run.clock.now - began)
        return answer

    scenario_run._request = timed  # type: ignore[method-assign]
    scenario_run.run()
    out: dict[str, object] = {"answers archived": archived, "problems": len(scenario_run.problems)}
    for method, found in waits.items():
        found.sort()
        out[method] = {
            "answers": len(found),
            "median s": found[len(found) // 2],
            "p99 s": found[int(len(found) * 0.99)],
        }
    return out


def main() -> None:
    """Runs all measurements and prints a line of JSON for each."""
    parser = argparse.ArgumentParser(description="Measures recovery on loopback.")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--sizes", default="8x20,24x60,60x150", help="machines x jobs, comma-separated")
    args = parser.parse_args()
    print_json: Callable[[object], None] = lambda found: print(json.dumps(found), flush=True)  # noqa: E731
    with tempfile.TemporaryDirectory() as directory:
        for machines, finals in ((400, 10_000), (4000, 10_000), (4000, 100_000)):
            print_json(asdict(merge_cost(machines, finals, Path(directory))))
        print_json(log_cost(Path(directory)))
    for kind in ("off", "waits for nothing", "on"):
        print_json(archive_wait_cost(kind))
    for archived in (False, True):
        print_json(answer_wait(archived))
    for size in args.sizes.split(","):
        machines, jobs = map(int, size.split("x"))
        for kind in ("all lived on", "all ended"):
            for seed in range(1, args.seeds + 1):
                print_json(asdict(run_once(kind, machines, jobs, seed)))


if __name__ == "__main__":
    main()
