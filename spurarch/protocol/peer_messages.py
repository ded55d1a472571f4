"""What controllers tell each other: tagged tuples over MessagePack. All of it may be lost without harm."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class StateChanged(Struct, tag="wake", array_like=True):
    """Something was written to the state service that the receiver will want to see."""


class Ping(Struct, tag="ping", array_like=True):
    """Asks whether the receiver reaches the state service, and for news while the sender may not."""

    node: str


class Pong(Struct, tag="pong", array_like=True):
    """Answer to a ping, with all that the sender knows to be cancelled and who holds which part.

    With `reaches`, the lists are as new as the ping. Without, they are complete up to `age_s` ago, and hold whatever the
    sender's own process confirmed since; an `age_s` below zero says that it has never read the state service (an older
    version leaves it out, and its lists with it). `up_s` is how long the process has run.
    """

    node: str
    process_incarnation: str
    store_reachable: bool
    cancelled_jobs: list[str]
    partitions: list[tuple[str, str, int]]
    copy_age_s: float = -1.0
    uptime_s: float = 0.0


class JobsCancelled(Struct, tag="cancelled", array_like=True):
    """Jobs whose cancellation the sender is about to confirm to their users."""

    jobs: list[str]


class Load(Struct, tag="load", array_like=True):
    """Changes a second that the sender made of late, and whether more wait in line: rates are lent by this.

    `strangers` are the workers that reported to the sender in the last seconds though another holds their zone, `returned`
    machines that it gave back to the cloud and that are still on record. `writes_refused` counts the transactions that the
    state service refused it for their rate (an older version leaves it out, and passes it over).
    """

    node: str
    writes: float
    backlogged: bool
    unregistered_machines: list[tuple[str, int]] = []
    released_machines: list[str] = []
    throttled_writes: int = 0


PeerMessage = StateChanged | Ping | Pong | JobsCancelled | Load

encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def decode(frame: bytes) -> PeerMessage | None:
    """A peer's frame, or None if it can't be read."""
    try:
        hint: PeerMessage = _decoder.decode(frame)
        return hint
    except msgspec.DecodeError:
        return None
