"""Records and messages must be readable by this version and by the earlier one, in both directions.

The earlier version is the last one before `records.GANG_VERSION`, which does not start the tasks of a gang together.
"""

from __future__ import annotations

import msgspec
import pytest

from spurarch.protocol import peer_messages
from spurarch.settings import NextStateLimits, StateLimits
from spurarch.storage import records
from spurarch.storage.rate_limits import AdaptiveFactor
from spurarch.storage.records import AllocationRecord, MemberRecord, TaskEntry

# As written by the earlier version.
FROZEN_RECORDS = {
    "live/job/job-1": b'{"spec":{"ref":"job-1","circuit":"c","crew":"t","gait":"gang","precedence":"high","legs":2,'
    b'"vcpus":1.0,"gpus":0.0,"memory_gb":2.0,"kit":"i","pull_gb":0.5,"together":true,"spread":false,"lendable":true,'
    b'"reckon_s":3.0,"waypoint_s":0.0,"stow_s":0.0,"builds":null,"district":"a","cutoff_s":9.0},"at":5.0,'
    b'"cancelled":false,"cancelled_at":0.0}',
    "live/admitted/job-1": b"[2,1]",
    "live/allot/a/job-1/0": b'[[[0,1,3,"vm-000001",2],[1,0,2,"",0]]]',
    "live/part/a": b'{"node":"n0","epoch":7,"boot":"x"}',
    "live/leader": b'{"node":"n0","boot":"x"}',
    "live/machine/a/vm-000001": b'{"type":"small","spot":false,"addr":"10.1.0.1:9000","open":true}',
    "final/job-1": b'{"state":"done","tasks":2}',
}
FROZEN_MEMBER = b'{"node":"n0","boot":"x","area":"a","unfit":["b"],"dark":[]}'
FROZEN_MESSAGES = [
    b"\x91\xa4wake",
    b"\x92\xa4ping\xa2n0",
    b"\x98\xa4pong\xa2n0\xa1x\xc3\x91\xa5job-1\x91\x93\xa1a\xa2n0\x03"
    b"\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xcb\x40\x22\x00\x00\x00\x00\x00\x00",
    b"\x92\xa9cancelled\x91\xa5job-1",
    b"\x96\xa4load\xa2n0\xcb\x40\x08\x00\x00\x00\x00\x00\x00\xc3\x91\x92\xa1a\x02\x91\xa9vm-000001",
]


class EarlierMember(msgspec.Struct):
    """The member record of the earlier version."""

    node: str
    boot: str
    area: str
    unfit: list[str] = []
    dark: list[str] = []


class EarlierLoad(msgspec.Struct, tag="load", array_like=True):
    """The load message of the earlier version."""

    node: str
    writes: float
    hungry: bool
    strangers: list[tuple[str, int]] = []
    returned: list[str] = []


@pytest.mark.parametrize("key", FROZEN_RECORDS)
def test_records_of_the_earlier_version_are_read_and_written_byte_for_byte(key: str) -> None:
    record = records.decode(key, FROZEN_RECORDS[key])
    assert record is not None
    assert msgspec.json.encode(record) == FROZEN_RECORDS[key]


def test_a_member_record_without_a_version_counts_as_the_earlier_version() -> None:
    member = records.decode(records.MEMBER + "n0", FROZEN_MEMBER)
    assert isinstance(member, MemberRecord)
    assert member.version < records.GANG_VERSION


def test_the_earlier_version_reads_a_member_record_and_ignores_only_the_version() -> None:
    written = msgspec.json.encode(MemberRecord("n0", "x", "a", ["b"], [], records.PROGRAM_VERSION))
    as_read = msgspec.json.encode(msgspec.json.decode(written, type=EarlierMember))
    assert as_read == FROZEN_MEMBER


@pytest.mark.parametrize("frame", FROZEN_MESSAGES)
def test_messages_of_the_earlier_version_are_decoded(frame: bytes) -> None:
    message = peer_messages.decode(frame)
    assert message is not None
    assert peer_messages.encode(message)[1 : len(frame)] == frame[1:]  # the first byte encodes the number of fields


def test_the_earlier_version_reads_a_longer_message() -> None:
    frame = peer_messages.encode(peer_messages.Load("n0", 3.0, True, [("a", 2)], ["vm-000001"], 4))
    assert msgspec.msgpack.decode(frame, type=EarlierLoad) == EarlierLoad("n0", 3.0, True, [("a", 2)], ["vm-000001"])


@pytest.mark.parametrize("frame", [b"\x92\xaaunheard-of\x01", b"", b"\xc1", b"\x91\xa4load"])
def test_unknown_messages_are_ignored(frame: bytes) -> None:
    assert peer_messages.decode(frame) is None


def test_sizes_and_rates_respect_the_current_and_the_announced_limits() -> None:
    limits = StateLimits(200.0, 80.0, 16.0, 24, NextStateLimits(None, 56.0, 2.0, 8))
    assert (limits.value_bytes, limits.transaction_changes, limits.transaction_guards) == (2048, 8, 32)
    assert (limits.lowest_rps, limits.lowest_write_rps) == (200.0, 56.0)
    wider = StateLimits(200.0, 80.0, 16.0, 24, NextStateLimits(400.0, 160.0, 32.0, 48))
    assert (wider.value_bytes, wider.transaction_changes, wider.lowest_write_rps) == (16384, 24, 80.0)
    assert StateLimits(200.0, 80.0, 16.0, 24).transaction_changes == 24


@pytest.mark.parametrize("value_bytes", [512, 1024, 2048, 16384])
def test_the_largest_record_fits_a_value(value_bytes: int) -> None:
    most = records.tasks_per_record(value_bytes)
    entry = TaskEntry(99_999, records.ASSIGNED, 10**6, "vm-" + "9" * 30, 10**6)
    assert len(msgspec.json.encode(AllocationRecord([entry] * most))) <= value_bytes


def test_a_rate_factor_falls_at_once_to_the_announced_minimum_and_recovers_in_steps() -> None:
    factor = AdaptiveFactor(0.7, 0.7, 0.02)
    for _ in range(5):
        factor.decrease()
    assert factor.value == 0.7
    for _ in range(10):
        factor.recover()
    assert factor.value == pytest.approx(0.9)
    for _ in range(10):
        factor.recover()
    assert factor.value == 1.0
