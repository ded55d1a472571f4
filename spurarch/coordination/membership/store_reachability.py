"""Whether this controller may still act while it can't reach the state service.

An outage and a refusal of this controller alone look the same from here. Running work should live through both, but a
cancellation may be confirmed elsewhere meanwhile, and its tasks have to be gone within `cancel_s`. So the owner goes
on answering reports only while the newest *word* is young enough. A word of time T says that this controller knows
every cancellation that anybody confirmed before T. It is the newest of
  - the time at which the newest successful read of the state service was sent;
  - the same of a peer, who passes on all that its copy holds: the time of our ping, less the age of that copy;
  - the earliest of the latest pings that *every* peer answered as a voucher. A peer's process vouches for what its node
    confirmed: itself, since its list holds what it confirmed; and its predecessors, if it has read the state service
    since it started, or started before an earlier word. One that is back within an outage can't vouch: its predecessor
    may have confirmed a cancellation and ended (docs/incidents/2026-12-02-gap.md).
Silence alone is no word: that nobody reaches the service now says nothing of what was confirmed before.

The last report answered before `word + cancel_s - lease_s - margin` keeps its worker alive for `lease_s` at most, so
every task is gone before `word + cancel_s`, and no cancellation was confirmed before `word` without our knowing of it.
"""

from __future__ import annotations

from spurarch.protocol import peer_messages

DRIFT = 1.001
ALIVE_S = 4.0


class StoreReachability:
    """Collects words from the state service and from peers."""

    def __init__(self, peers: list[str], cancel_s: float, lease_s: float) -> None:
        self._margin = 1.0 + 0.05 * cancel_s
        self.freshness_limit_s = (cancel_s - lease_s) / DRIFT - self._margin
        self._attested_at: dict[str, float] = {peer: float("-inf") for peer in peers}
        self._peer_copy_complete_at = float("-inf")  # a peer's copy that we were told of was complete up to then
        self._last_responses: dict[str, tuple[str, float]] = {}  # by peer, the process that answered last, and when
        self.cancelled_by_peers: dict[str, float] = {}  # jobs, and when we were told
        self.partitions_by_peers: dict[str, tuple[str, int]] = {}
        self.peer_reached_store_at = float("-inf")

    def on_pong(self, peer: str, sent: float, received: float, answer: peer_messages.Pong, synced_at: float) -> None:
        """A peer answered a ping sent at `sent`."""
        self.record_cancelled(answer.cancelled_jobs, received)
        for zone, node, epoch in answer.partitions:
            if epoch > self.partitions_by_peers.get(zone, ("", 0))[1]:
                self.partitions_by_peers[zone] = node, epoch
        self._last_responses[peer] = answer.process_incarnation, received
        before = self.freshness_bound(synced_at)
        if answer.store_reachable:
            self.peer_reached_store_at = max(self.peer_reached_store_at, sent)
            self._peer_copy_complete_at = max(self._peer_copy_complete_at, sent)
        elif answer.copy_age_s >= 0:
            self._peer_copy_complete_at = max(self._peer_copy_complete_at, sent - answer.copy_age_s * DRIFT)
        elif received - answer.uptime_s / DRIFT > before:
            return  # its predecessor may have confirmed what nobody else knows
        if peer in self._attested_at:
            self._attested_at[peer] = max(self._attested_at[peer], sent)

    def record_cancelled(self, jobs: list[str], now: float) -> None:
        """Jobs that are cancelled on record, as a peer says."""
        for job_id in jobs:
            self.cancelled_by_peers.setdefault(job_id, now)

    def discard_confirmed(self, synced_at: float) -> None:
        """What we were told of before a read of our own is in our copy."""
        if self.cancelled_by_peers:
            self.cancelled_by_peers = {job_id: at for job_id, at in self.cancelled_by_peers.items() if at >= synced_at}

    def peer_responds(self, peer: str, now: float, process_incarnation: str | None = None) -> bool:
        """The peer lives and hears us, and it is that process of it that does."""
        process, at = self._last_responses.get(peer, ("", float("-inf")))
        return now - at < ALIVE_S and process_incarnation in (None, process)

    def outage(self, now: float) -> bool:
        """A peer is heard and none reaches the state service either: this is no isolation of our own."""
        heard = any(now - at < ALIVE_S for _, at in self._last_responses.values())
        return heard and now - self.peer_reached_store_at > ALIVE_S

    def freshness_bound(self, synced_at: float) -> float:
        """Time of the newest word."""
        return max(synced_at, self._peer_copy_complete_at, min(self._attested_at.values(), default=float("-inf")))

    def may_answer(self, synced_at: float, now: float) -> bool:
        """May answer reports."""
        return now - self.freshness_bound(synced_at) < self.freshness_limit_s
