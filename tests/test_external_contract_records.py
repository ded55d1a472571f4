"""Key and bytes of every record that controllers store in the state service.

The bytes are literal: a version that fails here can't read or write the records of the version in production.
"""

from __future__ import annotations

import msgspec
import pytest

from spurarch.protocol.wire import Submission
from spurarch.recovery import claim, rebuild_progress, rebuilt_records
from spurarch.recovery.claim import ClaimRecord
from spurarch.storage import history, records, seeds
from spurarch.storage.history import ArchivedRecord, HistoryRecord, OpenMarker, PackedFinals
from spurarch.storage.records import (
    AdmissionRecord,
    AllocationKey,
    AllocationRecord,
    FinalRecord,
    JobRecord,
    LeaderRecord,
    MachineRecord,
    MemberRecord,
    PartitionRecord,
    TaskEntry,
)
from spurarch.storage.seeds import SeedPack, SeedRecord

FULL_SUBMISSION = Submission(
    "job-000412",
    "train",
    "vision",
    "batch",
    "high",
    16,
    8.0,
    1.0,
    64.0,
    "img-07",
    6.2,
    True,
    False,
    True,
    240.0,
    30.0,
    4.0,
    ["g8"],
    "a",
    900.0,
)
FULL_SUBMISSION_BYTES = (
    b'{"ref":"job-000412","circuit":"train","crew":"vision","gait":"batch","precedence":"high","legs":16,'
    b'"vcpus":8.0,"gpus":1.0,"memory_gb":64.0,"kit":"img-07","pull_gb":6.2,"together":true,"spread":false,'
    b'"lendable":true,"reckon_s":240.0,"waypoint_s":30.0,"stow_s":4.0,"builds":["g8"],"district":"a","cutoff_s":900.0}'
)
SERVICE_SUBMISSION = Submission(
    "job-7", "web", "t", "daemon", "production", 3, 1.0, 0.0, 2.0, "i", 0.5, False, True, False, 0.0, 0.0, 0.0
)
SERVICE_SUBMISSION_BYTES = (
    b'{"ref":"job-7","circuit":"web","crew":"t","gait":"daemon","precedence":"production","legs":3,'
    b'"vcpus":1.0,"gpus":0.0,"memory_gb":2.0,"kit":"i","pull_gb":0.5,"together":false,"spread":true,'
    b'"lendable":false,"reckon_s":0.0,"waypoint_s":0.0,"stow_s":0.0,"builds":null,"district":null,"cutoff_s":null}'
)

RecordCase = tuple[str, bytes, records.Record]
RECORDS: list[RecordCase] = [
    (
        "live/job/job-000412",
        b'{"spec":' + FULL_SUBMISSION_BYTES + b',"at":5.5,"cancelled":false,"cancelled_at":0.0}',
        JobRecord(FULL_SUBMISSION, 5.5),
    ),
    (
        "live/job/job-7",
        b'{"spec":' + SERVICE_SUBMISSION_BYTES + b',"at":5.0,"cancelled":true,"cancelled_at":7.25}',
        JobRecord(SERVICE_SUBMISSION, 5.0, True, 7.25),
    ),
    ("live/admitted/job-7", b"[40,2]", AdmissionRecord(40, 2)),
    (
        "live/allot/a/job-7/0",
        b'[[[0,0,0,"",0],[1,1,3,"vm-000001",2],[2,2,1,"vm-000002",1],[3,3,0,"",0]]]',
        AllocationRecord(
            [
                TaskEntry(0),
                TaskEntry(1, 1, 3, "vm-000001", 2),
                TaskEntry(2, 2, 1, "vm-000002", 1),
                TaskEntry(3, 3),
            ]
        ),
    ),
    ("live/allot/a/job-7/1", b"[[]]", AllocationRecord([])),
    ("live/part/a", b'{"node":"croft-1","epoch":12,"boot":"00ff"}', PartitionRecord("croft-1", 12, "00ff")),
    (
        "live/member/croft-1",
        b'{"node":"croft-1","boot":"00ff","area":"a","unfit":["b"],"dark":["c"],"version":1}',
        MemberRecord("croft-1", "00ff", "a", ["b"], ["c"], 1),
    ),
    ("live/leader", b'{"node":"croft-1","boot":"00ff"}', LeaderRecord("croft-1", "00ff")),
    (
        "live/machine/a/vm-000001",
        b'{"type":"g8","spot":true,"addr":"10.1.0.1:9000","open":false}',
        MachineRecord("g8", True, "10.1.0.1:9000", False),
    ),
    ("final/job-1", b'{"state":"done","tasks":2}', FinalRecord("done", 2)),
    ("final/job-2", b'{"state":"aborted","tasks":0}', FinalRecord("aborted", 0)),
    ("final/job-3", b'{"state":"in doubt","tasks":4}', FinalRecord("in doubt", 4)),
]

SHORT_RECORDS: list[RecordCase] = [
    ("live/admitted/job-7", b"[40]", AdmissionRecord(40, 0)),
    ("live/allot/a/job-7/0", b"[[[5]]]", AllocationRecord([TaskEntry(5, 0, 0, "", 0)])),
    ("live/part/a", b'{"node":"n0","epoch":1}', PartitionRecord("n0", 1, "")),
    ("live/member/n0", b'{"node":"n0","boot":"x","area":"a"}', MemberRecord("n0", "x", "a", [], [], 0)),
    (
        "live/machine/a/vm-1",
        b'{"type":"g8","spot":false,"addr":"10.1.0.1:9000"}',
        MachineRecord("g8", False, "10.1.0.1:9000", True),
    ),
    ("final/job-1", b'{"state":"done","tasks":2,"unknown":[1]}', FinalRecord("done", 2)),
]


@pytest.mark.parametrize(("key", "stored", "record"), RECORDS, ids=[case[0] for case in RECORDS])
def test_a_record_is_written_as_exactly_the_stored_bytes(key: str, stored: bytes, record: records.Record) -> None:
    assert msgspec.json.encode(record) == stored


@pytest.mark.parametrize(
    ("key", "stored", "record"), RECORDS + SHORT_RECORDS, ids=[case[0] for case in RECORDS + SHORT_RECORDS]
)
def test_stored_bytes_are_read_as_the_record_that_was_written(key: str, stored: bytes, record: records.Record) -> None:
    assert records.decode(key, stored) == record


@pytest.mark.parametrize(
    "key",
    ["live/other/a", "live/", "live/leade", "finals/job-1", "history/current", "seed/0", "", "other/live/job/job-1"],
)
def test_a_key_of_others_is_no_record(key: str) -> None:
    assert records.decode(key, b"{}") is None


def test_the_beginnings_of_keys_are_the_stored_ones() -> None:
    assert (records.LIVE, records.FINAL) == ("live/", "final/")
    assert (records.JOB, records.ADMISSION, records.ALLOCATION) == ("live/job/", "live/admitted/", "live/allot/")
    assert (records.PARTITION, records.MEMBER, records.MACHINE) == ("live/part/", "live/member/", "live/machine/")
    assert records.LEADER == "live/leader"


def test_the_numbers_of_stored_task_states_and_versions_stand() -> None:
    assert (int(records.UNASSIGNED), int(records.ASSIGNED), int(records.ENDED), int(records.RETURNED)) == (0, 1, 2, 3)
    assert (records.GANG_VERSION, records.PROGRAM_VERSION) == (1, 1)
    assert records.UNRESOLVED == "in doubt"


def test_an_allocation_key_is_written_and_parsed_as_stored() -> None:
    assert str(AllocationKey("a", "job-7", 3)) == "live/allot/a/job-7/3"
    assert AllocationKey.parse("live/allot/a/job-7/3") == AllocationKey("a", "job-7", 3)
    assert AllocationKey.parse("live/allot/zone/x/job-7/1000001") == AllocationKey("zone/x", "job-7", 1_000_001)


def test_a_machine_key_is_written_and_parsed_as_stored() -> None:
    assert records.machine_key("a", "vm-000001") == "live/machine/a/vm-000001"
    assert records.parse_machine_key("live/machine/a/vm-000001") == ("a", "vm-000001")


@pytest.mark.parametrize(
    ("key", "job"),
    [
        ("live/job/job-7", "job-7"),
        ("live/admitted/job-7", "job-7"),
        ("live/allot/a/job-7/3", "job-7"),
        ("live/part/a", None),
        ("final/job-7", None),
    ],
)
def test_the_job_of_a_key_is_found(key: str, job: str | None) -> None:
    assert records.job_of(key) == job


@pytest.mark.parametrize(
    ("chunk", "expected"),
    [
        (
            0,
            [
                ("live/allot/a/job-7/0", b'[[[0,0,0,"",0],[1,0,0,"",0]]]'),
                ("live/allot/a/job-7/1000001", b'[[[2,0,0,"",0],[3,0,0,"",0]]]'),
                ("live/allot/a/job-7/1000002", b'[[[4,0,0,"",0]]]'),
            ],
        ),
        (
            7,
            [
                ("live/allot/a/job-7/7", b'[[[0,0,0,"",0],[1,0,0,"",0]]]'),
                ("live/allot/a/job-7/1007001", b'[[[2,0,0,"",0],[3,0,0,"",0]]]'),
                ("live/allot/a/job-7/1007002", b'[[[4,0,0,"",0]]]'),
            ],
        ),
        (
            1_007_001,
            [
                ("live/allot/a/job-7/1007001", b'[[[0,0,0,"",0],[1,0,0,"",0]]]'),
                ("live/allot/a/job-7/8001001", b'[[[2,0,0,"",0],[3,0,0,"",0]]]'),
                ("live/allot/a/job-7/8001002", b'[[[4,0,0,"",0]]]'),
            ],
        ),
    ],
    ids=["first-chunk", "later-chunk", "split-again"],
)
def test_an_allocation_too_large_for_a_value_is_split_into_the_same_keys(
    chunk: int, expected: list[tuple[str, bytes]]
) -> None:
    allocation = AllocationRecord([TaskEntry(index) for index in range(5)])

    pieces = records.split(AllocationKey("a", "job-7", chunk), allocation, 2)

    assert [(str(key), msgspec.json.encode(piece)) for key, piece in pieces] == expected


def test_the_team_is_found_in_a_job_record_that_can_not_be_read_otherwise() -> None:
    assert records.team_of("live/job/job-1", b'{"spec":{"crew":"vision","gait":"unheard-of"}}') == "vision"
    assert records.team_of("live/job/job-1", b'{"spec":{"team":"vision"}}') is None
    assert records.team_of("live/part/a", b'{"spec":{"crew":"vision"}}') is None


# Histories and recovery


HISTORY_BYTES = (
    b'{"name":"9f2c","number":2,"epoch":40,"packed":3,"uncertain":true,"parent":"01ab","archived_answers":true,'
    b'"installation":"site","seeded":true}'
)
HISTORY = HistoryRecord("9f2c", 2, 40, 3, True, "01ab", True, "site", True)
FIRST_HISTORY_BYTES = (
    b'{"name":"01ab","number":1,"epoch":0,"packed":0,"uncertain":false,"parent":"","archived_answers":false,'
    b'"installation":"","seeded":false}'
)


@pytest.mark.parametrize(
    ("stored", "record"),
    [(HISTORY_BYTES, HISTORY), (FIRST_HISTORY_BYTES, HistoryRecord("01ab", 1))],
    ids=["rebuilt", "first"],
)
def test_the_history_marker_is_read_and_written_byte_for_byte(stored: bytes, record: HistoryRecord) -> None:
    assert msgspec.json.encode(record) == stored
    assert history.decode_history(stored) == record


def test_a_history_marker_with_only_its_name_and_number_is_read() -> None:
    assert history.decode_history(b'{"name":"01ab","number":1}') == HistoryRecord("01ab", 1)


def test_a_published_archive_revision_is_read_and_written_byte_for_byte() -> None:
    stored = b'{"name":"9f2c","revision":431,"archiver":"00ff"}'
    assert msgspec.json.encode(ArchivedRecord("9f2c", 431, "00ff")) == stored
    assert history.decode_archived(stored) == ArchivedRecord("9f2c", 431, "00ff")


def test_an_open_marker_is_written_and_read_byte_for_byte() -> None:
    assert msgspec.json.encode(OpenMarker(2)) == b'{"number":2}'
    assert msgspec.json.decode(b'{"number":2}', type=OpenMarker) == OpenMarker(2)


def test_packed_final_states_are_read_and_written_byte_for_byte() -> None:
    stored = b'{"jobs":{"job-1":["done",2],"job-2":["in doubt",4]}}'
    packed = PackedFinals({"job-1": ("done", 2), "job-2": ("in doubt", 4)})
    assert msgspec.json.encode(packed) == stored
    assert history.decode_packed(stored) == packed


def test_the_key_of_packed_final_states_depends_on_the_job_in_the_same_way() -> None:
    # The CRC-32 of "job-1" is 1279408703, and 1279408703 modulo 7 is 6.
    assert history.packed_key("job-1", 7) == "packed/6"
    assert history.packed_key("job-000412", 1) == "packed/0"


def test_the_keys_of_histories_are_the_stored_ones() -> None:
    assert (history.CURRENT, history.CLAIM) == ("history/current", "history/claim")
    assert (history.ARCHIVED, history.OPEN) == ("history/archived", "history/open/")
    assert (history.REBUILD, history.PACKED, history.UNRESOLVED_PREFIX) == ("history/rebuild/", "packed/", "doubt/")
    assert (seeds.SEED, seeds.SEED_VERSION) == ("seed/", 1)


@pytest.mark.parametrize(
    ("record", "prefix"),
    [(HistoryRecord("01ab", 1), ""), (HistoryRecord("9f2c", 2), "h2.9f2c/"), (HistoryRecord("77", 12), "h12.77/")],
    ids=["first", "second", "twelfth"],
)
def test_the_keys_of_a_history_begin_in_the_same_way(record: HistoryRecord, prefix: str) -> None:
    assert record.prefix == prefix


@pytest.mark.parametrize(
    ("key", "ours"),
    [
        ("live/job/job-1", True),
        ("h2.9f2c/live/job/job-1", True),
        ("h2.9f2c/seed/0", True),
        ("h2.9f2c/doubt/job-1", True),
        ("packed/0", True),
        ("final/job-1", True),
        ("h2.xyz/live/job/job-1", False),
        ("history/current", False),
        ("others/live/job/job-1", False),
    ],
)
def test_keys_of_any_history_are_told_from_those_of_others(key: str, ours: bool) -> None:
    assert history.is_record_key(key) is ours


def test_a_seed_is_read_and_written_byte_for_byte() -> None:
    stored = (
        b'{"records":[["live/part/a",{"node":"n0","epoch":7,"boot":"x"}],["final/job-1",{"state":"done","tasks":2}]]}'
    )
    pack = SeedPack(
        [
            SeedRecord("live/part/a", msgspec.Raw(b'{"node":"n0","epoch":7,"boot":"x"}')),
            SeedRecord("final/job-1", msgspec.Raw(b'{"state":"done","tasks":2}')),
        ]
    )

    read = seeds.decode_seed(stored)

    assert msgspec.json.encode(pack) == stored
    assert [(record.key, bytes(record.value)) for record in read.records] == [
        ("live/part/a", b'{"node":"n0","epoch":7,"boot":"x"}'),
        ("final/job-1", b'{"state":"done","tasks":2}'),
    ]


def test_records_are_packed_into_the_same_seeds() -> None:
    entries = [SeedRecord(f"final/job-{number}", msgspec.Raw(b'{"state":"done","tasks":2}')) for number in range(3)]

    packs = seeds.pack(entries, 3, 8192)

    assert [msgspec.json.encode(pack) for pack in packs] == [
        b'{"records":[["final/job-0",{"state":"done","tasks":2}],["final/job-1",{"state":"done","tasks":2}]]}',
        b'{"records":[["final/job-2",{"state":"done","tasks":2}]]}',
    ]


def test_the_claim_of_a_rebuilding_is_read_and_written_byte_for_byte() -> None:
    stored = b'{"node":"n0","boot":"00ff","name":"9f2c","beat":3,"epoch":40,"step":"sealing"}'
    record = ClaimRecord("n0", "00ff", "9f2c", 3, 40, "sealing")
    assert msgspec.json.encode(record) == stored
    assert msgspec.json.decode(stored, type=ClaimRecord) == record


def test_a_doubt_is_read_and_written_byte_for_byte() -> None:
    stored = b'{"job":"job-1","kind":"outcome","detail":"why"}'
    unresolved = rebuilt_records.UnresolvedOutcome("job-1", "outcome", "why")
    assert msgspec.json.encode(unresolved) == stored
    assert msgspec.json.decode(stored, type=rebuilt_records.UnresolvedOutcome) == unresolved


def test_the_words_for_kinds_of_unresolved_outcomes_are_the_stored_ones() -> None:
    assert {kind.value for kind in rebuilt_records.UnresolvedKind} == {"outcome", "conflict", "unknown job"}


def test_the_words_for_steps_of_a_rebuilding_are_the_stored_ones() -> None:
    steps = ["sealing", "gathering", "collecting", "writing", "opened"]
    assert [step.value for step in rebuild_progress.Step] == steps
    assert claim.FINISHED == "opened"
