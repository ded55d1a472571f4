"""Real controllers and a real archiver on loopback: the state service loses its data under load, every job ends well.

The verdict does not depend on time: whatever the machine's speed, the outcomes are compared with the independent log.
"""

from __future__ import annotations

from pathlib import Path

import curio
import pytest

from spurarch.cli import main
from tests.outcomes import STARTED, check
from tests.sim.loopback import Installation, Job, LoopbackSettings, play

LIMIT_S = 90.0


async def begin(it: Installation) -> None:
    """An installation that serves."""
    await it.operate("recovery", "init")
    if it.settings.archive:
        it.start_archiver()
    for index in range(it.settings.controllers):
        it.start_controller(index)


async def load(it: Installation) -> None:
    """Arrays, a service and a job that is called off."""
    until = it.clock.now + 3 * LIMIT_S
    jobs = [Job(f"job-{n}", 3, 0.5 + 0.7 * (n % 6)) for n in range(1, 13)]
    jobs += [Job("job-100", 2, 0.0, "daemon"), Job("job-101", 2, 60.0)]
    for job in jobs:
        await curio.spawn(it.submit, job, until, daemon=True)
    await it.until(lambda: sum(e.kind == STARTED for e in it.log.events) >= 20, LIMIT_S, "20 starts")
    await curio.spawn(it.cancel, "job-101", until, daemon=True)


async def settle(it: Installation, number: int) -> None:
    await it.until(lambda: it.history_number() == number, LIMIT_S, f"history {number}")
    await curio.spawn(it.submit, Job("job-200", 2, 0.5), it.clock.now + 3 * LIMIT_S, daemon=True)
    await it.until(it.settled, LIMIT_S, "a final answer for every job")
    await curio.sleep(2.0)  # a few more answers, which must not differ


async def wiped(it: Installation) -> None:
    await begin(it)
    await load(it)
    it.store.wipe()
    await settle(it, 2)
    status = await it.operate("recovery", "status")
    assert "history 2 " in status
    assert "in doubt: 0" in status


async def wiped_without_survivors(it: Installation) -> None:
    await begin(it)
    await load(it)
    await it.pause_users(LIMIT_S)
    for index in range(it.settings.controllers):
        it.kill(f"n{index}")
    it.store.wipe()
    for index in range(it.settings.controllers):
        it.start_controller(index)
    it.resume_users()
    await settle(it, 2)


async def rolled_back(it: Installation) -> None:
    await begin(it)
    await it.until(lambda: it.history_number() == 1 and len(it.store.keys) > 5, LIMIT_S, "first records")
    saved = it.store.revision, dict(it.store.keys)
    await load(it)
    it.store.go_back_to(*saved)
    await settle(it, 2)


@pytest.mark.parametrize("story", [wiped, wiped_without_survivors, rolled_back])
def test_every_job_ends_with_one_final_answer(story: object, tmp_path: Path) -> None:
    it = Installation(LoopbackSettings(), tmp_path)
    play(it, story)  # type: ignore[arg-type]
    it.log.write(tmp_path / "outcomes.jsonl")
    assert check(it.log) == []
    assert it.world.rules.broken == []
    assert main(["archive", "verify", "--directory", str(tmp_path / "archive")]) == 0
