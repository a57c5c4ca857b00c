"""Test of a new version that may get a limited number of requests."""

import collections
import math

import attrs

from mulberryhollow.coordination.rollout import evidence
from mulberryhollow.coordination.rollout import exposure
from mulberryhollow.coordination.rollout import tester
from mulberryhollow.coordination.rollout import verdict

__all__ = ["BoundedTester"]

MAX_USED_SHARE = 0.9
"""Share of the allowed requests from which an unproven version gets no
more."""

OVERDUE_S = 1.5
"""Time after which a request without a result counts as slow, in seconds."""

MIN_ROUTE_SHARE = 0.1
"""Share of the requests from which a route needs evidence of its own that the
new version is healthy."""

_MAX_EXCESS = {
    (verdict.Degradation.FAILING, False): 0.25,
    (verdict.Degradation.FAILING, True): 0.4,
    (verdict.Degradation.SLOW, False): 0.3,
    (verdict.Degradation.SLOW, True): 0.4,
}

_LOG_MIN_TOTAL_EVIDENCE = math.log(20.0)
_LOG_MIN_ROUTE_EVIDENCE = math.log(6.0)


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

    min_reference_results = 30
    evaluation_interval_s = 0.25

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
        match judgement:
            case verdict.Undecided() if self._is_used_up(usage):
                self._bad = verdict.Bad(
                    self._move.id,
                    verdict.Degradation.UNPROVEN,
                    "",
                    round(usage.exposed),
                )
                return self._bad
        return judgement

    def _is_used_up(self, usage):
        """Return whether the new version may get no more requests."""
        limit = self._move.times.exposure
        allowed = limit.compute_allowance(usage.expected)
        return usage.exposed >= MAX_USED_SHARE * allowed

    def begin_window(self, counters):
        """Begin a new window, which keeps the evidence of health."""
        good = self._good
        super().begin_window(counters)
        self._good = good

    def _judge_health(self, growth):
        """Update the evidence that the new version is healthy."""
        total = self._last_rows[""]
        min_results = MIN_ROUTE_SHARE * total.old.latency_count
        margins = [
            self._compute_margin(test, pair, min_results)
            for route, pair in self._last_rows.items()
            for test in self._tests[route]
        ]
        weakest = min(margins)
        self._good = (
            verdict.Good(weakest + _LOG_MIN_TOTAL_EVIDENCE, True)
            if weakest >= 0
            else None
        )

    def _compute_margin(self, test, pair, min_results):
        """Return by how much a test's evidence of health is sufficient."""
        new, old = test.count(pair.new), test.count(pair.old)
        is_route = bool(test.route)
        excess = _MAX_EXCESS[test.measure.badness, is_route]
        found = evidence.compute_health_evidence(new, old, excess)
        if not is_route:
            return found - _LOG_MIN_TOTAL_EVIDENCE
        if pair.old.latency_count >= min_results:
            return found - _LOG_MIN_ROUTE_EVIDENCE
        return found

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


def _add_overdue(row, started):
    """Return a row with overdue requests as the slowest of all.

    Of the requests that had ``started`` some time ago, at least those beyond
    the number of results are still without one.
    """
    overdue = max(0, started - row.latency_count)
    buckets = (*row.buckets[:-1], row.buckets[-1] + overdue)
    return attrs.evolve(row, buckets=buckets)
