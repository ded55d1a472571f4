"""Client-side token buckets, so that a controller stays under the published rates instead of being refused."""

from __future__ import annotations

import enum

SLACK = 1e-6
SHORTEST_S = 0.001
LENDER_KEEPS, LENDER_ROOM = 0.4, 1.3


class Urgency(enum.Enum):
    """Who goes first when a rate is short: the level, in shares of the burst, that must be left in the bucket.

    Those below 0 may go into debt, so membership never waits behind bulk, nor a replica behind the starts of arrays.
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
        """Another share of what all callers together may use."""
        self._refill(now)
        self.rate, self.burst = rate, burst
        self._level = min(self._level, burst)

    def level(self, now: float) -> float:
        """How full the bucket is, as a share of the burst; below 0 in debt."""
        self._refill(now)
        return self._level / self.burst

    def delay(self, now: float, amount: float, urgency: Urgency = Urgency.STARTS) -> float:
        """Takes `amount` and returns 0, or returns how long to wait and takes nothing.

        The bucket may go into debt by what is taken last. Asking for the whole amount beforehand would starve large
        transactions: smaller ones of others always find enough (docs/incidents/2026-12-02-commands-behind-records.md).
        """
        self._refill(now)
        floor = urgency.value * self.burst
        # The slack guards against rounding: without it, a caller that has waited just long enough would be told to wait
        # for no time at all, again and again, and never be served (tests/scenarios/rate-limits.txt).
        if self._level >= floor - SLACK:
            self._level -= amount
            return 0.0
        return max(SHORTEST_S, (floor - self._level) / self.rate)

    def penalize(self, now: float) -> None:
        """Empties the bucket: the service said that the rate is exceeded by all callers together."""
        self._at = now
        self._level = min(self._level, 0.0)


class AdaptiveFactor:
    """The part of a published rate that is used: less after every refusal, and slowly more again.

    A service may lower its rate without notice. How far is known in advance at best, and then the factor never falls
    below `floor`: refusals come in bursts, and would else stop a caller that the lower rate still allows.
    """

    def __init__(self, floor: float, decrease: float, recovery: float) -> None:
        self.value = 1.0
        self._floor, self._decrease_factor, self._recovery = floor, decrease, recovery

    def decrease(self) -> None:
        """The service refused a call for its rate."""
        self.value = max(self._floor, self.value * self._decrease_factor)

    def recover(self) -> None:
        """Some time went by."""
        self.value = min(1.0, self.value + self._recovery)


def borrowed_share(node: str, shares: dict[str, float], used: dict[str, float], backlogged: set[str]) -> float:
    """A caller's share once what the others leave unused is lent to those with more to do.

    Nobody falls below its own share, and everybody keeps some room above what it used, so a caller that becomes busy
    need not wait for the news to get around. All who know the same reach shares that add up to no more than one.
    """
    keep = {
        n: share if n in backlogged else min(share, LENDER_KEEPS * share + LENDER_ROOM * used.get(n, share))
        for n, share in shares.items()
    }
    if node not in backlogged:
        return keep[node]
    takers = sum(share for n, share in shares.items() if n in backlogged)
    return shares[node] + (sum(shares.values()) - sum(keep.values())) * shares[node] / takers
