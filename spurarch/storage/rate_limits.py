"""Client-side rate limits, so that a controller stays under the published rates instead of being refused."""

from __future__ import annotations

import enum
import logging
import time
from typing import NamedTuple

import curio
from msgspec import Struct

from spurarch.settings import StateLimits

log = logging.getLogger(__name__)

ROUNDING_SLACK = 1e-6  # units
SHORTEST_DELAY_S = 0.001
LENDER_KEEPS, LENDER_HEADROOM = 0.4, 1.3  # least part of its share, and multiple of its use, that a lender keeps
STORE_RATE_SHARE = 0.95  # of the state service's published rates, used by all controllers together
DECREASE_FACTOR = 0.7
RECOVERY = 0.05
RECOVERY_BELOW_PUBLISHED = 0.02  # slower where the rate is known to fall for good
LOG_INTERVAL_S = 10.0
BACKLOG_LEVEL = 0.4  # level of the bucket of changes below which more are wanted


class Urgency(enum.Enum):
    """Which calls go first when a rate is short: the least level of the bucket, as a share of the burst.

    Those below 0 may go into debt, so membership never waits behind bulk writes, nor a replica of a service behind the
    starts of arrays.
    """

    MEMBERSHIP = -1.0
    USERS = -0.5
    REPLICAS = -0.25
    STARTS = 0.0
    ENDS = 0.1


class TokenBucket:
    """Allows `rate` units a second with bursts of `burst`."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self._level = burst
        self._at = 0.0

    def _refill(self, now: float) -> None:
        self._level = min(self.burst, self._level + (now - self._at) * self.rate) if self._at else self.burst
        self._at = now

    def set_rate(self, now: float, rate: float, burst: float) -> None:
        """Changes the rate and the burst; the level is lowered to the new burst."""
        self._refill(now)
        self.rate, self.burst = rate, burst
        self._level = min(self._level, burst)

    def level(self, now: float) -> float:
        """How full the bucket is, as a share of the burst; below 0 in debt."""
        self._refill(now)
        return self._level / self.burst

    def delay(self, now: float, amount: float, urgency: Urgency = Urgency.STARTS) -> float:
        """Takes `amount` and returns 0, or returns how long to wait and takes nothing.

        The last amount taken may leave the bucket in debt. Requiring the whole amount beforehand would starve large
        transactions: smaller ones of others always find enough (docs/incidents/2026-12-02-commands-behind-records.md).
        """
        self._refill(now)
        floor = urgency.value * self.burst
        # The slack guards against rounding: without it, a caller that has waited just long enough would be told to wait
        # for no time at all, again and again, and never be served (tests/scenarios/rate-limits.txt).
        if self._level >= floor - ROUNDING_SLACK:
            self._level -= amount
            return 0.0
        return max(SHORTEST_DELAY_S, (floor - self._level) / self.rate)

    def penalize(self, now: float) -> None:
        """Empties the bucket after the service refused a call, because all callers together exceeded the rate."""
        self._at = now
        self._level = min(self._level, 0.0)


class AdaptiveFactor:
    """The part of a published rate that is used: decreased by every refusal, and slowly increased again.

    A service may lower its rate without notice. If it is known how far, the factor never falls below `floor`: refusals
    come in bursts, and would otherwise stop a caller that the lower rate still allows.
    """

    def __init__(self, floor: float, decrease: float, recovery: float) -> None:
        self.value = 1.0
        self._floor, self._decrease_factor, self._recovery = floor, decrease, recovery

    def decrease(self) -> None:
        """Lowers the factor after the service refused a call for its rate."""
        self.value = max(self._floor, self.value * self._decrease_factor)

    def recover(self) -> None:
        """Raises the factor a little; called at regular intervals."""
        self.value = min(1.0, self.value + self._recovery)


class RecentWrites(NamedTuple):
    """Changes a second that were sent of late, and whether more of them are waiting."""

    rate: float
    backlogged: bool


class _Usage(Struct):
    """What was sent to the state service since usage was last logged."""

    requests: int = 0
    changes: int = 0
    throttled: int = 0
    longest_wait_s: float = 0.0


class StoreRates:
    """Keeps a controller's calls of the state service within its shares of the published rates.

    The published rates hold for all controllers together. Each takes the share that its duties need: an even split
    would starve the busy one, and shares that add up to more than one would get all of them refused. The duties are on
    record, so the shares add up to one as long as the copies agree; a refusal lowers this controller's for a while.
    """

    def __init__(self, limits: StateLimits, controllers: int) -> None:
        rps, write_rps = limits.rps, limits.write_rps
        self._rps, self._write_rps = rps, write_rps
        even = STORE_RATE_SHARE / controllers
        self._requests = TokenBucket(rps * even, rps * even)
        self._writes = TokenBucket(write_rps * even, write_rps * even)
        self._queues = {urgency: curio.Lock() for urgency in Urgency}
        recovery = RECOVERY if limits.next is None else RECOVERY_BELOW_PUBLISHED
        self._request_factor = AdaptiveFactor(_least_factor(rps, limits.lowest_rps), DECREASE_FACTOR, recovery)
        self._write_factor = AdaptiveFactor(
            _least_factor(write_rps, limits.lowest_write_rps), DECREASE_FACTOR, recovery
        )
        self.throttled_writes = 0  # transactions refused for a rate since this process started
        self._recent_changes, self._recent_since = 0.0, 0.0
        self._usage, self._logged_at = _Usage(), 0.0

    @property
    def request_rate(self) -> float:
        """Requests a second that this controller may make."""
        return self._requests.rate

    @property
    def write_rate(self) -> float:
        """Changes a second that this controller may make."""
        return self._writes.rate

    def write_level(self) -> float:
        """How much of a second's changes is left, as a share; small or negative while changes are waiting."""
        return self._writes.level(time.monotonic())

    def can_write_now(self, urgency: Urgency) -> bool:
        """Whether a transaction of this urgency would be sent without waiting."""
        return not self._queues[urgency].locked() and self._writes.level(time.monotonic()) >= urgency.value

    def recent_writes(self) -> RecentWrites:
        """Changes a second since the last call, and whether more of them are waiting."""
        now = time.monotonic()
        rate = self._recent_changes / max(0.1, now - self._recent_since)
        self._recent_changes, self._recent_since = 0.0, now
        return RecentWrites(rate, self._writes.level(now) < BACKLOG_LEVEL)

    def set_shares(self, requests: float, writes: float) -> None:
        """Sets this controller's shares of the published rates, and logs usage at intervals."""
        now = time.monotonic()
        self._request_factor.recover()
        self._write_factor.recover()
        requests *= STORE_RATE_SHARE * self._request_factor.value
        writes *= STORE_RATE_SHARE * self._write_factor.value
        self._requests.set_rate(now, self._rps * requests, self._rps * requests)
        self._writes.set_rate(now, self._write_rps * writes, self._write_rps * writes)
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._log_usage(now)

    def _log_usage(self, now: float) -> None:
        elapsed_s = now - self._logged_at
        log.info(
            "state service usage requests_per_second=%.1f changes_per_second=%.1f"
            " allowed_changes_per_second=%.1f refused=%d longest_wait_seconds=%.2f",
            self._usage.requests / elapsed_s,
            self._usage.changes / elapsed_s,
            self._writes.rate,
            self._usage.throttled,
            self._usage.longest_wait_s,
        )
        self._usage, self._logged_at = _Usage(), now

    async def wait_for_request(self, urgency: Urgency) -> None:
        """Waits until a request may be sent, and counts it."""
        while delay := self._requests.delay(time.monotonic(), 1, urgency):
            await curio.sleep(delay)
        self._usage.requests += 1

    async def wait_for_writes(self, changes: int, urgency: Urgency) -> None:
        """Waits until a transaction of so many changes may be sent, and counts them."""
        started = time.monotonic()
        # In a queue: otherwise whoever asks more often would be served, and a partition's large transaction might
        # never be.
        async with self._queues[urgency]:
            while delay := self._writes.delay(time.monotonic(), changes, urgency):
                await curio.sleep(delay)
        self._usage.changes += changes
        self._recent_changes += changes
        self._usage.longest_wait_s = max(self._usage.longest_wait_s, time.monotonic() - started)

    def record_throttled(self, transaction: bool) -> None:
        """Lowers the rates after the service refused a call; nothing tells which rate a transaction exceeded."""
        log.info("state service rate limit exceeded")
        now = time.monotonic()
        self._usage.throttled += 1
        self._request_factor.decrease()
        self._requests.penalize(now)
        if transaction:
            self.throttled_writes += 1
            self._write_factor.decrease()
            self._writes.penalize(now)

    def record_peer_throttled(self) -> None:
        """Lowers the rate of changes after another controller's were refused, since the rate is one for all."""
        self._write_factor.decrease()


def _least_factor(published: float, lowest: float) -> float:
    """The least part of a published rate that the service will always allow; 0 if no lower rate is known."""
    return lowest / published if lowest < published else 0.0


def borrowed_share(node: str, shares: dict[str, float], used: dict[str, float], backlogged: set[str]) -> float:
    """A caller's share of a rate, once the unused parts of the others' shares are lent to the backlogged callers.

    A backlogged caller never falls below its own share. A lender keeps some headroom above what it used, so it need not
    wait for others when it becomes busy. Callers with the same knowledge compute shares that add up to at most one.
    """
    kept = {
        n: share if n in backlogged else min(share, LENDER_KEEPS * share + LENDER_HEADROOM * used.get(n, share))
        for n, share in shares.items()
    }
    if node not in backlogged:
        return kept[node]
    borrowers = sum(share for n, share in shares.items() if n in backlogged)
    return shares[node] + (sum(shares.values()) - sum(kept.values())) * shares[node] / borrowers
