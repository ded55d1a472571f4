"""The archive's files and the archiver: records on disk are correct, or reading them raises an error.

Faults: crashes while writing, a full disk, altered files, missed changes and a rollback of the state service.
"""

from __future__ import annotations

import errno
import json
from pathlib import Path
from random import Random
from typing import Any

import curio
import pytest

from spurarch.archive import directory as archive
from spurarch.archive import format as files
from spurarch.archive.commands import read_newest_state
from spurarch.archive.directory import ArchiveBusyError, ChangeLog, EmptyArchiveError
from spurarch.archive.follower import Follower, FollowerPhase
from spurarch.archive.format import DamagedFileError, Entry, FileHeader, FileKind
from spurarch.archive.progress import RivalArchiverError
from spurarch.archive.reader import read_state, verify
from spurarch.archive.server import ArchiveServer
from spurarch.archive.state import ArchivedState
from spurarch.cli import main
from spurarch.protocol import wire
from spurarch.recovery.operators import declare_first_history
from spurarch.settings import StateLimits
from spurarch.storage.history import ARCHIVED, CURRENT, HistoryRecord, OpenMarker
from spurarch.storage.store import Store
from spurarch.transport.http import Request
from tests.sim.clock import Clock
from tests.sim.net import SimLinks, SimNetwork
from tests.sim.store import SimStateService

STATE_ADDRESS = "10.2.0.1:2379"
LIMITS = StateLimits(200.0, 80.0, 8.0, 24)


def entry(number: int, revision: int, value: str | None = "x") -> Entry:
    return Entry(revision, f"live/job/job-{number}", None if value is None else json.dumps(value).encode())


def state_at(revision: int, count: int) -> ArchivedState:
    out = ArchivedState("aa", 1, revision)
    for number in range(count):
        out.apply(entry(number, revision))
    out.revision = revision
    return out


def write_small_archive(root: Path) -> Path:
    """Writes a snapshot at revision 10 with three records, and a log with four batches up to revision 50."""
    start = state_at(10, 3)
    archive.write_snapshot(root, start)
    log = ChangeLog(root, start)
    for number, revision in enumerate((20, 30, 40, 50)):
        log.append([entry(10 + number, revision), entry(number, revision, None)], revision)
    return archive.list_history_directories(root)[0]


def test_snapshot_and_log_give_the_newest_and_earlier_states(tmp_path: Path) -> None:
    history_dir = write_small_archive(tmp_path)
    newest = read_state(history_dir)
    assert (newest.revision, sorted(newest.records)) == (50, [f"live/job/job-{n}" for n in (10, 11, 12, 13)])
    earlier = read_state(history_dir, 35)
    assert (earlier.revision, sorted(earlier.records)) == (30, [f"live/job/job-{n}" for n in (10, 11, 2)])
    with pytest.raises(EmptyArchiveError):
        read_state(history_dir, 9)


def test_a_truncated_log_is_read_up_to_its_last_complete_batch(tmp_path: Path) -> None:
    """The archiver or its machine crashes while a batch is being written."""
    history_dir = write_small_archive(tmp_path)
    log = next(f.path for f in archive.list_files(history_dir) if f.header.kind is FileKind.LOG)
    whole = log.read_bytes()
    ends = [block.end_offset for block in files.read_blocks(log)]
    header_end = ends[0] - (ends[1] - ends[0])
    revisions = [20, 30, 40, 50]
    for length in range(max(header_end, ends[0] - 20), len(whole) + 1, 3):
        log.write_bytes(whole[:length])
        expected = max([10, *(r for r, end in zip(revisions, ends, strict=True) if end <= length)])
        assert read_state(history_dir).revision == expected, length


@pytest.mark.parametrize("which", ["snapshot", "log"])
def test_an_altered_block_is_named_in_the_error(tmp_path: Path, which: str) -> None:
    history_dir = write_small_archive(tmp_path)
    file = next(f.path for f in archive.list_files(history_dir) if f.header.kind.value == which)
    whole = bytearray(file.read_bytes())
    first_end = next(files.read_blocks(file)).end_offset
    found = set()
    for at in range(first_end - 40, first_end, 2):
        altered = bytearray(whole)
        altered[at] ^= 0x55
        file.write_bytes(bytes(altered))
        with pytest.raises(DamagedFileError, match=rf"{file.name}: block 0"):
            verify(history_dir)
        found.add(at)
    assert len(found) == 20


def test_a_snapshot_with_a_missing_block_is_refused(tmp_path: Path) -> None:
    archive.write_snapshot(tmp_path, state_at(10, 5000))
    history_dir = archive.list_history_directories(tmp_path)[0]
    file = archive.list_files(history_dir)[0].path
    blocks = [block.end_offset for block in files.read_blocks(file)]
    assert len(blocks) > 2
    file.write_bytes(file.read_bytes()[: blocks[-2]])
    with pytest.raises(DamagedFileError, match="a block is missing"):
        read_state(history_dir)


def test_a_newer_schema_version_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(files, "SCHEMA_VERSION", 9)
        archive.write_snapshot(tmp_path, state_at(10, 2))
    with pytest.raises(DamagedFileError, match="schema 9"):
        archive.list_files(archive.list_history_directories(tmp_path)[0])


def test_a_log_of_another_history_is_refused(tmp_path: Path) -> None:
    history_dir = write_small_archive(tmp_path)
    with (history_dir / "log-0000000000000060.avro").open("wb") as file:
        files.write_file(file, FileHeader(FileKind.LOG, "bb", 1, 50), [])
    with pytest.raises(DamagedFileError, match="of history bb, not aa"):
        read_state(history_dir)


def test_a_log_that_begins_after_missing_changes_is_refused(tmp_path: Path) -> None:
    history_dir = write_small_archive(tmp_path)
    with (history_dir / "log-0000000000000060.avro").open("wb") as file:
        files.write_file(file, FileHeader(FileKind.LOG, "aa", 1, 60), [])
    with pytest.raises(DamagedFileError, match="what comes before is missing"):
        read_state(history_dir)


def test_an_incomplete_snapshot_is_not_listed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    history_dir = write_small_archive(tmp_path)
    before = sorted(path.name for path in history_dir.iterdir())

    def fail(*args: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr("os.fsync", fail)
        with pytest.raises(OSError, match="No space"):
            archive.write_snapshot(tmp_path, state_at(60, 2))
    assert sorted(f.path.name for f in archive.list_files(history_dir)) == [
        name for name in before if name.endswith(".avro")
    ]
    assert read_state(history_dir).revision == 50


def test_a_batch_that_fails_on_a_full_disk_leaves_the_log_unchanged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    start = state_at(10, 1)
    archive.write_snapshot(tmp_path, start)
    log = ChangeLog(tmp_path, start)
    log.append([entry(7, 20)], 20)

    def fail(*args: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr("os.fsync", fail)
        with pytest.raises(OSError, match="No space"):
            log.append([entry(8, 30)], 30)
    assert read_state(archive.list_history_directories(tmp_path)[0]).revision == 20
    log.append([entry(9, 40)], 40)
    assert "live/job/job-9" in read_state(archive.list_history_directories(tmp_path)[0]).records


def test_a_second_archiver_cannot_lock_the_directory(tmp_path: Path) -> None:
    with archive.lock_archive(tmp_path), pytest.raises(ArchiveBusyError), archive.lock_archive(tmp_path):
        pass


def test_pruning_removes_the_files_before_the_kept_snapshots(tmp_path: Path) -> None:
    history_dir = write_small_archive(tmp_path)
    for revision in (60, 70):
        archive.write_snapshot(tmp_path, state_at(revision, 2))
    removed = archive.prune(history_dir, 2)
    assert sorted(path.name.split("-")[0] for path in removed) == ["log", "snapshot"]
    assert read_state(history_dir).revision == 70
    assert archive.prune(history_dir, 2) == []


# The commands


def test_commands_print_records_and_one_line_errors(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    root = tmp_path / "archive"
    history_dir = write_small_archive(root)
    assert main(["archive", "verify", "--directory", str(root)]) == 0
    assert "good up to revision 50: 4 records" in capsys.readouterr().out
    assert main(["archive", "show", "--directory", str(root), "--revision", "30", "--prefix", "live/job/job-2"]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[0].startswith("# history aa, revision 30")
    assert [json.loads(line)["key"] for line in shown[1:]] == ["live/job/job-2"]
    assert main(["archive", "list", "--directory", str(root)]) == 0
    assert "snapshot from revision 10" in capsys.readouterr().out
    snapshot = next(f.path for f in archive.list_files(history_dir) if f.header.kind is FileKind.SNAPSHOT)
    snapshot.write_bytes(snapshot.read_bytes()[:-30])
    for command in ("verify", "show"):
        assert main(["archive", command, "--directory", str(root)]) == 2
        error = capsys.readouterr().err
        assert snapshot.name in error
        assert "block 0" in error
        assert error.count("\n") == 1
    assert main(["archive", "verify", "--directory", str(tmp_path / "none")]) == 2
    (history_dir / "log-0000000000000099.avro").write_bytes(b"")
    assert main(["archive", "list", "--directory", str(root)]) == 2
    assert "log-0000000000000099.avro: no readable header" in capsys.readouterr().err.splitlines()[-1]
    assert main(["archive", "verify", "--directory", str(root), "--history", "zz"]) == 2


# The archiver, on a simulated state service in virtual time


class ArchiverSetup:
    """A simulated state service, and archivers of its records."""

    def __init__(self, root: Path) -> None:
        self.clock, self.root = Clock(), root
        self.links = SimLinks(self.clock, Random(1))
        self.store = SimStateService(self.clock, Random(2), 500.0, 500.0, 8.0, 24)
        self.links.hosts[STATE_ADDRESS] = "store"
        self.links.handlers_by_client[STATE_ADDRESS] = self.store.handler_for
        self.network = SimNetwork(self.links, "archive")
        self.client = Store(self.network.client(STATE_ADDRESS, 4), LIMITS, 1)

    def run(self, main: Any) -> None:
        """Runs a coroutine in virtual time."""
        self.clock.run(main)

    async def start_archiver(self) -> tuple[Follower, Any]:
        """Starts an archiver on the files on disk; returns its follower and its task."""
        follower = Follower(self.client, self.root, read_newest_state(self.root))
        return follower, await curio.spawn(follower.run, daemon=True)

    def put(self, key: str, value: object) -> None:
        """Writes a key in the state service."""
        self.store.revision += 1
        self.store.keys[key] = value, self.store.revision, None
        self.store.events.append((self.store.revision, {"write": key, "value": value, "stamp": self.store.revision}))

    def delete(self, key: str) -> None:
        """Deletes a key in the state service."""
        self.store.revision += 1
        del self.store.keys[key]
        self.store.events.append((self.store.revision, {"drop": key, "stamp": self.store.revision}))

    def stored_records(self) -> dict[str, Any]:
        """Returns the records in the state service that should be archived."""
        return {k: v[0] for k, v in self.store.keys.items() if k.startswith(("live/job", "final/"))}

    def archived_records(self) -> dict[str, Any]:
        """Returns the records in the newest archived state."""
        newest = read_newest_state(self.root)
        assert newest is not None
        return {key: json.loads(e.value or b"null") for key, e in newest.records.items() if key != CURRENT}


def test_pages_read_while_records_change_form_a_consistent_snapshot(tmp_path: Path) -> None:
    setup = ArchiverSetup(tmp_path)
    observed_states: list[tuple[int, dict[str, Any]]] = []

    async def change() -> None:
        random = Random(5)
        for step in range(300):
            job = f"live/job/job-{random.randrange(2600)}"
            if job in setup.store.keys and random.random() < 0.5:
                setup.delete(job)
            else:
                setup.put(job, step)
            observed_states.append((setup.store.revision, setup.stored_records()))
            await curio.sleep(0.001)

    async def main() -> None:
        await declare_first_history(setup.client, False)
        for number in range(2500):
            setup.put(f"live/job/job-{number}", "old")
        change_task = await curio.spawn(change)
        follower, _ = await setup.start_archiver()
        while follower.phase is not FollowerPhase.FOLLOWING:
            await curio.sleep(0.0005)
        snapshot = read_state(archive.list_history_directories(tmp_path)[0])
        states_by_revision = dict(observed_states)
        assert snapshot.revision in states_by_revision, "the snapshot fell into the time of the changes"
        expected = states_by_revision[snapshot.revision]
        assert {k: json.loads(e.value or b"") for k, e in snapshot.records.items() if k != CURRENT} == expected
        await change_task.join()
        await curio.sleep(5)
        assert setup.archived_records() == setup.stored_records()

    setup.run(main)


def test_missed_changes_cause_a_new_snapshot(tmp_path: Path) -> None:
    setup = ArchiverSetup(tmp_path)

    async def main() -> None:
        await declare_first_history(setup.client, False)
        follower, _ = await setup.start_archiver()
        await curio.sleep(2)
        setup.store.outage(20)
        setup.store.revision += 10_001
        setup.put("live/job/job-1", "x")
        await curio.sleep(30)
        assert follower.snapshot_count == 2
        assert setup.archived_records() == {"live/job/job-1": "x"}

    setup.run(main)


def test_a_published_revision_is_on_disk(tmp_path: Path) -> None:
    setup = ArchiverSetup(tmp_path)

    async def main() -> None:
        await declare_first_history(setup.client, False)
        await setup.start_archiver()
        for number in range(40):
            setup.put(f"live/job/job-{number}", number)
            await curio.sleep(0.07)
            published = setup.store.keys.get(ARCHIVED)
            if published is not None:
                newest = read_newest_state(tmp_path)
                assert newest is not None
                assert newest.revision >= published[0]["revision"]
        await curio.sleep(2)
        revision = setup.store.revision
        await curio.sleep(20)
        assert setup.store.revision == revision, "with no news, nothing is published"

    setup.run(main)


def test_an_archiver_that_is_stopped_at_random_times_loses_no_changes(tmp_path: Path) -> None:
    setup = ArchiverSetup(tmp_path)

    async def main() -> None:
        await declare_first_history(setup.client, False)
        random = Random(3)
        for run in range(12):
            _, task = await setup.start_archiver()
            end = setup.clock.now + random.random() * 1.5
            number = 0
            while setup.clock.now < end:
                number += 1
                setup.put(f"live/job/job-{run}-{number}", run)
                await curio.sleep(0.05)
            await task.cancel()
        await setup.start_archiver()
        await curio.sleep(5)
        assert setup.archived_records() == setup.stored_records()

    setup.run(main)


def test_an_archiver_that_starts_in_an_outage_waits_for_the_state_service(tmp_path: Path) -> None:
    """The archiver used to end at the first request without a response (found by a random scenario)."""
    setup = ArchiverSetup(tmp_path)

    async def main() -> None:
        await declare_first_history(setup.client, False)
        setup.put("live/job/job-1", "x")
        setup.store.outage(10)
        follower, _ = await setup.start_archiver()
        await curio.sleep(20)
        assert follower.phase is FollowerPhase.FOLLOWING
        assert setup.archived_records() == {"live/job/job-1": "x"}

    setup.run(main)


def test_a_second_archiver_refuses_to_run(tmp_path: Path) -> None:
    setup = ArchiverSetup(tmp_path)

    async def load() -> None:
        for number in range(100):
            setup.put("live/job/job-1", number)
            await curio.sleep(0.1)

    async def main() -> None:
        await declare_first_history(setup.client, False)
        await setup.start_archiver()
        await curio.spawn(load, daemon=True)
        await curio.sleep(1)
        with pytest.raises(RivalArchiverError):
            await Follower(setup.client, tmp_path / "other").run()

    setup.run(main)


def test_a_rolled_back_state_service_is_sealed_and_not_archived(tmp_path: Path) -> None:
    setup = ArchiverSetup(tmp_path)

    async def main() -> None:
        history = await declare_first_history(setup.client, False)
        follower, task = await setup.start_archiver()
        setup.put("live/job/job-1", "early")
        await curio.sleep(1)
        saved = setup.store.revision, dict(setup.store.keys)
        setup.put("live/job/job-2", "late")
        await curio.sleep(1)
        await task.cancel()  # no archiver is running during the rollback
        setup.store.restore(*saved)
        follower, _ = await setup.start_archiver()
        await curio.sleep(2)
        assert follower.phase is FollowerPhase.SEALED
        assert f"history/open/{history.name}" not in setup.store.keys
        assert setup.archived_records() == {"live/job/job-1": "early", "live/job/job-2": "late"}

    setup.run(main)


def test_each_history_has_its_own_directory(tmp_path: Path) -> None:
    setup = ArchiverSetup(tmp_path)

    async def main() -> None:
        await declare_first_history(setup.client, False)
        follower, _ = await setup.start_archiver()
        setup.put("live/job/job-1", "first")
        await curio.sleep(1)
        setup.store.wipe()
        await curio.sleep(3)
        later = HistoryRecord("bb", 2)
        setup.put("history/open/bb", {"number": 2})
        setup.put("history/current", json.loads(wire.encode(later)))
        setup.put("h2.bb/live/job/job-1", "second")
        await curio.sleep(3)
        assert follower.phase is FollowerPhase.FOLLOWING
        assert [
            read_state(history_dir).history_number for history_dir in archive.list_history_directories(tmp_path)
        ] == [1, 2]
        assert setup.archived_records() == {"live/job/job-1": "second"}

    setup.run(main)
    assert OpenMarker(2).number == 2


def test_the_server_answers_with_the_state_or_an_error_status(tmp_path: Path) -> None:
    history_dir = write_small_archive(tmp_path)
    server = ArchiveServer(lambda: read_state(history_dir), lambda name: None)

    async def main() -> None:
        head = await server.handle(Request("GET", "/archive/head", b""))
        assert json.loads(head.body)["revision"] == 50
        assert json.loads(head.body)["history"]["name"] == "aa"
        for target, status in (
            ("/archive/records?history=aa&position=0", 200),
            ("/archive/records?history=zz&position=0", 404),
            ("/archive/records?history=aa&position=-1", 400),
            ("/elsewhere", 404),
        ):
            assert (await server.handle(Request("GET", target, b""))).status == status
        assert (await server.handle(Request("POST", "/archive/head", b""))).status == 405

    curio.run(main)
