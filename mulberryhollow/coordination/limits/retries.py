"""Retry budget shared by all instances."""

import collections

import attrs

__all__ = ["RetryRules", "SharedRetryBudget"]

USED_ALLOWANCE_FRACTION = 0.8
"""Fraction of the allowance that is used.

The rest covers attempts that other instances count in a different window.
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
    """

    def __init__(self, rules=RetryRules()):
        self._rules = rules
        self._nodes = 1
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)

    def set_rules(self, rules):
        """Replace the allowance."""
        self._rules = rules

    def set_live_nodes(self, nodes):
        """Set the number of live instances, including this one."""
        self._nodes = max(1, nodes)

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

    def spend(self, service, now_s):
        """Return whether a retry is allowed, and count it if so."""
        requests = self._requests[service]
        retries = self._retries[service]
        self._trim(requests, now_s)
        self._trim(retries, now_s)
        rules = self._rules
        allowed = rules.ratio * len(requests) + rules.slack / self._nodes
        if len(retries) + 1 > USED_ALLOWANCE_FRACTION * allowed:
            return False
        retries.append(now_s)
        return True

    def _trim(self, times, now_s):
        """Drop the times before the current window."""
        begin_s = now_s - self._rules.window_s
        while times and times[0] < begin_s:
            times.popleft()
