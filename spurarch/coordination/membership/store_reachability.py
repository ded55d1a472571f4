"""Whether this controller may still act while it can't reach the state service.

An outage and a refusal of this controller alone look the same from here. Running work should live through both, but a
cancellation may be confirmed elsewhere meanwhile, and its tasks have to be gone within `cancel_s`. So the partition
owner goes on answering heartbeats only while its newest *attestation of freshness* is young enough. An attestation of
time T says that this controller knows every cancellation that anybody confirmed before T. The newest one, the
*freshness bound*, is the latest of
  - the time at which the newest successful read of the state service was sent;
  - the same of a peer, which passes on all that its copy holds: the time of our ping, less the age of that copy;
  - the earliest of the latest pings that *every* peer answered with an attestation. A peer's process attests to what
    its node confirmed: to its own confirmations, since its list holds them; and to those of its predecessors, if it has
    read the state service since it started, or started before an earlier attestation. One that restarted within an
    outage can't attest: its predecessor may have confirmed a cancellation and ended (docs/incidents/2026-12-02-gap.md).
Silence attests to nothing: that nobody reaches the service now says nothing of what was confirmed before.

The last heartbeat answered before `freshness bound + cancel_s - lease_s - margin` keeps its worker alive for `lease_s`
at most, so every task is gone before `freshness bound + cancel_s`, and no cancellation was confirmed before the bound
without our knowing of it.

All times are of the monotonic clock, in seconds.
"""

from __future__ import annotations

from msgspec import Struct

from spurarch.protocol import peer_messages

CLOCK_DRIFT = 1.001  # how much faster one clock may run than another
MARGIN_S, MARGIN_SHARE = 1.0, 0.05  # the share is of `cancel_s`
RESPONSE_VALID_S = 4.0
NEVER = float("-inf")


class KnownOwner(Struct, frozen=True):
    """Who owns a partition, as a peer told."""

    node: str
    epoch: int


class _PeerResponse(Struct, frozen=True):
    """The process of a peer that answered last, and when its answer came."""

    process_incarnation: str
    received_at: float


class StoreReachability:
    """Collects attestations of freshness, and what else peers tell of records that can't be read.

    `peers` are the nodes of all other controllers; `cancel_s` and `lease_s` are the deployment's.
    """

    def __init__(self, peers: list[str], cancel_s: float, lease_s: float) -> None:
        margin_s = MARGIN_S + MARGIN_SHARE * cancel_s
        self.freshness_limit_s = (cancel_s - lease_s) / CLOCK_DRIFT - margin_s
        self._attested_at = dict.fromkeys(peers, NEVER)
        self._peer_copy_complete_at = NEVER  # the newest copy of a peer whose cancellations were passed on to us
        self._last_responses: dict[str, _PeerResponse] = {}  # by peer
        self.cancelled_by_peers: dict[str, float] = {}  # when each job was first told of
        self.partitions_by_peers: dict[str, KnownOwner] = {}  # by zone, the highest epoch
        self.peer_reached_store_at = NEVER

    def on_pong(
        self, peer: str, sent_at: float, received_at: float, answer: peer_messages.Pong, synced_at: float
    ) -> None:
        """A peer answered the ping sent at `sent_at`; the newest read of our own was sent at `synced_at`."""
        self.record_cancelled(answer.cancelled_jobs, received_at)
        for zone, node, epoch in answer.partitions:
            known = self.partitions_by_peers.get(zone)
            if epoch > (known.epoch if known is not None else 0):
                self.partitions_by_peers[zone] = KnownOwner(node, epoch)
        self._last_responses[peer] = _PeerResponse(answer.process_incarnation, received_at)
        bound_before = self.freshness_bound(synced_at)
        if answer.store_reachable:
            self.peer_reached_store_at = max(self.peer_reached_store_at, sent_at)
            self._peer_copy_complete_at = max(self._peer_copy_complete_at, sent_at)
        elif answer.copy_age_s >= 0:
            copied_at = sent_at - answer.copy_age_s * CLOCK_DRIFT
            self._peer_copy_complete_at = max(self._peer_copy_complete_at, copied_at)
        elif received_at - answer.uptime_s / CLOCK_DRIFT > bound_before:
            return  # its predecessor may have confirmed what nobody else knows
        if peer in self._attested_at:
            self._attested_at[peer] = max(self._attested_at[peer], sent_at)

    def record_cancelled(self, jobs: list[str], now: float) -> None:
        """A peer told that jobs are cancelled on record."""
        for job_id in jobs:
            self.cancelled_by_peers.setdefault(job_id, now)

    def discard_confirmed(self, synced_at: float) -> None:
        """Forgets the cancellations told before a read of our own: the copy holds them."""
        if self.cancelled_by_peers:
            self.cancelled_by_peers = {job_id: at for job_id, at in self.cancelled_by_peers.items() if at >= synced_at}

    def peer_responds(self, peer: str, now: float, process_incarnation: str | None = None) -> bool:
        """The peer has answered a ping lately, and did so by the given process if one is given."""
        response = self._last_responses.get(peer)
        if response is None or now - response.received_at >= RESPONSE_VALID_S:
            return False
        return process_incarnation in (None, response.process_incarnation)

    def outage(self, now: float) -> bool:
        """A peer answers and none reaches the state service either: not this controller alone is cut off."""
        responding = any(now - response.received_at < RESPONSE_VALID_S for response in self._last_responses.values())
        return responding and now - self.peer_reached_store_at > RESPONSE_VALID_S

    def freshness_bound(self, synced_at: float) -> float:
        """Time of the newest attestation: every cancellation confirmed before it is known here."""
        return max(synced_at, self._peer_copy_complete_at, min(self._attested_at.values(), default=NEVER))

    def may_answer(self, synced_at: float, now: float) -> bool:
        """Heartbeats may be answered: no cancellation can have been missed for too long."""
        return now - self.freshness_bound(synced_at) < self.freshness_limit_s
