"""Sequential probability ratio test of a new version against the old one."""

import itertools
import math

import attrs

from mulberryhollow.coordination.rollout import comparison
from mulberryhollow.coordination.rollout.verdict import Bad
from mulberryhollow.coordination.rollout.verdict import Good
from mulberryhollow.coordination.rollout.verdict import Undecided
from mulberryhollow.state import counters as counting

__all__ = ["LOOK_S", "Tester"]

LOOK_S = 0.5
"""Minimum interval between two evaluations, in seconds."""

MAX_LOOK_S = 3.0
"""Maximum time that one evaluation may cover, in seconds."""

_LOG_GOOD = math.log(20.0)

MAX_WINDOWS = 12
"""Number of windows (share steps) of a move that get prior weight."""

MIN_ROUTE_SHARE = 0.1
"""Share of the requests from which a route needs evidence of its own that the
new version is healthy."""

MIN_PART = 10
"""Minimum number of results of the old version from which its own health can
be judged."""


class Tester:
    """Compares the versions of one move by this node's merged counters.

    Parameters
    ----------
    move : Move
        The move.
    counters : Counters
        Merged counters at the start.
    now_s : float
        Current time, in Unix seconds.

    Notes
    -----
    A window begins with each share. Evidence that the new version is degraded
    accumulates over the whole move, with prior weight on a change point at
    each evaluation and at each window. Evidence that it is healthy comes from
    the current window for all routes together, and from the whole move for
    single routes; only periods in which the old version's failures and
    latencies were normal count for it.
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
        self._move_sum = {}
        self._part = {}
        self._windows = 0
        self.begin_window(counters)

    def begin_window(self, counters):
        """Begin a new window after a change of the share."""
        seen = self._read(counters)
        self._good = None
        self._window = {}
        self._part = {}
        self._add_tests(seen)
        self._windows += 1
        self._skip(seen)
        for test in self._list_tests():
            test.set_reference(seen[test.route].old)
            if self._windows <= MAX_WINDOWS:
                test.process.begin(0.5 / MAX_WINDOWS)

    def look(self, counters, now_s):
        """Return the verdict by the counters so far.

        Parameters
        ----------
        counters : Counters
            Merged counters of all nodes.
        now_s : float
            Current time, in Unix seconds.

        Returns
        -------
        Bad, Undecided or Good
            `Bad` is kept for the whole move, `Good` for the window.
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
        """Discard the results up to here as evidence.

        When the share changed in between, for example during a pause of this
        node, the results of the two versions stem from different times and
        cannot be compared.
        """
        self._seen = seen
        for test in self._list_tests():
            test.drop_waiting()

    def _take_in(self, seen):
        """Update every test with the results of one evaluation."""
        self._add_tests(seen)
        growth = _subtract(seen, self._seen)
        for test in self._list_tests():
            pair = growth[test.route]
            test.process.begin(self._look_weight)
            test.add(pair)
            if test.bucket is None:
                test.set_reference(seen[test.route].old)
        self._seen = seen
        self._extend_window(growth)
        self._bad = self._find_bad()
        if self._good is None or not self._good.covers_routes:
            self._good = self._find_good()

    def _extend_window(self, growth):
        """Add results to the window while the old version is healthy.

        The results are added in batches with enough results of the old
        version to judge its health.
        """
        part = _add(growth, self._part)
        self._part = part
        if part[""].old.timed >= MIN_PART:
            self._part = {}
            if all(test.is_usual(part[""].old) for test in self._tests[""]):
                self._window = _add(part, self._window)
                self._move_sum = _add(part, self._move_sum)

    def _find_bad(self):
        """Return the verdict of the first test over its threshold, or None."""
        return next(
            (
                Bad(
                    self._move.id,
                    test.measure.badness,
                    test.route,
                    self._seen[""].new.started,
                )
                for test in self._list_tests()
                if test.is_bad()
            ),
            None,
        )

    def _find_good(self):
        """Return the verdict that the new version is healthy, or None."""
        window = self._window
        in_total = self._weigh(window, [""]) if window else 0.0
        if in_total < _LOG_GOOD:
            return None
        least = MIN_ROUTE_SHARE * self._move_sum[""].old.timed
        larger = [
            route
            for route, pair in self._move_sum.items()
            if route and pair.old.timed >= least
        ]
        on_routes = self._weigh(self._move_sum, larger)
        return Good(in_total, on_routes >= _LOG_GOOD)

    def _weigh(self, window, routes):
        """Return the weakest evidence of health over some routes."""
        return min(
            (
                test.weigh_harmlessness(window[route])
                for route in routes
                for test in self._tests[route]
            ),
            default=math.inf,
        )

    def _read(self, counters):
        """Return both versions' rows by route, the total under key ``""``."""
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
        """Create the tests of new routes, in the order of their names."""
        for route in seen:
            if route not in self._tests:
                place = len(self._tests)
                self._tests[route] = comparison.make_comparisons(route, place)

    def _list_tests(self):
        """Return all tests; those of all routes together come first."""
        return itertools.chain.from_iterable(self._tests.values())


def _add(growth, before):
    """Return the sum of two sets of rows by route."""
    return {
        route: pair.plus(before.get(route, _Pair()))
        for route, pair in growth.items()
    }


def _subtract(seen, before):
    """Return the growth of each route's rows since an earlier reading."""
    return {
        route: pair.minus(before.get(route, _Pair()))
        for route, pair in seen.items()
    }


@attrs.frozen
class _Pair:
    """Counter rows of the new and the old version."""

    new: counting.Row = counting.EMPTY_ROW
    old: counting.Row = counting.EMPTY_ROW

    def minus(self, other):
        """Return the growth since an earlier reading."""
        return _Pair(self.new.minus(other.new), self.old.minus(other.old))

    def plus(self, other):
        """Return the sum of two pairs."""
        return _Pair(self.new.plus(other.new), self.old.plus(other.old))
