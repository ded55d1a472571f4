"""Arrays that arrive three times as often put more tasks on a machine than its reports may list, and none completes."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.deployment import Deployment, run_case
from stand_ins.users import job

TASKS = 500
BURST = 3  # `job_burst` of the site files: three times as many jobs
RUN_S = 18.0
WATCH_S = 85.0


async def _poll_until_done(deployment: Deployment, refs: list[str]) -> dict[str, str]:
    """Polls jobs every 5 s until all are done, for `WATCH_S` at most; returns their last states."""
    states = dict.fromkeys(refs, "")
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until and set(states.values()) != {"done"}:
        await asyncio.sleep(5)
        for ref in refs:
            status, answer = await deployment.users.poll(ref)
            if status == 200:
                states[ref] = answer["standing"]
    return states


async def case(deployment: Deployment, trouble: bool) -> str | None:
    """Submits one array, or three at the same time; one machine and the team's limit have room for all tasks."""
    await deployment.cloud.add("kivu-heavy", "kigali-east")
    await deployment.start()
    await asyncio.sleep(4)
    fleet = deployment.fleet
    refs = [f"job-{number:06d}" for number in range(1, 1 + (BURST if trouble else 1))]
    for ref in refs:
        fleet.jobs[ref] = job(ref, TASKS, vcpus=0.02, memory_gb=0.1, builds=["kivu-heavy"], reckon_s=RUN_S)
        fleet.run_s[ref] = RUN_S
    accepted = await asyncio.gather(*(deployment.users.submit(fleet.jobs[ref]) for ref in refs))
    if not all(accepted):
        return f"not all arrays were accepted: {accepted}"
    states = await _poll_until_done(deployment, refs)
    if set(states.values()) == {"done"}:
        return None
    most = max((worker.most_tasks for worker in deployment.cloud.past_workers), default=0)
    return (
        f"{len(fleet.done)} of {TASKS * len(refs)} tasks have completed in {WATCH_S:.0f} s, {len(fleet.starts)} starts;"
        f" a machine was given {most} tasks, more than a report may list; states {states}"
    )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
