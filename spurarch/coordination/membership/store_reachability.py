"""Whether this controller may keep acting while it can't reach the state service.

This controller can't distinguish an outage of the state service from a partition or refusal that affects only itself.
Running tasks should survive both, but another controller can confirm a cancellation meanwhile, and the tasks of the
cancelled job have to be off their machines within `cancel_s`. So a partition owner answers heartbeats only while its
newest *attestation of freshness* is recent enough. An attestation of time T proves that this controller has received
every cancellation that any controller confirmed before T. The time of the newest attestation, the *freshness bound*, is
the latest of
  - the time at which the newest successful read of the state service was sent;
  - the same for any peer, since its pong lists all cancellations in its copy of the records: the time at which this
    controller sent the ping, less the age of the peer's copy, or the time of the ping itself if the peer has read the
    state service to answer it;
  - a time for which *all* peers have attested: each peer has a latest ping that it answered with an attestation, and
    this is the earliest sending time of these pings. A peer's process attests that it has listed every cancellation
    that its node confirmed. It can do so for the cancellations that it confirmed itself, and for those of the node's
    earlier processes only if it has read the state service since it started, or started before the freshness bound. A
    process that restarted within an outage can't attest, since its predecessor can have confirmed a cancellation
    and then ended (docs/incidents/2026-12-02-gap.md).
A peer that doesn't respond attests to nothing: even if no controller reaches the service now, that peer can have
confirmed a cancellation before.

The last heartbeat answered before `freshness bound + cancel_s - lease_s - margin` (with an allowance for differing
clock rates) renews its worker's lease for `lease_s` at most, so every task is off its machine before `freshness bound +
cancel_s`, and this controller has received every cancellation confirmed before the bound.

All times are monotonic, in seconds.
"""

from __future__ import annotations

from msgspec import Struct

from spurarch.protocol import peer_messages, wire

MARGIN_S, MARGIN_SHARE = 1.0, 0.05  # safety margin: a constant, plus a share of `cancel_s`
RESPONSE_VALID_S = 4.0  # for which a peer counts as responding after a pong
NEVER = float("-inf")


class ReportedOwner(Struct, frozen=True):
    """The owner of a partition and its epoch, as reported by a peer."""

    node: str
    epoch: int


class _PeerResponse(Struct, frozen=True):
    """The process that sent a peer's latest pong, and when the pong was received."""

    process_incarnation: str
    received_at: float


class StoreReachability:
    """Collects attestations of freshness, and the cancellations and partition owners that peers report.

    `peers` are the nodes of all other controllers. `cancel_s` and `lease_s` are settings of the deployment.

    Attributes:
        freshness_limit_s: Age of the freshness bound from which on heartbeats must not be answered.
        reported_cancellations: By job, when a peer first reported its cancellation. Entries are dropped once the copy
            of the records contains the cancellation.
        reported_owners: By zone, the reported owner with the highest epoch.
        peer_reached_store_at: When the latest ping was sent that a peer with access to the state service answered.
    """

    def __init__(self, peers: list[str], cancel_s: float, lease_s: float) -> None:
        margin_s = MARGIN_S + MARGIN_SHARE * cancel_s
        self.freshness_limit_s = (cancel_s - lease_s) / wire.MAX_CLOCK_RATE_RATIO - margin_s
        self._attested_at = dict.fromkeys(peers, NEVER)  # by peer: sending time of the latest ping that it attested to
        self._peer_copy_complete_at = NEVER  # newest time for which a pong listed all earlier cancellations
        self._last_responses: dict[str, _PeerResponse] = {}  # by peer
        self.reported_cancellations: dict[str, float] = {}
        self.reported_owners: dict[str, ReportedOwner] = {}
        self.peer_reached_store_at = NEVER

    def on_pong(
        self, peer: str, sent_at: float, received_at: float, pong: peer_messages.Pong, synced_at: float
    ) -> None:
        """Applies a peer's pong.

        Args:
            peer: Node of the peer.
            sent_at: When the ping was sent.
            received_at: When the pong was received.
            pong: The pong.
            synced_at: When this controller's newest successful read of the state service was sent.
        """
        self.record_cancelled(pong.cancelled_jobs, received_at)
        for zone, node, epoch in pong.partitions:
            reported = self.reported_owners.get(zone)
            if epoch > (reported.epoch if reported is not None else 0):
                self.reported_owners[zone] = ReportedOwner(node, epoch)
        self._last_responses[peer] = _PeerResponse(pong.process_incarnation, received_at)
        bound_before = self.freshness_bound(synced_at)
        if pong.store_reachable:
            self.peer_reached_store_at = max(self.peer_reached_store_at, sent_at)
            self._peer_copy_complete_at = max(self._peer_copy_complete_at, sent_at)
        elif pong.copy_age_s >= 0:
            copied_at = sent_at - pong.copy_age_s * wire.MAX_CLOCK_RATE_RATIO
            self._peer_copy_complete_at = max(self._peer_copy_complete_at, copied_at)
        elif received_at - pong.uptime_s / wire.MAX_CLOCK_RATE_RATIO > bound_before:
            return  # an earlier process of the peer can have confirmed a cancellation that no other controller received
        if peer in self._attested_at:
            self._attested_at[peer] = max(self._attested_at[peer], sent_at)

    def record_cancelled(self, jobs: list[str], now: float) -> None:
        """Records cancellations that a peer reported at `now`, in a pong or a `JobsCancelled` message."""
        for job_id in jobs:
            self.reported_cancellations.setdefault(job_id, now)

    def discard_synced_cancellations(self, synced_at: float) -> None:
        """Drops cancellations reported before the newest read of the state service was sent at `synced_at`.

        The copy of the records contains them, since controllers report cancellations only after committing them.
        """
        if self.reported_cancellations:
            self.reported_cancellations = {
                job_id: at for job_id, at in self.reported_cancellations.items() if at >= synced_at
            }

    def peer_responds(self, peer: str, now: float, process_incarnation: str | None = None) -> bool:
        """Whether the peer answered a ping recently; with `process_incarnation`, whether that process did."""
        response = self._last_responses.get(peer)
        if response is None or now - response.received_at >= RESPONSE_VALID_S:
            return False
        return process_incarnation in (None, response.process_incarnation)

    def outage(self, now: float) -> bool:
        """Whether peers respond to pings, but none that reaches the state service does.

        If this controller doesn't reach the service either, that indicates an outage of the service. Peers are pinged
        only while this controller's own reads fail.
        """
        responding = any(now - response.received_at < RESPONSE_VALID_S for response in self._last_responses.values())
        return responding and now - self.peer_reached_store_at > RESPONSE_VALID_S

    def freshness_bound(self, synced_at: float) -> float:
        """Time of the newest attestation: this controller has received every cancellation confirmed before it."""
        return max(synced_at, self._peer_copy_complete_at, min(self._attested_at.values(), default=NEVER))

    def may_answer(self, synced_at: float, now: float) -> bool:
        """Whether heartbeats may be answered: the freshness bound is recent enough."""
        return now - self.freshness_bound(synced_at) < self.freshness_limit_s
