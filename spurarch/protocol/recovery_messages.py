"""Messages between controllers while the state service's data is rebuilt: tagged tuples in MessagePack.

A controller of a version without recovery can't read them, by which the others recognize it.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from spurarch.protocol.wire import Heartbeat


class StoredRecord(Struct, array_like=True):
    """A record as some copy holds it: its key, the revision of its last change, and its value as JSON."""

    key: str
    version: int
    value: bytes


class RevisionRequest(Struct, tag="revision?", array_like=True):
    """Asks for the newest revision that the receiver has seen, and of which history."""

    node: str


class RevisionAnswer(Struct, tag="revision", array_like=True):
    """The history that the sender works in, or last worked in; the name is empty if it knows none."""

    node: str
    history: str
    number: int
    revision: int


class EvidenceRequest(Struct, tag="evidence?", array_like=True):
    """Asks for a page of what the receiver's copy of a lost history holds, from a position on."""

    node: str
    history: str
    position: int


class EvidencePage(Struct, tag="evidence", array_like=True):
    """A page of a copy of a lost history.

    Only a copy that is `closed` changes no more; one that is not `loaded` holds nothing. The copy has missed no change
    between `since` and `revision`. `position` is where the next page begins, 0 after the last.
    """

    node: str
    process_incarnation: str
    history: str
    closed: bool
    loaded: bool
    since: int
    revision: int
    records: list[StoredRecord]
    position: int


class HeartbeatsRequest(Struct, tag="reports?", array_like=True):
    """Asks for the heartbeats after the first `after` ones that answered a fencing token of an epoch."""

    node: str
    epoch: int
    after: int


class HeartbeatsPage(Struct, tag="reports", array_like=True):
    """The newest heartbeats, how many have come so far, and the highest partition epoch that any worker showed."""

    heartbeats: list[Heartbeat]
    position: int
    highest_epoch: int


RecoveryMessage = RevisionRequest | RevisionAnswer | EvidenceRequest | EvidencePage | HeartbeatsRequest | HeartbeatsPage

encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(RecoveryMessage)


def decode(frame: bytes) -> RecoveryMessage | None:
    """A peer's frame, or None if it is no message of this kind."""
    try:
        message: RecoveryMessage = _decoder.decode(frame)
        return message
    except msgspec.DecodeError:
        return None
