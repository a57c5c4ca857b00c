"""Token buckets of client accounts with a pool of unused tokens."""

import heapq
import math

import attrs

__all__ = ["ShareBuckets"]

# Time constant with which borrowed tokens are discounted, in seconds.
BORROWING_TIME_CONSTANT_S = 10.0

# Time for which an account counts as a borrower after an attempt, in seconds.
BORROWER_EXPIRY_S = 2.0

# Fraction of the pool above which every account may borrow.
UNRESTRICTED_POOL_FRACTION = 0.5


@attrs.define(eq=False)
class _Bucket:
    """Token bucket of one client account.

    Notes
    -----
    `generation` is increased by every change, so that older entries in the
    heap of fill times are recognized as outdated. `borrowed` is the
    discounted amount taken from the pool as of `borrowed_at_s`.
    """

    weight: float = 1.0
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    at_s: float = 0.0
    generation: int = 0
    is_full: bool = False
    borrowed: float = 0.0
    borrowed_at_s: float = 0.0

    def refill(self, now_s):
        """Add the tokens refilled since the last change."""
        gained = self.rate * max(0.0, now_s - self.at_s)
        self.tokens = min(self.burst, self.tokens + gained)
        self.at_s = max(self.at_s, now_s)

    def get_borrowed_by_weight(self, now_s):
        """Return the tokens borrowed recently, divided by the weight."""
        age_s = max(0.0, now_s - self.borrowed_at_s)
        recent = self.borrowed * math.exp(-age_s / BORROWING_TIME_CONSTANT_S)
        return recent / self.weight


class ShareBuckets:
    """A token bucket for each account and a pool of their overflow.

    Notes
    -----
    The refill of a full bucket goes to the pool, from which any account
    may borrow. While the pool is low, only accounts whose recent
    borrowing by weight is at most the mean over the current borrowers
    may borrow. Overflow is computed from events (a bucket becomes full)
    kept in a heap, so a decision takes logarithmic time in the number
    of accounts.
    """

    def __init__(self):
        self._buckets = {}
        self._fill_events = []
        self._pool = 0.0
        self._pool_burst = 0.0
        self._overflow_rate = 0.0
        self._at_s = 0.0
        self._last_borrow_attempts_s = {}

    @property
    def pool(self):
        """Tokens in the pool."""
        return self._pool

    def list_accounts(self):
        """Return the names of all accounts."""
        return list(self._buckets)

    def get_tokens(self, account):
        """Return the tokens in an account's bucket at its last change."""
        return self._buckets[account].tokens

    def get_rate(self, account):
        """Return the refill rate of an account, in tokens a second."""
        return self._buckets[account].rate

    def get_burst(self, account):
        """Return the size of an account's bucket, in tokens."""
        return self._buckets[account].burst

    def set_share(self, account, weight, rate, burst, now_s):
        """Set the share of an account; a new account's bucket starts full.

        Parameters
        ----------
        account : str
            The client account.
        weight : float
            Weight of the account among the borrowers.
        rate : float
            Refill rate, in tokens a second.
        burst : float
            Size of the bucket, in tokens.
        now_s : float
            The time, in seconds.
        """
        self.advance(now_s)
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = _Bucket(tokens=burst, at_s=now_s)
            self._buckets[account] = bucket
        else:
            bucket.refill(now_s)
        self._stop_overflow(bucket)
        self._pool_burst += burst - bucket.burst
        self._pool = min(self._pool, self._pool_burst)
        bucket.weight = weight
        bucket.rate = rate
        bucket.burst = burst
        bucket.tokens = min(bucket.tokens, burst)
        self._schedule(account, bucket)

    def remove(self, account, now_s):
        """Remove an account and its tokens."""
        self.advance(now_s)
        bucket = self._buckets.pop(account)
        self._stop_overflow(bucket)
        self._pool_burst = max(0.0, self._pool_burst - bucket.burst)
        self._pool = min(self._pool, self._pool_burst)
        self._last_borrow_attempts_s.pop(account, None)

    def spend(self, account, cost, bucket_floor, pool_floor, now_s):
        """Spend tokens of an account's bucket, or else of the pool.

        Parameters
        ----------
        account : str
            The client account.
        cost : float
            Tokens to spend. A cost above the bucket's size needs only a
            full bucket and leaves a debt.
        bucket_floor, pool_floor : float
            Fractions of the bucket and of the pool, from 0 to 1, that
            have to remain afterwards.
        now_s : float
            The time, in seconds.

        Returns
        -------
        bool
            Whether the tokens were spent.
        """
        self.advance(now_s)
        bucket = self._buckets[account]
        bucket.refill(now_s)
        if bucket.burst and bucket.tokens >= _get_needed(
            bucket, cost, bucket_floor
        ):
            self._stop_overflow(bucket)
            bucket.tokens -= cost
            self._schedule(account, bucket)
            return True
        return self._borrow(account, bucket, cost, pool_floor, now_s)

    def compute_wait_s(self, account, cost, bucket_floor, now_s):
        """Return the time until the account's refill covers a cost.

        Returns
        -------
        float
            Seconds from `now_s`; infinite for a refill rate of 0.
        """
        bucket = self._buckets[account]
        bucket.refill(now_s)
        missing = _get_needed(bucket, cost, bucket_floor) - bucket.tokens
        if missing <= 0:
            return 0.0
        return missing / bucket.rate if bucket.rate else math.inf

    def advance(self, now_s):
        """Process fill events and overflow up to a time."""
        while self._fill_events and self._fill_events[0][0] <= now_s:
            full_at_s, generation, account = heapq.heappop(self._fill_events)
            bucket = self._buckets.get(account)
            if (
                bucket is None
                or bucket.generation != generation
                or bucket.is_full
            ):
                continue
            self._fill_pool(full_at_s)
            bucket.refill(full_at_s)
            bucket.tokens = bucket.burst
            bucket.is_full = True
            self._overflow_rate += bucket.rate
        self._fill_pool(now_s)

    def _fill_pool(self, now_s):
        """Add the overflow up to a time to the pool."""
        gained = self._overflow_rate * max(0.0, now_s - self._at_s)
        self._pool = min(self._pool_burst, self._pool + gained)
        self._at_s = max(self._at_s, now_s)

    def _stop_overflow(self, bucket):
        """Invalidate a bucket's fill event and end its overflow."""
        bucket.generation += 1
        if bucket.is_full:
            bucket.is_full = False
            self._overflow_rate = max(0.0, self._overflow_rate - bucket.rate)

    def _schedule(self, account, bucket):
        """Add the fill event of a bucket to the heap."""
        if not bucket.rate:
            return
        missing = max(0.0, bucket.burst - bucket.tokens)
        full_at_s = bucket.at_s + missing / bucket.rate
        entry = full_at_s, bucket.generation, account
        heapq.heappush(self._fill_events, entry)
        if len(self._fill_events) > 4 * len(self._buckets) + 64:
            self._compact()

    def _compact(self):
        """Drop outdated fill events from the heap."""
        self._fill_events = [
            entry
            for entry in self._fill_events
            if self._is_current(entry[2], entry[1])
        ]
        heapq.heapify(self._fill_events)

    def _is_current(self, account, generation):
        """Return whether a fill event belongs to the bucket's last change."""
        bucket = self._buckets.get(account)
        return bucket is not None and bucket.generation == generation

    def _borrow(self, account, bucket, cost, pool_floor, now_s):
        """Spend tokens of the pool if the account may borrow them."""
        self._last_borrow_attempts_s[account] = now_s
        remaining = self._pool - cost
        if remaining < pool_floor * self._pool_burst or remaining < 0:
            return False
        is_low = remaining < UNRESTRICTED_POOL_FRACTION * self._pool_burst
        if is_low and not self._borrowed_at_most_mean(account, now_s):
            return False
        self._pool = remaining
        bucket.borrowed = (
            bucket.get_borrowed_by_weight(now_s) * bucket.weight + cost
        )
        bucket.borrowed_at_s = now_s
        return True

    def _borrowed_at_most_mean(self, account, now_s):
        """Return whether an account borrowed at most the mean by weight."""
        self._last_borrow_attempts_s = {
            name: attempted_at_s
            for name, attempted_at_s in self._last_borrow_attempts_s.items()
            if now_s - attempted_at_s <= BORROWER_EXPIRY_S
        }
        recent = {
            name: self._buckets[name].get_borrowed_by_weight(now_s)
            for name in self._last_borrow_attempts_s
        }
        mean = sum(recent.values()) / len(recent)
        return recent[account] <= mean


def _get_needed(bucket, cost, bucket_floor):
    """Return the tokens that a bucket must hold to cover a cost."""
    return min(bucket.burst, cost + bucket_floor * bucket.burst)
