"""Sequential comparison of a new version with the old one."""

import dataclasses
import enum
import itertools
import math

import attrs

from mulberryhollow.coordination.rollout import evidence
from mulberryhollow.state import counters as counting

__all__ = ["Bad", "Badness", "Good", "LOOK_S", "Tester", "Undecided"]

LOOK_S = 0.5
"""Least time between two looks, in seconds."""

MAX_LOOK_S = 3.0
"""Most time that one look may cover, in seconds."""

MAX_TESTERS = 4
"""Most nodes that compare the versions of one move at a time."""

MAX_FALSE_BAD = 0.01
"""Most acceptable chance of rolling back a good version."""

_LOG_BAD = math.log(MAX_TESTERS / MAX_FALSE_BAD)
_LOG_GOOD = math.log(20.0)

MAX_WINDOWS = 12
"""Most share steps in one move."""

MIN_REFERENCE = 100
"""Fewest latencies of the old version that define slowness."""

MIN_ROUTE_SHARE = 0.1
"""Share of the requests from which a route must show that it is good."""

MAX_FAILED_EXCESS = 0.05
"""Excess of failures in total that is too much, as a share of requests."""

MAX_ROUTE_FAILED_EXCESS = 0.15
"""Excess of failures on a route that is too much, as a share of requests."""

MAX_SLOW_EXCESS = 0.2
"""Excess of slow requests in total that is too much, as a share."""

MAX_ROUTE_SLOW_EXCESS = 0.3
"""Excess of slow requests on a route that is too much, as a share."""

MAX_USUAL_FAILED = 0.1
"""Share of failures of the old version above which a look is no evidence."""

MAX_USUAL_SLOW = 0.8
"""Share of slow requests of the old version, likewise."""


class Badness(enum.Enum):
    """What is wrong with a version."""

    FAILING = "failing"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True)
class Bad:
    """The new version is worse; final for its move.

    Parameters
    ----------
    move_id : str
        Id of the move.
    badness : Badness
        What is wrong.
    route : str
        The route that shows it; empty when all routes together do.
    requests : int
        Requests that the new version had begun by then.
    """

    move_id: str
    badness: Badness
    route: str
    requests: int

    @property
    def reason(self):
        """Text for the record and the operator."""
        where = f"on route {self.route}" if self.route else "in total"
        return f"{self.badness.value} {where} after {self.requests} requests"


@dataclasses.dataclass(frozen=True)
class Undecided:
    """Neither is shown yet.

    Parameters
    ----------
    requests : int
        Requests that the new version has answered in this window.
    """

    requests: int


@dataclasses.dataclass(frozen=True)
class Good:
    """At this share the new version is no worse.

    Parameters
    ----------
    evidence : float
        Logarithm of the weakest likelihood ratio in total.
    covers_routes : bool
        Whether each of the larger routes shows it too.
    """

    evidence: float
    covers_routes: bool = False


@attrs.frozen
class _Measure:
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


_MEASURES = (
    _Measure(Badness.FAILING, None, (4.0, 16.0, 64.0, 256.0), 0.6),
    _Measure(Badness.SLOW, 0.5, (5.0, 20.0, 80.0), 0.2),
    _Measure(Badness.SLOW, 0.9, (5.0, 20.0, 80.0), 0.2),
)


_MAX_USUAL_HITS = {
    Badness.FAILING: MAX_USUAL_FAILED,
    Badness.SLOW: MAX_USUAL_SLOW,
}


@attrs.define
class _Test:
    """One measure on one route, or on all routes together.

    Parameters
    ----------
    measure : _Measure
        What it counts.
    route : str
        Name of the route; empty for all.
    log_threshold : float
        Logarithm of the evidence that shows badness.
    """

    measure: _Measure
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

    def is_bad(self):
        """Return whether the evidence has passed the threshold."""
        return self.process.log_value >= self.log_threshold


def _find_bucket(row, quantile):
    """Return the bucket that holds a quantile of the latencies."""
    wanted = quantile * row.timed
    sums = itertools.accumulate(row.buckets)
    return next(i for i, count in enumerate(sums) if count >= wanted)


def _compute_log_threshold(place, measure):
    """Return the threshold of one measure on a route, by the route's place.

    The total has place 0 and half of the error probability; the route with
    place k has 1 / (k (k + 1)) of the other half, whatever their number.
    """
    weight = 0.5 / (place * (place + 1)) if place else 0.5
    return _LOG_BAD - math.log(weight * measure.weight)


class Tester:
    """Compares the versions of one move on this node's merged counters.

    Parameters
    ----------
    move : Move
        The move.
    counters : Counters
        Merged counters at the start.
    now_s : float
        The present time, in Unix seconds.

    Notes
    -----
    A window begins with each share. Evidence of badness is kept over the
    whole move, with prior weight on a change at each look and at each window;
    evidence that the version is good comes from the present window only, and
    from those looks in which the old version served as usual.
    """

    def __init__(self, move, counters, now_s):
        self._move = move
        looks = math.ceil((move.deadline_s - move.created_s) / LOOK_S) + 1
        self._look_weight = 0.5 / looks
        self._tests = {}
        self._looked_at_s = now_s
        self._bad = None
        self._good = None
        self._seen = self._read(counters)
        self._window = {}
        self._windows = 0
        self.begin_window(counters)

    def begin_window(self, counters):
        """Begin a window, at a new share."""
        seen = self._read(counters)
        self._good = None
        self._window = {}
        self._add_tests(seen)
        self._windows += 1
        self._skip(seen)
        for test in self._tests.values():
            test.set_reference(seen[test.route].old)
            if self._windows <= MAX_WINDOWS:
                test.process.begin(0.5 / MAX_WINDOWS)

    def latch(self, bad):
        """Take over a verdict of another node."""
        self._bad = self._bad or bad

    def look(self, counters, now_s):
        """Return the verdict on the counters so far.

        Parameters
        ----------
        counters : Counters
            Merged counters.
        now_s : float
            The present time, in Unix seconds.

        Returns
        -------
        Bad, Undecided or Good
            Bad stays so; Good holds for the window.
        """
        elapsed_s = now_s - self._looked_at_s
        if self._bad is None and elapsed_s >= LOOK_S:
            self._looked_at_s = now_s
            seen = self._read(counters)
            if elapsed_s > MAX_LOOK_S:
                self._skip(seen)
            self._take_in(seen)
        if self._bad is not None:
            return self._bad
        if self._good is not None:
            return self._good
        answered = self._window.get("", _Pair()).new
        return Undecided(answered.ok + answered.blamed)

    def _skip(self, seen):
        """Draw nothing from the results up to here.

        Sums over a time in which the share has changed compare different
        times, as after a pause of this node.
        """
        self._seen = seen
        for test in self._tests.values():
            test.drop_waiting()

    def _take_in(self, seen):
        """Add one look to every test."""
        self._add_tests(seen)
        growth = _subtract(seen, self._seen)
        for test in self._tests.values():
            pair = growth[test.route]
            test.process.begin(self._look_weight)
            test.add(pair)
            if test.bucket is None:
                test.set_reference(seen[test.route].old)
        self._seen = seen
        if self._is_normal(growth):
            self._window = _add(self._window, growth)
        self._bad = self._find_bad()
        if self._good is None or not self._good.covers_routes:
            self._good = self._find_good()

    def _is_normal(self, growth):
        """Return whether the old version served as usual in a look."""
        old = growth[""].old
        arms = [
            (test.measure.badness, test.count(old))
            for test in self._tests.values()
            if not test.route
        ]
        return all(
            arm.hits <= _MAX_USUAL_HITS[badness] * arm.trials
            for badness, arm in arms
        )

    def _find_bad(self):
        """Return the verdict of the first test that shows badness."""
        return next(
            (
                Bad(
                    self._move.id,
                    test.measure.badness,
                    test.route,
                    self._seen[""].new.started,
                )
                for test in self._tests.values()
                if test.is_bad()
            ),
            None,
        )

    def _find_good(self):
        """Return the verdict that the window shows no harm, or None."""
        window = self._window
        in_total = self._weigh(window, [""]) if window else 0.0
        if in_total < _LOG_GOOD:
            return None
        least = MIN_ROUTE_SHARE * window[""].old.timed
        larger = [
            route
            for route, pair in window.items()
            if route and pair.old.timed >= least
        ]
        return Good(in_total, self._weigh(window, larger) >= _LOG_GOOD)

    def _weigh(self, window, routes):
        """Return the weakest evidence of harmlessness on some routes."""
        return min(
            (
                _weigh_test(test, window[test.route])
                for test in self._tests.values()
                if test.route in routes
            ),
            default=math.inf,
        )

    def _read(self, counters):
        """Return both versions' rows by route, the total under ``""``."""
        service = self._move.service
        new = counters.total_by_route(service, self._move.to_version)
        old = counters.total_by_route(service, self._move.from_version)
        pairs = {
            route: _Pair(
                new.get(route, counting.EMPTY_ROW),
                old.get(route, counting.EMPTY_ROW),
            )
            for route in sorted(new.keys() | old.keys())
        }
        total = _Pair(
            counting.sum_up(new.values()), counting.sum_up(old.values())
        )
        return {"": total} | pairs

    def _add_tests(self, seen):
        """Add the tests of routes not seen before, in order."""
        known = {route for route, _ in self._tests}
        for route in [route for route in seen if route not in known]:
            place = len(self._tests) // len(_MEASURES)
            for index, measure in enumerate(_MEASURES):
                threshold = _compute_log_threshold(place, measure)
                self._tests[route, index] = _Test(measure, route, threshold)


def _weigh_test(test, pair):
    """Return a test's evidence of harmlessness."""
    match test.measure.badness, bool(test.route):
        case Badness.FAILING, False:
            excess = MAX_FAILED_EXCESS
        case Badness.FAILING, True:
            excess = MAX_ROUTE_FAILED_EXCESS
        case Badness.SLOW, False:
            excess = MAX_SLOW_EXCESS
        case _:
            excess = MAX_ROUTE_SLOW_EXCESS
    return evidence.weigh_harmlessness(
        test.count(pair.new), test.count(pair.old), excess
    )


def _add(window, growth):
    """Return each route's sum of two states."""
    return {
        route: pair.plus(window.get(route, _Pair()))
        for route, pair in growth.items()
    }


def _subtract(seen, before):
    """Return each route's growth between two states."""
    return {
        route: pair.minus(before.get(route, _Pair()))
        for route, pair in seen.items()
    }


@attrs.frozen
class _Pair:
    """Rows of both versions."""

    new: counting.Row = counting.EMPTY_ROW
    old: counting.Row = counting.EMPTY_ROW

    def minus(self, other):
        """Return the growth since an earlier state."""
        return _Pair(self.new.minus(other.new), self.old.minus(other.old))

    def plus(self, other):
        """Return the sum of two states."""
        return _Pair(self.new.plus(other.new), self.old.plus(other.old))
