"""Retry budget shared by all instances."""

import collections
import contextlib
import math

import attrs

__all__ = ["RetryRules", "SharedRetryBudget"]

USED_ALLOWANCE_FRACTION = 0.8
"""Fraction of the allowance that is used.

The rest covers attempts that other instances count in a different window.
"""

SPECULATIVE_FRACTION = 0.75
"""Largest fraction of its share that an instance uses for speculative retries.

Such a retry is sent while an earlier attempt goes on. The rest is left for
requests whose attempt has failed. One speculative retry is always allowed.
"""

MAX_STARTED_FRACTION = 0.15
"""Largest fraction of the instances that start in a window whose starts the
unused part of the allowance covers."""

STARTED_FRACTION = 0.25
"""Fraction of its share that an instance uses in the first window after its
start, if more than that have started.

It is as much as the used fraction of the allowance leaves.
"""

SETTLING_S = 3.0
"""Time after a start until the starts of the other instances are known, in
seconds.

Before it, processes that were killed at the same time may be taken for the
members that they were.
"""

INSTANCE_MEMORY_S = 60.0
"""Time for which an instance that is gone still counts, in seconds.

It may have spent its share, or serve callers without being reached.
"""

USED_REJECTION_FRACTION = 0.5
"""Fraction of the rejections that a brittle endpoint bears to be used."""

MIN_REJECTION_PAUSE_S = 0.5
"""Minimum pause after a rejection by a brittle endpoint, in seconds."""

MAX_REJECTION_PAUSE_S = 5.0
"""Maximum pause after a rejection, without its jitter, in seconds."""


@attrs.frozen
class RetryRules:
    """Maximum number of retries sent to a service by all instances.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    slack : float
        Further retries in a window.
    window_s : float
        Length of a window, in seconds.
    """

    ratio: float = 0.1
    slack: float = 20.0
    window_s: float = 10.0


class SharedRetryBudget:
    """Share of one instance in the retry budget of all instances.

    Parameters
    ----------
    rules : RetryRules
        Allowance of all instances together.

    Notes
    -----
    Each instance applies the ratio to its own requests and takes an equal
    share of the slack, so that the total stays within the allowance without
    any message between the instances.

    A process that replaces another one does not know what that has spent in
    the window. What is not used of the allowance covers the starts of a few
    instances. If more have started in a window, each of them takes a part of
    its share only, and nothing of the slack before it knows how many share it.
    """

    def __init__(self, rules=RetryRules()):
        self._rules = rules
        self._began_s = -math.inf
        self._started = None
        self._nodes = 1
        self._counts = collections.deque()
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)
        self._speculative = collections.defaultdict(collections.deque)

    def set_rules(self, rules):
        """Replace the allowance."""
        self._rules = rules

    def start_again(self, began_s):
        """Count this process as one that replaces another.

        Parameters
        ----------
        began_s : float
            Start of the process, in seconds.
        """
        self._began_s = began_s

    def set_live_nodes(self, nodes, now_s, ages_s=None):
        """Set the number of live instances, including this one.

        The largest number of the last `INSTANCE_MEMORY_S` shares the slack.

        Parameters
        ----------
        nodes : int
            Number of live instances.
        now_s : float
            Current time, in seconds.
        ages_s : iterable of float or None
            Time since the start of each other instance that is reachable, in
            seconds; None while none of those that there should be is known.
        """
        counts = self._counts
        while counts and counts[-1][1] <= nodes:
            counts.pop()
        counts.append((now_s, nodes))
        while counts[0][0] < now_s - INSTANCE_MEMORY_S:
            counts.popleft()
        self._nodes = max(1, counts[0][1])
        self._started = None
        if ages_s is not None:
            window_s = self._rules.window_s
            self._started = 1 + sum(age_s < window_s for age_s in ages_s)

    def compute_rejection_pause_s(self, rejections, jitter):
        """Return how long to spare an endpoint that has rejected a request.

        If every instance sends it one request in this time, all of them stay
        under its rejections even if all are rejected.

        Parameters
        ----------
        rejections : int
            Rejections in a second that the endpoint bears.
        jitter : float
            Random number from 0 to 1, so that instances return at different
            times.
        """
        borne = max(1.0, USED_REJECTION_FRACTION * rejections)
        pause_s = max(MIN_REJECTION_PAUSE_S, self._nodes / borne)
        return min(MAX_REJECTION_PAUSE_S, pause_s) * (1.0 + jitter)

    def record_request(self, service, now_s):
        """Count a caller's request to a service."""
        self._requests[service].append(now_s)
        self._trim(self._requests[service], now_s)

    def spend(self, service, now_s, is_speculative=False):
        """Return whether a retry is allowed, and count it if so.

        Parameters
        ----------
        service : str
            The service.
        now_s : float
            Current time, in seconds.
        is_speculative : bool
            Whether an earlier attempt of the request goes on.
        """
        requests = self._requests[service]
        retries = self._retries[service]
        speculative = self._speculative[service]
        for times in (requests, retries, speculative):
            self._trim(times, now_s)
        share = USED_ALLOWANCE_FRACTION * self._compute_allowance(
            len(requests), now_s
        )
        if len(retries) + 1 > share:
            return False
        if is_speculative:
            if len(speculative) + 1 > max(1.0, SPECULATIVE_FRACTION * share):
                return False
            speculative.append(now_s)
        retries.append(now_s)
        return True

    def give_back(self, service, spent_s, is_speculative=False):
        """Count a retry no more that was not sent.

        Parameters
        ----------
        service : str
            The service.
        spent_s : float
            Time at which it was spent, in seconds.
        is_speculative : bool
            As it was spent.
        """
        counts = [self._retries]
        if is_speculative:
            counts.append(self._speculative)
        for times in counts:
            # The window may have dropped it.
            with contextlib.suppress(ValueError):
                times[service].remove(spent_s)

    def _compute_allowance(self, requests, now_s):
        """Return the retries of this instance that the rules allow."""
        rules = self._rules
        age_s = now_s - self._began_s
        slack = rules.slack / self._nodes
        is_settled = age_s >= SETTLING_S and self._started is not None
        if age_s >= rules.window_s or (
            is_settled and self._started <= MAX_STARTED_FRACTION * self._nodes
        ):
            return rules.ratio * requests + slack
        if self._started is None:
            slack = 0.0
        return STARTED_FRACTION * (rules.ratio * requests + slack)

    def _trim(self, times, now_s):
        """Drop the times before the current window."""
        begin_s = now_s - self._rules.window_s
        while times and times[0] < begin_s:
            times.popleft()
