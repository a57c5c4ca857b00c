"""Belief of an instance about its own paths to the endpoints."""

import collections
import itertools

import attrs

__all__ = ["EndpointPaths"]

MIN_LOST_ENDPOINTS = 2
"""Number of endpoints that must be out of reach for the paths to be lost.

A single one may have crashed.
"""

EVIDENCE_LIFETIME_S = 3.0
"""Time for which a failure counts as evidence, in seconds."""


UNREACHED_S = 3.0
"""Time for which an endpoint without a connection is avoided, in seconds.

A test of the path that succeeds ends it earlier.
"""


@attrs.define
class _Paths:
    """Evidence about the paths to the endpoints of one service.

    Parameters
    ----------
    refused_s, silent_s : dict
        Endpoint id to the time of the last connection that could not be
        opened, and of the last request that got no answer.
    is_lost : bool
        Whether the instance reaches none of the endpoints.
    unreached_s : dict
        Endpoint id to the time of the last connection that could not be
        opened, until one is opened again. The endpoint that is to be tested
        next is the first.
    """

    refused_s: dict = attrs.field(factory=dict)
    unreached_s: dict = attrs.field(factory=dict)
    silent_s: dict = attrs.field(factory=dict)
    is_lost: bool = False


class EndpointPaths:
    """Which services an instance has lost all paths to.

    Notes
    -----
    This belief is about the instance itself. Whether the endpoints are gone
    is not known: only other instances can tell.
    """

    def __init__(self):
        self._services = collections.defaultdict(_Paths)

    def is_lost(self, service):
        """Return whether no endpoint of a service is reached."""
        paths = self._services.get(service)
        return paths is not None and paths.is_lost

    def list_lost(self):
        """Return the services of which no endpoint is reached."""
        return [
            name for name, paths in self._services.items() if paths.is_lost
        ]

    def list_unreached(self, service, now_s):
        """Return the endpoints of a service to which paths may be lost.

        Parameters
        ----------
        service : str
            The service.
        now_s : float
            Monotonic time, in seconds.
        """
        paths = self._services.get(service)
        if paths is None or not paths.unreached_s:
            return frozenset()
        return frozenset(
            endpoint_id
            for endpoint_id, at_s in paths.unreached_s.items()
            if now_s - at_s < UNREACHED_S
        )

    def choose_test(self, now_s):
        """Return the service and id of the endpoint to test; None for none.

        Each call returns the next one that is out of reach, so that the
        number of tests does not grow with the endpoints.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.
        """
        for service, paths in self._services.items():
            for endpoint_id, at_s in list(paths.unreached_s.items()):
                del paths.unreached_s[endpoint_id]
                if now_s - at_s < UNREACHED_S:
                    paths.unreached_s[endpoint_id] = at_s
                    return service, endpoint_id
        return None

    def record_reached(self, service, endpoint_id):
        """Record that a connection to an endpoint could be opened."""
        paths = self._services.get(service)
        if paths is not None:
            paths.unreached_s.pop(endpoint_id, None)

    def record_failure(self, service, endpoint_id, is_connected, now_s):
        """Count an endpoint as out of reach; return whether all now are.

        Parameters
        ----------
        service, endpoint_id : str
            The endpoint and its service.
        is_connected : bool
            Whether there was a connection, on which no answer came.
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the paths to the service have been lost by this failure.
        """
        paths = self._services[service]
        evidence = paths.silent_s if is_connected else paths.refused_s
        evidence[endpoint_id] = now_s
        if not is_connected:
            paths.unreached_s[endpoint_id] = now_s
        since_s = now_s - EVIDENCE_LIFETIME_S
        lost = {
            each
            for each, at_s in itertools.chain(
                paths.refused_s.items(), paths.silent_s.items()
            )
            if at_s >= since_s
        }
        was_lost = paths.is_lost
        paths.is_lost = was_lost or len(lost) >= MIN_LOST_ENDPOINTS
        return paths.is_lost and not was_lost

    def record_answer(self, service, is_new_connection):
        """Count an answer of an endpoint; return whether paths are back.

        An answer on a kept connection does not show that new ones can be
        opened.

        Parameters
        ----------
        service : str
            The service.
        is_new_connection : bool
            Whether the connection has just been opened.

        Returns
        -------
        bool
            Whether the paths to the service had been lost until now.
        """
        paths = self._services.get(service)
        if paths is None:
            return False
        paths.silent_s.clear()
        if not is_new_connection:
            return False
        paths.refused_s.clear()
        was_lost = paths.is_lost
        paths.is_lost = False
        return was_lost
