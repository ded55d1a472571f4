"""Controller and archiver processes on loopback: after the state service loses its data under load, every job must end.

The outcomes are compared with an independent log, so the result doesn't depend on the machine's speed.
"""

from __future__ import annotations

from pathlib import Path

import curio
import pytest

from spurarch.cli import main
from tests.outcomes import STARTED, check
from tests.sim.loopback import Installation, Job, LoopbackSettings, run_script

TIMEOUT_S = 90.0


async def start(installation: Installation) -> None:
    """Starts the controllers and, if configured, the archiver."""
    await installation.run_operator_command("recovery", "init")
    if installation.settings.archive:
        installation.start_archiver()
    for index in range(installation.settings.controllers):
        installation.start_controller(index)


async def submit_load(installation: Installation) -> None:
    """Submits arrays, a service and a job that is cancelled once 20 tasks have started."""
    until = installation.clock.now + 3 * TIMEOUT_S
    jobs = [Job(f"job-{n}", 3, 0.5 + 0.7 * (n % 6)) for n in range(1, 13)]
    jobs += [Job("job-100", 2, 0.0, "daemon"), Job("job-101", 2, 60.0)]
    for job in jobs:
        await curio.spawn(installation.submit, job, until, daemon=True)
    await installation.wait_until(
        lambda: sum(e.kind == STARTED for e in installation.log.events) >= 20, TIMEOUT_S, "20 starts"
    )
    await curio.spawn(installation.cancel, "job-101", until, daemon=True)


async def wait_for_outcomes(installation: Installation, history_number: int) -> None:
    """Waits until the history is open and every job has its final state, including one submitted now."""
    await installation.wait_until(
        lambda: installation.history_number() == history_number, TIMEOUT_S, f"history {history_number}"
    )
    await curio.spawn(installation.submit, Job("job-200", 2, 0.5), installation.clock.now + 3 * TIMEOUT_S, daemon=True)
    await installation.wait_until(installation.settled, TIMEOUT_S, "a final answer for every job")
    await curio.sleep(2.0)  # users poll again, and must get the same responses


async def wiped(installation: Installation) -> None:
    await start(installation)
    await submit_load(installation)
    installation.store.wipe()
    await wait_for_outcomes(installation, 2)
    status = await installation.run_operator_command("recovery", "status")
    assert "history 2 " in status
    assert "in doubt: 0" in status


async def wiped_with_all_controllers_restarted(installation: Installation) -> None:
    await start(installation)
    await submit_load(installation)
    await installation.pause_users(TIMEOUT_S)
    for index in range(installation.settings.controllers):
        installation.kill(f"n{index}")
    installation.store.wipe()
    for index in range(installation.settings.controllers):
        installation.start_controller(index)
    installation.resume_users()
    await wait_for_outcomes(installation, 2)


async def rolled_back(installation: Installation) -> None:
    await start(installation)
    await installation.wait_until(
        lambda: installation.history_number() == 1 and len(installation.store.keys) > 5, TIMEOUT_S, "first records"
    )
    saved = installation.store.revision, dict(installation.store.keys)
    await submit_load(installation)
    installation.store.restore(*saved)
    await wait_for_outcomes(installation, 2)


def test_starting_a_controller_leaves_the_settings_of_the_others_alone(tmp_path: Path) -> None:
    """A controller that read its settings while the next one's were written ended with code 2."""

    async def write_settings(installation: Installation) -> None:
        paths = [installation.features(index) for index in range(installation.settings.controllers)]
        assert len(set(paths)) == installation.settings.controllers

    run_script(Installation(LoopbackSettings(), tmp_path), write_settings)


@pytest.mark.parametrize("story", [wiped, wiped_with_all_controllers_restarted, rolled_back])
def test_every_job_ends_with_one_final_state_after_a_loss(story: object, tmp_path: Path) -> None:
    installation = Installation(LoopbackSettings(), tmp_path)
    run_script(installation, story)  # type: ignore[arg-type]
    installation.log.write(tmp_path / "outcomes.jsonl")
    assert check(installation.log) == []
    assert installation.world.checks.violations == []
    assert main(["archive", "verify", "--directory", str(tmp_path / "archive")]) == 0
