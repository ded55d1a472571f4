"""A machine stops, and an array whose tasks ran there is never placed again, although another machine has room."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import sites  # noqa: E402 (the folder of the stand-ins has to be on the path)
from installation import BROKEN, HELD, CaseError, Installation, Poll, job, run_case  # noqa: E402

TEAM, OTHER_TEAM = "survey-cell-00", "survey-cell-01"
TEAM_LIMIT = 80.0
TASKS = 28  # of the array; with 13 tasks of 4 CPUs they take all that the team may use
ARRAY = "job-000001"
WAIT_S = 90.0  # of the rule
FIRST_END_S, BETWEEN_ENDS_S = 3.0, 0.4


def machines() -> list[tuple[str, str, bool]]:
    """Returns the machines up at the start: 20 small ones, and a heavy one in each of two zones."""
    small = [(sites.KIGALI, 6), (sites.HUYE, 4), (sites.MUSANZE, 5), (sites.RUBAVU, 4)]
    out = [(sites.SMALL, zone, False) for zone, count in small for _ in range(count)]
    out.append((sites.SMALL, sites.RUBAVU, True))
    return [*out, (sites.HEAVY, sites.KIGALI, False), (sites.HEAVY, sites.HUYE, False)]


async def fill(installation: Installation) -> None:
    """Brings the team to its limit, and the heavy machine of huye-south to its last CPU."""
    heavy = {"builds": [sites.HEAVY], "district": sites.HUYE, "crew": OTHER_TEAM}
    service = {"gait": "daemon", "circuit": "profile-desk", "precedence": "production", "reckon_s": 0.0}
    await installation.submit(job("job-000900", **(heavy | service), vcpus=4.0, memory_gb=9.2, lendable=False), 1e9)
    await installation.submit(job("job-000901", **heavy, legs=7, vcpus=4.0, memory_gb=10.0), 14.0)
    await installation.submit(job("job-000902", builds=[sites.SMALL], legs=13, vcpus=4.0, reckon_s=300.0), 1e9)
    await until(installation, {"job-000900": 1, "job-000901": 7, "job-000902": 13})


async def submit_fillers(installation: Installation) -> None:
    """Submits one job of one task for each task of the array; they will end one after the other."""
    refs = [f"job-{100 + number:06d}" for number in range(TASKS)]
    await asyncio.gather(*(installation.submit(job(ref, builds=[sites.SMALL]), 1e9) for ref in refs))
    await until(installation, dict.fromkeys(refs, 1))


async def until(installation: Installation, running: dict[str, int]) -> None:
    """Waits until so many tasks of each job run; raises CaseError after 30 s."""
    deadline = time.monotonic() + 30.0
    while any(len(installation.world.on_machines(ref)) < count for ref, count in running.items()):
        if time.monotonic() > deadline:
            raise CaseError(f"{running} do not run")
        await asyncio.sleep(0.05)


async def end_fillers(installation: Installation) -> None:
    """Lets the tasks of the small jobs end one after the other, from machine to machine."""
    world = installation.world
    fillers = [(worker, task) for worker, task in world.on_machines() if "job-000100" <= task.job < "job-000200"]
    by_machine: dict[str, int] = {}
    order = []
    for worker, task in fillers:
        by_machine[worker.name] = by_machine.get(worker.name, 0) + 1
        order.append((by_machine[worker.name], worker.name, task))
    for _, _, task in sorted(order, key=lambda entry: entry[:2]):
        task.ends_at = time.monotonic()
        await asyncio.sleep(BETWEEN_ENDS_S)


def has_room(installation: Installation) -> bool:
    """Whether a machine that fits has room for a task of the array, and its team is under its limit."""
    world = installation.world
    spec = world.jobs[ARRAY]
    present = [(w, t) for w in world.workers.values() if w.up for t in w.tasks.values() if t.state != "ended"]
    team = sum(world.jobs[t.job]["vcpus"] for _, t in present if world.jobs[t.job]["crew"] == TEAM)
    if team + spec["vcpus"] > TEAM_LIMIT:
        return False
    for worker in world.workers.values():
        used = sum(world.jobs[t.job]["vcpus"] for w, t in present if w is worker)
        memory = sum(world.jobs[t.job]["memory_gb"] for w, t in present if w is worker)
        fits = used + spec["vcpus"] <= worker.kind.cpus and memory + spec["memory_gb"] <= worker.kind.memory_gb
        if worker.up and worker.kind.name in spec["builds"] and fits:
            return True
    return False


async def judge(installation: Installation, over_at: float) -> int:
    """Returns BROKEN once the array has waited 90 s with room for it since the trouble was over; HELD if it ends."""
    waiting_since = over_at
    while installation.polls.get(ARRAY, Poll()).standing != "done":
        now = time.monotonic()
        if installation.world.on_machines(ARRAY) or not has_room(installation):
            waiting_since = now
        if now - waiting_since > WAIT_S:
            poll = await installation.poll(ARRAY)
            installation.record.note("left waiting", job=ARRAY, seconds=now - waiting_since, answer=poll.body)
            return BROKEN if poll.standing == "pending" else HELD
        await asyncio.sleep(0.1)
    return HELD


async def script(installation: Installation, trouble: bool) -> int:
    """Runs the case."""
    await fill(installation)
    await submit_fillers(installation)
    await installation.submit(job(ARRAY, legs=TASKS, builds=[sites.HEAVY], kit="img-02"), 25.0)
    installation.spawn(installation.poll_forever(ARRAY))
    await end_fillers(installation)
    await until(installation, {ARRAY: TASKS})
    machine = installation.world.on_machines(ARRAY)[0][0]
    if trouble:
        installation.record.note("machine stops", machine=machine.name, tasks=len(machine.tasks))
        machine.stop()
    return await judge(installation, time.monotonic())


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, sites.ikirere_routes(machines()), script))
