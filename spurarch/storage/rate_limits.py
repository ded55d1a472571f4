"""Client-side rate limits, which keep a controller's calls within the published rates of external services."""

from __future__ import annotations

import enum
import logging
import time
from typing import NamedTuple

import curio
from msgspec import Struct

from spurarch.settings import StateLimits

log = logging.getLogger(__name__)

ROUNDING_SLACK = 1e-6  # in the bucket's units
MIN_DELAY_S = 0.001
# A lender keeps this part of its share plus this multiple of the rate that it used, at most its whole share.
LENDER_MIN_PART, LENDER_HEADROOM = 0.4, 1.3
STORE_RATE_SHARE = 0.95  # part of the state service's published rates that all controllers together use
DECREASE_FACTOR = 0.7
RECOVERY_STEP = 0.05  # added to the factor by each call of `recover`
RECOVERY_STEP_LOWER_RATE = 0.02  # the same if a lower rate is announced: the service may have lowered it permanently
LOG_INTERVAL_S = 10.0
BACKLOG_LEVEL = 0.4  # level of the bucket of changes below which the controller counts as backlogged


class Urgency(enum.Enum):
    """Priority of a call: the lowest level of a token bucket, as a share of the burst, at which the call is sent.

    A call whose level is below 0 is sent even if the bucket is overdrawn down to that level. So membership never waits
    behind bulk writes, nor a service replica behind the starts of arrays.
    """

    MEMBERSHIP = -1.0  # membership, leadership, partition ownership, and sealing and rebuilding of a history
    USERS = -0.5  # requests of users, commands of operators and progress of the archive
    REPLICAS = -0.25  # starts of service replicas and gangs
    STARTS = 0.0  # starts of all other tasks, and the default
    CLEANUP = 0.1  # clean-up of records after tasks and jobs have ended


class TokenBucket:
    """Token bucket that allows `rate` units per second and bursts of `burst` units."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self._level = burst
        self._refilled_at = 0.0

    def _refill(self, now: float) -> None:
        self._level = (
            min(self.burst, self._level + (now - self._refilled_at) * self.rate) if self._refilled_at else self.burst
        )
        self._refilled_at = now

    def set_rate(self, now: float, rate: float, burst: float) -> None:
        """Changes the rate and the burst; the level is capped at the new burst."""
        self._refill(now)
        self.rate, self.burst = rate, burst
        self._level = min(self._level, burst)

    def level(self, now: float) -> float:
        """Returns the level of the bucket as a share of the burst; negative if the bucket is overdrawn."""
        self._refill(now)
        return self._level / self.burst

    def delay(self, now: float, amount: float, urgency: Urgency = Urgency.STARTS) -> float:
        """Takes `amount` units and returns 0, or takes nothing and returns the seconds to wait.

        Taking an amount may overdraw the bucket. Waiting until the whole amount is available would starve large
        transactions, since smaller ones of other callers are served before the bucket holds enough
        (docs/incidents/2026-12-02-commands-behind-records.md).
        """
        self._refill(now)
        floor = urgency.value * self.burst
        # Without the slack, rounding may leave the level just below the floor after the computed wait. The caller would
        # get a delay of almost zero again and again, and never be served (tests/scenarios/rate-limits.txt).
        if self._level >= floor - ROUNDING_SLACK:
            self._level -= amount
            return 0.0
        return max(MIN_DELAY_S, (floor - self._level) / self.rate)

    def penalize(self, now: float) -> None:
        """Empties the bucket after the service refused a call because all callers together exceeded the rate."""
        self._refilled_at = now
        self._level = min(self._level, 0.0)


class AdaptiveFactor:
    """Part of a published rate to use: multiplicative decrease on a refused call, additive increase over time.

    A service may lower its rate without notice. `floor` is the part that the lowest announced rate still allows, or 0
    if none is announced. Refusals come in bursts; without a floor, a burst would stop a caller that this rate allows.
    """

    def __init__(self, floor: float, decrease: float, recovery_step: float) -> None:
        self.value = 1.0
        self._floor, self._decrease_factor, self._recovery_step = floor, decrease, recovery_step

    def decrease(self) -> None:
        """Lowers the factor after the service refused a call because of its rate limit."""
        self.value = max(self._floor, self.value * self._decrease_factor)

    def recover(self) -> None:
        """Raises the factor by one step; called at regular intervals."""
        self.value = min(1.0, self.value + self._recovery_step)


class RecentWrites(NamedTuple):
    """Recent rate of changes, per second, and whether the controller has more changes to write than its rate allows."""

    rate: float
    backlogged: bool


class _Usage(Struct):
    """Use of the state service since usage was last logged."""

    requests: int = 0
    changes: int = 0
    throttled: int = 0
    longest_wait_s: float = 0.0


class StoreRates:
    """Keeps a controller's calls to the state service within its shares of the published rates.

    The published rates hold for all controllers together. Each controller takes a share by its duties: equal shares
    would starve the busiest one, and shares that add up to more than one would get calls of all controllers refused.
    The duties are derived from the records, so the shares add up to one while the local copies agree. A refused call
    lowers this controller's rates from the next call of `set_shares` on; later calls of `set_shares` raise them again.
    """

    def __init__(self, limits: StateLimits, controllers: int) -> None:
        rps, write_rps = limits.rps, limits.write_rps
        self._published_rps, self._published_write_rps = rps, write_rps
        initial_share = STORE_RATE_SHARE / controllers
        self._requests = TokenBucket(rps * initial_share, rps * initial_share)
        self._writes = TokenBucket(write_rps * initial_share, write_rps * initial_share)
        self._write_queues = {urgency: curio.Lock() for urgency in Urgency}
        recovery_step = RECOVERY_STEP if limits.next is None else RECOVERY_STEP_LOWER_RATE
        self._request_factor = AdaptiveFactor(_min_factor(rps, limits.lowest_rps), DECREASE_FACTOR, recovery_step)
        self._write_factor = AdaptiveFactor(
            _min_factor(write_rps, limits.lowest_write_rps), DECREASE_FACTOR, recovery_step
        )
        self.throttled_writes = 0  # transactions refused because of a rate limit since this process started
        self._recent_changes, self._recent_writes_since = 0.0, 0.0
        self._usage, self._logged_at = _Usage(), 0.0

    @property
    def request_rate(self) -> float:
        """Requests per second that this controller may send."""
        return self._requests.rate

    @property
    def write_rate(self) -> float:
        """Changes per second that this controller may write."""
        return self._writes.rate

    def unused_write_share(self) -> float:
        """Returns the part of one second's changes that is unused; close to 0 or negative while changes are waiting."""
        return self._writes.level(time.monotonic())

    def can_write_now(self, urgency: Urgency) -> bool:
        """Returns whether a transaction of this urgency would be sent without waiting for the rate limit."""
        return not self._write_queues[urgency].locked() and self._writes.level(time.monotonic()) >= urgency.value

    def recent_writes(self) -> RecentWrites:
        """Returns the rate of changes since the last call of this method, and whether this controller is backlogged.

        Restarts the measurement of the rate.
        """
        now = time.monotonic()
        rate = self._recent_changes / max(0.1, now - self._recent_writes_since)
        self._recent_changes, self._recent_writes_since = 0.0, now
        return RecentWrites(rate, self._writes.level(now) < BACKLOG_LEVEL)

    def set_shares(self, requests: float, writes: float) -> None:
        """Sets this controller's shares, each between 0 and 1, of the published rates.

        To be called at regular intervals: each call also raises rates that were lowered after a refused call by one
        step, and logs usage if `LOG_INTERVAL_S` has passed.
        """
        now = time.monotonic()
        self._request_factor.recover()
        self._write_factor.recover()
        requests *= STORE_RATE_SHARE * self._request_factor.value
        writes *= STORE_RATE_SHARE * self._write_factor.value
        self._requests.set_rate(now, self._published_rps * requests, self._published_rps * requests)
        self._writes.set_rate(now, self._published_write_rps * writes, self._published_write_rps * writes)
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
        """Waits until the rate limit allows a request, and counts the request."""
        while delay := self._requests.delay(time.monotonic(), 1, urgency):
            await curio.sleep(delay)
        self._usage.requests += 1

    async def wait_for_writes(self, changes: int, urgency: Urgency) -> None:
        """Waits until the rate limit allows a transaction with `changes` changes, and counts the changes."""
        started = time.monotonic()
        # The lock serves callers of equal urgency in order. Without it, callers with frequent small transactions could
        # starve a partition's large transaction.
        async with self._write_queues[urgency]:
            while delay := self._writes.delay(time.monotonic(), changes, urgency):
                await curio.sleep(delay)
        self._usage.changes += changes
        self._recent_changes += changes
        self._usage.longest_wait_s = max(self._usage.longest_wait_s, time.monotonic() - started)

    def record_throttled(self, transaction: bool) -> None:
        """Empties the bucket of requests and lowers its factor after the service refused a call by its rate limit.

        The lowered factor takes effect on the rate at the next call of `set_shares`. The response doesn't say which
        rate a transaction exceeded, so a transaction also has this effect on the bucket and the factor of changes.
        """
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
        """Lowers the factor of changes after the service refused a peer's changes: all controllers share this rate.

        The lowered factor takes effect at the next call of `set_shares`.
        """
        self._write_factor.decrease()


def _min_factor(published: float, lowest: float) -> float:
    """Returns the part of a published rate that the announced lower rate allows; 0 if no lower rate is announced."""
    return lowest / published if lowest < published else 0.0


def borrowed_share(node: str, shares: dict[str, float], used: dict[str, float], backlogged: set[str]) -> float:
    """Returns the share of `node` after the unused parts of shares are lent to the backlogged nodes.

    `shares` and `used` are parts of the rate, by node. A backlogged node never gets less than its own share. A lender
    keeps headroom above the rate that it used, so that it need not wait for the next exchange of loads when it becomes
    busy. If all nodes compute their shares from the same `shares`, `used` and `backlogged`, the results add up to at
    most the sum of `shares`.
    """
    kept = {
        n: share if n in backlogged else min(share, LENDER_MIN_PART * share + LENDER_HEADROOM * used.get(n, share))
        for n, share in shares.items()
    }
    if node not in backlogged:
        return kept[node]
    borrowers = sum(share for n, share in shares.items() if n in backlogged)
    return shares[node] + (sum(shares.values()) - sum(kept.values())) * shares[node] / borrowers
