"""Messages between controllers: the bytes of every message, and the framing of the connections between peers.

The bytes are literal: controllers of the version in production send and expect exactly these.
"""

from __future__ import annotations

import socket

import curio
import pytest

from spurarch.protocol import peer_messages, recovery_messages
from spurarch.protocol.peer_messages import JobsCancelled, Load, PeerMessage, Ping, Pong, StateChanged
from spurarch.protocol.recovery_messages import (
    EvidencePage,
    EvidenceRequest,
    HeartbeatsPage,
    HeartbeatsRequest,
    RecoveryMessage,
    RevisionAnswer,
    RevisionRequest,
    StoredRecord,
)
from spurarch.protocol.wire import Heartbeat, TaskStatus
from spurarch.transport import frames

PEER_MESSAGES: list[tuple[str, bytes, PeerMessage]] = [
    ("wake", b"\x91\xa4wake", StateChanged()),
    ("ping", b"\x92\xa4ping\xa2n0", Ping("n0")),
    (
        "pong",
        b"\x98\xa4pong\xa2n0\xa400ff\xc3\x91\xa5job-1\x91\x93\xa1a\xa2n0\x03"
        b"\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xcb\x40\x22\x00\x00\x00\x00\x00\x00",
        Pong("n0", "00ff", True, ["job-1"], [("a", "n0", 3)], 0.5, 9.0),
    ),
    (
        "pong-that-never-read",
        b"\x98\xa4pong\xa2n0\xa400ff\xc2\x90\x90"
        b"\xcb\xbf\xf0\x00\x00\x00\x00\x00\x00\xcb\x00\x00\x00\x00\x00\x00\x00\x00",
        Pong("n0", "00ff", False, [], []),
    ),
    ("cancelled", b"\x92\xa9cancelled\x92\xa5job-1\xa5job-2", JobsCancelled(["job-1", "job-2"])),
    (
        "load",
        b"\x97\xa4load\xa2n0\xcb\x40\x08\x00\x00\x00\x00\x00\x00\xc3\x91\x92\xa1a\x02\x91\xa9vm-000001\x04",
        Load("n0", 3.0, True, [("a", 2)], ["vm-000001"], 4),
    ),
    (
        "load-of-nothing",
        b"\x97\xa4load\xa2n0\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xc2\x90\x90\x00",
        Load("n0", 0.0, False),
    ),
]

# Messages of earlier versions, which lack the last fields
SHORT_PEER_MESSAGES: list[tuple[str, bytes, PeerMessage]] = [
    ("pong-without-ages", b"\x96\xa4pong\xa2n0\xa400ff\xc3\x90\x90", Pong("n0", "00ff", True, [], [], -1.0, 0.0)),
    ("load-without-lists", b"\x94\xa4load\xa2n0\x03\xc3", Load("n0", 3.0, True, [], [], 0)),
    (
        "load-without-refusals",
        b"\x96\xa4load\xa2n0\xcb\x40\x08\x00\x00\x00\x00\x00\x00\xc3\x91\x92\xa1a\x02\x91\xa9vm-000001",
        Load("n0", 3.0, True, [("a", 2)], ["vm-000001"], 0),
    ),
    ("ping-of-a-later-version", b"\x93\xa4ping\xa2n0\x07", Ping("n0")),
]

REPORT = Heartbeat(
    "vm-000231",
    "10.1.0.232:9000",
    "g8",
    "a",
    1,
    88,
    41,
    [TaskStatus("job-000412/3", 2, "running"), TaskStatus("job-000398/0", 1, "ended", "halted", True)],
    True,
    30.5,
)
PACKED_REPORT = (
    b"\x8a\xa5croft\xa9vm-000231\xa4addr\xaf10.1.0.232:9000\xa5build\xa2g8\xa8district\xa1a"
    b"\xa6tenure\x01\xa5tallyX\xa5baton)\xa4legs\x92"
    b"\x85\xa3leg\xacjob-000412/3\xa3try\x02\xa8standing\xa7running\xa5cause\xc0\xa6stored\xc0"
    b"\x85\xa3leg\xacjob-000398/0\xa3try\x01\xa8standing\xa5ended\xa5cause\xa6halted\xa6stored\xc3"
    b"\xa8lendable\xc3\xa9warning_s\xcb\x40\x3e\x80\x00\x00\x00\x00\x00"
)

RECOVERY_MESSAGES: list[tuple[str, bytes, RecoveryMessage]] = [
    ("revision-request", b"\x92\xa9revision?\xa2n0", RevisionRequest("n0")),
    (
        "revision-answer",
        b"\x95\xa8revision\xa2n0\xa49f2c\x02\xcd\x01\xaf",
        RevisionAnswer("n0", "9f2c", 2, 431),
    ),
    ("evidence-request", b"\x94\xa9evidence?\xa2n0\xa49f2c\xcd\x01\xf4", EvidenceRequest("n0", "9f2c", 500)),
    (
        "evidence-page",
        b"\x9a\xa8evidence\xa2n0\xa400ff\xa49f2c\xc3\xc2\x07\xcd\x01\xaf\x91\x93\xabfinal/job-1\x09"
        b'\xc4\x1a{"state":"done","tasks":2}\xcd\x01\xf4',
        EvidencePage(
            "n0",
            "00ff",
            "9f2c",
            True,
            False,
            7,
            431,
            [StoredRecord("final/job-1", 9, b'{"state":"done","tasks":2}')],
            500,
        ),
    ),
    ("reports-request", b"\x94\xa8reports?\xa2n0\x28\xcc\xc8", HeartbeatsRequest("n0", 40, 200)),
    ("reports-page", b"\x94\xa7reports\x91" + PACKED_REPORT + b"\xcc\xc8\x27", HeartbeatsPage([REPORT], 200, 39)),
]


@pytest.mark.parametrize(("name", "frame", "message"), PEER_MESSAGES, ids=[case[0] for case in PEER_MESSAGES])
def test_a_peer_message_is_sent_as_exactly_these_bytes(name: str, frame: bytes, message: PeerMessage) -> None:
    assert peer_messages.encode(message) == frame


@pytest.mark.parametrize(
    ("name", "frame", "message"),
    PEER_MESSAGES + SHORT_PEER_MESSAGES,
    ids=[case[0] for case in PEER_MESSAGES + SHORT_PEER_MESSAGES],
)
def test_a_peer_message_is_understood(name: str, frame: bytes, message: PeerMessage) -> None:
    assert peer_messages.decode(frame) == message


@pytest.mark.parametrize(("name", "frame", "message"), RECOVERY_MESSAGES, ids=[case[0] for case in RECOVERY_MESSAGES])
def test_a_recovery_message_is_sent_as_exactly_these_bytes(name: str, frame: bytes, message: RecoveryMessage) -> None:
    assert recovery_messages.encode(message) == frame


@pytest.mark.parametrize(("name", "frame", "message"), RECOVERY_MESSAGES, ids=[case[0] for case in RECOVERY_MESSAGES])
def test_a_recovery_message_is_understood(name: str, frame: bytes, message: RecoveryMessage) -> None:
    assert recovery_messages.decode(frame) == message


@pytest.mark.parametrize(
    "frame",
    [b"", b"\xc1", b"\x92\xaaunheard-of\x01", b"\x91\xa4load", b"\x92\xa4ping\x01", b"\x92\xa9revision?\xa2n0"],
    ids=["empty", "no-messagepack", "unknown-tag", "too-short", "wrong-type", "of-recovery"],
)
def test_what_is_no_peer_message_is_passed_over(frame: bytes) -> None:
    assert peer_messages.decode(frame) is None


@pytest.mark.parametrize("frame", [b"", b"\xc1", b"\x92\xa4ping\xa2n0", b"\x91\xa4wake", b"\x91\xa9revision?"])
def test_what_is_no_recovery_message_is_left_to_others(frame: bytes) -> None:
    assert recovery_messages.decode(frame) is None


# Framing of the connections between peers


async def _written(data: bytes) -> bytes:
    ours, theirs = socket.socketpair()
    async with curio.io.Socket(ours) as sender, curio.io.Socket(theirs) as receiver:
        await frames.write_frame(sender, data)
        received: bytes = await receiver.recv(100)
        return received


async def _read(pieces: list[bytes]) -> bytes:
    ours, theirs = socket.socketpair()
    async with curio.io.Socket(ours) as reader, curio.io.Socket(theirs) as sender:
        for piece in pieces:
            await sender.sendall(piece)
        await sender.shutdown(socket.SHUT_WR)
        return await frames.read_frame(reader)


@pytest.mark.parametrize(
    ("data", "sent"),
    [(b"\x91\xa4wake", b"\x00\x00\x00\x06\x91\xa4wake"), (b"", b"\x00\x00\x00\x00")],
    ids=["wake", "empty"],
)
def test_a_frame_is_its_length_in_four_bytes_and_then_its_data(data: bytes, sent: bytes) -> None:
    assert curio.run(_written, data) == sent


def test_a_frame_that_comes_in_pieces_is_read_whole() -> None:
    assert curio.run(_read, [b"\x00\x00", b"\x00\x09\x92\xa4pi", b"ng\xa2n0rest"]) == b"\x92\xa4ping\xa2n0"


@pytest.mark.parametrize(
    "pieces",
    [[b"\x00\x10\x00\x01"], [b"\x00\x00\x00\x02\x01"], [b"\x00\x00"]],
    ids=["over-a-mebibyte", "torn", "torn-length"],
)
def test_a_frame_that_is_torn_or_too_large_is_refused(pieces: list[bytes]) -> None:
    with pytest.raises(ConnectionResetError):
        curio.run(_read, pieces)


def test_the_largest_frame_is_a_mebibyte() -> None:
    assert frames.MAX_FRAME_BYTES == 1_048_576
