"""Test of a new version that may get a limited number of requests."""

import collections
import math

import attrs

from mulberryhollow.coordination.rollout import evidence
from mulberryhollow.coordination.rollout import exposure
from mulberryhollow.coordination.rollout import tester
from mulberryhollow.coordination.rollout import verdict

__all__ = ["BoundedTester"]

MAX_TRIAL_SHARE = 0.3
"""Maximum share of the trial; above it, the evidence of health must hold."""

MAX_USED_SHARE = 0.9
"""Share of the allowed requests from which an unproven version gets no
more."""

OVERDUE_S = 1.5
"""Time after which a request without a result counts as slow, in seconds."""

MIN_ROUTE_SHARE = 0.15
"""Share of the requests from which a route needs the full evidence of its own
that the new version is healthy."""

MIN_SMALL_ROUTE_SHARE = 0.05
"""Share of the requests from which a route needs any evidence at all; the
requests that the new version may get need not include one of a rarer route."""

MAX_OLD_FAILED = 0.5
"""Share of failures of the old version on a route above which its results say
nothing about the new version."""

MIN_GOOD_EVIDENCE = 1.5
"""Natural logarithm of the evidence of health, over all routes together, that
a larger share needs."""

MIN_SMALL_ROUTE_EVIDENCE = 0.7
"""Natural logarithm of the evidence that smaller routes need: a result
without a failure, or several for one failure."""

HEALTH_QUANTILE = 0.9
"""Quantile of the old version's latency above which requests count as slow
when the new version's health is judged."""

MIN_NORMAL_RATE = 0.03
"""Minimum share of failed and of slow requests in normal service."""

MIN_NORMAL_ROUTE_RATE = 0.05
"""Minimum share of failed and of slow requests of a route in normal
service."""

SETTLE_S = 1.0
"""Time after a change of the share until most results are of requests sent
at the new share, in seconds."""

_MAX_EXCESS = {
    (verdict.Degradation.FAILING, False): 0.3,
    (verdict.Degradation.FAILING, True): 0.5,
    (verdict.Degradation.SLOW, False): 0.2,
    (verdict.Degradation.SLOW, True): 0.5,
}

_LOG_MIN_TOTAL_EVIDENCE = math.log(20.0)
_LOG_MIN_ROUTE_EVIDENCE = math.log(6.0)
_LOG_MAX_AGAINST = -math.log(20.0)
_LOG_MAX_AGAINST_AT_SHARE = -5.0

SLOW_BUCKETS = 1
"""Buckets above the old version's quantile from which requests count as slow
when the new version's health is judged."""


class BoundedTester(tester.SequentialTester):
    """Compares the versions of one move under an exposure limit.

    Notes
    -----
    Evidence that the new version is degraded accumulates as in any move.
    The limit leaves few requests to show that it is healthy, so the results
    of all shares count together, against larger excesses; a version that
    degrades later still loses its evidence within a few results. Requests
    without a result are slow after `OVERDUE_S`, in both versions.
    """

    min_reference_results = 12
    evaluation_interval_s = 0.15

    def __init__(self, move, counters, now_s):
        self._now_s = now_s
        self._started = collections.deque()
        self._meter = exposure.Meter(move, now_s)
        super().__init__(move, counters, now_s)

    @property
    def usage(self):
        """Use of the exposure limit."""
        return self._meter.usage

    def evaluate(self, counters, now_s):
        """Return the verdict by the counters so far."""
        self._now_s = now_s
        usage = self._meter.update(self._move, counters, now_s)
        judgement = super().evaluate(counters, now_s)
        if self._bad is None and self._must_return(judgement, usage):
            self._bad = verdict.Bad(
                self._move.id,
                verdict.Degradation.UNPROVEN,
                "",
                round(usage.exposed),
            )
        return self._bad or judgement

    def _must_return(self, judgement, usage):
        """Return whether the new version may get no more requests.

        It may not at a large share without evidence of health, or when the
        limit is nearly used up without it.
        """
        match judgement:
            case verdict.Good(evidence=found, at_share=at_share):
                pass
            case _:
                found = at_share = -math.inf
        if self._move.share > MAX_TRIAL_SHARE and (
            at_share < _LOG_MAX_AGAINST_AT_SHARE
        ):
            return True
        return found < MIN_GOOD_EVIDENCE and self._is_used_up(usage)

    def _is_used_up(self, usage):
        """Return whether nearly all of the allowed requests are used."""
        limit = self._move.times.exposure
        allowed = limit.compute_allowance(usage.expected)
        return usage.exposed >= MAX_USED_SHARE * allowed

    def begin_window(self, counters):
        """Begin a new window, which keeps the evidence of health."""
        good = self._good
        super().begin_window(counters)
        self._good = good
        self._share_row = None
        self._settles_s = self._now_s + SETTLE_S

    def _judge_health(self, growth):
        """Update the evidence that the new version is healthy.

        `Good` without `covers_routes` suffices for a larger share, with it
        for ``done``.
        """
        found = {
            test: _compute_evidence(test, self._last_rows[test.route])
            for test in self._list_health_tests()
        }
        weakest = min(found[test] for test in found if not test.route)
        margin = min(found[test] - self._get_minimum(test) for test in found)
        is_good = weakest >= 0 and min(found.values()) >= _LOG_MAX_AGAINST
        self._good = (
            verdict.Good(
                weakest, margin >= 0, self._compute_evidence_at_share()
            )
            if is_good
            else None
        )

    def _list_health_tests(self):
        """Return the tests by which the new version's health is judged.

        The latencies of a route with few results of the old version do not
        define slowness.
        """
        return [
            test
            for test in self._list_tests()
            if self._is_comparable(test.route)
            and (
                test.measure.quantile is None
                or test.measure.quantile == HEALTH_QUANTILE
                and (test.bucket is not None or not test.route)
            )
        ]

    def _is_comparable(self, route):
        """Return whether the old version mostly serves a route."""
        old = self._last_rows[route].old
        failed = old.attributed_failures
        return not route or failed <= MAX_OLD_FAILED * (old.ok + failed)

    def _compute_evidence_at_share(self):
        """Return the evidence of health at the current share alone."""
        total = self._last_rows[""]
        if self._now_s >= self._settles_s and self._share_row is None:
            self._share_row = total.new
        if self._share_row is None:
            return 0.0
        pair = attrs.evolve(total, new=total.new.minus(self._share_row))
        return min(
            _compute_evidence(test, pair)
            for test in self._list_health_tests()
            if not test.route
        )

    def _get_minimum(self, test):
        """Return the evidence of health that ``done`` needs from a test."""
        if not test.route:
            return _LOG_MIN_TOTAL_EVIDENCE
        results = self._last_rows[test.route].old.latency_count
        total = self._last_rows[""].old.latency_count
        if results >= MIN_ROUTE_SHARE * total:
            return _LOG_MIN_ROUTE_EVIDENCE
        is_asked_for = results >= MIN_SMALL_ROUTE_SHARE * total
        if test.measure.quantile is None and is_asked_for:
            return MIN_SMALL_ROUTE_EVIDENCE
        return _LOG_MAX_AGAINST

    def _read(self, counters):
        """Return both versions' rows by route, with overdue requests."""
        pairs = super()._read(counters)
        self._started.append(
            (
                self._now_s,
                {
                    route: (pair.new.started, pair.old.started)
                    for route, pair in pairs.items()
                },
            )
        )
        due = {}
        while self._started[0][0] <= self._now_s - OVERDUE_S:
            _, due = self._started.popleft()
        if due:
            self._started.appendleft((self._now_s - OVERDUE_S, due))
        return {
            route: tester.Pair(
                *(
                    _add_overdue(row, started)
                    for row, started in zip(
                        (pair.new, pair.old),
                        due.get(route, (0, 0)),
                        strict=True,
                    )
                )
            )
            for route, pair in pairs.items()
        }


def _compute_evidence(test, pair):
    """Return the evidence of health of one test."""
    excess = _MAX_EXCESS[test.measure.badness, bool(test.route)]
    return evidence.compute_health_evidence(
        _count(test, pair.new),
        _count(test, pair.old),
        excess,
        MIN_NORMAL_ROUTE_RATE if test.route else MIN_NORMAL_RATE,
    )


def _count(test, row):
    """Return the trials and hits of a row, for the health of a version."""
    if test.bucket is None:
        return test.count(row)
    hits = row.count_slower(test.bucket + SLOW_BUCKETS)
    return evidence.Arm(row.latency_count, hits)


def _add_overdue(row, started):
    """Return a row with overdue requests as the slowest of all.

    Of the requests that had ``started`` some time ago, at least those beyond
    the number of results are still without one.
    """
    overdue = max(0, started - row.latency_count)
    buckets = (*row.buckets[:-1], row.buckets[-1] + overdue)
    return attrs.evolve(row, buckets=buckets)
