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
        self.limit = (cancel_s - lease_s) / DRIFT - self._margin
        self._vouched: dict[str, float] = {peer: float("-inf") for peer in peers}
        self._copied = float("-inf")  # a peer's copy that we were told of was complete up to then
        self._answered: dict[str, tuple[str, float]] = {}  # by peer, the process that answered last, and when
        self.cancelled: dict[str, float] = {}  # jobs, and when we were told
        self.parts: dict[str, tuple[str, int]] = {}
        self.peer_reaches_at = float("-inf")

    def pong(self, peer: str, sent: float, received: float, answer: peer_messages.Pong, synced_at: float) -> None:
        """A peer answered a ping sent at `sent`."""
        self.note_cancelled(answer.cancelled, received)
        for zone, node, epoch in answer.parts:
            if epoch > self.parts.get(zone, ("", 0))[1]:
                self.parts[zone] = node, epoch
        self._answered[peer] = answer.boot, received
        before = self.word(synced_at)
        if answer.reaches:
            self.peer_reaches_at = max(self.peer_reaches_at, sent)
            self._copied = max(self._copied, sent)
        elif answer.age_s >= 0:
            self._copied = max(self._copied, sent - answer.age_s * DRIFT)
        elif received - answer.up_s / DRIFT > before:
            return  # its predecessor may have confirmed what nobody else knows
        if peer in self._vouched:
            self._vouched[peer] = max(self._vouched[peer], sent)

    def note_cancelled(self, jobs: list[str], now: float) -> None:
        """Jobs that are cancelled on record, as a peer says."""
        for job_id in jobs:
            self.cancelled.setdefault(job_id, now)

    def settle(self, synced_at: float) -> None:
        """What we were told of before a read of our own is in our copy."""
        if self.cancelled:
            self.cancelled = {job_id: at for job_id, at in self.cancelled.items() if at >= synced_at}

    def answers(self, peer: str, now: float, boot: str | None = None) -> bool:
        """The peer lives and hears us, and it is that process of it that does."""
        process, at = self._answered.get(peer, ("", float("-inf")))
        return now - at < ALIVE_S and boot in (None, process)

    def outage(self, now: float) -> bool:
        """A peer is heard and none reaches the state service either: this is no isolation of our own."""
        heard = any(now - at < ALIVE_S for _, at in self._answered.values())
        return heard and now - self.peer_reaches_at > ALIVE_S

    def word(self, synced_at: float) -> float:
        """Time of the newest word."""
        return max(synced_at, self._copied, min(self._vouched.values(), default=float("-inf")))

    def entitled(self, synced_at: float, now: float) -> bool:
        """May answer reports."""
        return now - self.word(synced_at) < self.limit
