"""Reclaim notices known to an instance."""

import threading

__all__ = ["Notices"]


class Notices:
    """When endpoints, failure domains and this instance go.

    Notes
    -----
    A notice is never taken back, and the earliest time counts.
    """

    def __init__(self):
        self._by_instance = {}
        self._by_domain = {}
        self._domains = {}
        self._lock = threading.Lock()

    def set_domain(self, endpoint_id, failure_domain):
        """Remember the failure domain of an endpoint."""
        self._domains[endpoint_id] = failure_domain

    def add(self, instance, failure_domain, reclaim_at_s):
        """Take a notice; return whether it says something new.

        Parameters
        ----------
        instance : str
            The instance that goes; empty for a whole failure domain.
        failure_domain : str
            Its failure domain.
        reclaim_at_s : float
            When it goes, in Unix seconds.
        """
        table = self._by_instance if instance else self._by_domain
        name = instance or failure_domain
        with self._lock:
            known_s = table.get(name)
            if known_s is not None and known_s <= reclaim_at_s:
                return False
            table[name] = reclaim_at_s
            return True

    def get_reclaim_at(self, instance, failure_domain=None):
        """Return when an instance goes, in Unix seconds, or None."""
        domain = failure_domain or self._domains.get(instance)
        times = (self._by_instance.get(instance), self._by_domain.get(domain))
        return min((each for each in times if each is not None), default=None)
