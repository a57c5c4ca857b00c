"""Time that a stopping instance has left for its requests."""

import math

import attrs

__all__ = ["ANSWER_MARGIN_S", "StopDeadline"]

ANSWER_MARGIN_S = 0.25
"""Time that the last answers of a stopping instance take, in seconds.

Requests that are still running end by so much before the instance exits, so
that their callers get an answer.
"""


@attrs.define
class StopDeadline:
    """When a stopping instance ends the requests that are still running.

    Parameters
    ----------
    end_s : float
        Monotonic time, in seconds; infinity while the instance is not
        stopping.
    begin_s : float
        Monotonic time at which the stop began, in seconds; infinity while
        the instance is not stopping.
    """

    end_s: float = math.inf
    begin_s: float = math.inf

    def begin(self, begin_s, end_s):
        """Begin the stop."""
        self.begin_s = begin_s
        self.end_s = end_s

    def get_elapsed_s(self, now_s):
        """Return the time since the stop began; None before it."""
        return now_s - self.begin_s if now_s >= self.begin_s else None

    def can_hold(self, request, now_s):
        """Return whether an attempt that starts now may end in time.

        The goal of the request is taken for its duration, unless its own
        deadline comes first: most answers arrive within the goal.
        """
        if request.deadline_s < self.end_s:
            return True
        return now_s + request.goal_s <= self.end_s

    def has_passed(self, now_s):
        """Return whether the requests that are still running end now."""
        return now_s >= self.end_s

    def limit(self, request):
        """Return a request whose deadline is before the instance exits.

        It is later than the end, so that no endpoint counts as silent because
        the instance stops.
        """
        latest_s = self.end_s + ANSWER_MARGIN_S
        if request.deadline_s <= latest_s:
            return request
        return attrs.evolve(request, deadline_s=latest_s)
