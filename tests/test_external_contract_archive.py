"""The archive's directory and files are read and written byte for byte as they are on operators' disks.

The expected files are literal. Avro's sync marker, which is random in each file, is replaced before comparing.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from spurarch.archive.directory import ChangeLog, list_files, list_history_directories, write_snapshot
from spurarch.archive.format import Block, DamagedFileError, Entry, FileHeader, FileKind, read_blocks, read_header
from spurarch.archive.reader import read_state
from spurarch.archive.state import ArchivedState
from spurarch.cli import main

MARKER = b"0123456789abcdef"
SCHEMA = (
    b'{"type": "record", "name": "spurarch.archive.Entry", "fields": [{"name": "revision", "type": "long"}, '
    b'{"name": "key", "type": "string"}, {"name": "value", "type": ["null", "bytes"]}, '
    b'{"name": "checksum", "type": "long"}]}'
)
SNAPSHOT = (
    b"Obj\x01\x10\x1espurarch.schema\x021 spurarch.history\x089f2c\x1espurarch.number\x022"
    b'"spurarch.revision\x0410\x1aspurarch.kind\x10snapshot\x1cspurarch.count\x022'
    b"\x14avro.codec\x12zstandard\x16avro.schema\xba\x03" + SCHEMA + b"\x00" + MARKER + b"\x04\xaa\x01"
    b"(\xb5/\xfd La\x02\x00\x12\x16final/job-2\x024"
    b'{"state":"done","tasks":2}\x96\xea\xa5\xa0\x11\x0e\x1clive/job/job-1\x02\x0e{"x":1}\x88\xf9\x95\xea\x1a' + MARKER
)
EMPTY_LOG = (
    b"Obj\x01\x10\x1espurarch.schema\x021 spurarch.history\x089f2c\x1espurarch.number\x022"
    b'"spurarch.revision\x0410\x1aspurarch.kind\x06log\x1cspurarch.count\x020'
    b"\x14avro.codec\x12zstandard\x16avro.schema\xba\x03" + SCHEMA + b"\x00" + MARKER
)
BATCH_TO_13 = (
    b"\x06n(\xb5/\xfd 7u\x01\x00T\x02\x18\x1clive/job-3\x02\x04[]\x8a\xe6\xbd\x84\x18\x1a1\x00\xfe\xe4\x9f\x98\x04\x1a"
    b"\x00\x00\xde\xae\xde\x9d\x1b\x02\x00<%\xcd:$" + MARKER
)
BATCH_TO_21 = (
    b"\x04~(\xb5/\xfd 6\xb1\x01\x00(\x16final/job-1\x024"
    b'{"state":"done","tasks":1}\xb2\xd7\xe6\xa5\x1a*\x00\x00\xf2\xc0\xdb\xdf\x14' + MARKER
)
LOG = EMPTY_LOG + BATCH_TO_13 + BATCH_TO_21
SNAPSHOT_NAME, LOG_NAME = "snapshot-0000000000000010.avro", "log-0000000000000010.avro"

SNAPSHOT_ENTRIES = (
    Entry(9, "final/job-2", b'{"state":"done","tasks":2}'),
    Entry(7, "live/job/job-1", b'{"x":1}'),
)
FIRST_BATCH = (Entry(12, "live/job/job-3", b"[]"), Entry(13, "live/job/job-1", None), Entry(13, "", None))
SECOND_BATCH = (Entry(20, "final/job-1", b'{"state":"done","tasks":1}'), Entry(21, "", None))


@pytest.fixture
def archive(tmp_path: Path) -> Path:
    """Returns the root of an archive with the files of an archiver of the version in production."""
    directory = tmp_path / "000002-9f2c"
    directory.mkdir()
    (directory / SNAPSHOT_NAME).write_bytes(SNAPSHOT)
    (directory / LOG_NAME).write_bytes(LOG)
    return tmp_path


def with_marker(path: Path) -> bytes:
    """Returns a file's bytes, with its sync marker replaced by `MARKER`."""
    whole = path.read_bytes()
    return whole.replace(whole[-16:], MARKER)


def start_point() -> ArchivedState:
    """Returns the state that `SNAPSHOT` holds."""
    return ArchivedState("9f2c", 2, 10, {entry.key: entry for entry in SNAPSHOT_ENTRIES})


def test_a_frozen_snapshot_is_read(archive: Path) -> None:
    path = archive / "000002-9f2c" / SNAPSHOT_NAME
    assert read_header(path) == FileHeader(FileKind.SNAPSHOT, "9f2c", 2, 10, 2)
    assert list(read_blocks(path)) == [Block(0, SNAPSHOT_ENTRIES, len(SNAPSHOT))]


def test_a_frozen_log_is_read(archive: Path) -> None:
    path = archive / "000002-9f2c" / LOG_NAME
    assert read_header(path) == FileHeader(FileKind.LOG, "9f2c", 2, 10, 0)
    assert list(read_blocks(path)) == [
        Block(0, FIRST_BATCH, len(EMPTY_LOG + BATCH_TO_13)),
        Block(1, SECOND_BATCH, len(LOG)),
    ]


def test_a_frozen_archive_gives_the_point_that_it_was_written_for(archive: Path) -> None:
    [directory] = list_history_directories(archive)

    newest, earlier = read_state(directory), read_state(directory, 13)

    assert (newest.history, newest.history_number, newest.revision) == ("9f2c", 2, 21)
    assert newest.records == {
        "final/job-1": SECOND_BATCH[0],
        "final/job-2": SNAPSHOT_ENTRIES[0],
        "live/job/job-3": FIRST_BATCH[0],
    }
    assert (earlier.revision, sorted(earlier.records)) == (13, ["final/job-2", "live/job/job-3"])


def test_a_snapshot_is_written_byte_for_byte_under_its_name(tmp_path: Path) -> None:
    path = write_snapshot(tmp_path, start_point())
    assert str(path.relative_to(tmp_path)) == "000002-9f2c/snapshot-0000000000000010.avro"
    assert with_marker(path) == SNAPSHOT


def test_a_log_is_written_byte_for_byte_under_its_name(tmp_path: Path) -> None:
    write_snapshot(tmp_path, start_point())

    log = ChangeLog(tmp_path, start_point())
    empty = with_marker(log.path)
    log.append(list(FIRST_BATCH[:-1]), 13)
    log.append(list(SECOND_BATCH[:-1]), 21)

    assert str(log.path.relative_to(tmp_path)) == "000002-9f2c/log-0000000000000010.avro"
    assert empty == EMPTY_LOG
    assert with_marker(log.path) == LOG
    assert [file.path.name for file in list_files(tmp_path / "000002-9f2c")] == [SNAPSHOT_NAME, LOG_NAME]


@pytest.mark.parametrize(
    ("entry", "checksum"),
    [(SNAPSHOT_ENTRIES[0], 2315565707), (FIRST_BATCH[1], 562297151), (FIRST_BATCH[2], 3655060399)],
    ids=["put", "deletion", "mark"],
)
def test_the_checksum_of_an_entry_stands(entry: Entry, checksum: int) -> None:
    assert entry.checksum() == checksum


def test_an_entry_whose_checksum_differs_is_refused_by_its_name(tmp_path: Path) -> None:
    path = tmp_path / SNAPSHOT_NAME
    path.write_bytes(SNAPSHOT.replace(b'{"x":1}', b'{"x":2}'))
    with pytest.raises(DamagedFileError) as refused:
        list(read_blocks(path))
    assert str(refused.value) == ("snapshot-0000000000000010.avro: block 0: ValueError checksum of live/job/job-1 at 7")


# Commands


def test_the_archive_is_shown_verified_listed_and_pruned_with_exactly_this_output(
    archive: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    outputs = []
    for words in (["show"], ["show", "--revision", "13", "--prefix", "live/"], ["verify"], ["list"], ["prune"]):
        assert main(["archive", *words, "--directory", str(archive)]) == 0
        outputs.append(capsys.readouterr().out)

    assert outputs == [
        "# history 9f2c, revision 21, 3 records\n"
        '{"key":"final/job-1","revision":20,"value":{"state":"done","tasks":1}}\n'
        '{"key":"final/job-2","revision":9,"value":{"state":"done","tasks":2}}\n'
        '{"key":"live/job/job-3","revision":12,"value":[]}\n',
        '# history 9f2c, revision 13, 2 records\n{"key":"live/job/job-3","revision":12,"value":[]}\n',
        "history 9f2c is good up to revision 21: 3 records\n",
        f"000002-9f2c\n  snapshot-0000000000000010.avro  snapshot from revision 10, {len(SNAPSHOT)} bytes\n"
        f"  log-0000000000000010.avro  log from revision 10, {len(LOG)} bytes\n",
        "",
    ]


@pytest.mark.parametrize(
    ("words", "error"),
    [
        (["verify", "--history", "zz"], "spurarch: {root}: no such history\n"),
        (["show", "--revision", "9"], "spurarch: 000002-9f2c: no snapshot up to revision 9\n"),
        (["serve", "--listen", "127.0.0.1:1", "--history", "zz"], "spurarch: {root}: no such history\n"),
    ],
    ids=["verify", "show", "serve"],
)
def test_what_the_archive_does_not_hold_is_refused_in_one_line(
    archive: Path, capsys: pytest.CaptureFixture[str], words: list[str], error: str
) -> None:
    assert main(["archive", *words, "--directory", str(archive)]) == 2
    assert capsys.readouterr().err == error.format(root=archive)


def test_an_empty_archive_is_refused_in_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["archive", "verify", "--directory", str(tmp_path)]) == 2
    assert capsys.readouterr().err == f"spurarch: {tmp_path}: empty\n"


def test_a_torn_file_is_refused_in_one_line(archive: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (archive / "000002-9f2c" / SNAPSHOT_NAME).write_bytes(SNAPSHOT[:-1])
    assert main(["archive", "verify", "--directory", str(archive)]) == 2
    assert capsys.readouterr().err.startswith("spurarch: snapshot-0000000000000010.avro: block 0")
