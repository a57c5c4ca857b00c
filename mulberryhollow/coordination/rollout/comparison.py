"""Comparison of failures and slow requests on one route."""

import itertools
import math

import attrs

from mulberryhollow.coordination.rollout import evidence
from mulberryhollow.coordination.rollout.verdict import Badness

__all__ = ["MEASURES", "Comparison", "Measure", "make_comparisons"]

MAX_TESTERS = 4
"""Most nodes that compare the versions of one move at a time."""

MAX_FALSE_BAD = 0.01
"""Most acceptable chance of rolling back a good version."""

_LOG_BAD = math.log(MAX_TESTERS / MAX_FALSE_BAD)

MIN_REFERENCE = 100
"""Fewest latencies of the old version that define slowness."""

MAX_FAILED_EXCESS = 0.05
"""Excess of failures in total that is too much, as a share of requests."""

MAX_ROUTE_FAILED_EXCESS = 0.15
"""Excess of failures on a route that is too much, as a share of requests."""

MAX_SLOW_EXCESS = 0.2
"""Excess of slow requests in total that is too much, as a share."""

MAX_ROUTE_SLOW_EXCESS = 0.3
"""Excess of slow requests on a route that is too much, as a share."""

MAX_USUAL_FAILED = 0.1
"""Share of failures of the old version that is still usual."""

MAX_USUAL_SLOW = 0.8
"""Share of slow requests of the old version that is still usual."""


@attrs.frozen
class Measure:
    """One way of counting hits.

    Parameters
    ----------
    badness : Badness
        What an excess of hits shows.
    quantile : float or None
        Slow requests are those above this quantile of the old version; None
        counts failures.
    odds_ratios : tuple of float
        Alternatives.
    weight : float
        Its part of a route's error probability.
    """

    badness: Badness
    quantile: float | None
    odds_ratios: tuple
    weight: float


MEASURES = (
    Measure(Badness.FAILING, None, (4.0, 16.0, 64.0, 256.0), 0.6),
    Measure(Badness.SLOW, 0.5, (5.0, 20.0, 80.0), 0.2),
    Measure(Badness.SLOW, 0.9, (5.0, 20.0, 80.0), 0.2),
)

_MAX_USUAL_HITS = {
    Badness.FAILING: MAX_USUAL_FAILED,
    Badness.SLOW: MAX_USUAL_SLOW,
}


@attrs.define
class Comparison:
    """One measure on one route, or on all routes together.

    Parameters
    ----------
    measure : Measure
        What it counts.
    route : str
        Name of the route; empty for all.
    log_threshold : float
        Logarithm of the evidence that shows badness.
    """

    measure: Measure
    route: str
    log_threshold: float
    process: evidence.Evidence = attrs.field(init=False)
    bucket: int | None = None
    waiting: tuple = (evidence.Arm(0, 0), evidence.Arm(0, 0))

    def __attrs_post_init__(self):
        """Start without evidence."""
        self.process = evidence.Evidence(self.measure.odds_ratios)

    def add(self, pair):
        """Add one look's results, once both versions have any.

        Results wait for those of the other version, so that none is lost when
        one of the two gets few requests.
        """
        new, old = (
            arm.plus(self.count(row))
            for arm, row in zip(
                self.waiting, (pair.new, pair.old), strict=True
            )
        )
        self.waiting = new, old
        if new.trials and old.trials:
            self.process.add(new, old)
            self.drop_waiting()

    def drop_waiting(self):
        """Forget the results that wait, when the share changes."""
        self.waiting = evidence.Arm(0, 0), evidence.Arm(0, 0)

    def set_reference(self, old):
        """Define slowness by the latencies of the old version so far."""
        quantile = self.measure.quantile
        if quantile is not None and old.timed >= MIN_REFERENCE:
            self.bucket = _find_bucket(old, quantile)

    def count(self, row):
        """Return the trials and hits of a row; none if not yet defined."""
        if self.measure.quantile is None:
            return evidence.Arm(row.ok + row.blamed, row.blamed)
        if self.bucket is None:
            return evidence.Arm(0, 0)
        return evidence.Arm(row.timed, row.count_slower(self.bucket))

    def weigh_harmlessness(self, pair):
        """Return the evidence that the new version does no harm."""
        match self.measure.badness, bool(self.route):
            case Badness.FAILING, False:
                excess = MAX_FAILED_EXCESS
            case Badness.FAILING, True:
                excess = MAX_ROUTE_FAILED_EXCESS
            case Badness.SLOW, False:
                excess = MAX_SLOW_EXCESS
            case _:
                excess = MAX_ROUTE_SLOW_EXCESS
        return evidence.weigh_harmlessness(
            self.count(pair.new), self.count(pair.old), excess
        )

    def is_usual(self, old):
        """Return whether the old version served as usual."""
        arm = self.count(old)
        return arm.hits <= _MAX_USUAL_HITS[self.measure.badness] * arm.trials

    def is_bad(self):
        """Return whether the evidence has passed the threshold."""
        return self.process.log_value >= self.log_threshold


def _find_bucket(row, quantile):
    """Return the bucket that holds a quantile of the latencies."""
    wanted = quantile * row.timed
    sums = itertools.accumulate(row.buckets)
    return next(i for i, count in enumerate(sums) if count >= wanted)


def make_comparisons(route, place):
    """Return the comparisons of a route, by its place among the routes."""
    return [
        Comparison(measure, route, _compute_log_threshold(place, measure))
        for measure in MEASURES
    ]


def _compute_log_threshold(place, measure):
    """Return the threshold of one measure on a route, by the route's place.

    The total has place 0 and half of the error probability; the route with
    place k has 1 / (k (k + 1)) of the other half, whatever their number.
    """
    weight = 0.5 / (place * (place + 1)) if place else 0.5
    return _LOG_BAD - math.log(weight * measure.weight)
