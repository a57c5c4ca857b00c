"""Reclaim notices that an instance knows."""

import threading

__all__ = ["Notices"]


class Notices:
    """Reclaim times of endpoints, failure domains and this instance.

    Notes
    -----
    A notice is never withdrawn. If there are several for the same
    subject, the earliest time counts.
    """

    def __init__(self):
        self._by_instance = {}
        self._by_domain = {}
        self._domains = {}
        self._lock = threading.Lock()

    def set_domain(self, endpoint_id, failure_domain):
        """Store the failure domain of an endpoint."""
        self._domains[endpoint_id] = failure_domain

    def add(self, instance, failure_domain, reclaim_at_s):
        """Add a notice; return whether it is new or names an earlier time.

        Parameters
        ----------
        instance : str
            The instance to be reclaimed; empty for a whole failure domain.
        failure_domain : str
            The failure domain.
        reclaim_at_s : float
            Time of the reclaim, in Unix seconds.
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
        """Return when an instance is reclaimed, in Unix seconds, or None.

        A notice for its failure domain counts as well. Without a
        failure_domain, the one that `set_domain` stored is used.
        """
        domain = failure_domain or self._domains.get(instance)
        times = (self._by_instance.get(instance), self._by_domain.get(domain))
        return min((each for each in times if each is not None), default=None)
