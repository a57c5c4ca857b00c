"""Budget of repeated attempts over all instances."""

import collections

import attrs

__all__ = ["RetryRules", "SharedRetryBudget"]

SAFETY = 0.8
"""Part of the allowance that is used.

The rest covers attempts that peers count into another window.
"""


@attrs.frozen
class RetryRules:
    """How many repeated attempts a service may get from all instances.

    Parameters
    ----------
    ratio : float
        Repeated attempts for each request.
    slack : float
        Further ones in a window.
    window_s : float
        Length of a window, in seconds.
    """

    ratio: float = 0.1
    slack: float = 20.0
    window_s: float = 10.0


class SharedRetryBudget:
    """Part of the budget that one instance spends.

    Parameters
    ----------
    rules : RetryRules
        The allowance of all instances together.

    Notes
    -----
    Each instance spends the ratio on its own requests and an equal part
    of the slack, so no message is needed for the sum to hold.
    """

    def __init__(self, rules=RetryRules()):
        self._rules = rules
        self._nodes = 1
        self._requests = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)

    def set_rules(self, rules):
        """Use another allowance from now on."""
        self._rules = rules

    def set_live_nodes(self, nodes):
        """Set the number of instances that may spend, this one included."""
        self._nodes = max(1, nodes)

    def record_request(self, service, now_s):
        """Count a caller's request to a service."""
        self._requests[service].append(now_s)
        self._trim(self._requests[service], now_s)

    def spend(self, service, now_s):
        """Spend one repeated attempt; return whether it is allowed."""
        requests = self._requests[service]
        repeats = self._repeats[service]
        self._trim(requests, now_s)
        self._trim(repeats, now_s)
        rules = self._rules
        allowed = rules.ratio * len(requests) + rules.slack / self._nodes
        if len(repeats) + 1 > SAFETY * allowed:
            return False
        repeats.append(now_s)
        return True

    def _trim(self, times, now_s):
        """Forget what lies before the window."""
        begin_s = now_s - self._rules.window_s
        while times and times[0] < begin_s:
            times.popleft()
