"""The answers to one machine's reports are held up for 3 s, and tasks that were moved away start there once more."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import sites  # noqa: E402 (the folder of the stand-ins has to be on the path)
from fleet import Worker  # noqa: E402
from installation import BROKEN, HELD, CaseError, Installation, job, run_case  # noqa: E402

ANSWERS_HELD_UP_S = 3.0  # a worker drops an answer after 4 s
CYCLES, CYCLE_S = 13, 7.0
ARRAYS, BETWEEN_ARRAYS_S = 5, 0.25
SERVICES = 4
PLACE = {"builds": [sites.HEAVY], "district": sites.KIGALI}
SERVICE = PLACE | {
    "gait": "daemon",
    "circuit": "profile-desk",
    "crew": "survey-cell-01",
    "precedence": "production",
    "lendable": False,
    "reckon_s": 0.0,
}


async def cycle(installation: Installation, number: int, slow: Worker, trouble: bool) -> None:
    """Small arrays of low priority come; then services that push them off the ordinary machine, and are cancelled.

    With the disruption, answers to reports that this machine sends while the arrays come are held up.
    """
    arrays = [f"job-{1000 * number + i:06d}" for i in range(1, ARRAYS + 1)]
    services = [f"job-{500_000 + 1000 * number + i:06d}" for i in range(SERVICES)]
    for ref in arrays:
        spec = job(ref, **PLACE, precedence="low", legs=2, vcpus=0.5, memory_gb=0.2, reckon_s=5.0)
        installation.spawn(installation.submit(spec, 4.5))
        await asyncio.sleep(BETWEEN_ARRAYS_S)
        slow.answer_delay_s = ANSWERS_HELD_UP_S if trouble else 0.0
    await asyncio.gather(*(installation.submit(job(r, **SERVICE, vcpus=1.0, memory_gb=2.0), 1e9) for r in services))
    slow.answer_delay_s = 0.0
    await asyncio.sleep(1.3)
    await asyncio.gather(*(installation.cancel(ref) for ref in services))


async def script(installation: Installation, trouble: bool) -> int:
    """Runs the case."""
    world = installation.world
    await installation.submit(job("job-000900", **SERVICE, vcpus=28.0, memory_gb=9.2), 1e9)
    deadline = time.monotonic() + 20.0
    while not world.on_machines("job-000900"):
        if time.monotonic() > deadline:
            raise CaseError("the first service does not run")
        await asyncio.sleep(0.05)
    slow = world.on_machines("job-000900")[0][0]
    for number in range(1, CYCLES + 1):
        began = time.monotonic()
        await cycle(installation, number, slow, trouble)
        while time.monotonic() < began + CYCLE_S:
            if world.ran_twice:
                return BROKEN
            await asyncio.sleep(0.05)
    return HELD


if __name__ == "__main__":
    machines = [(sites.HEAVY, sites.KIGALI, False), (sites.HEAVY, sites.KIGALI, True)]
    sys.exit(run_case(FOLDER, sites.ikirere_routes(machines), script))
