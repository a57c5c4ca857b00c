"""Sequential probability ratio test of a new version against the old one."""

import itertools
import math

import attrs

from mulberryhollow.coordination.rollout import comparison
from mulberryhollow.coordination.rollout.verdict import Bad
from mulberryhollow.coordination.rollout.verdict import Good
from mulberryhollow.coordination.rollout.verdict import Undecided
from mulberryhollow.state import counters as counting

__all__ = ["EVALUATION_INTERVAL_S", "Pair", "SequentialTester"]

EVALUATION_INTERVAL_S = 0.5
"""Minimum interval between two evaluations, in seconds."""

MAX_EVALUATION_S = 3.0
"""Maximum time that one evaluation may cover, in seconds."""

_LOG_MIN_GOOD_EVIDENCE = math.log(20.0)

MAX_WINDOWS = 12
"""Number of windows (share steps) of a move that get prior weight."""

MIN_ROUTE_SHARE = 0.1
"""Share of the requests from which a route needs evidence of its own that the
new version is healthy."""

MIN_BATCH_RESULTS = 10
"""Minimum number of results of the old version from which its own health can
be judged."""


class SequentialTester:
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

    min_reference_results = comparison.MIN_REFERENCE_RESULTS
    evaluation_interval_s = EVALUATION_INTERVAL_S

    def __init__(self, move, counters, now_s):
        self._move = move
        evaluations = (
            math.ceil(
                (move.deadline_s - move.created_s) / self.evaluation_interval_s
            )
            + 1
        )
        self._evaluation_weight = 0.5 / evaluations
        self._tests = {}
        self._evaluated_s = now_s
        self._bad = None
        self._good = None
        self._last_rows = self._read(counters)
        self._window = {}
        self._move_total = {}
        self._batch = {}
        self._window_count = 0
        self.begin_window(counters)

    usage = None
    """Use of the exposure limit; a move without one has none."""

    def follow(self, move):
        """Follow a later record of the move."""
        self._move = move

    def begin_window(self, counters):
        """Begin a new window after a change of the share."""
        rows = self._read(counters)
        self._good = None
        self._window = {}
        self._batch = {}
        self._add_tests(rows)
        self._window_count += 1
        self._reset_baseline(rows)
        for test in self._list_tests():
            self._set_reference(test, rows)
            if self._window_count <= MAX_WINDOWS:
                test.process.add_change_point(0.5 / MAX_WINDOWS)

    def evaluate(self, counters, now_s):
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
        elapsed_s = now_s - self._evaluated_s
        if self._bad is None and elapsed_s >= self.evaluation_interval_s:
            self._evaluated_s = now_s
            rows = self._read(counters)
            if elapsed_s > MAX_EVALUATION_S:
                self._reset_baseline(rows)
            self._update_tests(rows)
        if self._bad is not None:
            return self._bad
        if self._good is not None:
            return self._good
        answered = self._window.get("", Pair()).new
        return Undecided(answered.ok + answered.attributed_failures)

    def _reset_baseline(self, rows):
        """Discard the results up to here as evidence.

        When the share changed in between, for example during a pause of this
        node, the results of the two versions stem from different times and
        cannot be compared.
        """
        self._last_rows = rows
        for test in self._list_tests():
            test.drop_pending()

    def _update_tests(self, rows):
        """Update every test with the results of one evaluation."""
        self._add_tests(rows)
        growth = _subtract_pairs(rows, self._last_rows)
        for test in self._list_tests():
            pair = growth[test.route]
            test.process.add_change_point(self._evaluation_weight)
            test.add(pair)
            if test.bucket is None:
                self._set_reference(test, rows)
        self._last_rows = rows
        self._bad = self._find_bad()
        self._judge_health(growth)

    def _set_reference(self, test, rows):
        """Set the latency above which a test's requests are slow."""
        test.set_reference(rows[test.route].old, self.min_reference_results)

    def _judge_health(self, growth):
        """Update the evidence that the new version is healthy."""
        self._extend_window(growth)
        if self._good is None or not self._good.covers_routes:
            self._good = self._find_good()

    def _extend_window(self, growth):
        """Add results to the window while the old version is healthy.

        The results are added in batches with enough results of the old
        version to judge its health.
        """
        batch = _add_pairs(growth, self._batch)
        self._batch = batch
        if batch[""].old.latency_count >= MIN_BATCH_RESULTS:
            self._batch = {}
            if all(test.is_normal(batch[""].old) for test in self._tests[""]):
                self._window = _add_pairs(batch, self._window)
                self._move_total = _add_pairs(batch, self._move_total)

    def _find_bad(self):
        """Return the verdict of the first test over its threshold, or None."""
        return next(
            (
                Bad(
                    self._move.id,
                    test.measure.badness,
                    test.route,
                    self._last_rows[""].new.started,
                )
                for test in self._list_tests()
                if test.is_degraded()
            ),
            None,
        )

    def _find_good(self):
        """Return the verdict that the new version is healthy, or None."""
        window = self._window
        total_evidence = (
            self._find_weakest_evidence(window, [""]) if window else 0.0
        )
        if total_evidence < _LOG_MIN_GOOD_EVIDENCE:
            return None
        min_timed = MIN_ROUTE_SHARE * self._move_total[""].old.latency_count
        larger_routes = [
            route
            for route, pair in self._move_total.items()
            if route and pair.old.latency_count >= min_timed
        ]
        route_evidence = self._find_weakest_evidence(
            self._move_total, larger_routes
        )
        return Good(total_evidence, route_evidence >= _LOG_MIN_GOOD_EVIDENCE)

    def _find_weakest_evidence(self, window, routes):
        """Return the weakest evidence of health over some routes."""
        return min(
            (
                test.compute_health_evidence(window[route])
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
            route: Pair(
                new.get(route, counting.EMPTY_ROW),
                old.get(route, counting.EMPTY_ROW),
            )
            for route in sorted(new.keys() | old.keys())
        }
        total = Pair(
            counting.sum_up(new.values()), counting.sum_up(old.values())
        )
        return {"": total} | pairs

    def _add_tests(self, rows):
        """Create the tests of new routes, in the order of their names."""
        for route in rows:
            if route not in self._tests:
                index = len(self._tests)
                self._tests[route] = comparison.make_comparisons(route, index)

    def _list_tests(self):
        """Return all tests; those of all routes together come first."""
        return itertools.chain.from_iterable(self._tests.values())


def _add_pairs(growth, before):
    """Return the sum of two sets of rows by route."""
    return {
        route: pair.plus(before.get(route, Pair()))
        for route, pair in growth.items()
    }


def _subtract_pairs(rows, before):
    """Return the growth of each route's rows since an earlier reading."""
    return {
        route: pair.minus(before.get(route, Pair()))
        for route, pair in rows.items()
    }


@attrs.frozen
class Pair:
    """Counter rows of the new and the old version."""

    new: counting.Row = counting.EMPTY_ROW
    old: counting.Row = counting.EMPTY_ROW

    def minus(self, other):
        """Return the growth since an earlier reading."""
        return Pair(self.new.minus(other.new), self.old.minus(other.old))

    def plus(self, other):
        """Return the sum of two pairs."""
        return Pair(self.new.plus(other.new), self.old.plus(other.old))
