"""Recovery commands must not override or delete valid records; without recovery, no recovery key may be used.

Also: installations are kept apart by name, and worker exits wait for the archive.
"""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

import curio
import pytest

from spurarch.archive.directory import list_history_directories
from spurarch.archive.follower import Follower, OtherInstallationError
from spurarch.archive.reader import read_state
from spurarch.archive.server import history_record
from spurarch.cli import main
from spurarch.protocol import wire
from spurarch.recovery import operators
from spurarch.recovery.coverage import ArchiveProgress
from spurarch.recovery.operators import OperatorError, declare_first_history
from spurarch.recovery.rebuilt_records import UnresolvedOutcome
from spurarch.settings import StateLimits, load_tuning
from spurarch.storage.history import ARCHIVED, CURRENT, HistoryGuard, HistoryRecord
from spurarch.storage.store import Store
from tests.sim.clock import Clock
from tests.sim.net import SimLinks, SimNetwork
from tests.sim.recovery import RecoveryScenarioRun
from tests.sim.scenario import STATE_ADDRESS, ScenarioRun
from tests.sim.scenario_text import Scenario
from tests.sim.store import SimStateService

SCENARIO = """
team t max=60
type small cpus=4 boot=5
machines small a 2
at 1 submit job-1 tasks=4 run=5
at 2 submit job-2 kind=daemon priority=production tasks=2
at 12 cancel job-2
end 30
expect told job-1 done
expect told job-2 aborted
"""


def with_state_service(check: Any) -> SimStateService:
    clock = Clock()
    network = SimLinks(clock, Random(1))
    service = SimStateService(clock, Random(2), 500.0, 500.0, 8.0, 24)
    network.hosts[STATE_ADDRESS], network.handlers_by_client[STATE_ADDRESS] = "store", service.handler_for
    client = Store(SimNetwork(network, "operator").client(STATE_ADDRESS, 2), StateLimits(500.0, 500.0, 8.0, 24), 1)

    async def run() -> None:
        await check(client, service)

    clock.run(run)
    return service


def put(service: SimStateService, key: str, value: object) -> None:
    service.revision += 1
    service.keys[key] = value, service.revision, None


def test_a_first_history_can_be_declared_only_once() -> None:
    async def check(client: Store, service: SimStateService) -> None:
        history = await declare_first_history(client, False, True, "here")
        status = await operators.read_status(client)
        assert status.history == history
        assert (history.responses_await_archive, history.installation, status.is_open) == (True, "here", True)
        with pytest.raises(OperatorError, match="already"):
            await declare_first_history(client, False)

    with_state_service(check)


def test_existing_records_require_adopt() -> None:
    async def check(client: Store, service: SimStateService) -> None:
        put(service, "live/job/job-1", {})
        with pytest.raises(OperatorError, match="--adopt"):
            await declare_first_history(client, False)
        await declare_first_history(client, True)

    with_state_service(check)


def test_an_unresolved_outcome_can_be_resolved_only_once() -> None:
    async def check(client: Store, service: SimStateService) -> None:
        await declare_first_history(client, False)
        put(service, "final/job-1", {"state": "in doubt", "tasks": 3})
        put(service, "doubt/job-1", {"job": "job-1", "kind": "outcome", "detail": "x"})
        assert (await operators.read_status(client)).unresolved == [UnresolvedOutcome("job-1", "outcome", "x")]
        await operators.resolve_job(client, "job-1", wire.DONE)
        assert service.keys["final/job-1"][0] == {"state": "done", "tasks": 3}
        with pytest.raises(OperatorError, match="not in doubt"):
            await operators.resolve_job(client, "job-1", wire.CANCELLED)

    with_state_service(check)


def test_no_outcome_can_be_resolved_during_a_rebuild() -> None:
    async def check(client: Store, service: SimStateService) -> None:
        history = await declare_first_history(client, False)
        put(service, "doubt/job-1", {"job": "job-1", "kind": "outcome", "detail": "x"})
        del service.keys[f"history/open/{history.name}"]
        with pytest.raises(OperatorError, match="being rebuilt"):
            await operators.resolve_job(client, "job-1", wire.DONE)

    with_state_service(check)


def test_purge_deletes_only_keys_of_earlier_histories() -> None:
    async def check(client: Store, service: SimStateService) -> None:
        await declare_first_history(client, False)
        put(service, CURRENT, {"name": "bb", "number": 3})
        put(service, "history/open/bb", {"number": 3})
        kept_keys = {
            "somebody/else",
            "h3.bb/live/job/job-1",
            "h3.bb/final/job-2",
            "live/leader",
            CURRENT,
            "history/open/bb",
        }
        obsolete_keys = ["h2.aa/final/job-1", "final/job-5", "history/rebuild/cc"]
        for key in [*kept_keys, *(f"live/job/job-{n}" for n in range(9)), *obsolete_keys]:
            if key not in service.keys:
                put(service, key, {})
        assert await operators.purge(client) == 12
        assert kept_keys <= set(service.keys)
        assert not [k for k in service.keys if k.startswith(("live/job", "h2.", "final/", "history/rebuild"))]

    with_state_service(check)


def test_commands_refuse_bad_input_with_exit_code_2(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    assert main(["recovery", "status", "--config", str(tmp_path / "none.toml")]) == 2
    assert capsys.readouterr().err.count("\n") == 1
    for words in (
        ["recovery", "settle", "--config", "x"],
        ["archive", "nonsense"],
        ["recovery", "settle", "--job", "1", "--as", "running"],
    ):
        with pytest.raises(SystemExit) as ended:
            main(words)
        assert ended.value.code == 2


def test_recovery_settings_are_read(tmp_path: Path) -> None:
    path = tmp_path / "features.sexp"
    path.write_text(Path("deploy/features.sexp").read_text())
    tuning = load_tuning(str(path))
    assert (tuning.recovery, tuning.archive_away, tuning.installation) == (True, "go-on", "main")
    assert not load_tuning(None).recovery


def test_an_unknown_job_gets_404_after_an_operator_resolved_unknown_jobs() -> None:
    """After a rebuild without an archive, requests for unknown jobs get 503; once an operator resolves them, 404."""
    text = "archive off\n" + SCENARIO.replace("end 30", "at 20 wipe\nat 50 raw GET /submissions/job-9 503\nend 60")
    scenario_run = RecoveryScenarioRun(Scenario.parse(text, {}))
    statuses: list[int] = []
    original_act = scenario_run._act

    async def act_and_resolve(words: list[str]) -> None:
        await original_act(words)
        if words[0] == "raw":
            await curio.sleep(1.0)
            client = Store(
                SimNetwork(scenario_run.links, "operator").client(STATE_ADDRESS, 2),
                scenario_run.platform(0).deployment.state,
                1,
            )
            await operators.resolve_unknown_jobs(client)
            await curio.sleep(2.0)
            statuses.append((await scenario_run._request("GET", "/submissions/job-9", b""))[0])

    scenario_run._act = act_and_resolve  # type: ignore[method-assign]
    scenario_run.run()
    assert scenario_run.problems == []
    assert statuses == [404]


def test_an_archiver_refuses_records_of_another_installation(tmp_path: Path) -> None:
    async def check(client: Store, service: SimStateService) -> None:
        await declare_first_history(client, False, False, "here")
        with pytest.raises(OtherInstallationError, match="'here'"):
            await Follower(client, tmp_path, None, "elsewhere").run()
        task = await curio.spawn(Follower(client, tmp_path, None, "here").run, daemon=True)
        await curio.sleep(3)
        await task.cancel()

    with_state_service(check)
    assert history_record(read_state(list_history_directories(tmp_path)[0])).installation == "here"


def test_controllers_do_not_serve_records_of_another_installation() -> None:
    scenario_run = RecoveryScenarioRun(Scenario.parse(SCENARIO, {}))
    scenario_run.tuning.installation = "elsewhere"
    scenario_run.run()
    assert set(scenario_run.submission_statuses) == {503}
    assert scenario_run.world.checks.started == 0


def test_without_recovery_no_recovery_key_is_written_or_compared() -> None:
    scenario_run = ScenarioRun(Scenario.parse(SCENARIO, {}))
    scenario_run.run()
    assert scenario_run.problems == []
    used_keys = [
        key for _, event in scenario_run.store.events for key in (event.get("write"), event.get("drop")) if key
    ]
    used_keys += [guard["key"] for body in scenario_run.store._applied for guard in body["guards"]]
    assert len(used_keys) > 20
    assert not [key for key in used_keys if key.startswith(("history/", "packed/", "doubt/", "h1", "h2"))]


def test_with_recovery_every_transaction_compares_the_open_marker() -> None:
    scenario_run = RecoveryScenarioRun(Scenario.parse(SCENARIO, {}))
    scenario_run.run()
    assert scenario_run.problems == []
    transactions = [
        body
        for body in scenario_run.store._applied
        if not any(c.get("write") in (CURRENT, ARCHIVED) for c in body["then"])
    ]
    assert len(transactions) > 10
    assert all(any(guard["key"].startswith("history/open/") for guard in body["guards"]) for body in transactions)


def test_archive_progress_covers_changes_after_the_timeout_unless_it_holds() -> None:
    clock = Clock()
    guard = HistoryGuard()
    guard.open(HistoryRecord("aa", 1), 3, 50, 10.0)
    guard.record_change(["live/job/job-1"], 60)

    async def check() -> None:
        timing_out, holding = ArchiveProgress(guard, 5.0, False), ArchiveProgress(guard, 5.0, True)
        revision = timing_out.recorded_revision()
        assert revision == 60
        assert not timing_out.covers(revision)
        await curio.sleep(6.0)
        assert timing_out.covers(revision)
        assert not holding.covers(revision)
        guard.archived_revision = 60
        assert holding.covers(revision)
        guard.record_change(["live/member/n0"], 70)  # a member record, which is not archived
        assert timing_out.recorded_revision() == 60

    clock.run(check)
