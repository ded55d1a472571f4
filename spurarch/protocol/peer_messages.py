"""Messages between controllers: tagged tuples in MessagePack. Any of them may be lost without harm."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class StateChanged(Struct, tag="wake", array_like=True):
    """Something was written to the state service that the receiver will want to see."""


class Ping(Struct, tag="ping", array_like=True):
    """Asks whether the receiver reaches the state service, and for what it knows, since the sender may be cut off."""

    node: str


class Pong(Struct, tag="pong", array_like=True):
    """Answer to a ping, with all that the sender knows to be cancelled, and who owns which partition.

    `partitions` are zone, owner's node and epoch. With `store_reachable`, the lists are as new as the ping. Without,
    they are complete up to `copy_age_s` ago, and hold whatever the sender's own process confirmed since; a `copy_age_s`
    below zero says that it has never read the state service (an older version leaves it out, and its lists with it).
    `uptime_s` is how long the process has run.
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
    """The sender's recent writes per second, and whether more are queued: unused shares of rates are lent by this.

    `unregistered_machines` counts, by zone, the workers that sent heartbeats to the sender in the last seconds though
    another controller owns their zone. `released_machines` are those that it released and that are still on record.
    `throttled_writes` counts the transactions that the state service refused it for their rate (an older version leaves
    it out, and ignores it).
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
        message: PeerMessage = _decoder.decode(frame)
        return message
    except msgspec.DecodeError:
        return None
