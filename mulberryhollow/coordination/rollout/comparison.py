"""Comparison of the versions' failures and slow requests on one route."""

import itertools
import math

import attrs

from mulberryhollow.coordination.rollout import evidence
from mulberryhollow.coordination.rollout.verdict import Degradation

__all__ = ["MEASURES", "Comparison", "Measure", "make_comparisons"]

MAX_TESTERS = 4
"""Maximum number of nodes that test the versions of one move at a time."""

MAX_FALSE_ROLLBACK_RATE = 0.01
"""Maximum probability of rolling back a healthy version.

This bounds the errors of all `MAX_TESTERS` nodes together.
"""

_LOG_MIN_BAD_EVIDENCE = math.log(MAX_TESTERS / MAX_FALSE_ROLLBACK_RATE)

MIN_REFERENCE_RESULTS = 100
"""Minimum number of latencies of the old version that define slowness."""

MAX_FAILED_EXCESS = 0.05
"""Excess of failures over all routes that is too high, as a share of
requests."""

MAX_ROUTE_FAILED_EXCESS = 0.15
"""Excess of failures on one route that is too high, as a share of requests."""

MAX_SLOW_EXCESS = 0.2
"""Excess of slow requests over all routes that is too high, as a share of
requests."""

MAX_ROUTE_SLOW_EXCESS = 0.3
"""Excess of slow requests on one route that is too high, as a share of
requests."""

MAX_NORMAL_FAILED = 0.1
"""Maximum share of failures of the old version in normal service."""

MAX_NORMAL_SLOW = 0.8
"""Maximum share of slow requests of the old version in normal service."""


@attrs.frozen
class Measure:
    """Definition of a hit (a failed or slow request) for a test.

    Parameters
    ----------
    badness : Degradation
        Degradation that an excess of hits indicates.
    quantile : float or None
        Quantile of the old version's latency above which a request is slow;
        None to count failures instead.
    odds_ratios : tuple of float
        Odds ratios of the alternative hypotheses.
    weight : float
        Share of a route's error probability that the measure may use.
    """

    badness: Degradation
    quantile: float | None
    odds_ratios: tuple
    weight: float


MEASURES = (
    Measure(Degradation.FAILING, None, (4.0, 16.0, 64.0, 256.0), 0.6),
    Measure(Degradation.SLOW, 0.5, (5.0, 20.0, 80.0), 0.2),
    Measure(Degradation.SLOW, 0.9, (5.0, 20.0, 80.0), 0.2),
)

_MAX_NORMAL_HITS = {
    Degradation.FAILING: MAX_NORMAL_FAILED,
    Degradation.SLOW: MAX_NORMAL_SLOW,
}


@attrs.define(eq=False)
class Comparison:
    """Test of one measure on one route, or on all routes together.

    Parameters
    ----------
    measure : Measure
        Definition of the hits.
    route : str
        Name of the route; empty for all routes together.
    log_threshold : float
        Natural logarithm of the evidence from which the new version counts
        as degraded.
    process : Evidence
        Evidence so far that the new version has more hits.
    bucket : int or None
        Histogram bucket of the latency above which requests are slow; None
        while it is not defined.
    pending : tuple of Arm
        Results of the new and the old version that are not yet part of the
        evidence.
    """

    measure: Measure
    route: str
    log_threshold: float
    process: evidence.Evidence = attrs.field(init=False)
    bucket: int | None = None
    pending: tuple = (evidence.Arm(0, 0), evidence.Arm(0, 0))

    def __attrs_post_init__(self):
        """Create the evidence process, without evidence."""
        self.process = evidence.Evidence(self.measure.odds_ratios)

    def add(self, pair):
        """Add the results of one evaluation once both versions have some.

        Results of one version are kept until the other has results too, so
        that none is lost when one of the two gets few requests.
        """
        new, old = (
            arm.plus(self.count(row))
            for arm, row in zip(
                self.pending, (pair.new, pair.old), strict=True
            )
        )
        self.pending = new, old
        if new.trials and old.trials:
            self.process.add(new, old)
            self.drop_pending()

    def drop_pending(self):
        """Discard the kept results, when the share changes."""
        self.pending = evidence.Arm(0, 0), evidence.Arm(0, 0)

    def set_reference(self, old, min_results=MIN_REFERENCE_RESULTS):
        """Set the latency above which requests are slow.

        The quantile of the old version's latencies so far defines it, once
        there are ``min_results`` of them.
        """
        quantile = self.measure.quantile
        if quantile is not None and old.latency_count >= min_results:
            self.bucket = _find_bucket(old, quantile)

    def count(self, row):
        """Return the trials and hits of a row.

        There are none while slowness is not yet defined.
        """
        if self.measure.quantile is None:
            return evidence.Arm(
                row.ok + row.attributed_failures, row.attributed_failures
            )
        if self.bucket is None:
            return evidence.Arm(0, 0)
        return evidence.Arm(row.latency_count, row.count_slower(self.bucket))

    def compute_health_evidence(self, pair):
        """Return the evidence that the new version is healthy."""
        match self.measure.badness, bool(self.route):
            case Degradation.FAILING, False:
                excess = MAX_FAILED_EXCESS
            case Degradation.FAILING, True:
                excess = MAX_ROUTE_FAILED_EXCESS
            case Degradation.SLOW, False:
                excess = MAX_SLOW_EXCESS
            case _:
                excess = MAX_ROUTE_SLOW_EXCESS
        return evidence.compute_health_evidence(
            self.count(pair.new), self.count(pair.old), excess
        )

    def is_normal(self, old):
        """Return whether the old version's hits are within normal service."""
        arm = self.count(old)
        return arm.hits <= _MAX_NORMAL_HITS[self.measure.badness] * arm.trials

    def is_degraded(self):
        """Return whether the evidence has reached the threshold."""
        return self.process.log_value >= self.log_threshold


def _find_bucket(row, quantile):
    """Return the histogram bucket that holds a quantile of the latencies."""
    min_count = quantile * row.latency_count
    cumulative_counts = itertools.accumulate(row.buckets)
    return next(
        i for i, count in enumerate(cumulative_counts) if count >= min_count
    )


def make_comparisons(route, index):
    """Return the comparisons of a route, given its index among the routes."""
    return [
        Comparison(measure, route, _compute_log_threshold(index, measure))
        for measure in MEASURES
    ]


def _compute_log_threshold(index, measure):
    """Return the log threshold of one measure on a route.

    All routes together have index 0 and half of the error probability. The
    route with index k gets 1 / (k (k + 1)) of the other half; these shares add
    up to less than one for any number of routes.
    """
    weight = 0.5 / (index * (index + 1)) if index else 0.5
    return _LOG_MIN_BAD_EVIDENCE - math.log(weight * measure.weight)
